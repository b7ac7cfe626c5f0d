package piping

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestCallerLeaves guards against requests that keep running after their caller has disconnected:
// all pipelined requests must be cancelled at once, and no further one started.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t)
		nc := rg.dial()
		_, _ = io.WriteString(nc, get("/900")+get("/900")+get("/900")+request("POST", "/900", ""))
		time.Sleep(100 * time.Millisecond)
		if n := rg.running.Load(); n != 3 {
			t.Fatalf("%d requests run, want 3", n)
		}
		nc.Close()
		time.Sleep(10 * time.Millisecond)
		if n := rg.running.Load(); n != 0 || len(rg.runs()) != 3 {
			t.Errorf("%d requests still run after the caller disconnected; started: %v", n, rg.runs())
		}
	})
}

// TestConcurrencyLimit guards against a caller that pipelines 40 requests and so uses all of an
// outlet's concurrency: no more than MaxConcurrent of one connection may run at once.
func TestConcurrencyLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t)
		nc := rg.dial()
		began := time.Now()
		var text strings.Builder
		var methods []string
		for range 40 {
			text.WriteString(get("/100"))
			methods = append(methods, "GET")
		}
		_, _ = io.WriteString(nc, text.String())
		res, err := readResponses(nc, began, methods...)
		if err != nil || len(res) != 40 {
			t.Fatalf("%d responses, %v", len(res), err)
		}
		if n := rg.maxRunning.Load(); n != MaxConcurrent {
			t.Errorf("%d requests ran at once, want %d", n, MaxConcurrent)
		}
	})
}

// TestBufferLimit: large responses behind a slow first one are buffered up to MaxBuffered. The
// handlers of those that exceed it block, and all responses arrive complete.
func TestBufferLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t)
		var methods []string
		text := get("/500")
		for range 8 {
			text += get("/10/large")
			methods = append(methods, "GET")
		}
		nc := rg.dial()
		began := time.Now()
		_, _ = io.WriteString(nc, text)
		time.Sleep(400 * time.Millisecond)
		if n := rg.running.Load(); n < 2 {
			t.Errorf("%d requests still run, want at least 2: responses beyond the buffer limit must block", n)
		}
		res, err := readResponses(nc, began, append(methods, "GET")...)
		if err != nil {
			t.Fatal(err)
		}
		for _, re := range res[1:] {
			if len(re.body) < 1<<20 {
				t.Errorf("a response has %d bytes, want at least 1 MiB", len(re.body))
			}
		}
	})
}

// TestListenerCloses: the listener closes while requests run. These are answered. Later requests
// wait until those before them are answered, and none runs behind a response that closes the
// connection, because its caller sends it elsewhere.
func TestListenerCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t)
		nc := rg.dial()
		began := time.Now()
		_, _ = io.WriteString(nc, get("/300")+get("/300/2"))
		time.Sleep(100 * time.Millisecond)
		rg.ln.Close()
		_, _ = io.WriteString(nc, get("/100/close")+get("/100/never"))
		res, err := readResponses(nc, began, "GET", "GET", "GET", "GET")
		if len(res) != 3 || err == nil {
			t.Errorf("%d responses and %v, want 3 and an error", len(res), err)
		}
		for _, one := range rg.runs() {
			if strings.HasSuffix(one, "/never") {
				t.Errorf("%s was run after a response that closes the connection", one)
			}
		}
	})
}

// TestIdleState guards against a connection being reported as idle, and so closed, when the
// direct request has been answered while pipelined ones still run.
func TestIdleState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t)
		nc := rg.dial()
		_, _ = io.WriteString(nc, get("/100")+get("/300"))
		time.Sleep(200 * time.Millisecond)
		if n := rg.idleReports.Load(); n != 0 {
			t.Errorf("idle was reported %d times while a request runs", n)
		}
		time.Sleep(200 * time.Millisecond)
		if n := rg.idleReports.Load(); n != 1 {
			t.Errorf("idle was reported %d times, want 1", n)
		}
		began := time.Now()
		_, _ = io.WriteString(nc, get("/100"))
		if res, err := readResponses(nc, began, "GET", "GET", "GET"); err != nil || len(res) != 3 {
			t.Errorf("%d responses, %v", len(res), err)
		}
	})
}

