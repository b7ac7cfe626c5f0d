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
	// readingHead: the head of a request.
	readingHead phase = iota
	// headRead: nothing until the handler has told how the body goes.
	headRead
	// readingBody: a body of known length.
	readingBody
	// awaitingResponse: nothing; the request is whole and not answered yet.
	awaitingResponse
	// passThrough: whatever comes. The end of a body without a length is known to the
	// library alone, so nothing is run ahead on the connection any more.
	passThrough
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
	pl *Front

	mu      sync.Mutex
	changed *sync.Cond
	phase   phase
	// direct is the request that the server has on the connection itself.
	direct exchange
	// unread was read from the caller and not handed on; stuck is set once it
	// begins with a request that waits for its turn.
	unread      []byte
	blocked     bool
	nextArrived time.Time
	// pending are the requests that are not answered yet, in the order in which they
	// were sent; nil stands for the one that the server has on this connection.
	pending []*virtualConn
	// starting is set while the newest branch was handed over and its handler has
	// not been called.
	starting bool
	// readDeadline is the read deadline that the server asked for; woken says that a read
	// was ended to look again.
	readDeadline time.Time
	interrupted  bool
	// reading is set while a read of the caller's connection waits.
	reading bool
	// pipelined is set once anything was sent ahead, gone once the caller has left,
	// ending behind the last answer, and closed at the end.
	pipelined, callerGone, finishing, closed bool
}

// exchange is a request and its answer. It is replaced as a whole once the answer is sent,
// so that nothing of it is taken for a part of the next one.
type exchange struct {
	head headScanner
	// request is nil until its handler is called, left how many bytes of its body were
	// not handed on.
	request  *http.Request
	bodyLeft int64
	// arrived is when the head was whole, the zero time where only the library knows.
	arrived time.Time
}

func newConn(pl *Front, nc net.Conn) *conn {
	cn := &conn{Conn: nc, pl: pl}
	cn.changed = sync.NewCond(&cn.mu)
	return cn
}

// Read hands on what belongs to the request that the server reads.
func (cn *conn) Read(p []byte) (int, error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	for {
		n, err := cn.readStep(p)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// readResponses takes one step, which may bring nothing; cn.mu is held.
func (cn *conn) readStep(p []byte) (int, error) {
	switch {
	case cn.closed:
		return 0, net.ErrClosed
	case cn.finishing:
		return 0, io.EOF
	case cn.phase == passThrough:
		return cn.forward(p)
	case cn.phase == readingBody:
		n, err := cn.forward(p[:min(int64(len(p)), cn.direct.bodyLeft)])
		cn.consumeBody(int64(n))
		return n, err
	case cn.phase == readingHead && len(cn.pending) == 0:
		return cn.readHead(p)
	case cn.phase == headRead, len(cn.unread) >= maxUnread:
		// The only deadline that is set now is one in the past, which ends the wait.
		if !cn.readDeadline.IsZero() && !cn.readDeadline.After(time.Now()) {
			return 0, os.ErrDeadlineExceeded
		}
		cn.changed.Wait()
		return 0, nil
	}
	return 0, cn.readAhead(p)
}

// consumeBody counts bytes of the body that were handed on; cn.mu is held.
func (cn *conn) consumeBody(n int64) {
	if cn.direct.bodyLeft -= n; cn.direct.bodyLeft <= 0 {
		cn.phase = awaitingResponse
	}
}

// forward hands on what comes next, what was read before first; cn.mu is held.
func (cn *conn) forward(p []byte) (int, error) {
	if len(cn.unread) == 0 {
		return cn.readCaller(p)
	}
	n := copy(p, cn.unread)
	cn.discard(n)
	return n, nil
}

// discard forgets bytes that were handed on; cn.mu is held.
func (cn *conn) discard(n int) {
	if cn.unread = cn.unread[n:]; len(cn.unread) == 0 {
		cn.unread = nil
	}
	cn.blocked = false
}

// readCaller reads from the caller; cn.mu is held, but not while the read waits.
func (cn *conn) readCaller(p []byte) (int, error) {
	cn.reading = true
	cn.mu.Unlock()
	n, err := cn.Conn.Read(p)
	cn.mu.Lock()
	cn.reading = false
	if cn.interrupted {
		cn.interrupted = false
		// A connection that has failed says so at the next read.
		_ = cn.Conn.SetReadDeadline(cn.readDeadline)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && (cn.readDeadline.IsZero() || cn.readDeadline.After(time.Now())) {
			cn.reportIdle()
			return 0, nil
		}
	}
	return n, err
}

// interruptRead ends a read that waits, so that it looks again; cn.mu is held.
func (cn *conn) interruptRead() {
	cn.changed.Broadcast()
	if cn.reading && !cn.interrupted {
		cn.interrupted = true
		_ = cn.Conn.SetReadDeadline(past)
	}
}

// past is a deadline that ends a read that waits at once.
var past = time.Unix(1, 0)

// SetReadDeadline sets the deadline of the server's reads.
func (cn *conn) SetReadDeadline(t time.Time) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.readDeadline = t
	cn.changed.Broadcast()
	if cn.interrupted || cn.finishing {
		// It is set once the read has ended, or not wanted any more.
		return nil
	}
	return cn.Conn.SetReadDeadline(t)
}

// readHead hands on bytes of the next request's head and none beyond it; cn.mu is
// held.
func (cn *conn) readHead(p []byte) (int, error) {
	n, err := cn.forward(p)
	if n == 0 {
		return 0, err
	}
	used, complete := cn.direct.head.scan(p[:n])
	if used < n {
		// Before what was read earlier and not handed on.
		cn.unread = append(bytes.Clone(p[used:n]), cn.unread...)
	}
	if !complete {
		return used, nil
	}
	cn.phase, cn.pending = headRead, append(cn.pending, nil)
	if cn.direct.head.isHTTP2() {
		cn.phase = passThrough
		return used, nil
	}
	cn.direct.arrived = time.Now()
	if !cn.nextArrived.IsZero() {
		cn.direct.arrived, cn.nextArrived = cn.nextArrived, time.Time{}
	}
	return used, nil
}

// setRequest takes the request that the server has and calls the handler for.
func (cn *conn) setRequest(r *http.Request) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.phase != headRead {
		return
	}
	cn.direct.request = r
	switch {
	case r.ContentLength < 0:
		cn.phase = passThrough
	case r.ContentLength == 0:
		cn.phase = awaitingResponse
	default:
		cn.phase, cn.direct.bodyLeft = readingBody, r.ContentLength
	}
	cn.changed.Broadcast()
}

