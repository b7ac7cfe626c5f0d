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

// maxBuffered is the size up to which a body of known length is kept in
// memory, so that a request which has not run can be sent elsewhere.
const maxBuffered = 64 << 10

// source is the body of a caller's request. A small one is read whole before
// the first attempt. A large one, or one without a length, is streamed: the
// next hop is asked first whether it takes the request (Expect: 100-continue,
// RFC 9110 section 10.1.1), so that a refusal comes before any of it is read.
type source struct {
	buffered []byte
	stream   *stream
	// broken is set when the body did not come whole.
	broken bool
}

// stream is a body that can be read once.
type stream struct {
	r       io.Reader
	started atomic.Bool
	over    atomic.Bool
}

// Read notes that the body was begun.
func (st *stream) Read(p []byte) (int, error) {
	st.started.Store(true)
	n, err := st.r.Read(p)
	var mb *http.MaxBytesError
	if errors.As(err, &mb) {
		st.over.Store(true)
	}
	return n, err
}

// fill reads a small body, as long as bodies has room for it.
func (so *source) fill(w http.ResponseWriter, r *http.Request, bodies *proxy.Budget) *result.Refusal {
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBuffered || !bodies.TryAcquire(r.ContentLength) {
		so.stream = &stream{r: http.MaxBytesReader(w, r.Body, proxy.MaxBody)}
		return nil
	}
	so.buffered = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, so.buffered); err != nil {
		so.broken = true
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
func (so *source) release(bodies *proxy.Budget) { bodies.Release(int64(len(so.buffered))) }

// attach gives the body to an attempt.
func (so *source) attach(out, r *http.Request) {
	switch {
	case so.stream != nil:
		out.ContentLength = r.ContentLength
		out.Body = proxy.Body(so.stream)
		out.Header["Expect"] = []string{"100-continue"}
		if r.ContentLength < 0 {
			out.TransferEncoding = []string{"chunked"}
		}
	case so.buffered != nil:
		out.ContentLength = int64(len(so.buffered))
		out.Body = proxy.Body(bytes.NewReader(so.buffered))
	default:
		out.Body = proxy.Body(nil)
	}
}

// lead returns the beginning of the body as package ident takes it, and reads as much of
// a stream for it; what was read is sent all the same. It reports whether it came whole.
func (so *source) lead() (lead []byte, whole bool) {
	if so.stream == nil {
		return so.buffered, true
	}
	lead, err := io.ReadAll(io.LimitReader(so.stream.r, ident.MaxPrefixBytes))
	so.stream.r = io.MultiReader(bytes.NewReader(lead), so.stream.r)
	return lead, err == nil
}

// replayable reports whether the body can be sent from its beginning.
func (so *source) replayable() bool { return so.stream == nil || !so.stream.started.Load() }

// streamed reports whether part of the body may not have been read.
func (so *source) streamed() bool { return so.stream != nil }

// tooLarge reports whether the body went beyond proxy.MaxBody.
func (so *source) tooLarge() bool { return so.stream != nil && so.stream.over.Load() }
