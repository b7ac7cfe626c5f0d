package piping

import (
	"net/http"
	"time"
)

// responseDone records that a request has been answered, with vc nil for the direct one; closes
// says that its response closes the connection. If the request is the first pending one, the
// buffered responses behind it are sent. cn.mu is held, but not during writes.
func (cn *conn) responseDone(vc *virtualConn, closes bool) {
	if vc != nil {
		if vc.done {
			return
		}
		vc.done, vc.closes = true, closes
		vc.cancelRead()
		if !vc.sending {
			// sendReady continues with it once the responses before it are sent.
			return
		}
	}
	if len(cn.pending) == 0 || cn.pending[0] != vc || cn.closed || cn.finishing {
		return
	}
	cn.popPending()
	cn.sendReady(closes)
}

// popPending removes the first pending request. cn.mu is held.
func (cn *conn) popPending() {
	if len(cn.pending) == 1 {
		// Keeps the capacity for the next request.
		cn.pending = cn.pending[:0]
		return
	}
	cn.pending = cn.pending[1:]
}

// sendReady sends the buffered responses whose predecessors are all sent. cn.mu is held, but not
// during writes. Afterwards the first pending request writes its response directly.
func (cn *conn) sendReady(closes bool) {
	for !closes && len(cn.pending) > 0 {
		vc := cn.pending[0]
		if !cn.sendBuffered(vc) {
			return
		}
		vc.sending = true
		cn.changed.Broadcast()
		if !vc.done {
			return
		}
		closes = vc.closes
		cn.popPending()
	}
	if closes {
		cn.finish()
		return
	}
	switch {
	case cn.phase != readingHead:
	case len(cn.unread) > 0, cn.reading:
		// The server reads the next request itself. A pending read may have received a request
		// that is not in unread yet.
		cn.interruptRead()
	default:
		cn.pl.OnConnState(cn.Conn, http.StateIdle)
	}
}

// reportIdle reports the connection as idle if no byte of a request is unread. cn.mu is held.
func (cn *conn) reportIdle() {
	if cn.phase == readingHead && len(cn.pending) == 0 && len(cn.unread) == 0 {
		cn.pl.OnConnState(cn.Conn, http.StateIdle)
	}
}

// sendBuffered sends the buffered part of a response and reports whether the connection stays
// open. cn.mu is held, but not during writes.
func (cn *conn) sendBuffered(vc *virtualConn) bool {
	for len(vc.buffered) > 0 {
		buffered, deadline := vc.buffered, vc.writeDeadline
		vc.buffered = nil
		cn.mu.Unlock()
		err := cn.writeCaller(buffered, deadline)
		cn.pl.buffered.Release(int64(len(buffered)))
		cn.mu.Lock()
		if err != nil {
			cn.abort()
		}
		if cn.closed || cn.finishing {
			return false
		}
	}
	// Later writes have a deadline of their own; the next write returns an error, if any.
	_ = cn.Conn.SetWriteDeadline(vc.writeDeadline)
	return true
}

// writeCaller writes to the caller with a deadline.
func (cn *conn) writeCaller(p []byte, deadline time.Time) error {
	if err := cn.Conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err := cn.Conn.Write(p)
	return err
}

// finish ends the response stream after the last response. No more requests are accepted, and
// those that run early are not answered, because the caller assumes that requests behind that
// response were not read. The server's next read returns io.EOF, so that it closes the
// connection. cn.mu is held.
func (cn *conn) finish() {
	cn.finishing = true
	cn.abortPending()
	cn.unread = nil
	if cw, ok := cn.Conn.(interface{ CloseWrite() error }); ok {
		// A connection that has failed needs no FIN.
		_ = cw.CloseWrite()
	}
	cn.interruptRead()
}

// abortPending aborts all requests that run early. cn.mu is held.
func (cn *conn) abortPending() {
	for _, vc := range cn.pending {
		if vc != nil {
			vc.aborted = true
			vc.cancelRead()
			cn.pl.buffered.Release(int64(len(vc.buffered)))
			vc.buffered = nil
		}
	}
	cn.pending = nil
	cn.changed.Broadcast()
}

// abort closes the connection and aborts all its requests that run early. cn.mu is held.
func (cn *conn) abort() {
	if cn.closed {
		return
	}
	cn.closed = true
	cn.abortPending()
	// An error of Close cannot be reported to the caller any more.
	_ = cn.Conn.Close()
}

// Close is called by the server when it has finished with the connection. If more requests were
// received than answered, the caller may not have read the last response yet, so further bytes
// are read for a while: closing with unread bytes would reset the connection.
func (cn *conn) Close() error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	unanswered := cn.pipelined && !cn.callerGone && len(cn.pending)+len(cn.unread) > 0
	switch {
	case cn.closed:
	case cn.finishing:
		go cn.drain()
	case unanswered:
		cn.finish()
		go cn.drain()
	default:
		cn.abort()
	}
	return nil
}

// drain reads and drops further bytes until the caller closes or lingerTimeout has passed.
func (cn *conn) drain() {
	buf := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buf)
	err := cn.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	for err == nil {
		_, err = cn.Conn.Read(buf[:])
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.abort()
}
