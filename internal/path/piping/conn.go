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

	"github.com/flamingomast/flamingomast/internal/path/gone"
)

// phase is what the net/http server reads next from a connection.
type phase int

const (
	// readingHead: the head of a request.
	readingHead phase = iota
	// headRead: nothing until the handler is called and the length of the body is known.
	headRead
	// readingBody: a body of known length.
	readingBody
	// awaitingResponse: nothing; the request was read completely and is not answered yet.
	awaitingResponse
	// passThrough: any bytes. Only net/http knows where a body without a Content-Length ends, so
	// no further request of the connection is run early.
	passThrough
)

// conn is a caller's connection. The net/http server serves a request on it directly if no other
// request of the connection is in progress. Of the others, those that may be retried are each
// passed to the server on a virtualConn, a connection for that request alone; the rest wait.
//
// The server's reads drive it. One read is pending at any time, either for the next request or,
// while a handler runs, to detect that the caller has disconnected. Bytes that arrive while a
// handler runs are buffered here and not returned, so the server never holds a byte of a request
// that it must not start yet.
type conn struct {
	net.Conn
	pl *Pipeliner

	mu      sync.Mutex
	changed *sync.Cond
	phase   phase
	// direct is the request that the server serves on the connection itself.
	direct exchange
	// unread was received from the caller and not yet returned to the server. blocked is set once
	// it begins with a request that must wait until those before it are answered. nextArrived is
	// when the head of that request was complete.
	unread      []byte
	blocked     bool
	nextArrived time.Time
	// pending are the requests that are not answered yet, in the order in which they were sent;
	// nil stands for the direct one.
	pending []*virtualConn
	// starting is set from the submission of the newest virtualConn until its handler is called.
	starting bool
	// readDeadline is the read deadline set by the server. interrupted is set while a read is
	// being ended early so that the state is checked again.
	readDeadline time.Time
	interrupted  bool
	// reading is set while a read of the caller's connection is pending.
	reading bool
	// pipelined is set once a pipelined request was received, callerGone once the caller has
	// disconnected, finishing after the last response, and closed once the connection is closed.
	pipelined, callerGone, finishing, closed bool
}

// exchange is a request and its response. It is replaced as a whole once the response is sent, so
// that none of its state carries over to the next request.
type exchange struct {
	head headScanner
	// request is nil until its handler is called. bodyLeft is how many bytes of its body were not
	// yet returned to the server.
	request  *http.Request
	bodyLeft int64
	// arrived is when the head was complete; the zero time where only net/http knows that.
	arrived time.Time
}

// NetConn returns the caller's connection.
func (cn *conn) NetConn() net.Conn { return cn.Conn }

func newConn(pl *Pipeliner, nc net.Conn) *conn {
	cn := &conn{Conn: nc, pl: pl}
	cn.changed = sync.NewCond(&cn.mu)
	return cn
}

// Read returns bytes of the request that the server is reading.
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

// readStep makes one step of a read, which may return no bytes. cn.mu is held.
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
	case cn.phase != headRead && len(cn.unread) >= maxUnread && gone.Closed(cn.Conn):
		cn.cancelEarly()
		return 0, io.EOF
	case cn.phase == headRead, len(cn.unread) >= maxUnread:
		// The server sets no deadline at this point but a past one, which ends the wait.
		if !cn.readDeadline.IsZero() && !cn.readDeadline.After(time.Now()) {
			return 0, os.ErrDeadlineExceeded
		}
		if cn.phase != headRead {
			// No byte is read that would show that the caller has disconnected.
			tm := time.AfterFunc(gone.CheckInterval, cn.changed.Broadcast)
			defer tm.Stop()
		}
		cn.changed.Wait()
		return 0, nil
	}
	return 0, cn.readAhead(p)
}

// consumeBody counts bytes of the body that were returned to the server. cn.mu is held.
func (cn *conn) consumeBody(n int64) {
	if cn.direct.bodyLeft -= n; cn.direct.bodyLeft <= 0 {
		cn.phase = awaitingResponse
	}
}

// forward returns the next bytes of the connection, buffered ones first. cn.mu is held.
func (cn *conn) forward(p []byte) (int, error) {
	if len(cn.unread) == 0 {
		return cn.readCaller(p)
	}
	n := copy(p, cn.unread)
	cn.discard(n)
	return n, nil
}

// discard removes bytes from unread that were returned to the server. cn.mu is held.
func (cn *conn) discard(n int) {
	if cn.unread = cn.unread[n:]; len(cn.unread) == 0 {
		cn.unread = nil
	}
	cn.blocked = false
}

