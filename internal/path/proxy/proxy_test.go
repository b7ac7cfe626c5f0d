package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

func newRequest(t *testing.T, method, addr, path string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Body = Body(nil)
	return req
}

// TestUnsolicitedResponseUnderLoad guards against passing a caller the response of another request.
// The server sends, with each response and in the same write, a second one that nobody requested.
// The next request waits for the only connection, and gets it as soon as the response ends. It must
// not receive the surplus response, and its outcome has to be "not run".
func TestUnsolicitedResponseUnderLoad(t *testing.T) {
	const unsolicited = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen"
	for _, tc := range []struct{ name, format string }{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: %[1]d\r\n\r\n%[2]s"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%[1]x\r\n%[2]s\r\n0\r\n\r\n"},
		{"chunked, with trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n%[1]x\r\n%[2]s\r\n0\r\nX: y\r\n\r\n"},
		{"without a body", "HTTP/1.1 204 No Content\r\nX-Len: %[1]d\r\nX-Path: %[2]s\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sr, err := faulty.New(func(cn net.Conn, n int, req *http.Request) bool {
				return faulty.RespondRaw(fmt.Sprintf(tc.format, len(req.URL.Path), req.URL.Path)+unsolicited, true)(cn, n, req)
			})
			if err != nil {
				t.Fatal(err)
			}
			defer sr.Close()
			fw := New(Options{MaxConns: 1})
			defer fw.Close()
			var wg conc.WaitGroup
			for w := range 4 {
				wg.Go(func() {
					for i := range 100 {
						path := fmt.Sprintf("/%d-%d", w, i)
						at := fw.Do(newRequest(t, "GET", sr.Addr, path))
						if at.Response == nil {
							if oc, _ := at.Outcome(); oc != result.NotRun {
								t.Errorf("%s: outcome %s, error %v", path, oc, at.Err)
							}
							continue
						}
						text, err := io.ReadAll(at.Response.Body)
						at.Response.Body.Close()
						if got := string(text) + at.Response.Header.Get("X-Path"); err != nil || got != path {
							t.Errorf("%s: got response %q, error %v", path, got, err)
						}
					}
				})
			}
			wg.Wait()
		})
	}
}

// TestGreeting checks that a server which sends data first is not treated as an HTTP server, and
// that nothing of the request is sent to it.
func TestGreeting(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	fw := New(Options{Dial: func(context.Context, string) (net.Conn, error) { return client, nil }})
	go func() { _, _ = io.WriteString(server, "220 mail ready\r\n") }()
	cn := newConn(client)
	if _, err := cn.Read(make([]byte, 10)); !errors.Is(err, errConnUnusable) {
		t.Errorf("read of a greeting: got error %v, want errConnUnusable", err)
	}
	if _, err := cn.Write([]byte("x")); !errors.Is(err, errConnUnusable) {
		t.Errorf("write after a greeting: got error %v, want errConnUnusable", err)
	}
	fw.Close()
}

// TestOutcome checks that the outcome of a failed attempt follows from the bytes written.
func TestOutcome(t *testing.T) {
	refused := errors.New("refused")
	for _, tc := range []struct {
		name   string
		dial   func() (net.Conn, error)
		want   result.Outcome
		reason result.Reason
	}{
		{"no connection", func() (net.Conn, error) { return nil, refused }, result.NotRun, result.ReasonNoConnection},
		{"closed before the request", func() (net.Conn, error) {
			client, server := net.Pipe()
			server.Close()
			return &brokenConn{Conn: client}, nil
		}, result.MayHaveRun, result.ReasonConnectionBroken},
		{"closed after a byte", func() (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				_, _ = server.Read(make([]byte, 1))
				server.Close()
			}()
			return client, nil
		}, result.MayHaveRun, result.ReasonConnectionBroken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fw := New(Options{Dial: func(context.Context, string) (net.Conn, error) { return tc.dial() }})
			at := fw.Do(newRequest(t, "POST", "10.0.0.1:1", "/"))
			if oc, re := at.Outcome(); at.Err == nil || oc != tc.want || re != tc.reason {
				t.Errorf("%s, %s (%v); want %s, %s", oc, re, at.Err, tc.want, tc.reason)
			}
		})
	}
}

// brokenConn blocks when read and fails when written, like a connection whose peer disappeared
// without closing it.
type brokenConn struct {
	net.Conn
}

