package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the time to connect. Connecting between failure domains takes
	// 3 ms. A lost SYN is retransmitted after 1 s only; by then it is better to try
	// another server.
	connectTimeout = 400 * time.Millisecond
	// userTimeout is how long sent data may stay unacknowledged. Without it, a request to
	// a VM that lost power or is partitioned hangs until its deadline, since nothing
	// responds and nothing resets the connection. It is several times the 200 ms after
	// which a lost packet is retransmitted.
	userTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unreachable peer on a
	// connection that has no unacknowledged data and only waits for a response.
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

// setUserTimeout sets TCP_USER_TIMEOUT (RFC 5482) on a socket before it is connected.
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
