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
	"github.com/flamingomast/flamingomast/internal/plat/intact"
)

// Limits of a hop.
const (
	// idleTimeout is shorter than that of servers, so that idle connections are closed from this
	// side and no request is written to one that the server is closing.
	idleTimeout = 10 * time.Second
	// continueTimeout is how long a request with Expect: 100-continue waits for a response before
	// its body is sent. Inlets always respond, and read the body only once they have a slot; the
	// context of a request ends the wait long before.
	continueTimeout = time.Hour
	// maxResponseHeader is larger than what package intact accepts, whose errors are clearer.
	maxResponseHeader = 2 * intact.MaxHead
)

// Forwarder sends requests to next hops.
type Forwarder struct {
	tr   *http.Transport
	dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Options configures a Forwarder. The zero value is usable.
type Options struct {
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// MaxConns bounds the connections to one next hop; 0 means no bound.
	MaxConns int
	// MaxIdle bounds the idle connections that are kept; 0 means 128.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept; 0 means 10 s.
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
		MaxResponseHeaderBytes: maxResponseHeader,
		DisableCompression:     true,
		ReadBufferSize:         4 << 10,
		WriteBufferSize:        4 << 10,
	}}
}

// Reachable reports whether a connection to addr can be opened.
func (fw *Forwarder) Reachable(ctx context.Context, addr string) bool {
	nc, err := fw.dial(ctx, addr)
	if err != nil {
		return false
	}
	// No data was sent, so an error loses nothing.
	_ = nc.Close()
	return true
}

// Close closes the idle connections.
func (fw *Forwarder) Close() { fw.tr.CloseIdleConnections() }

// Attempt is a request that was sent once, with its response.
type Attempt struct {
	// Response is nil unless a response header was received.
	Response *http.Response
	Err      error
	// sent is set if some of the request may have been sent on a connection that does not count its
	// bytes.
	sent          atomic.Bool
	mu            sync.Mutex
	cn            *conn
	writtenBefore int64
}

// Body returns the body for a request as the transport needs it: never nil and without GetBody.
// When a keep-alive connection breaks, the transport itself resends requests that it considers
// replayable: those without a body that have a safe method, or any method and an Idempotency-Key. A
// body that it cannot recreate leaves that decision to this system.
func Body(r io.Reader) io.ReadCloser {
	if r == nil {
		return emptyBody{}
	}
	if rc, ok := r.(io.ReadCloser); ok {
		return rc
	}
	return io.NopCloser(r)
}

type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// Do sends a request once. Its body must come from Body.
func (fw *Forwarder) Do(out *http.Request) *Attempt {
	at := &Attempt{}
	trace := &httptrace.ClientTrace{GotConn: at.gotConn}
	out = out.WithContext(httptrace.WithClientTrace(out.Context(), trace))
	at.Response, at.Err = fw.tr.RoundTrip(out)
	if cn, writtenBefore := at.connection(); at.Response != nil && cn != nil && !cn.wrote(writtenBefore) {
		// The transport took surplus bytes for the response to a request that was not written yet.
		cn.abort()
		_ = at.Response.Body.Close()
		at.Response, at.Err = nil, errConnUnusable
	} else if at.Response == nil && cn != nil && cn.Refusal() != nil {
		at.Err = cn.Refusal()
	}
	return at
}

