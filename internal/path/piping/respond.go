package piping

import (
	"net/http"
	"time"
)

// responseDone takes note that a request has been answered, br nil for the one that the
// server has on the connection itself; last says that its answer closes the
// connection. Whoever ends a turn sends what is held of the next answers; cn.mu is held,
// but not while it writes.
func (cn *conn) responseDone(vc *virtualConn, closes bool) {
	if vc != nil {
		if vc.done {
			return
		}
		vc.done, vc.closes = true, closes
		vc.cancelRead()
		if !vc.sending {
			// Whoever has the turn before it goes on with it.
			return
		}
	}
	if len(cn.pending) == 0 || cn.pending[0] != vc || cn.closed || cn.finishing {
		return
	}
	cn.popPending()
	cn.sendReady(closes)
}

// popPending takes the first turn off; cn.mu is held.
func (cn *conn) popPending() {
	if len(cn.pending) == 1 {
		// The place is kept for the next request.
		cn.pending = cn.pending[:0]
		return
	}
	cn.pending = cn.pending[1:]
}

// sendReady sends the answers whose turn has come; cn.mu is held, but not while it
// writes. After it the first of the turns may write by itself.
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
		// The server takes the next request itself. A read that waits may have brought
		// one that is not seen here yet.
		cn.interruptRead()
	default:
		cn.pl.OnConnState(cn.Conn, http.StateIdle)
	}
}

// reportIdle says that the connection is idle, if nothing of a request was read; cn.mu is held.
func (cn *conn) reportIdle() {
	if cn.phase == readingHead && len(cn.pending) == 0 && len(cn.unread) == 0 {
		cn.pl.OnConnState(cn.Conn, http.StateIdle)
	}
}

// sendBuffered sends what is held of an answer and reports whether the connection goes on;
// cn.mu is held, but not while it writes.
func (cn *conn) sendBuffered(vc *virtualConn) bool {
	for len(vc.buffered) > 0 {
		buffered, deadline := vc.buffered, vc.writeDeadline
		vc.buffered = nil
		cn.mu.Unlock()
		err := cn.writeCaller(buffered, deadline)
		cn.pl.buffered.Give(int64(len(buffered)))
		cn.mu.Lock()
		if err != nil {
			cn.abort()
		}
		if cn.closed || cn.finishing {
			return false
		}
	}
	// What it still writes has its own deadline; an error shows at the next write.
	_ = cn.Conn.SetWriteDeadline(vc.writeDeadline)
	return true
}

// writeCaller writes to the caller until a deadline.
func (cn *conn) writeCaller(p []byte, deadline time.Time) error {
	if err := cn.Conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err := cn.Conn.Write(p)
	return err
}

// finish ends writing behind the last answer. Nothing more is taken, and what was
// run ahead is not answered: the caller takes what it has sent behind that answer
// for not read. The server's next read tells it to close; cn.mu is held.
func (cn *conn) finish() {
	cn.finishing = true
	cn.abortPending()
	cn.unread = nil
	if cw, ok := cn.Conn.(interface{ CloseWrite() error }); ok {
		// One that has failed needs no end.
		_ = cw.CloseWrite()
	}
	cn.interruptRead()
}

// abortPending ends all that runs ahead; cn.mu is held.
func (cn *conn) abortPending() {
	for _, vc := range cn.pending {
		if vc != nil {
			vc.aborted = true
			vc.cancelRead()
			cn.pl.buffered.Give(int64(len(vc.buffered)))
			vc.buffered = nil
		}
	}
	cn.pending = nil
	cn.changed.Broadcast()
}

// scan closes the connection and all that runs for it; cn.mu is held.
func (cn *conn) abort() {
	if cn.closed {
		return
	}
	cn.closed = true
	cn.abortPending()
	// Nothing is lost with it that could still be told.
	_ = cn.Conn.Close()
}

// Close is called by the server when its own part of the connection has ended.
// Where more was sent than is answered, the caller may have to read the last answer
// yet, so what still comes is read for a while: closed with unread bytes, the
// connection would be reset.
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

// drain reads what still comes until the caller closes or linger is over.
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
