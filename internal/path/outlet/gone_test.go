package outlet_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// TestNoSilentSuccess guards against a caller receiving an empty 200 that no backend server sent. A
// failed background read cancels the request's context as if the caller had disconnected. The
// outlet then returned without writing a response, for which net/http sends 200.
func TestNoSilentSuccess(t *testing.T) {
	var cancel context.CancelFunc
	be, err := faulty.New(func(cn net.Conn, _ int, req *http.Request) bool {
		faulty.ReadBody(req)
		cancel()
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	defer be.Close()
	rg := newRig(t, be.Addr)
	for _, path := range []string{"/once", "/always", "/a"} {
		req := rg.request("GET", path, "")
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cancel = stop
		rec := httptest.NewRecorder()
		wrote := false
		rg.outlet.ServeHTTP(&statusRecorder{ResponseRecorder: rec, wrote: &wrote}, req.WithContext(ctx))
		if !wrote || rec.Code < http.StatusBadRequest {
			t.Errorf("%s: written %t, status %d; want an error", path, wrote, rec.Code)
		}
	}
}

// statusRecorder records whether a handler wrote a status itself.
type statusRecorder struct {
	*httptest.ResponseRecorder
	wrote *bool
}

func (sr *statusRecorder) WriteHeader(code int) {
	*sr.wrote = true
	sr.ResponseRecorder.WriteHeader(code)
}

// TestSlowBody: a caller sends half of its body and stops. At its deadline it is told 408, which
// guarantees that the request has not run.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lr := newLoadRig(t, 1, anyDomain)
		defer lr.close()
		lr.serve("front:1", lr.outlet)
		nc, err := lr.dial(t.Context(), "front:1")
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		if _, err := io.WriteString(nc, "POST /short HTTP/1.1\r\nHost: booking\r\nContent-Length: 10\r\n\r\nhalf"); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || res.StatusCode != http.StatusRequestTimeout {
			t.Errorf("got %v, %v; want 408", res, err)
		}
	})
}

// TestCallerGoneBefore: requests wait in the accept queue until their callers have given up and
// closed their connections. None of them may reach a backend server: the response would be
// discarded, and the slots are needed.
func TestCallerGoneBefore(t *testing.T) {
	// With one processor, the background read that detects the close is certain to run.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var ran atomic.Int64
	be := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	defer be.Close()
	rg := newRig(t, strings.TrimPrefix(be.URL, "http://"))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const callers = 20
	for range callers {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(nc, "GET /always HTTP/1.1\r\nHost: booking\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		nc.Close()
	}
	served := make(chan struct{}, callers)
	hs := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { served <- struct{}{} }()
		rg.outlet.ServeHTTP(w, r)
	})}
	go func() { _ = hs.Serve(ln) }()
	defer hs.Close()
	for range callers {
		<-served
	}
	if n := ran.Load(); n > 0 {
		t.Errorf("%d of %d requests reached the backend server after their callers had gone", n, callers)
	}
}
