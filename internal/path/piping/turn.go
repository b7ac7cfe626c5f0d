package piping

import (
	"net/http"
	"time"
)

// answered takes note that a request has been answered, br nil for the one that the
// server has on the connection itself; last says that its answer closes the
// connection. Whoever ends a turn sends what is held of the next answers; cn.mu is held,
// but not while it writes.
func (cn *conn) answered(br *branch, last bool) {
	if br != nil {
		if br.done {
			return
		}
		br.done, br.last = true, last
		br.leave()
		if !br.live {
			// Whoever has the turn before it goes on with it.
			return
		}
	}
	if len(cn.turns) == 0 || cn.turns[0] != br || cn.closed || cn.ending {
		return
	}
	cn.pop()
	cn.advance(last)
}

// pop takes the first turn off; cn.mu is held.
func (cn *conn) pop() {
	if len(cn.turns) == 1 {
		// The place is kept for the next request.
		cn.turns = cn.turns[:0]
		return
	}
	cn.turns = cn.turns[1:]
}

// advance sends the answers whose turn has come; cn.mu is held, but not while it
// writes. After it the first of the turns may write by itself.
func (cn *conn) advance(last bool) {
	for !last && len(cn.turns) > 0 {
		br := cn.turns[0]
		if !cn.sendHeld(br) {
			return
		}
		br.live = true
		cn.changed.Broadcast()
		if !br.done {
			return
		}
		last = br.last
		cn.pop()
	}
	if last {
		cn.finish()
		return
	}
	switch {
	case cn.phase != inHead:
	case len(cn.unread) > 0, cn.reading:
		// The server takes the next request itself. A read that waits may have brought
		// one that is not seen here yet.
		cn.wake()
	default:
		cn.fr.State(cn.Conn, http.StateIdle)
	}
}

// rest says that the connection is idle, if nothing of a request was read; cn.mu is held.
func (cn *conn) rest() {
	if cn.phase == inHead && len(cn.turns) == 0 && len(cn.unread) == 0 {
		cn.fr.State(cn.Conn, http.StateIdle)
	}
}

// sendHeld sends what is held of an answer and reports whether the connection goes on;
// cn.mu is held, but not while it writes.
func (cn *conn) sendHeld(br *branch) bool {
	for len(br.held) > 0 {
		held, by := br.held, br.writeBy
		br.held = nil
		cn.mu.Unlock()
		err := cn.send(held, by)
		cn.fr.held.Release(int64(len(held)))
		cn.mu.Lock()
		if err != nil {
			cn.end()
		}
		if cn.closed || cn.ending {
			return false
		}
	}
	// What it still writes has its own deadline; an error shows at the next write.
	_ = cn.Conn.SetWriteDeadline(br.writeBy)
	return true
}

// send writes to the caller until a deadline.
func (cn *conn) send(p []byte, by time.Time) error {
	if err := cn.Conn.SetWriteDeadline(by); err != nil {
		return err
	}
	_, err := cn.Conn.Write(p)
	return err
}

// finish ends writing behind the last answer. Nothing more is taken, and what was
// run ahead is not answered: the caller takes what it has sent behind that answer
// for not read. The server's next read tells it to close; cn.mu is held.
func (cn *conn) finish() {
	cn.ending = true
	cn.cutTurns()
	cn.unread = nil
	if cw, ok := cn.Conn.(interface{ CloseWrite() error }); ok {
		// One that has failed needs no end.
		_ = cw.CloseWrite()
	}
	cn.wake()
}

// cutTurns ends all that runs ahead; cn.mu is held.
func (cn *conn) cutTurns() {
	for _, br := range cn.turns {
		if br != nil {
			br.cut = true
			br.leave()
			cn.fr.held.Release(int64(len(br.held)))
			br.held = nil
		}
	}
	cn.turns = nil
	cn.changed.Broadcast()
}

// end closes the connection and all that runs for it; cn.mu is held.
func (cn *conn) end() {
	if cn.closed {
		return
	}
	cn.closed = true
	cn.cutTurns()
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
	ahead := cn.piped && !cn.gone && len(cn.turns)+len(cn.unread) > 0
	switch {
	case cn.closed:
	case cn.ending:
		go cn.drain()
	case ahead:
		cn.finish()
		go cn.drain()
	default:
		cn.end()
	}
	return nil
}

// drain reads what still comes until the caller closes or linger is over.
func (cn *conn) drain() {
	buf := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buf)
	err := cn.Conn.SetReadDeadline(time.Now().Add(linger))
	for err == nil {
		_, err = cn.Conn.Read(buf[:])
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.end()
}
