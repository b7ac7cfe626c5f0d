package addrs

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
)

// The ports that Free draws from: below those that systems give to outgoing
// connections, so that none of these takes a port before it is listened on.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

var (
	mu    sync.Mutex
	given = map[int]bool{}
)

// Free returns a loopback address that nobody listens on at the moment and that
// it has not returned before.
func Free() (string, error) { return FreeOn("127.0.0.1") }

// ProcessIP returns a loopback IP of this process's own, so that other processes which find
// addresses at the same time do not take its ports while nobody listens on them.
func ProcessIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+(pid>>8)%200, 1+pid%200)
}

// FreeOn is Free for a loopback IP.
func FreeOn(ip string) (string, error) {
	mu.Lock()
	defer mu.Unlock()
	err := errors.New("addrs: no port is left")
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if given[port] {
			continue
		}
		var ln net.Listener
		addr := fmt.Sprintf("%s:%d", ip, port)
		if ln, err = net.Listen("tcp", addr); err == nil {
			given[port] = true
			return addr, ln.Close()
		}
	}
	return "", err
}
