package stall

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// MinSendRate is the lowest rate, in bytes per second, at which request bodies are assumed to
// be sent. The time to send a body is estimated from its size, since data that was written may
// still be in the socket buffers of the operating system.
const MinSendRate = 64 << 10

// MinReceiveRate is the lowest rate, in bytes per second, at which the body of a response may arrive in
// the long run. A body of which some bytes arrive now and then would otherwise never end.
const MinReceiveRate = 8 << 10

// maxStalls is how many times Client.Timeout a body may take beyond the time that its size takes at
// MinReceiveRate.
const maxStalls = 10

// Client makes HTTP calls with stall detection.
type Client struct {
	// HTTP makes a call like http.Client.Do.
	HTTP func(*http.Request) (*http.Response, error)
	// Timeout bounds the time to the response headers, not counting the time to send the
	// request, and then the duration of each read of the response body. All reads together may take
	// ten times as long, and the time that the body takes at MinReceiveRate.
	Timeout time.Duration
	// MaxBody bounds the size of a response body in bytes; 0 means no bound.
	MaxBody int64
	// OnReceive, if set, is called after each read that returns part of a response body.
	OnReceive func()
}

type headTimeoutKey struct{}

// WithHeadTimeout returns a context whose calls use timeout instead of Client.Timeout for the
// response headers. It is meant for calls such as watches, where the server waits before it
// responds.
func WithHeadTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, headTimeoutKey{}, timeout)
}

// errStalled is the cancel cause of a call that timed out.
var errStalled = &Error{}

// SizeError is the error of a call whose response body is larger than allowed.
type SizeError struct {
	// MaxBody is the bound in bytes.
	MaxBody int64
}

// Error returns the error message.
func (er *SizeError) Error() string {
	return fmt.Sprintf("stall: the response body exceeds %d bytes", er.MaxBody)
}

// Error is the error of a call that was cancelled because it made no progress.
type Error struct{}

// Error returns the error message.
func (er *Error) Error() string { return "stall: no response data received within the timeout" }

// Is makes errors.Is match the deadline errors of packages context and os.
func (er *Error) Is(target error) bool {
	return target == context.DeadlineExceeded || target == os.ErrDeadlineExceeded
}

// Do makes a call. The caller must close the response body.
func (cl *Client) Do(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	headTimeout, ok := ctx.Value(headTimeoutKey{}).(time.Duration)
	if !ok {
		headTimeout = cl.Timeout
	}
	sendTime := time.Duration(max(0, req.ContentLength)) * time.Second / MinSendRate
	timer := time.AfterFunc(headTimeout+sendTime, func() { cancel(errStalled) })
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

// cause returns err, joined with the stall error if a stall cancelled the call.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); errors.Is(reason, errStalled) && !errors.Is(err, errStalled) {
		return errors.Join(reason, err)
	}
	return err
}

// body is a response body that cancels its call when a read stalls.
type body struct {
	io.ReadCloser
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	client *Client
	// received is how many bytes were read, and reading the time that their reads took.
	received int64
	reading  time.Duration
}

// timeLeft returns how long the next read may take.
func (bo *body) timeLeft() time.Duration {
	most := maxStalls*bo.client.Timeout + time.Duration(bo.received)*time.Second/MinReceiveRate
	return min(bo.client.Timeout, most-bo.reading)
}

// Read reads from the body. Only time spent within Read counts, so a slow caller does not
// cause a timeout.
func (bo *body) Read(p []byte) (int, error) {
	began := time.Now()
	bo.timer.Reset(bo.timeLeft())
	n, err := bo.ReadCloser.Read(p)
	bo.timer.Stop()
	bo.reading += time.Since(began)
	if bo.received += int64(n); bo.client.MaxBody > 0 && bo.received > bo.client.MaxBody {
		er := &SizeError{MaxBody: bo.client.MaxBody}
		bo.cancel(er)
		return 0, er
	}
	if n > 0 && bo.client.OnReceive != nil {
		bo.client.OnReceive()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = cause(bo.ctx, err)
	}
	return n, err
}

// Close closes the body and ends the call.
func (bo *body) Close() error {
	bo.timer.Stop()
	err := bo.ReadCloser.Close()
	bo.cancel(nil)
	return err
}
