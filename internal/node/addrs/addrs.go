package addrs

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
)

// The ports that Free draws from. They are below those that systems assign to outgoing connections,
// so that none of these takes a port before it is listened on.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

var (
	mu       sync.Mutex
	returned = map[int]bool{}
)

// Free returns a loopback address that nothing listens on at the moment and that it has not
// returned before.
func Free() (string, error) { return FreeOn("127.0.0.1") }

// ProcessIP returns a loopback IP specific to this process, so that other processes that look for
// addresses at the same time do not take its ports while nothing listens on them.
func ProcessIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+(pid>>8)%200, 1+pid%200)
}

// FreeOn is Free for a given loopback IP.
func FreeOn(ip string) (string, error) {
	mu.Lock()
	defer mu.Unlock()
	err := errors.New("addrs: no free port found")
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if returned[port] {
			continue
		}
		var ln net.Listener
		addr := fmt.Sprintf("%s:%d", ip, port)
		if ln, err = net.Listen("tcp", addr); err == nil {
			returned[port] = true
			return addr, ln.Close()
		}
	}
	return "", err
}
