package piping

import (
	"net"
	"os"
	"time"
)

// virtualConn is the connection on which the net/http server gets one pipelined request. What the
// server writes is buffered until the responses before it are sent.
type virtualConn struct {
	// Conn is the server's end of an in-memory pipe, and peer the other end. No data passes over
	// it: its reads block until the request is finished, the caller has disconnected or the
	// deadline passes.
	net.Conn
	peer net.Conn
	cn   *conn
	// arrived is when the head of the request had been read.
	arrived time.Time

	// request is the part of the request that the server has not read. Only Read uses it.
	request []byte

	// The following fields are guarded by cn.mu.

	// buffered is what was written while earlier responses were not sent, and writeDeadline the
	// deadline of writes.
	buffered      []byte
	writeDeadline time.Time
	// sending is set once all earlier responses and the buffered part of this one are sent, done
	// once the response is complete, closes if it closes the caller's connection, and aborted if
	// it is discarded.
	sending, done, closes, aborted bool
}

func newVirtualConn(cn *conn, request []byte) *virtualConn {
	vc := &virtualConn{cn: cn, request: request, arrived: cn.nextArrived}
	vc.Conn, vc.peer = net.Pipe()
	return vc
}

// LocalAddr returns the local address of the caller's connection.
func (vc *virtualConn) LocalAddr() net.Addr { return vc.cn.Conn.LocalAddr() }

// RemoteAddr returns the caller's address.
func (vc *virtualConn) RemoteAddr() net.Addr { return vc.cn.Conn.RemoteAddr() }

// Read returns the request, then blocks until the request is finished or cancelled.
func (vc *virtualConn) Read(p []byte) (int, error) {
	if len(vc.request) > 0 {
		n := copy(p, vc.request)
		vc.request = vc.request[n:]
		return n, nil
	}
	return vc.Conn.Read(p)
}

// cancelRead ends the read that the server has pending while the handler runs, because the
// response is complete or the caller has disconnected.
func (vc *virtualConn) cancelRead() {
	// Closing a net.Pipe returns no error.
	_ = vc.peer.Close()
}

// Write sends a part of the response to the caller, or buffers it while earlier responses are not
// sent.
func (vc *virtualConn) Write(p []byte) (int, error) {
	cn := vc.cn
	cn.mu.Lock()
	defer cn.mu.Unlock()
	for {
		switch {
		case vc.aborted || cn.closed:
			return 0, net.ErrClosed
		case vc.sending:
			cn.mu.Unlock()
			n, err := cn.Conn.Write(p)
			cn.mu.Lock()
			return n, err
		case cn.pl.buffered.TryAcquire(int64(len(p))):
			vc.buffered = append(vc.buffered, p...)
			return len(p), nil
		case !vc.writeDeadline.IsZero() && !vc.writeDeadline.After(time.Now()):
			return 0, os.ErrDeadlineExceeded
		}
		vc.waitForChange()
	}
}

// waitForChange waits until cn.changed is signalled or the write deadline passes. cn.mu is held.
func (vc *virtualConn) waitForChange() {
	cn := vc.cn
	if vc.writeDeadline.IsZero() {
		cn.changed.Wait()
		return
	}
	tm := time.AfterFunc(time.Until(vc.writeDeadline), func() {
		cn.mu.Lock()
		defer cn.mu.Unlock()
		cn.changed.Broadcast()
	})
	defer tm.Stop()
	cn.changed.Wait()
}

// SetWriteDeadline sets the deadline of writes.
func (vc *virtualConn) SetWriteDeadline(t time.Time) error {
	cn := vc.cn
	cn.mu.Lock()
	defer cn.mu.Unlock()
	vc.writeDeadline = t
	cn.changed.Broadcast()
	if vc.sending && !vc.done {
		return cn.Conn.SetWriteDeadline(t)
	}
	return nil
}

// SetDeadline sets the read and write deadlines.
func (vc *virtualConn) SetDeadline(t time.Time) error {
	if err := vc.SetWriteDeadline(t); err != nil {
		return err
	}
	return vc.SetReadDeadline(t)
}

// Close is called by the server after a response that closes the connection or was interrupted.
// After any other response it has no effect.
func (vc *virtualConn) Close() error {
	vc.responseDone(true)
	return vc.Conn.Close()
}

// responseDone records that the response is complete; closes says that it closes the caller's
// connection.
func (vc *virtualConn) responseDone(closes bool) {
	vc.cn.mu.Lock()
	defer vc.cn.mu.Unlock()
	vc.cn.responseDone(vc, closes)
}
