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

// maxBufferedBody is the size in bytes up to which a body of known length is kept in memory, so
// that a request that has not run can be sent to another server.
const maxBufferedBody = 64 << 10

// requestBody is the body of a caller's request. A small one is read completely before the first
// attempt. A large one, or one of unknown length, is streamed with Expect: 100-continue (RFC 9110
// section 10.1.1): the next hop can refuse the request before any of the body is read.
type requestBody struct {
	buffered []byte
	stream   *stream
	// incomplete is set when the body could not be read to its end.
	incomplete bool
}

// stream is a body that can be read only once.
type stream struct {
	r        io.Reader
	started  atomic.Bool
	exceeded atomic.Bool
}

// Read reads from the body and records that reading has started.
func (st *stream) Read(p []byte) (int, error) {
	st.started.Store(true)
	n, err := st.r.Read(p)
	var mb *http.MaxBytesError
	if errors.As(err, &mb) {
		st.exceeded.Store(true)
	}
	return n, err
}

// read buffers a small body if bodies has enough left; any other body is streamed.
func (rb *requestBody) read(w http.ResponseWriter, r *http.Request, bodies *proxy.Budget) *result.Refusal {
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody || !bodies.TryAcquire(r.ContentLength) {
		rb.stream = &stream{r: http.MaxBytesReader(w, r.Body, proxy.MaxBody)}
		return nil
	}
	rb.buffered = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, rb.buffered); err != nil {
		rb.incomplete = true
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonSlowBody, Detail: "the request body did not arrive before the deadline"}
		}
		return &result.Refusal{
			Outcome: result.NotRun, Reason: result.ReasonBadRequest, Detail: "the request body ended before its declared length",
		}
	}
	return nil
}

// release returns the buffered bytes to bodies.
func (rb *requestBody) release(bodies *proxy.Budget) { bodies.Release(int64(len(rb.buffered))) }

// attach sets the body of an attempt.
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

// prefix returns the beginning of the body, from which package ident derives the key of the
// request. Of a stream it reads as many bytes as that takes, and they are still sent. It reports
// whether they could be read without an error.
func (rb *requestBody) prefix() (prefix []byte, complete bool) {
	if rb.stream == nil {
		return rb.buffered, true
	}
	prefix, err := io.ReadAll(io.LimitReader(rb.stream.r, ident.MaxPrefixBytes))
	rb.stream.r = io.MultiReader(bytes.NewReader(prefix), rb.stream.r)
	return prefix, err == nil
}

// replayable reports whether the body can still be sent from its beginning.
func (rb *requestBody) replayable() bool { return rb.stream == nil || !rb.stream.started.Load() }

// streamed reports whether part of the body may be unread.
func (rb *requestBody) streamed() bool { return rb.stream != nil }

// tooLarge reports whether a streamed body exceeded proxy.MaxBody.
func (rb *requestBody) tooLarge() bool { return rb.stream != nil && rb.stream.exceeded.Load() }
