package intact

import (
	"errors"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// pair returns the two ends of a connection over loopback.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		nc.Close()
		other.Close()
	})
	return nc.(*net.TCPConn), other.(*net.TCPConn)
}

// writeUntilError writes to nc until a write fails and returns its error.
func writeUntilError(t *testing.T, nc net.Conn) error {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if _, err := nc.Write([]byte("x")); err != nil {
			return err
		}
	}
	t.Fatal("no write failed")
	return nil
}

// TestResetReportedToWrite guards against taking a reset for the end of a response: the kernel reports
// it to a write, and the next read returns io.EOF.
func TestResetReportedToWrite(t *testing.T) {
	for _, tc := range []struct {
		name string
		wrap func(net.Conn) net.Conn
		want bool
	}{
		{"socket alone", func(nc net.Conn) net.Conn { return nc }, false},
		{"intact", func(nc net.Conn) net.Conn { return New(nc) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			near, far := pair(t)
			cn := tc.wrap(near)
			if _, err := far.Write([]byte("part")); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(cn, make([]byte, 4)); err != nil {
				t.Fatal(err)
			}
			if err := errors.Join(far.SetLinger(0), far.Close()); err != nil {
				t.Fatal(err)
			}
			if err := writeUntilError(t, cn); !errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("write: %v, want a reset", err)
			}
			_, err := cn.Read(make([]byte, 1))
			var er *Error
			if got := errors.As(err, &er) && er.Kind == CutOff; got != tc.want || !got && err != io.EOF {
				t.Errorf("read: %v; want an *Error: %t", err, tc.want)
			}
		})
	}
}

// TestResetDuringWrite guards against returning io.EOF before a pending write, which has received the
// error of the socket, has returned.
func TestResetDuringWrite(t *testing.T) {
	inner := &scriptedConn{write: make(chan error), interrupted: make(chan struct{})}
	cn := New(inner)
	wrote := make(chan error)
	go func() {
		_, err := cn.Write([]byte("x"))
		wrote <- err
	}()
	read := make(chan error)
	go func() {
		<-inner.interrupted
		inner.write <- syscall.ECONNRESET
	}()
	waitForWrite(cn)
	go func() {
		_, err := cn.Read(make([]byte, 1))
		read <- err
	}()
	<-wrote
	var er *Error
	if err := <-read; !errors.As(err, &er) || er.Kind != CutOff || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read: %v, want an *Error for the reset", err)
	}
}

// waitForWrite waits until a write to cn has begun.
func waitForWrite(cn *Conn) {
	for {
		cn.mu.Lock()
		writing := cn.writing
		cn.mu.Unlock()
		if writing {
			return
		}
		runtime.Gosched()
	}
}

// scriptedConn is a connection whose reads return io.EOF and whose writes return what write sends.
type scriptedConn struct {
	net.Conn
	write       chan error
	interrupted chan struct{}
}

func (sc *scriptedConn) Read([]byte) (int, error)  { return 0, io.EOF }
func (sc *scriptedConn) Write([]byte) (int, error) { return 0, <-sc.write }
func (sc *scriptedConn) SetWriteDeadline(time.Time) error {
	close(sc.interrupted)
	return nil
}

// TestOrderlyEnd guards against refusing a response whose server has closed the connection in order.
func TestOrderlyEnd(t *testing.T) {
	for _, tc := range []struct {
		name string
		// end closes the server's end; write writes to the other one.
		end   func(far *net.TCPConn) error
		write func(t *testing.T, cn net.Conn)
	}{
		{"closed", func(far *net.TCPConn) error { return far.Close() }, func(*testing.T, net.Conn) {}},
		{"half closed", func(far *net.TCPConn) error { return far.CloseWrite() }, func(*testing.T, net.Conn) {}},
		{"closed, written to later", func(far *net.TCPConn) error { return far.Close() }, func(t *testing.T, cn net.Conn) {
			if err := writeUntilError(t, cn); !errors.Is(err, syscall.EPIPE) {
				t.Logf("write: %v", err)
			}
		}},
		{"half closed, written to", func(far *net.TCPConn) error { return far.CloseWrite() }, func(t *testing.T, cn net.Conn) {
			if _, err := cn.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
		}},
		{"half closed, a write pending", func(far *net.TCPConn) error { return far.CloseWrite() }, func(t *testing.T, cn net.Conn) {
			// The server does not read, so the write ends only when it is interrupted.
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = cn.Write(make([]byte, 64<<20))
			}()
			waitForWrite(cn.(*Conn))
			t.Cleanup(func() { <-done })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			near, far := pair(t)
			cn := New(near)
			if _, err := far.Write([]byte("whole")); err != nil {
				t.Fatal(err)
			}
			if err := tc.end(far); err != nil {
				t.Fatal(err)
			}
			tc.write(t, cn)
			if text, err := io.ReadAll(cn); err != nil || string(text) != "whole" {
				t.Errorf("read %q, %v; want the whole response", text, err)
			}
		})
	}
}
