package proxy

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/dialer"
)

// TestClosedBeforeWrite guards against counting a request as sent although its keep-alive
// connection had already been closed: such a request would not be retried.
func TestClosedBeforeWrite(t *testing.T) {
	for _, tc := range []struct {
		name string
		// peer acts on the other end of the connection.
		peer  func(nc *net.TCPConn) error
		stale bool
	}{
		{"open", func(*net.TCPConn) error { return nil }, false},
		{"closed", func(nc *net.TCPConn) error { return nc.Close() }, true},
		{"half closed", func(nc *net.TCPConn) error { return nc.CloseWrite() }, true},
		{"reset", func(nc *net.TCPConn) error { return errors.Join(nc.SetLinger(0), nc.Close()) }, true},
		{"surplus", func(nc *net.TCPConn) error { _, err := nc.Write([]byte("x")); return err }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			near, far := pair(t)
			// The transport is blocked in a read that has not returned yet.
			cn := newConn(near)
			cn.written, cn.reading = 10, true
			cn.begin()
			if err := tc.peer(far); err != nil {
				t.Fatal(err)
			}
			for end := time.Now().Add(5 * time.Second); tc.stale && !dialer.IsStale(near) && time.Now().Before(end); {
				<-time.After(time.Millisecond)
			}
			_, err := cn.Write([]byte("GET"))
			if stale := errors.Is(err, errConnUnusable); stale != tc.stale {
				t.Errorf("write: error %v, want errConnUnusable: %t", err, tc.stale)
			}
			if sent := cn.wrote(10); sent == tc.stale {
				t.Errorf("request counts as sent: %t", sent)
			}
		})
	}
}

// pair returns the two ends of a connection over loopback.
func pair(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	near, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		near.Close()
		other.Close()
	})
	return near, other.(*net.TCPConn)
}
