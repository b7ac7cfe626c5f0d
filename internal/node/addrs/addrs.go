package addrs

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports that Free draws from: below those that systems give to outgoing
// connections, so that none of these takes a port before it is listened on.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// Free returns a loopback address that nobody listens on at the moment.
func Free() (string, error) {
	var err error
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", err
}
