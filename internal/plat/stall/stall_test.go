package stall

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// slowServer is an http.RoundTripper that simulates a slow server: it receives the request at
// rate bytes per second, responds after delay, and sends pieces of one byte with a gap before
// each.
type slowServer struct {
	rate   int
	delay  time.Duration
	pieces int
	gap    time.Duration
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(d):
		return nil
	}
}

// RoundTrip implements http.RoundTripper.
func (ss *slowServer) RoundTrip(req *http.Request) (*http.Response, error) {
	size := time.Duration(max(0, req.ContentLength))
	if err := wait(req.Context(), size*time.Second/time.Duration(max(1, ss.rate))+ss.delay); err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: &slowBody{ctx: req.Context(), left: ss.pieces, gap: ss.gap}}, nil
}

type slowBody struct {
	ctx  context.Context
	left int
	gap  time.Duration
}

func (sb *slowBody) Close() error { return nil }

func (sb *slowBody) Read(p []byte) (int, error) {
	if sb.left == 0 {
		return 0, io.EOF
	}
	if err := wait(sb.ctx, sb.gap); err != nil {
		return 0, err
	}
	sb.left--
	return copy(p, "x"), nil
}

// TestDo guards against calls that are cancelled although they make progress, and against
// stalled calls that are not cancelled.
func TestDo(t *testing.T) {
	const mib = 1 << 20
	for _, tc := range []struct {
		name        string
		size        int
		headTimeout time.Duration
		server      slowServer
		// readDelay is how long the caller waits before each read.
		readDelay time.Duration
		ok        bool
		took      time.Duration
	}{
		{"small", 0, 0, slowServer{delay: 4 * time.Millisecond}, 0, true, 4 * time.Millisecond},
		{"large request on a slow link", mib, 0, slowServer{rate: mib / 4}, 0, true, 4 * time.Second},
		{"large request below the minimum rate", mib, 0, slowServer{rate: 1 << 10}, 0, false, 17 * time.Second},
		{"silent", 0, 0, slowServer{delay: time.Minute}, 0, false, time.Second},
		{"watch", 0, 10 * time.Second, slowServer{delay: 9 * time.Second}, 0, true, 9 * time.Second},
		{"watch without response", 0, 10 * time.Second, slowServer{delay: time.Minute}, 0, false, 10 * time.Second},
		{"long response", 0, 0, slowServer{pieces: 5, gap: 900 * time.Millisecond}, 0, true, 4500 * time.Millisecond},
		{"stalled response", 0, 0, slowServer{pieces: 5, gap: 1100 * time.Millisecond}, 0, false, time.Second},
		{"bytes now and then, without end", 0, 0, slowServer{pieces: -1, gap: 100 * time.Millisecond}, 0, false, 10*time.Second + 100*time.Second/MinReceiveRate},
		{"a byte every millisecond", 0, 0, slowServer{pieces: 9000, gap: time.Millisecond}, 0, true, 9 * time.Second},
		{"slow reader", 0, 0, slowServer{pieces: 2}, 5 * time.Second, true, 15 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := &Client{HTTP: (&http.Client{Transport: &tc.server}).Do, Timeout: time.Second}
				ctx := t.Context()
				if tc.headTimeout > 0 {
					ctx = WithHeadTimeout(ctx, tc.headTimeout)
				}
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://a/", bytes.NewReader(make([]byte, tc.size)))
				if err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				err = call(cl, req, tc.readDelay)
				if took := time.Since(start); (err == nil) != tc.ok || took != tc.took {
					t.Errorf("took %s, want %s; error %v", took, tc.took, err)
				}
				if err != nil && !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("error %v is not context.DeadlineExceeded", err)
				}
			})
		})
	}
}

func call(cl *Client, req *http.Request, readDelay time.Duration) error {
	res, err := cl.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	for {
		time.Sleep(readDelay)
		if _, err := res.Body.Read(make([]byte, 10)); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// TestMaxBody guards against reading a response without end, and against refusing one of the largest
// size.
func TestMaxBody(t *testing.T) {
	for _, tc := range []struct {
		name   string
		max    int64
		pieces int
		ok     bool
	}{
		{"largest", 50, 50, true},
		{"too large", 50, 51, false},
		{"without end", 50, -1, false},
		{"not bounded", 0, 500, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			cl := &Client{HTTP: (&http.Client{Transport: &slowServer{pieces: tc.pieces}}).Do, Timeout: time.Second, MaxBody: tc.max}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a/", nil)
			if err != nil {
				t.Fatal(err)
			}
			err = call(cl, req, 0)
			var er *SizeError
			if tc.ok != (err == nil) || !tc.ok && !errors.As(err, &er) {
				t.Errorf("%s: %v; want it to be read: %t", tc.name, err, tc.ok)
			}
		})
	}
}