// handlerCalled takes note that the handler is called for the request of a branch, and
// begins what comes behind it.
func (cn *conn) handlerCalled() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.starting = false
	cn.startEarly()
}

// setState takes what the server says of its own part of the connection.
func (cn *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		cn.pl.OnConnState(cn.Conn, state)
	case http.StateIdle:
		cn.mu.Lock()
		defer cn.mu.Unlock()
		cn.direct = exchange{}
		if cn.phase == passThrough {
			cn.pending = cn.pending[:0]
			cn.pl.OnConnState(cn.Conn, state)
			return
		}
		cn.phase = readingHead
		cn.responseDone(nil, false)
	}
}

// readAhead reads what the caller sends before it has its answers, and begins what
// may run ahead; cn.mu is held. It returns an error when the server must learn that
// the caller has gone or that its deadline has passed.
func (cn *conn) readAhead(p []byte) error {
	if len(cn.unread) > 0 {
		cn.pipelined = true
		cn.startEarly()
	}
	n, err := cn.readCaller(p)
	if n > 0 {
		cn.unread = append(cn.unread, p[:n]...)
		if len(p) < minRead {
			cn.readMore()
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		cn.cancelEarly()
	}
	return err
}

// minRead is the size below which a read is followed by a larger one: the read
// beside a handler is of one byte.
const minRead = 64

// readMore reads what has come behind the first byte; cn.mu is held. The rest of a
// request mostly came with that, so this does not wait for long.
func (cn *conn) readMore() {
	buf := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buf)
	// An error is found again by the next read.
	n, _ := cn.readCaller(buf[:])
	cn.unread = append(cn.unread, buf[:n]...)
}

const readSize = 4 << 10

var buffers = sync.Pool{New: func() any { return new([readSize]byte) }}

// startEarly runs the next requests that were read, as far as they are whole and may run
// ahead of their turn; cn.mu is held, but not while a branch is handed over.
//
// Each is begun once the handler of the one before it has been called: behind one
// that the server refuses as malformed, nothing is run.
func (cn *conn) startEarly() {
	for !cn.blocked && !cn.closed && len(cn.pending) > 0 && len(cn.unread) > 0 {
		var hs headScanner
		n, complete := hs.scan(cn.unread)
		if !complete {
			return
		}
		if cn.nextArrived.IsZero() {
			cn.nextArrived = time.Now()
		}
		if cn.starting || cn.phase == headRead || cn.runsAlone() {
			return
		}
		if cn.blocked = !cn.mayRunEarly(cn.unread[:n]); cn.blocked {
			return
		}
		vc := newVirtualConn(cn, cn.unread[:n:n])
		cn.pending = append(cn.pending, vc)
		cn.starting = true
		cn.discard(n)
		cn.nextArrived = time.Time{}
		cn.mu.Unlock()
		accepted := cn.submit(vc)
		cn.mu.Lock()
		if !accepted {
			cn.requeue(vc)
			return
		}
	}
}

// runsAlone reports whether the request that the server has on the connection itself lets
// nothing run beside it, because it may have an effect that what comes behind it
// must see, or because nothing behind it will be answered; cn.mu is held.
func (cn *conn) runsAlone() bool {
	if len(cn.pending) == 0 || cn.pending[0] != nil {
		return false
	}
	return cn.direct.request.Close || !cn.pl.Ahead(cn.direct.request)
}

func (cn *conn) submit(vc *virtualConn) bool {
	select {
	case cn.pl.early <- vc:
		return true
	case <-cn.pl.done:
		return false
	}
}

// requeue lets the request of the newest branch, which the server did not take,
// wait for its turn; cn.mu is held.
func (cn *conn) requeue(vc *virtualConn) {
	cn.pending = cn.pending[:len(cn.pending)-1]
	cn.unread = append(bytes.Clone(vc.request), cn.unread...)
	cn.blocked, cn.nextArrived, cn.starting = true, vc.arrived, false
}

// mayRunEarly reports whether a request may run before those before it are answered;
// cn.mu is held.
//
// One that may run once only must wait: were the connection to close behind an
// earlier answer, its caller would take it for not read and send it again.
func (cn *conn) mayRunEarly(head []byte) bool {
	if len(cn.pending) >= MaxConcurrent {
		return false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		// The server refuses it in its turn.
		return false
	}
	noBody := r.ContentLength == 0 && len(r.TransferEncoding) == 0
	return noBody && r.ProtoAtLeast(1, 1) && !r.Close && r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == "" && cn.pl.Ahead(r)
}

// cancelRead ends what runs ahead for the caller, which has gone; cn.mu is held. The
// server ends what it runs on the connection itself, by the error of its read.
func (cn *conn) cancelEarly() {
	cn.callerGone = true
	for _, vc := range cn.pending {
		if vc != nil {
			vc.cancelRead()
		}
	}
}
