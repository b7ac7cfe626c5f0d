package piping

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/memnet"
)

// rig is a server with a Pipeliner, and callers, on a network in memory and in virtual time.
type rig struct {
	t  *testing.T
	nw *memnet.Network
	hs *http.Server
	ln net.Listener
	ho *memnet.Host
	// ran lists the method and path of each request that was run, in order. mu guards ran and
	// ages.
	mu  sync.Mutex
	ran []string
	// running is how many requests run now, maxRunning the most that ever ran at once.
	running, maxRunning atomic.Int32
	// idleReports counts how often a connection was reported as idle.
	idleReports atomic.Int32
	// ages has, by path, how long before its handler was called a request had arrived, if known.
	ages map[string]time.Duration
}

// newRig starts a server whose requests take as many milliseconds as the first part of their path
// says; the second part, if any, selects a kind of response.
func newRig(t *testing.T) *rig {
	t.Helper()
	rg := &rig{t: t, nw: memnet.New(), ages: map[string]time.Duration{}}
	rg.ho, _ = rg.nw.Listen("caller:1", "")
	pl := New(func(r *http.Request) bool { return r.Method != http.MethodPost }, func(_ net.Conn, st http.ConnState) {
		if st == http.StateIdle {
			rg.idleReports.Add(1)
		}
	})
	rg.hs = &http.Server{Handler: pl.Handler(rg), ConnState: pl.ConnState, ConnContext: pl.ConnContext}
	_, ln := rg.nw.Listen("server:1", "")
	rg.ln = pl.Listener(ln)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = rg.hs.Serve(rg.ln)
	}()
	t.Cleanup(func() {
		rg.hs.Close()
		<-done
		// Lingering connections have closed by then.
		time.Sleep(2 * lingerTimeout)
		synctest.Wait()
	})
	return rg
}

// ServeHTTP answers a request as its path says.
func (rg *rig) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rg.mu.Lock()
	rg.ran = append(rg.ran, r.Method+" "+r.URL.Path)
	if at := ArrivalTime(r); !at.IsZero() {
		rg.ages[r.URL.Path] = time.Since(at)
	}
	rg.mu.Unlock()
	running := rg.running.Add(1)
	defer rg.running.Add(-1)
	for old := rg.maxRunning.Load(); running > old && !rg.maxRunning.CompareAndSwap(old, running); old = rg.maxRunning.Load() {
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ms, mode, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	n, err := strconv.Atoi(ms)
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	select {
	case <-time.After(time.Duration(n) * time.Millisecond):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	text := "answer to " + r.URL.Path + " " + string(body)
	switch mode {
	case "close":
		w.Header().Set("Connection", "close")
	case "304":
		w.WriteHeader(http.StatusNotModified)
		return
	case "stream":
		for _, part := range strings.Fields(text) {
			_, _ = io.WriteString(w, part+" ")
			_ = http.NewResponseController(w).Flush()
		}
		return
	case "cut":
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "large":
		text += strings.Repeat("x", 1<<20)
	case "early":
		w.Header().Set("Link", "</a>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
	}
	_, _ = io.WriteString(w, text)
}

func (rg *rig) dial() net.Conn {
	rg.t.Helper()
	nc, err := rg.nw.Dial(rg.t.Context(), rg.ho, "server:1")
	if err != nil {
		rg.t.Fatal(err)
	}
	rg.t.Cleanup(func() { nc.Close() })
	return nc
}

func (rg *rig) runs() []string {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return append([]string(nil), rg.ran...)
}

// get returns the text of a request without a body.
func get(path string, lines ...string) string {
	return request("GET", path, "", lines...)
}

func request(method, path, body string, lines ...string) string {
	text := method + " " + path + " HTTP/1.1\r\nHost: a\r\n"
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n" + body
}

// reply is what a caller received for one request.
type reply struct {
	status int
	body   string
	after  time.Duration
}

// readResponses reads the responses to requests with the given methods and stops at an error.
func readResponses(nc net.Conn, began time.Time, methods ...string) (res []reply, err error) {
	br := bufio.NewReader(nc)
	for _, method := range methods {
		re, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return res, err
		}
		if re.StatusCode == http.StatusEarlyHints || re.StatusCode == http.StatusContinue {
			if re, err = http.ReadResponse(br, &http.Request{Method: method}); err != nil {
				return res, err
			}
		}
		text, err := io.ReadAll(re.Body)
		if err != nil {
			return res, err
		}
		res = append(res, reply{status: re.StatusCode, body: string(text), after: time.Since(began).Truncate(time.Millisecond)})
	}
	return res, nil
}

// TestSideBySide guards against pipelined requests that run one after another: the last of five
// lookups of 300 ms took 1.5 s. All must run at once, and each get its own response, in the order
// in which they were sent.
func TestSideBySide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t)
		nc := rg.dial()
		began := time.Now()
		var text string
		for i := range 5 {
			text += get(fmt.Sprint("/300/", i))
		}
		_, _ = io.WriteString(nc, text)
		res, err := readResponses(nc, began, "GET", "GET", "GET", "GET", "GET")
		if err != nil {
			t.Fatal(err)
		}
		for i, re := range res {
			if want := fmt.Sprintf("answer to /300/%d ", i); re.body != want || re.after > 310*time.Millisecond {
				t.Errorf("response %d is %q after %v; want %q within 310 ms", i, re.body, re.after, want)
			}
		}
	})
}

