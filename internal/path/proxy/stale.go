package proxy

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isStale reports whether the other side has closed or reset a connection, or sent bytes on
// it, which the transport has not read yet. It reports false where that cannot be told.
func isStale(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var found error
	err = rc.Control(func(fd uintptr) {
		var next [1]byte
		_, _, found = unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return false
	}
	switch found {
	case nil, unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT:
		return true
	}
	return false
}
