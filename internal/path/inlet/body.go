package inlet

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/gone"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

const (
	// maxReadAhead is the size of the largest body that is read before its request waits for a slot:
	// that of the largest one that outlets send without being asked for it.
	maxReadAhead = 64 << 10
	// maxBodies bounds the bytes of all bodies that are read ahead. Beyond it, bodies stay unread
	// until their requests have a slot.
	maxBodies = 2 << 20
)

// watchOutlet returns the request with a context that ends when its outlet closes the connection, also
// while the request waits for a slot. If ahead is above 0, the caller must read that many bytes of body
// before any wait; net/http watches the connection from then on. The caller must call done.
func (in *Inlet) watchOutlet(r *http.Request) (watched *http.Request, ahead int64, done func()) {
	if r.ContentLength == 0 {
		return r, 0, func() {}
	}
	// An outlet that expects to be asked for the body can send it to another inlet until then.
	ahead = r.ContentLength
	if ahead > 0 && ahead <= maxReadAhead && r.Header.Get("Expect") == "" && in.bodies.TryAcquire(ahead) {
		return r, ahead, func() { in.bodies.Release(ahead) }
	}
	ctx, stop := gone.Watch(r)
	return r.WithContext(ctx), 0, stop
}

// readBody replaces the request's body by its size bytes, read until ctx ends.
func (in *Inlet) readBody(ctx context.Context, w http.ResponseWriter, r *http.Request, size int64) *result.Refusal {
	rc := http.NewResponseController(w)
	setDeadline := func(at time.Time) {
		if err := rc.SetReadDeadline(at); err != nil {
			in.Log.Debug(logs.SetDeadlineFailed, slog.Any("error", err))
		}
	}
	if at, ok := ctx.Deadline(); ok {
		setDeadline(at)
		defer setDeadline(time.Time{})
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		// What is left of the body must not be taken for another request.
		w.Header().Set("Connection", "close")
		rf := &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonCallerGone, Cause: err}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			rf.Reason = result.ReasonDeadlinePassed
		}
		return rf
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// notRun returns the refusal of a request whose context ended before it was sent to the backend
// server.
func notRun(ctx context.Context) *result.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonCallerGone}
	}
	return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonDeadlinePassed}
}