func (bc *brokenConn) Read(p []byte) (int, error)  { select {} }
func (bc *brokenConn) Write(p []byte) (int, error) { return 0, io.ErrClosedPipe }

func TestSanitizeHeader(t *testing.T) {
	hdr := http.Header{
		"Connection": {"keep-alive, X-Hop", "close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"},
		"Upgrade": {"h2c"}, "Expect": {"100-continue"}, "Keep-Alive": {"5"}, "Flamingomast-Outcome": {"not-run"},
		"X-Kept": {"1"}, "Idempotency-Key": {"k"}, "Content-Type": {"text/plain"},
	}
	SanitizeHeader(hdr)
	var left []string
	for name := range hdr {
		left = append(left, name)
	}
	slices.Sort(left)
	if got := strings.Join(left, " "); got != "Content-Type Idempotency-Key X-Kept" {
		t.Errorf("remaining headers: %s", got)
	}
}

// TestCopyStreams checks that the flushed part of a response without a length reaches the caller
// before the server sends more.
func TestCopyStreams(t *testing.T) {
	next := make(chan bool)
	back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "one")
		_ = http.NewResponseController(w).Flush()
		<-next
		_, _ = io.WriteString(w, "two")
	}))
	defer back.Close()
	fw := New(Options{})
	defer fw.Close()
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		at := fw.Do(newRequest(t, "GET", strings.TrimPrefix(back.URL, "http://"), "/"))
		defer at.Response.Body.Close()
		CopyHeader(w, at.Response, nil)
		if err := Copy(w, at, Pace{}); err != nil {
			t.Error(err)
		}
	}))
	defer front.Close()
	res, err := http.Get(front.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	buf := make([]byte, 3)
	if _, err := io.ReadFull(res.Body, buf); err != nil || string(buf) != "one" {
		t.Fatalf("read %q, %v", buf, err)
	}
	close(next)
	if rest, err := io.ReadAll(res.Body); err != nil || string(rest) != "two" {
		t.Errorf("rest: read %q, %v", rest, err)
	}
}

// BenchmarkHop compares one forwarding hop with the transport alone.
func BenchmarkHop(b *testing.B) {
	back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer back.Close()
	addr := strings.TrimPrefix(back.URL, "http://")
	run := func(name string, do func(*http.Request) (*http.Response, error)) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req, err := http.NewRequestWithContext(b.Context(), "GET", "http://"+addr, nil)
				if err != nil {
					b.Fatal(err)
				}
				req.Body = Body(nil)
				res, err := do(req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
		})
	}
	tr := &http.Transport{DisableCompression: true}
	defer tr.CloseIdleConnections()
	fw := New(Options{})
	defer fw.Close()
	run("transport", tr.RoundTrip)
	run("forwarder", func(req *http.Request) (*http.Response, error) {
		at := fw.Do(req)
		return at.Response, at.Err
	})
}

// TestSlowWriter checks that a caller that does not read a large response takes a bounded amount of
// memory: the copy stops reading once the caller's connection is full.
func TestSlowWriter(t *testing.T) {
	pr, pw := io.Pipe()
	go func() {
		buf := make([]byte, 32<<10)
		for {
			if _, err := pw.Write(buf); err != nil {
				return
			}
		}
	}()
	rec := &blockingWriter{header: http.Header{}, block: make(chan struct{})}
	done := make(chan error, 1)
	go func() {
		done <- Copy(rec, &Attempt{Response: &http.Response{Body: pr, ContentLength: 1 << 30}}, Pace{})
	}()
	select {
	case err := <-done:
		t.Fatalf("copy returned early: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(rec.block)
	if err := <-done; err == nil {
		t.Error("no error although writing to the caller failed")
	}
	pr.Close()
	if rec.most > copyBufSize {
		t.Errorf("%d bytes in one write, limit %d", rec.most, copyBufSize)
	}
}

type blockingWriter struct {
	header http.Header
	block  chan struct{}
	most   int
}

func (bw *blockingWriter) Header() http.Header { return bw.header }
func (bw *blockingWriter) WriteHeader(int)     {}
func (bw *blockingWriter) Write(p []byte) (int, error) {
	bw.most = max(bw.most, len(p))
	<-bw.block
	return 0, errors.New("gone")
}
