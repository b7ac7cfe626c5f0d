package stall

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// MinSendRate is the rate in bytes a second at which a request body is taken to be sent at least.
// What the system has taken into its buffers may still be on its way.
const MinSendRate = 64 << 10

// Client makes calls by HTTP.
type Client struct {
	// HTTP makes a call, as http.Client.Do does.
	HTTP func(*http.Request) (*http.Response, error)
	// Timeout bounds the time to the head of the answer, besides that for sending the
	// request, and then the time between any two pieces of the answer.
	Timeout time.Duration
	// OnReceive, if set, is called after each piece of an answer.
	OnReceive func()
}

type headKey struct{}

// WithHeadTimeout returns a context whose calls have another time to the head of the answer
// than the client's, as those in which the server waits before it answers.
func WithHeadTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, headKey{}, timeout)
}

// errStalled ends a call in which nothing moved for too long.
var errStalled = &Error{}

// Error says that a call was given up since nothing moved.
type Error struct{}

// Error returns the error in words.
func (er *Error) Error() string { return "stall: nothing was received for too long" }

// Is reports whether the error is a passed deadline.
func (er *Error) Is(target error) bool {
	return target == context.DeadlineExceeded || target == os.ErrDeadlineExceeded
}

// Do makes a call. The caller closes the body of the answer.
func (cl *Client) Do(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	head, ok := ctx.Value(headKey{}).(time.Duration)
	if !ok {
		head = cl.Timeout
	}
	sending := time.Duration(max(0, req.ContentLength)) * time.Second / MinSendRate
	timer := time.AfterFunc(head+sending, func() { cancel(errStalled) })
	res, err := cl.HTTP(req.WithContext(ctx))
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, cause(ctx, err)
	}
	timer.Stop()
	res.Body = &body{ReadCloser: res.Body, ctx: ctx, cancel: cancel, timer: timer, client: cl}
	return res, nil
}

// cause returns the error of a call, which is that of the stall where one ended it.
func cause(ctx context.Context, err error) error {
	if stalled := context.Cause(ctx); errors.Is(stalled, errStalled) && !errors.Is(err, errStalled) {
		return errors.Join(stalled, err)
	}
	return err
}

// body is the body of an answer, whose call ends when it stalls.
type body struct {
	io.ReadCloser
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	client *Client
}

// Read reads a piece. The time that the reader takes between two pieces does not count.
func (bo *body) Read(p []byte) (int, error) {
	bo.timer.Reset(bo.client.Timeout)
	n, err := bo.ReadCloser.Read(p)
	bo.timer.Stop()
	if n > 0 && bo.client.OnReceive != nil {
		bo.client.OnReceive()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = cause(bo.ctx, err)
	}
	return n, err
}

// Close ends the call.
func (bo *body) Close() error {
	bo.timer.Stop()
	err := bo.ReadCloser.Close()
	bo.cancel(nil)
	return err
}
