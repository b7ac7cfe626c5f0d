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
	// openTimeout bounds the opening of a connection. Between failure domains it
	// takes 3 ms; the first packet of one that is lost is sent again after a
	// second, and another server is the better choice by then.
	openTimeout = 400 * time.Millisecond
	// unacked is how long what was sent may stay unacknowledged. Without it a
	// request to a VM that lost power, or that is cut off, hangs until its
	// deadline: nothing answers, and nothing resets the connection. It is
	// several times the 200 ms after which a lost packet is sent again.
	unacked = 700 * time.Millisecond
	// probeIdle and probeEvery let a connection that only waits for an answer
	// notice the same.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 2
)

var std = net.Dialer{
	Timeout: openTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
	},
	Control: setUnacked,
}

// Dial opens a connection to addr (host:port).
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	return std.DialContext(ctx, "tcp", addr)
}

// setUnacked sets TCP_USER_TIMEOUT (RFC 5482) on a socket before it connects.
func setUnacked(_, _ string, rc syscall.RawConn) error {
	var serr error
	err := rc.Control(func(fd uintptr) {
		serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return serr
}
