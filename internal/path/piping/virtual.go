package piping

import (
	"net"
	"os"
	"time"
)

// virtualConn is the connection by which the library's server gets one request that was
// sent ahead. What the server writes is held until the turn of the answer comes.
type virtualConn struct {
	// Conn is the server's end of a pipe in memory, peer the other one. Nothing
	// passes over it: its reads wait until the request is over or the caller gone,
	// and its deadlines end them.
	net.Conn
	peer net.Conn
	cn   *conn
	// arrived is when the request had been read.
	arrived time.Time

	// request is what the server has not read of the request. Only reads use it.
	request []byte

	// The rest belongs to cn.mu.

	// buffered is what was written before the turn of the answer, writeDeadline the deadline
	// of writes.
	buffered      []byte
	writeDeadline time.Time
	// sending says that the turn has come and held was sent, done that the answer is
	// whole, last that its connection closes behind it, cut that it is not wanted.
	sending, done, closes, aborted bool
}

func newVirtualConn(cn *conn, request []byte) *virtualConn {
	vc := &virtualConn{cn: cn, request: request, arrived: cn.nextArrived}
	vc.Conn, vc.peer = net.Pipe()
	return vc
}

// LocalAddr and RemoteAddr return those of the caller's connection.
func (vc *virtualConn) LocalAddr() net.Addr { return vc.cn.Conn.LocalAddr() }

// RemoteAddr returns the caller's address.
func (vc *virtualConn) RemoteAddr() net.Addr { return vc.cn.Conn.RemoteAddr() }

// Read reads the request, then waits for its end.
func (vc *virtualConn) Read(p []byte) (int, error) {
	if len(vc.request) > 0 {
		n := copy(p, vc.request)
		vc.request = vc.request[n:]
		return n, nil
	}
	return vc.Conn.Read(p)
}

// cancelRead ends the read beside the request: its answer is whole, or the caller gone.
func (vc *virtualConn) cancelRead() {
	// A pipe closes without an error.
	_ = vc.peer.Close()
}

// Write sends a part of the answer to the caller, or holds it until its turn.
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
		case cn.pl.buffered.Take(int64(len(p))):
			vc.buffered = append(vc.buffered, p...)
			return len(p), nil
		case !vc.writeDeadline.IsZero() && !vc.writeDeadline.After(time.Now()):
			return 0, os.ErrDeadlineExceeded
		}
		vc.waitForChange()
	}
}

// waitForChange waits for a change or until the deadline of writes; cn.mu is held.
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

// SetDeadline sets both deadlines.
func (vc *virtualConn) SetDeadline(t time.Time) error {
	if err := vc.SetWriteDeadline(t); err != nil {
		return err
	}
	return vc.SetReadDeadline(t)
}

// Close is called by the server behind an answer that closes the connection, or
// that broke off. After an answer that does not, it changes nothing.
func (vc *virtualConn) Close() error {
	vc.responseDone(true)
	return vc.Conn.Close()
}

// scan says that the answer is whole, and with last that its connection closes behind it.
func (vc *virtualConn) responseDone(closes bool) {
	vc.cn.mu.Lock()
	defer vc.cn.mu.Unlock()
	vc.cn.responseDone(vc, closes)
}