// TestCases checks, by what a caller sends, which responses it gets and when, and which requests
// are run.
func TestCases(t *testing.T) {
	for _, tc := range []struct {
		name string
		// sent is written at once, later 50 ms after it.
		sent, later string
		methods     string
		// want has the statuses, each with the milliseconds after which it was received, then the
		// error, if one is expected.
		want string
		ran  string
	}{
		{"sent later", get("/100"), get("/100"), "GET GET", "200@102 200@152", "/100 /100"},
		{"fast after slow", get("/300") + get("/10"), "", "GET GET", "200@302 200@302", "/10 /300"},
		{"slow after fast", get("/10") + get("/300"), "", "GET GET", "200@12 200@302", "/10 /300"},
		{"sent while the first runs", get("/300"), get("/100"), "GET GET", "200@302 200@302", "/100 /300"},
		{"not retryable", get("/100") + request("POST", "/100", "") + get("/100"), "", "GET POST GET", "200@102 200@202 200@302", "/100 /100 /100"},
		{"body in the second request", get("/100") + request("PUT", "/100", "body!", "Content-Length: 5") + get("/100/3"), "", "GET PUT GET", "200@102 200@202 200@202", "/100 /100 /100/3"},
		{"body in the first request", request("PUT", "/100", "body!", "Content-Length: 5") + get("/50") + get("/100/3"), "", "PUT GET GET", "200@102 200@102 200@102", "/100 /100/3 /50"},
		{"late body", request("PUT", "/100", "bo", "Content-Length: 5"), "dy!" + get("/100"), "PUT GET", "200@152 200@152", "/100 /100"},
		{"chunked body in the first request", request("PUT", "/100", "3\r\nbod\r\n0\r\n\r\n", "Transfer-Encoding: chunked") + get("/100"), "", "PUT GET", "200@102 200@202", "/100 /100"},
		{"chunked body in the second request", get("/100") + request("PUT", "/100", "3\r\nbod\r\n0\r\n\r\n", "Transfer-Encoding: chunked") + get("/100"), "", "GET PUT GET", "200@102 200@202 200@302", "/100 /100 /100"},
		{"expects 100", get("/100") + request("PUT", "/100", "", "Content-Length: 4", "Expect: 100-continue"), "body" + get("/10"), "GET PUT GET", "200@102 200@202 200@202", "/10 /100 /100"},
		{"HEAD", request("HEAD", "/100", "") + get("/100"), "", "HEAD GET", "200@102 200@102", "/100 /100"},
		{"HEAD second", get("/100") + request("HEAD", "/100", "") + get("/100"), "", "GET HEAD GET", "200@102 200@102 200@102", "/100 /100 /100"},
		{"304", get("/100") + get("/100/304") + get("/100"), "", "GET GET GET", "200@102 304@102 200@102", "/100 /100 /100/304"},
		{"early hints", get("/100") + get("/100/early") + get("/100"), "", "GET GET GET", "200@102 200@102 200@102", "/100 /100 /100/early"},
		{"response without Content-Length", get("/100") + get("/100/stream") + get("/100"), "", "GET GET GET", "200@102 200@102 200@102", "/100 /100 /100/stream"},
		{"large", get("/100") + get("/10/large") + get("/20/large"), "", "GET GET GET", "200@102 200@102 200@102", "/10/large /100 /20/large"},
		{"second response truncated", get("/100") + get("/100/cut") + get("/200"), "", "GET GET GET", "200@102 unexpected EOF", "/100 /100/cut /200"},
		{"first response truncated", get("/100/cut") + get("/100"), "", "GET GET", "unexpected EOF", "/100 /100/cut"},
		{"server closes after the second response", get("/100") + get("/100/close") + get("/200"), "", "GET GET GET", "200@102 200@102 unexpected EOF", "/100 /100/close /200"},
		{"server closes after the first response", get("/100/close") + request("POST", "/100", ""), "", "GET POST", "200@102 unexpected EOF", "/100/close"},
		{"second request closes the connection", get("/100") + get("/100", "Connection: close") + get("/200"), "", "GET GET GET", "200@102 200@202 unexpected EOF", "/100 /100"},
		{"malformed second request", get("/100") + "GET / NONSENSE\r\n\r\n" + get("/100"), "", "GET GET GET", "200@102 400@102 unexpected EOF", "/100"},
		{"space before a colon", get("/100") + get("/100", "Content-Length : 3") + get("/100"), "", "GET GET GET", "200@102 400@102 unexpected EOF", "/100"},
		{"two Content-Length", get("/100") + get("/100", "Content-Length: 3", "Content-Length: 0") + get("/100"), "", "GET GET GET", "200@102 400@102 unexpected EOF", "/100"},
		{"Content-Length and chunked", get("/100") + request("PUT", "/100", "0\r\n\r\n", "Content-Length: 3", "Transfer-Encoding: chunked") + get("/100"), "", "GET PUT GET", "200@102 200@202 200@302", "/100 /100 /100"},
		{"bare line feeds", "GET /100 HTTP/1.1\nHost: a\n\n" + "GET /100 HTTP/1.1\nHost: a\n\n", "", "GET GET", "200@102 200@102", "/100 /100"},
		{"second head split", get("/100") + "GET /100 HTTP/1.1\r\nHo", "st: a\r\n\r\n", "GET GET", "200@102 200@152", "/100 /100"},
		{"second head split in its last line", get("/100") + "GET /100 HTTP/1.1\r\nHost: a\r\n\r", "\n" + get("/10"), "GET GET GET", "200@102 200@152 200@152", "/10 /100 /100"},
		{"second head incomplete", get("/100") + "GET /100 HTTP/1.1\r\nHo", "", "GET", "200@102", "/100"},
		{"OPTIONS *", request("OPTIONS", "*", "") + get("/100"), "", "OPTIONS GET", "200@2 200@102", "/100"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t)
				nc := rg.dial()
				began := time.Now()
				_, _ = io.WriteString(nc, tc.sent)
				if tc.later != "" {
					time.AfterFunc(50*time.Millisecond, func() { _, _ = io.WriteString(nc, tc.later) })
				}
				res, err := readResponses(nc, began, strings.Fields(tc.methods)...)
				var got []string
				for _, re := range res {
					got = append(got, fmt.Sprintf("%d@%d", re.status, re.after.Milliseconds()))
				}
				if err != nil {
					got = append(got, err.Error())
				}
				if text := strings.Join(got, " "); text != tc.want {
					t.Errorf("got %s, want %s", text, tc.want)
				}
				synctest.Wait()
				var ran []string
				for _, one := range rg.runs() {
					ran = append(ran, strings.Fields(one)[1])
				}
				// Requests that run concurrently start in any order.
				slices.Sort(ran)
				if text := strings.Join(ran, " "); text != tc.ran {
					t.Errorf("ran %s, want %s", text, tc.ran)
				}
			})
		})
	}
}
