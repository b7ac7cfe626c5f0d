package gone

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CheckInterval is how often a watched connection is checked.
const CheckInterval = 100 * time.Millisecond

type connKey struct{}

// ConnContext is a ConnContext hook of an http.Server that lets Watch find the connection of a
// request.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// Watch returns a copy of the context of r that is cancelled once the peer of the request's connection
// has closed it. The caller must call stop. With HTTP/2, and without ConnContext, it watches nothing.
func Watch(r *http.Request) (ctx context.Context, stop context.CancelFunc) {
	ctx, stop = context.WithCancel(r.Context())
	nc, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok || r.ProtoMajor != 1 {
		return ctx, stop
	}
	go func() {
		tick := time.NewTicker(CheckInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			if Closed(nc) {
				stop()
				return
			}
		}
	}()
	return ctx, stop
}

// Closed reports whether the peer has closed a connection, as far as that is known to the system. It
// reads nothing: the end may follow bytes that are still unread. A peer that has closed its sending
// side only counts as gone, as it does for net/http.
func Closed(nc net.Conn) bool {
	for {
		if pc, ok := nc.(interface{ PeerClosed() bool }); ok {
			return pc.PeerClosed()
		}
		inner, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		nc = inner.NetConn()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = rc.Control(func(fd uintptr) { closed = socketClosed(int(fd)) })
	return err == nil && closed
}

// socketClosed reports whether the peer has closed or reset the connection of a socket.
func socketClosed(fd int) bool {
	var buf [1]byte
	n, _, err := unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.ECONNRESET || err == unix.EPIPE || err == unix.ETIMEDOUT:
		return true
	case err != nil:
		return false
	case n == 0:
		return true
	}
	// The end of the stream may be behind the unread bytes.
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err = unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