// TestLastResponseArrives: a response closes a connection on which further requests are unread.
// If the connection were closed at once, TCP would reset it and the caller could lose the
// response.
func TestLastResponseArrives(t *testing.T) {
	pl := New(func(*http.Request) bool { return true }, func(net.Conn, http.ConnState) {})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hs := &http.Server{ConnState: pl.ConnState, ConnContext: pl.ConnContext, Handler: pl.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, r.URL.Path)
	}))}
	go func() { _ = hs.Serve(pl.Listener(ln)) }()
	defer hs.Close()
	for range 50 {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(nc, get("/first")+strings.Repeat(get("/more"), 200)); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(res.Body); err != nil || string(body) != "/first" {
			t.Fatalf("got %q, %v", body, err)
		}
		nc.Close()
	}
}

// TestResponseOrder: for any requests, split into any parts, each gets its own response, in the
// order in which they were sent, as without pipelining.
func TestResponseOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kinds := rapid.SliceOfN(rapid.SampledFrom([]string{"get", "post", "head", "put", "chunks", "304", "stream", "early"}), 1, 12).Draw(rt, "kinds")
		times := rapid.SliceOfN(rapid.IntRange(0, 60), len(kinds), len(kinds)).Draw(rt, "ms")
		var text string
		var methods, want []string
		for i, kind := range kinds {
			path := fmt.Sprintf("/%d/%s-%d", times[i], kind, i)
			body, method := "", "GET"
			switch kind {
			case "get":
				text += get(path)
			case "post", "put":
				method, body = strings.ToUpper(kind), strings.Repeat("b", i)
				text += request(method, path, body, fmt.Sprint("Content-Length: ", len(body)))
			case "chunks":
				method, body = "PUT", "abc"
				text += request("PUT", path, "3\r\nabc\r\n0\r\n\r\n", "Transfer-Encoding: chunked")
			case "head":
				method = "HEAD"
				text += request("HEAD", path, "")
			default:
				path = fmt.Sprintf("/%d/%s", times[i], kind)
				text += get(path)
			}
			methods = append(methods, method)
			switch kind {
			case "head", "304":
				want = append(want, "")
			default:
				want = append(want, "answer to "+path+" "+body)
			}
		}
		cuts := rapid.SliceOfN(rapid.IntRange(0, len(text)), 0, 6).Draw(rt, "cuts")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 40), len(cuts), len(cuts)).Draw(rt, "pauses")
		synctest.Test(t, func(t *testing.T) {
			rg := newRig(t)
			nc := rg.dial()
			go func() {
				at := 0
				for i, cut := range cuts {
					if cut > at {
						_, _ = io.WriteString(nc, text[at:cut])
						at = cut
						time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
					}
				}
				_, _ = io.WriteString(nc, text[at:])
			}()
			res, err := readResponses(nc, time.Now(), methods...)
			if err != nil || len(res) != len(want) {
				t.Errorf("%d of %d responses, %v", len(res), len(want), err)
			}
			for i, re := range res {
				if strings.TrimSpace(re.body) != strings.TrimSpace(want[i]) {
					t.Errorf("response %d is %q, want %q", i, re.body, want[i])
				}
			}
			if len(rg.runs()) != len(kinds) {
				t.Errorf("%d of %d requests were run", len(rg.runs()), len(kinds))
			}
		})
		if t.Failed() {
			rt.Fatalf("kinds %v, ms %v, cuts %v, pauses %v", kinds, times, cuts, pauses)
		}
	})
}

// BenchmarkRequest measures a request that is not pipelined, with net/http alone and with a
// Pipeliner.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	for _, name := range []string{"library", "front"} {
		b.Run(name, func(b *testing.B) {
			hs := &http.Server{Handler: handler}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			if name == "front" {
				pl := New(func(*http.Request) bool { return true }, func(net.Conn, http.ConnState) {})
				hs.Handler, hs.ConnState, hs.ConnContext = pl.Handler(handler), pl.ConnState, pl.ConnContext
				ln = pl.Listener(ln)
			}
			go func() { _ = hs.Serve(ln) }()
			defer hs.Close()
			nc, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer nc.Close()
			br := bufio.NewReader(nc)
			req := []byte(get("/a", "X-One: 1", "X-Two: 2", "X-Three: 3"))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := nc.Write(req); err != nil {
					b.Fatal(err)
				}
				for {
					line, err := br.ReadSlice('\n')
					if err != nil {
						b.Fatal(err)
					}
					if len(line) == 2 {
						break
					}
				}
				if _, err := br.Discard(2); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