// readCaller reads from the caller. cn.mu is held, but not during the read.
func (cn *conn) readCaller(p []byte) (int, error) {
	cn.reading = true
	cn.mu.Unlock()
	n, err := cn.Conn.Read(p)
	cn.mu.Lock()
	cn.reading = false
	if cn.interrupted {
		cn.interrupted = false
		// If the connection has failed, the next read returns the error.
		_ = cn.Conn.SetReadDeadline(cn.readDeadline)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && (cn.readDeadline.IsZero() || cn.readDeadline.After(time.Now())) {
			cn.reportIdle()
			return 0, nil
		}
	}
	return n, err
}

// interruptRead ends a pending read, so that it checks the state again. cn.mu is held.
func (cn *conn) interruptRead() {
	cn.changed.Broadcast()
	if cn.reading && !cn.interrupted {
		cn.interrupted = true
		_ = cn.Conn.SetReadDeadline(past)
	}
}

// past is a deadline that ends a pending read at once.
var past = time.Unix(1, 0)

// SetReadDeadline sets the deadline of the server's reads.
func (cn *conn) SetReadDeadline(t time.Time) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.readDeadline = t
	cn.changed.Broadcast()
	if cn.interrupted || cn.finishing {
		// readCaller sets it when the interrupted read returns; after finish it is not needed.
		return nil
	}
	return cn.Conn.SetReadDeadline(t)
}

// readHead returns bytes of the next request's head and none beyond it. cn.mu is held.
func (cn *conn) readHead(p []byte) (int, error) {
	n, err := cn.forward(p)
	if n == 0 {
		return 0, err
	}
	used, complete := cn.direct.head.scan(p[:n])
	if used < n {
		// These bytes precede any that are still in unread.
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

// setRequest records the request that the server passes to the handler.
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

// handlerCalled records that the handler of a virtualConn's request is called, and starts the
// requests behind it.
func (cn *conn) handlerCalled() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.starting = false
	cn.startEarly()
}

// setState handles the state that the server reports for the direct request.
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

// readAhead receives pipelined requests and starts those that may run early. cn.mu is held. It
// returns an error when the server must learn that the caller has disconnected or that its
// deadline has passed.
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

// minRead is the size below which a read is followed by a larger one: while a handler runs, the
// server reads a single byte.
const minRead = 64

// readMore reads what follows the first byte. cn.mu is held. The rest of a request usually
// arrives together with that byte, so this rarely waits long.
func (cn *conn) readMore() {
	buf := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buf)
	// The next read returns an error again.
	n, _ := cn.readCaller(buf[:])
	cn.unread = append(cn.unread, buf[:n]...)
}

const readSize = 4 << 10

var buffers = sync.Pool{New: func() any { return new([readSize]byte) }}

// startEarly starts the next requests in unread that are complete and may run early. cn.mu is
// held, but not while a virtualConn is submitted.
//
// Each is started only once the handler of the one before it has been called, because nothing may
// run behind a request that the server rejects as malformed.
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

// runsAlone reports whether no request may run concurrently with the direct one, either because
// it may have a side effect that later requests must observe, or because no request behind it
// will be answered. cn.mu is held.
func (cn *conn) runsAlone() bool {
	if len(cn.pending) == 0 || cn.pending[0] != nil {
		return false
	}
	return cn.direct.request.Close || !cn.pl.MayRunEarly(cn.direct.request)
}

func (cn *conn) submit(vc *virtualConn) bool {
	select {
	case cn.pl.early <- vc:
		return true
	case <-cn.pl.done:
		return false
	}
}

// requeue puts the request of the newest virtualConn back into unread, to wait until those before
// it are answered, because the server did not accept it. cn.mu is held.
func (cn *conn) requeue(vc *virtualConn) {
	cn.pending = cn.pending[:len(cn.pending)-1]
	cn.unread = append(bytes.Clone(vc.request), cn.unread...)
	cn.blocked, cn.nextArrived, cn.starting = true, vc.arrived, false
}

// mayRunEarly reports whether a request may run before those before it are answered. cn.mu is
// held.
//
// A request that must not run twice has to wait: if the connection closes after an earlier
// response, its caller assumes that the request was not read and sends it again.
func (cn *conn) mayRunEarly(head []byte) bool {
	if len(cn.pending) >= MaxConcurrent {
		return false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		// The server rejects it once those before it are answered.
		return false
	}
	noBody := r.ContentLength == 0 && len(r.TransferEncoding) == 0
	return noBody && r.ProtoAtLeast(1, 1) && !r.Close && r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == "" && cn.pl.MayRunEarly(r)
}

// cancelEarly cancels the requests that run early, because the caller has disconnected. cn.mu is
// held. The server cancels the direct request itself when its read returns an error.
func (cn *conn) cancelEarly() {
	cn.callerGone = true
	for _, vc := range cn.pending {
		if vc != nil {
			vc.cancelRead()
		}
	}
}
