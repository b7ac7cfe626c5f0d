package piping

import (
	"net"
	"os"
	"time"
)

// branch is the connection by which the library's server gets one request that was
// sent ahead. What the server writes is held until the turn of the answer comes.
type branch struct {
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

	// held is what was written before the turn of the answer, writeBy the deadline
	// of writes.
	held    []byte
	writeBy time.Time
	// live says that the turn has come and held was sent, done that the answer is
	// whole, last that its connection closes behind it, cut that it is not wanted.
	live, done, last, cut bool
}

func newBranch(cn *conn, request []byte) *branch {
	br := &branch{cn: cn, request: request, arrived: cn.since}
	br.Conn, br.peer = net.Pipe()
	return br
}

// LocalAddr and RemoteAddr return those of the caller's connection.
func (br *branch) LocalAddr() net.Addr { return br.cn.Conn.LocalAddr() }

// RemoteAddr returns the caller's address.
func (br *branch) RemoteAddr() net.Addr { return br.cn.Conn.RemoteAddr() }

// Read reads the request, then waits for its end.
func (br *branch) Read(p []byte) (int, error) {
	if len(br.request) > 0 {
		n := copy(p, br.request)
		br.request = br.request[n:]
		return n, nil
	}
	return br.Conn.Read(p)
}

// leave ends the read beside the request: its answer is whole, or the caller gone.
func (br *branch) leave() {
	// A pipe closes without an error.
	_ = br.peer.Close()
}

// Write sends a part of the answer to the caller, or holds it until its turn.
func (br *branch) Write(p []byte) (int, error) {
	cn := br.cn
	cn.mu.Lock()
	defer cn.mu.Unlock()
	for {
		switch {
		case br.cut || cn.closed:
			return 0, net.ErrClosed
		case br.live:
			cn.mu.Unlock()
			n, err := cn.Conn.Write(p)
			cn.mu.Lock()
			return n, err
		case cn.fr.held.TryAcquire(int64(len(p))):
			br.held = append(br.held, p...)
			return len(p), nil
		case !br.writeBy.IsZero() && !br.writeBy.After(time.Now()):
			return 0, os.ErrDeadlineExceeded
		}
		br.await()
	}
}

// await waits for a change or until the deadline of writes; cn.mu is held.
func (br *branch) await() {
	cn := br.cn
	if br.writeBy.IsZero() {
		cn.changed.Wait()
		return
	}
	tm := time.AfterFunc(time.Until(br.writeBy), func() {
		cn.mu.Lock()
		defer cn.mu.Unlock()
		cn.changed.Broadcast()
	})
	defer tm.Stop()
	cn.changed.Wait()
}

// SetWriteDeadline sets the deadline of writes.
func (br *branch) SetWriteDeadline(t time.Time) error {
	cn := br.cn
	cn.mu.Lock()
	defer cn.mu.Unlock()
	br.writeBy = t
	cn.changed.Broadcast()
	if br.live && !br.done {
		return cn.Conn.SetWriteDeadline(t)
	}
	return nil
}

// SetDeadline sets both deadlines.
func (br *branch) SetDeadline(t time.Time) error {
	if err := br.SetWriteDeadline(t); err != nil {
		return err
	}
	return br.SetReadDeadline(t)
}

// Close is called by the server behind an answer that closes the connection, or
// that broke off. After an answer that does not, it changes nothing.
func (br *branch) Close() error {
	br.end(true)
	return br.Conn.Close()
}

// end says that the answer is whole, and with last that its connection closes behind it.
func (br *branch) end(last bool) {
	br.cn.mu.Lock()
	defer br.cn.mu.Unlock()
	br.cn.answered(br, last)
}
