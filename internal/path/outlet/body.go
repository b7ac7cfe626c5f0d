package outlet

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/flamingomast/flamingomast/internal/path/ident"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// maxBufferedBody is the size up to which a body of known length is kept in
// memory, so that a request which has not run can be sent elsewhere.
const maxBufferedBody = 64 << 10

// requestBody is the body of a caller's request. A small one is read whole before
// the first attempt. A large one, or one without a length, is streamed: the
// next hop is asked first whether it takes the request (Expect: 100-continue,
// RFC 9110 section 10.1.1), so that a refusal comes before any of it is read.
type requestBody struct {
	buffered []byte
	stream   *stream
	// incomplete is set when the body did not come whole.
	incomplete bool
}

// stream is a body that can be read once.
type stream struct {
	r        io.Reader
	started  atomic.Bool
	exceeded atomic.Bool
}

// Read notes that the body was begun.
func (st *stream) Read(p []byte) (int, error) {
	st.started.Store(true)
	n, err := st.r.Read(p)
	var mb *http.MaxBytesError
	if errors.As(err, &mb) {
		st.exceeded.Store(true)
	}
	return n, err
}

// read reads a small body, as long as bodies has room for it.
func (rb *requestBody) read(w http.ResponseWriter, r *http.Request, bodies *proxy.Bound) *result.Refusal {
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody || !bodies.Take(r.ContentLength) {
		rb.stream = &stream{r: http.MaxBytesReader(w, r.Body, proxy.MaxBody)}
		return nil
	}
	rb.buffered = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, rb.buffered); err != nil {
		rb.incomplete = true
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonSlowBody, Detail: "the body did not come in time"}
		}
		return &result.Refusal{
			Outcome: result.NotRun, Reason: result.ReasonBadRequest, Detail: "the body broke off before its declared length",
		}
	}
	return nil
}

// release gives back what the body took.
func (rb *requestBody) release(bodies *proxy.Bound) { bodies.Give(int64(len(rb.buffered))) }

// attach gives the body to an attempt.
func (rb *requestBody) attach(out, r *http.Request) {
	switch {
	case rb.stream != nil:
		out.ContentLength = r.ContentLength
		out.Body = proxy.Body(rb.stream)
		out.Header["Expect"] = []string{"100-continue"}
		if r.ContentLength < 0 {
			out.TransferEncoding = []string{"chunked"}
		}
	case rb.buffered != nil:
		out.ContentLength = int64(len(rb.buffered))
		out.Body = proxy.Body(bytes.NewReader(rb.buffered))
	default:
		out.Body = proxy.Body(nil)
	}
}

// prefix returns the beginning of the body as package ident takes it, and reads as much of
// a stream for it; what was read is sent all the same. It reports whether it came whole.
func (rb *requestBody) prefix() (prefix []byte, complete bool) {
	if rb.stream == nil {
		return rb.buffered, true
	}
	prefix, err := io.ReadAll(io.LimitReader(rb.stream.r, ident.LeadBytes))
	rb.stream.r = io.MultiReader(bytes.NewReader(prefix), rb.stream.r)
	return prefix, err == nil
}

// replayable reports whether the body can be sent from its beginning.
func (rb *requestBody) replayable() bool { return rb.stream == nil || !rb.stream.started.Load() }

// streamed reports whether part of the body may not have been read.
func (rb *requestBody) streamed() bool { return rb.stream != nil }

// exceeded reports whether the body went beyond proxy.MaxBody.
func (rb *requestBody) tooLarge() bool { return rb.stream != nil && rb.stream.exceeded.Load() }
