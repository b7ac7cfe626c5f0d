package piping

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// phase is what the library's server reads next from a connection.
type phase int

const (
	// inHead: the head of a request.
	inHead phase = iota
	// begun: nothing until the handler has told how the body goes.
	begun
	// inBody: a body of known length.
	inBody
	// waiting: nothing; the request is whole and not answered yet.
	waiting
	// plain: whatever comes. The end of a body without a length is known to the
	// library alone, so nothing is run ahead on the connection any more.
	plain
)

// conn is a caller's connection. The library's server serves those requests on it
// that begin while no other is under way; for each of the others that may be
// repeated it gets a branch, a connection that stands for that one request.
//
// The reads that the server makes drive it: one waits at any time, either for the
// next request or, beside a handler, to notice that the caller has gone. What it
// brings meanwhile is kept here and not handed on, so the server never holds a byte
// of a request whose turn has not come.
type conn struct {
	net.Conn
	fr *Pipeliner

	mu      sync.Mutex
	changed *sync.Cond
	phase   phase
	// own is the request that the server has on the connection itself.
	own exchange
	// unread was read from the caller and not handed on; stuck is set once it
	// begins with a request that waits for its turn.
	unread []byte
	stuck  bool
	since  time.Time
	// turns are the requests that are not answered yet, in the order in which they
	// were sent; nil stands for the one that the server has on this connection.
	turns []*branch
	// entering is set while the newest branch was handed over and its handler has
	// not been called.
	entering bool
	// readBy is the read deadline that the server asked for; woken says that a read
	// was ended to look again.
	readBy time.Time
	woken  bool
	// reading is set while a read of the caller's connection waits.
	reading bool
	// piped is set once anything was sent ahead, gone once the caller has left,
	// ending behind the last answer, and closed at the end.
	piped, gone, ending, closed bool
}

// exchange is a request and its answer. It is replaced as a whole once the answer is sent,
// so that nothing of it is taken for a part of the next one.
type exchange struct {
	head head
	// request is nil until its handler is called, left how many bytes of its body were
	// not handed on.
	request *http.Request
	left    int64
	// arrived is when the head was whole, the zero time where only the library knows.
	arrived time.Time
}

func newConn(fr *Pipeliner, nc net.Conn) *conn {
	cn := &conn{Conn: nc, fr: fr}
	cn.changed = sync.NewCond(&cn.mu)
	return cn
}

// Read hands on what belongs to the request that the server reads.
func (cn *conn) Read(p []byte) (int, error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	for {
		n, err := cn.read(p)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// read takes one step, which may bring nothing; cn.mu is held.
func (cn *conn) read(p []byte) (int, error) {
	switch {
	case cn.closed:
		return 0, net.ErrClosed
	case cn.ending:
		return 0, io.EOF
	case cn.phase == plain:
		return cn.pass(p)
	case cn.phase == inBody:
		n, err := cn.pass(p[:min(int64(len(p)), cn.own.left)])
		cn.took(int64(n))
		return n, err
	case cn.phase == inHead && len(cn.turns) == 0:
		return cn.readHead(p)
	case cn.phase == begun, len(cn.unread) >= mostUnread:
		// The only deadline that is set now is one in the past, which ends the wait.
		if !cn.readBy.IsZero() && !cn.readBy.After(time.Now()) {
			return 0, os.ErrDeadlineExceeded
		}
		cn.changed.Wait()
		return 0, nil
	}
	return 0, cn.readAhead(p)
}

// took counts bytes of the body that were handed on; cn.mu is held.
func (cn *conn) took(n int64) {
	if cn.own.left -= n; cn.own.left <= 0 {
		cn.phase = waiting
	}
}

// pass hands on what comes next, what was read before first; cn.mu is held.
func (cn *conn) pass(p []byte) (int, error) {
	if len(cn.unread) == 0 {
		return cn.receive(p)
	}
	n := copy(p, cn.unread)
	cn.drop(n)
	return n, nil
}

// drop forgets bytes that were handed on; cn.mu is held.
func (cn *conn) drop(n int) {
	if cn.unread = cn.unread[n:]; len(cn.unread) == 0 {
		cn.unread = nil
	}
	cn.stuck = false
}

// receive reads from the caller; cn.mu is held, but not while the read waits.
func (cn *conn) receive(p []byte) (int, error) {
	cn.reading = true
	cn.mu.Unlock()
	n, err := cn.Conn.Read(p)
	cn.mu.Lock()
	cn.reading = false
	if cn.woken {
		cn.woken = false
		// A connection that has failed says so at the next read.
		_ = cn.Conn.SetReadDeadline(cn.readBy)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && (cn.readBy.IsZero() || cn.readBy.After(time.Now())) {
			cn.rest()
			return 0, nil
		}
	}
	return n, err
}

// wake ends a read that waits, so that it looks again; cn.mu is held.
func (cn *conn) wake() {
	cn.changed.Broadcast()
	if cn.reading && !cn.woken {
		cn.woken = true
		_ = cn.Conn.SetReadDeadline(past)
	}
}

// past is a deadline that ends a read that waits at once.
var past = time.Unix(1, 0)

// SetReadDeadline sets the deadline of the server's reads.
func (cn *conn) SetReadDeadline(t time.Time) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.readBy = t
	cn.changed.Broadcast()
	if cn.woken || cn.ending {
		// It is set once the read has ended, or not wanted any more.
		return nil
	}
	return cn.Conn.SetReadDeadline(t)
}

// readHead hands on bytes of the next request's head and none beyond it; cn.mu is
// held.
func (cn *conn) readHead(p []byte) (int, error) {
	n, err := cn.pass(p)
	if n == 0 {
		return 0, err
	}
	used, whole := cn.own.head.end(p[:n])
	if used < n {
		// Before what was read earlier and not handed on.
		cn.unread = append(bytes.Clone(p[used:n]), cn.unread...)
	}
	if !whole {
		return used, nil
	}
	cn.phase, cn.turns = begun, append(cn.turns, nil)
	if cn.own.head.http2() {
		cn.phase = plain
		return used, nil
	}
	cn.own.arrived = time.Now()
	if !cn.since.IsZero() {
		cn.own.arrived, cn.since = cn.since, time.Time{}
	}
	return used, nil
}

// setRequest takes the request that the server has and calls the handler for.
func (cn *conn) setRequest(r *http.Request) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.phase != begun {
		return
	}
	cn.own.request = r
	switch {
	case r.ContentLength < 0:
		cn.phase = plain
	case r.ContentLength == 0:
		cn.phase = waiting
	default:
		cn.phase, cn.own.left = inBody, r.ContentLength
	}
	cn.changed.Broadcast()
}

