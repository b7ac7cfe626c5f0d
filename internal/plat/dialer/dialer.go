package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The times of a connection.
const (
	// connectTimeout bounds the opening of a connection. Between failure domains it
	// takes 3 ms; the first packet of one that is lost is sent again after a
	// second, and another server is the better choice by then.
	connectTimeout = 400 * time.Millisecond
	// userTimeout is how long what was sent may stay unacknowledged. Without it a
	// request to a VM that lost power, or that is cut off, hangs until its
	// deadline: nothing answers, and nothing resets the connection. It is
	// several times the 200 ms after which a lost packet is sent again.
	userTimeout = 700 * time.Millisecond
	// keepAliveIdle and keepAliveInterval let a connection that only waits for an answer
	// notice the same.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

var netDialer = net.Dialer{
	Timeout: connectTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	},
	Control: setUserTimeout,
}

// Dial opens a connection to addr (host:port).
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	return netDialer.DialContext(ctx, "tcp", addr)
}

// setUserTimeout sets TCP_USER_TIMEOUT (RFC 5482) on a socket before it connects.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var sockErr error
	err := rc.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
