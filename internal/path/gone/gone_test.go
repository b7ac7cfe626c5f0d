package gone

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// connPair returns the two ends of a TCP connection.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		dialed.Close()
		accepted.Close()
	})
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// wrapped is a connection that is not itself a socket.
type wrapped struct{ net.Conn }

func (wr wrapped) NetConn() net.Conn { return wr.Conn }

// TestClosed guards against missing the end of a connection behind unread bytes, and against taking an
// open connection for a closed one.
func TestClosed(t *testing.T) {
	for _, tc := range []struct {
		name   string
		act    func(far *net.TCPConn) error
		closed bool
	}{
		{"idle", func(*net.TCPConn) error { return nil }, false},
		{"unread bytes", func(far *net.TCPConn) error { _, err := far.Write(make([]byte, 1000)); return err }, false},
		{"closed", func(far *net.TCPConn) error { return far.Close() }, true},
		{"closed behind unread bytes", func(far *net.TCPConn) error {
			if _, err := far.Write(make([]byte, 1000)); err != nil {
				return err
			}
			return far.Close()
		}, true},
		{"reset", func(far *net.TCPConn) error {
			if err := far.SetLinger(0); err != nil {
				return err
			}
			return far.Close()
		}, true},
		{"reset behind unread bytes", func(far *net.TCPConn) error {
			if _, err := far.Write(make([]byte, 1000)); err != nil {
				return err
			}
			if err := far.SetLinger(0); err != nil {
				return err
			}
			return far.Close()
		}, true},
		{"sending side closed", func(far *net.TCPConn) error { return far.CloseWrite() }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			near, far := connPair(t)
			if err := tc.act(far); err != nil {
				t.Fatal(err)
			}
			for deadline := time.Now().Add(10 * time.Second); tc.closed && !Closed(near) && time.Now().Before(deadline); {
				// The end of the connection is on its way.
			}
			if got := Closed(wrapped{wrapped{near}}); got != tc.closed {
				t.Errorf("closed %t, want %t", got, tc.closed)
			}
		})
	}
	if pi, _ := net.Pipe(); Closed(pi) {
		t.Error("a connection that cannot be checked counts as closed")
	}
}

// checkedConn is a connection whose end is known.
type checkedConn struct {
	net.Conn
	closed atomic.Bool
	checks atomic.Int64
}

func (cc *checkedConn) PeerClosed() bool {
	cc.checks.Add(1)
	return cc.closed.Load()
}

// TestWatch guards against a context that outlives the connection of its request, one that ends before
// it, and checks that go on after the request.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cc := &checkedConn{}
		r, err := http.NewRequestWithContext(ConnContext(t.Context(), cc), http.MethodPost, "http://booking/", nil)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := Watch(r)
		defer stop()
		time.Sleep(time.Hour)
		if ctx.Err() != nil {
			t.Error("the context has ended although the connection is open")
		}
		cc.closed.Store(true)
		time.Sleep(CheckInterval)
		synctest.Wait()
		if context.Cause(ctx) != context.Canceled {
			t.Errorf("cause %v, want %v", context.Cause(ctx), context.Canceled)
		}
		stopped, stop := Watch(r)
		stop()
		checks := cc.checks.Load()
		time.Sleep(time.Minute)
		if n := cc.checks.Load() - checks; n > 0 || stopped.Err() == nil {
			t.Errorf("%d checks after the request", n)
		}
	})
}