// entered takes note that the handler is called for the request of a branch, and
// begins what comes behind it.
func (cn *conn) entered() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.entering = false
	cn.begin()
}

// setState takes what the server says of its own part of the connection.
func (cn *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		cn.fr.State(cn.Conn, state)
	case http.StateIdle:
		cn.mu.Lock()
		defer cn.mu.Unlock()
		cn.own = exchange{}
		if cn.phase == plain {
			cn.turns = cn.turns[:0]
			cn.fr.State(cn.Conn, state)
			return
		}
		cn.phase = inHead
		cn.answered(nil, false)
	}
}

// readAhead reads what the caller sends before it has its answers, and begins what
// may run ahead; cn.mu is held. It returns an error when the server must learn that
// the caller has gone or that its deadline has passed.
func (cn *conn) readAhead(p []byte) error {
	if len(cn.unread) > 0 {
		cn.piped = true
		cn.begin()
	}
	n, err := cn.receive(p)
	if n > 0 {
		cn.unread = append(cn.unread, p[:n]...)
		if len(p) < minRead {
			cn.more()
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		cn.leave()
	}
	return err
}

// minRead is the size below which a read is followed by a larger one: the read
// beside a handler is of one byte.
const minRead = 64

// more reads what has come behind the first byte; cn.mu is held. The rest of a
// request mostly came with that, so this does not wait for long.
func (cn *conn) more() {
	buf := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buf)
	// An error is found again by the next read.
	n, _ := cn.receive(buf[:])
	cn.unread = append(cn.unread, buf[:n]...)
}

const readSize = 4 << 10

var buffers = sync.Pool{New: func() any { return new([readSize]byte) }}

// begin runs the next requests that were read, as far as they are whole and may run
// ahead of their turn; cn.mu is held, but not while a branch is handed over.
//
// Each is begun once the handler of the one before it has been called: behind one
// that the server refuses as malformed, nothing is run.
func (cn *conn) begin() {
	for !cn.stuck && !cn.closed && len(cn.turns) > 0 && len(cn.unread) > 0 {
		var he head
		n, whole := he.end(cn.unread)
		if !whole {
			return
		}
		if cn.since.IsZero() {
			cn.since = time.Now()
		}
		if cn.entering || cn.phase == begun || cn.alone() {
			return
		}
		if cn.stuck = !cn.mayBegin(cn.unread[:n]); cn.stuck {
			return
		}
		br := newBranch(cn, cn.unread[:n:n])
		cn.turns = append(cn.turns, br)
		cn.entering = true
		cn.drop(n)
		cn.since = time.Time{}
		cn.mu.Unlock()
		taken := cn.handOver(br)
		cn.mu.Lock()
		if !taken {
			cn.takeBack(br)
			return
		}
	}
}

// alone reports whether the request that the server has on the connection itself lets
// nothing run beside it, because it may have an effect that what comes behind it
// must see, or because nothing behind it will be answered; cn.mu is held.
func (cn *conn) alone() bool {
	if len(cn.turns) == 0 || cn.turns[0] != nil {
		return false
	}
	return cn.own.request.Close || !cn.fr.MayRunEarly(cn.own.request)
}

func (cn *conn) handOver(br *branch) bool {
	select {
	case cn.fr.ahead <- br:
		return true
	case <-cn.fr.done:
		return false
	}
}

// takeBack lets the request of the newest branch, which the server did not take,
// wait for its turn; cn.mu is held.
func (cn *conn) takeBack(br *branch) {
	cn.turns = cn.turns[:len(cn.turns)-1]
	cn.unread = append(bytes.Clone(br.request), cn.unread...)
	cn.stuck, cn.since, cn.entering = true, br.arrived, false
}

// mayBegin reports whether a request may run before those before it are answered;
// cn.mu is held.
//
// One that may run once only must wait: were the connection to close behind an
// earlier answer, its caller would take it for not read and send it again.
func (cn *conn) mayBegin(text []byte) bool {
	if len(cn.turns) >= MostUnderWay {
		return false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
	if err != nil {
		// The server refuses it in its turn.
		return false
	}
	bare := r.ContentLength == 0 && len(r.TransferEncoding) == 0
	return bare && r.ProtoAtLeast(1, 1) && !r.Close && r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == "" && cn.fr.MayRunEarly(r)
}

// leave ends what runs ahead for the caller, which has gone; cn.mu is held. The
// server ends what it runs on the connection itself, by the error of its read.
func (cn *conn) leave() {
	cn.gone = true
	for _, br := range cn.turns {
		if br != nil {
			br.leave()
		}
	}
}
