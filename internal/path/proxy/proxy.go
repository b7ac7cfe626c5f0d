package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/dialer"
)

// The limits of a hop.
const (
	// idleTimeout is below that of servers, so that a kept connection is
	// closed from this side and no request meets one that the server closes.
	idleTimeout = 10 * time.Second
	// continueTimeout is how long a large body waits for the next hop's word.
	continueTimeout = time.Second
	maxAnswerHead   = 256 << 10
)

// Forwarder sends requests to next hops.
type Forwarder struct {
	tr   *http.Transport
	dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Options sets a forwarder; the zero value works.
type Options struct {
	// Dial opens a connection; nil stands for TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// MaxConns bounds the connections to one next hop; 0 for no bound.
	MaxConns int
	// MaxIdle bounds those that are kept; 0 stands for 128.
	MaxIdle int
	// IdleTimeout is for how long one is kept; 0 stands for 10 s.
	IdleTimeout time.Duration
}

// New returns a forwarder.
func New(op Options) *Forwarder {
	dial := op.Dial
	if dial == nil {
		dial = dialer.Dial
	}
	if op.MaxIdle == 0 {
		op.MaxIdle = 128
	}
	if op.IdleTimeout == 0 {
		op.IdleTimeout = idleTimeout
	}
	return &Forwarder{dial: dial, tr: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			nc, err := dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			return newConn(nc), nil
		},
		MaxConnsPerHost:        op.MaxConns,
		MaxIdleConnsPerHost:    op.MaxIdle,
		IdleConnTimeout:        op.IdleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxAnswerHead,
		DisableCompression:     true,
		ReadBufferSize:         4 << 10,
		WriteBufferSize:        4 << 10,
	}}
}

// Reachable reports whether a connection to addr can be made.
func (fw *Forwarder) Reachable(ctx context.Context, addr string) bool {
	nc, err := fw.dial(ctx, addr)
	if err != nil {
		return false
	}
	// It carried nothing, so there is nothing to lose.
	_ = nc.Close()
	return true
}

// Close ends the kept connections.
func (fw *Forwarder) Close() { fw.tr.CloseIdleConnections() }

// Attempt is a request that was sent, with its answer.
type Attempt struct {
	// Response is nil unless a head came.
	Response *http.Response
	Err      error
	// sent is whether any byte of the request may have left.
	sent   atomic.Bool
	mu     sync.Mutex
	cn     *conn
	before int64
}

// Body makes the body of a request, as the transport needs it: never nil and
// without GetBody. The transport sends again, on its own, what it takes for
// replayable when a kept connection dies: requests without a body that have a
// safe method, or any method and an Idempotency-Key. With a body of its own
// that it cannot make anew it leaves that to us, who know the rules.
func Body(r io.Reader) io.ReadCloser {
	if r == nil {
		return empty{}
	}
	if rc, ok := r.(io.ReadCloser); ok {
		return rc
	}
	return io.NopCloser(r)
}

type empty struct{}

func (empty) Read([]byte) (int, error) { return 0, io.EOF }
func (empty) Close() error             { return nil }

// Do sends a request once. The body must come from Body.
func (fw *Forwarder) Do(out *http.Request) *Attempt {
	at := &Attempt{}
	trace := &httptrace.ClientTrace{GotConn: at.gotConn}
	out = out.WithContext(httptrace.WithClientTrace(out.Context(), trace))
	at.Response, at.Err = fw.tr.RoundTrip(out)
	if cn, before := at.connection(); at.Response != nil && cn != nil && !cn.wrote(before) {
		// The transport took surplus bytes for the answer to a request that
		// was not written yet.
		cn.poison()
		_ = at.Response.Body.Close()
		at.Response, at.Err = nil, errSurplus
	}
	return at
}