func (at *Attempt) gotConn(info httptrace.GotConnInfo) {
	cn, ok := info.Conn.(*conn)
	if !ok {
		// Without a conn nothing proves that the request was not sent.
		at.sent.Store(true)
		return
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	at.cn = cn
	at.writtenBefore = cn.begin()
}

func (at *Attempt) connection() (cn *conn, writtenBefore int64) {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.cn, at.writtenBefore
}

// Outcome returns how a failed attempt ended, and why. An attempt of which no byte was written has
// not run; any other may have.
func (at *Attempt) Outcome() (result.Outcome, result.Reason) {
	cn, writtenBefore := at.connection()
	if cn == nil && !at.sent.Load() {
		return result.NotRun, result.ReasonNoConnection
	}
	if cn != nil && !cn.wrote(writtenBefore) {
		return result.NotRun, result.ReasonConnectionBroken
	}
	var er *intact.Error
	if errors.As(at.Err, &er) && er.Kind == intact.Malformed || cn != nil && cn.HeadRead() {
		// A whole head without a response is one that the transport has refused.
		return result.MayHaveRun, result.ReasonMalformed
	}
	return result.MayHaveRun, result.ReasonConnectionBroken
}

// readFailure returns why reading the body of the response failed with err.
func (at *Attempt) readFailure(err error) result.Reason {
	var er *intact.Error
	if errors.As(err, &er) && er.Kind == intact.Malformed {
		return result.ReasonMalformed
	}
	if cn, _ := at.connection(); cn != nil && !cn.Ended() {
		// The transport has refused what it read.
		return result.ReasonMalformed
	}
	return result.ReasonConnectionBroken
}

// Reused reports whether the next hop had answered an earlier request on the attempt's connection.
func (at *Attempt) Reused() bool {
	_, writtenBefore := at.connection()
	return writtenBefore > 0
}

// Discard closes the connection of an attempt whose response is not used, so that the rest of it
// cannot be taken for another response.
func (at *Attempt) Discard() {
	if cn, _ := at.connection(); cn != nil {
		cn.abort()
	}
	if at.Response != nil {
		// The connection is aborted anyway, so the error does not matter.
		_ = at.Response.Body.Close()
	}
}

// MaxBody is the maximum size of a request body in bytes.
const MaxBody = 64 << 20

// Outgoing returns the request to the next hop at addr for the incoming request r: same method,
// host and target, sanitized headers, no body yet. The header named by timeout carries the
// milliseconds left until the deadline of ctx.
func Outgoing(ctx context.Context, r *http.Request, addr, timeout string) *http.Request {
	hdr := ShallowClone(r.Header)
	SanitizeHeader(hdr)
	if _, ok := hdr["User-Agent"]; !ok {
		// Keeps the transport from adding its own.
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

// copyBufSize is how much of a body Copy holds in memory.
const copyBufSize = 16 << 10

var copyBufs = sync.Pool{New: func() any { return new([copyBufSize]byte) }}

// Pace controls the rate at which a response is sent. The zero value does not limit it.
type Pace struct {
	// ChunkSize is how many bytes are sent at once; Wait blocks until n bytes may be sent.
	ChunkSize int
	Wait      func(n int) error
}

func (pc Pace) wait(n int) error {
	if pc.Wait == nil {
		return nil
	}
	return pc.Wait(n)
}

// Buffer reads the whole response body into memory if its length is known and at most limit. If the
// body is truncated, Buffer returns the error and closes the attempt's connection.
func (at *Attempt) Buffer(limit int64) error {
	res := at.Response
	// The response to a HEAD request has the length of a body that is not sent.
	if res.ContentLength <= 0 || res.ContentLength > limit || res.Body == http.NoBody {
		return nil
	}
	body := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, body); err != nil {
		at.Discard()
		return err
	}
	// The body was read to its end, so the transport has already kept the connection.
	_ = res.Body.Close()
	res.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// CopyError tells which side of a copy failed.
type CopyError struct {
	// ReadFailed is set if reading the response failed, and unset if writing it to the caller did.
	ReadFailed bool
	// Reason says what is wrong with the response or the connection.
	Reason result.Reason
	Err    error
}

// Error returns the failed side and the cause.
func (er *CopyError) Error() string {
	if er.ReadFailed {
		return "reading response: " + er.Err.Error()
	}
	return "writing response to caller: " + er.Err.Error()
}

// Unwrap returns the cause.
func (er *CopyError) Unwrap() error { return er.Err }

// Copy sends the response's body and trailers to a caller, after its header was sent, at the rate
// that pc sets. If it fails, with a *CopyError, the caller's connection must be closed without a
// proper end of the body, for example with http.ErrAbortHandler; otherwise a truncated response
// without a length would look complete.
func Copy(w http.ResponseWriter, at *Attempt, pc Pace) error {
	res := at.Response
	array := copyBufs.Get().(*[copyBufSize]byte)
	defer copyBufs.Put(array)
	buf := array[:]
	if pc.Wait != nil {
		buf = buf[:min(pc.ChunkSize, copyBufSize)]
	}
	flush := func() error { return nil }
	if res.ContentLength < 0 {
		// A response without a length may be a stream, so each part is forwarded as soon as it
		// arrives.
		flush = http.NewResponseController(w).Flush
	}
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			if perr := pc.wait(n); perr != nil {
				return &CopyError{Reason: result.ReasonConnectionBroken, Err: perr}
			}
			if _, werr := w.Write(buf[:n]); werr != nil {
				return &CopyError{Reason: result.ReasonConnectionBroken, Err: werr}
			}
			if ferr := flush(); ferr != nil {
				return &CopyError{Reason: result.ReasonConnectionBroken, Err: ferr}
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return &CopyError{ReadFailed: true, Reason: at.readFailure(err), Err: err}
		}
	}
	if err := intact.CheckTrailer(res.Trailer); err != nil {
		return &CopyError{ReadFailed: true, Reason: at.readFailure(err), Err: err}
	}
	for name, values := range res.Trailer {
		if !result.IsControl(name) {
			w.Header()[http.TrailerPrefix+name] = values
		}
	}
	return nil
}

// CopyHeader sends the response's status and header to a caller; extra may add headers first.
func CopyHeader(w http.ResponseWriter, res *http.Response, extra func(http.Header)) {
	hdr := w.Header()
	SanitizeHeader(res.Header)
	for name, values := range res.Header {
		hdr[name] = values
	}
	if extra != nil {
		extra(hdr)
	}
	w.WriteHeader(res.StatusCode)
}