func (at *Attempt) gotConn(info httptrace.GotConnInfo) {
	cn, ok := info.Conn.(*conn)
	if !ok {
		// Without our connection nothing proves that a request was not sent.
		at.sent.Store(true)
		return
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	at.cn = cn
	at.before = cn.begin()
}

func (at *Attempt) connection() (cn *conn, before int64) {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.cn, at.before
}

// Outcome tells how a failed attempt ended, and why. An attempt of which no
// byte was written has not run; any other may have.
func (at *Attempt) Outcome() (result.Outcome, result.Reason) {
	cn, before := at.connection()
	if cn == nil && !at.sent.Load() {
		return result.NotRun, result.ReasonNoConnection
	}
	if cn != nil && !cn.wrote(before) {
		return result.NotRun, result.ReasonConnectionBroken
	}
	return result.MayHaveRun, result.ReasonConnectionBroken
}

// Discard ends the connection of an attempt whose answer is not to be used, so
// that what is left of it cannot be taken for another one.
func (at *Attempt) Discard() {
	if cn, _ := at.connection(); cn != nil {
		cn.poison()
	}
	if at.Response != nil {
		// The connection is ended either way; there is nothing left to do about
		// an error.
		_ = at.Response.Body.Close()
	}
}

// MaxBody is the most bytes that the body of a request may have.
const MaxBody = 64 << 20

// Outgoing makes the request for the next hop at addr out of the one that came
// in: same method, host and target, headers cleaned, no body yet. The next hop
// is told, in the header timeout, what is left until the deadline of ctx.
func Outgoing(ctx context.Context, r *http.Request, addr, timeout string) *http.Request {
	hdr := Clone(r.Header)
	Clean(hdr)
	if _, ok := hdr["User-Agent"]; !ok {
		// The transport sets its own otherwise.
		hdr["User-Agent"] = nil
	}
	if at, ok := ctx.Deadline(); ok {
		hdr[timeout] = []string{strconv.FormatInt(max(1, time.Until(at).Milliseconds()), 10)}
	}
	u := *r.URL
	u.Scheme, u.Host = "http", addr
	out := &http.Request{Method: r.Method, URL: &u, Host: r.Host, Header: hdr, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	return out.WithContext(ctx)
}

// bufSize is how much of a body is in memory at once.
const bufSize = 16 << 10

var buffers = sync.Pool{New: func() any { return new([bufSize]byte) }}

// Pace says how an answer is sent; the zero value sends it as it comes.
type Pace struct {
	// Piece is how many bytes are sent at once, Wait waits until that many may be.
	Piece int
	Wait  func(n int) error
}

func (pc Pace) wait(n int) error {
	if pc.Wait == nil {
		return nil
	}
	return pc.Wait(n)
}

// Buffer reads the answer's body whole, if it has a length that is not above most.
// When it breaks off, the error is returned and the attempt's connection ends.
func (at *Attempt) Buffer(most int64) error {
	res := at.Response
	// An answer to HEAD has the length of a body that does not come.
	if res.ContentLength <= 0 || res.ContentLength > most || res.Body == http.NoBody {
		return nil
	}
	body := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, body); err != nil {
		at.Discard()
		return err
	}
	// It was read to its end; the connection is kept by then.
	_ = res.Body.Close()
	res.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// CopyError tells which side of a copy failed.
type CopyError struct {
	// ReadFailed is set when the answer broke off, unset when the caller did not
	// take it.
	ReadFailed bool
	Err        error
}

// Error names the side and the cause.
func (er *CopyError) Error() string {
	if er.ReadFailed {
		return "the answer broke off: " + er.Err.Error()
	}
	return "the caller did not take the answer: " + er.Err.Error()
}

// Unwrap returns the cause.
func (er *CopyError) Unwrap() error { return er.Err }

// Copy sends the answer's body and trailers to a caller, after its head was
// written. When it fails, the caller's connection must be ended without a
// proper end of the body (http.ErrAbortHandler does), for otherwise a broken
// answer without a length would look whole.
//
// The answer is sent in the pieces that pc says.
func Copy(w http.ResponseWriter, at *Attempt, pc Pace) error {
	res := at.Response
	whole := buffers.Get().(*[bufSize]byte)
	defer buffers.Put(whole)
	buf := whole[:]
	if pc.Wait != nil {
		buf = buf[:min(pc.Piece, bufSize)]
	}
	flush := func() error { return nil }
	if res.ContentLength < 0 {
		// Without a length this may be a stream, of which each part is due
		// when it comes.
		flush = http.NewResponseController(w).Flush
	}
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			if perr := pc.wait(n); perr != nil {
				return &CopyError{Err: perr}
			}
			if _, werr := w.Write(buf[:n]); werr != nil {
				return &CopyError{Err: werr}
			}
			if ferr := flush(); ferr != nil {
				return &CopyError{Err: ferr}
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return &CopyError{ReadFailed: true, Err: err}
		}
	}
	for name, values := range res.Trailer {
		if !result.IsControl(name) {
			w.Header()[http.TrailerPrefix+name] = values
		}
	}
	return nil
}

// CopyHeader sends the answer's status and headers to a caller; extra headers
// are added to it first.
func CopyHeader(w http.ResponseWriter, res *http.Response, extra func(http.Header)) {
	hdr := w.Header()
	Clean(res.Header)
	for name, values := range res.Header {
		hdr[name] = values
	}
	if extra != nil {
		extra(hdr)
	}
	w.WriteHeader(res.StatusCode)
}
