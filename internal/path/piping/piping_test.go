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

// rig is a server behind a front, with callers in virtual time.
type rig struct {
	t  *testing.T
	nw *memnet.Network
	hs *http.Server
	ln net.Listener
	ho *memnet.Host
	// ran has the paths that were run, in their order.
	mu  sync.Mutex
	ran []string
	// running is how many run, most the most that did.
	running, most atomic.Int32
	// idle counts how often a connection was told to be idle.
	idle atomic.Int32
	// ages has by path how long before its handler a request had arrived, as far as that
	// is known.
	ages map[string]time.Duration
}

// newRig starts a server whose requests take as many milliseconds as the first
// part of their path says; the second part, if any, names a way to answer.
func newRig(t *testing.T) *rig {
	t.Helper()
	rg := &rig{t: t, nw: memnet.New(), ages: map[string]time.Duration{}}
	rg.ho, _ = rg.nw.Listen("caller:1", "")
	fr := New(func(r *http.Request) bool { return r.Method != http.MethodPost }, func(_ net.Conn, st http.ConnState) {
		if st == http.StateIdle {
			rg.idle.Add(1)
		}
	})
	rg.hs = &http.Server{Handler: fr.Handler(rg), ConnState: fr.ConnState, ConnContext: fr.ConnContext}
	_, ln := rg.nw.Listen("server:1", "")
	rg.ln = fr.Listener(ln)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = rg.hs.Serve(rg.ln)
	}()
	t.Cleanup(func() {
		rg.hs.Close()
		<-done
		// What lingers has ended by then.
		time.Sleep(2 * linger)
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
	now := rg.running.Add(1)
	defer rg.running.Add(-1)
	for old := rg.most.Load(); now > old && !rg.most.CompareAndSwap(old, now); old = rg.most.Load() {
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ms, how, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
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
	switch how {
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

// reply is what a caller got for one request.
type reply struct {
	status int
	body   string
	after  time.Duration
}

// read reads the answers to requests of the methods until the connection ends.
func read(nc net.Conn, began time.Time, methods ...string) (res []reply, err error) {
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

// TestSideBySide: a caller sends five lookups of 300 ms at once on one connection.
// It had to wait 1.5 s for the last of them, since each one began when the one
// before it had been answered. Now all run at once, and each gets its own answer,
// in the order in which they were sent.
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
		res, err := read(nc, began, "GET", "GET", "GET", "GET", "GET")
		if err != nil {
			t.Fatal(err)
		}
		for i, re := range res {
			if want := fmt.Sprintf("answer to /300/%d ", i); re.body != want || re.after > 310*time.Millisecond {
				t.Errorf("answer %d is %q after %v; want %q within 310 ms", i, re.body, re.after, want)
			}
		}
	})
}

// TestCases holds what may be sent ahead against what must come back, and what must
// have been run by then.
func TestCases(t *testing.T) {
	for _, tc := range []struct {
		name string
		// sent is written at once; later follows 50 ms after it.
		sent, later string
		methods     string
		// want are the statuses, each with the ms after which it came, and an error
		// at the end if one is due.
		want string
		ran  string
	}{
		{"sent later", get("/100"), get("/100"), "GET GET", "200@102 200@152", "/100 /100"},
		{"a fast one behind a slow one", get("/300") + get("/10"), "", "GET GET", "200@302 200@302", "/10 /300"},
		{"a slow one behind a fast one", get("/10") + get("/300"), "", "GET GET", "200@12 200@302", "/10 /300"},
		{"sent while the first runs", get("/300"), get("/100"), "GET GET", "200@302 200@302", "/100 /300"},
		{"may run once only", get("/100") + request("POST", "/100", "") + get("/100"), "", "GET POST GET", "200@102 200@202 200@302", "/100 /100 /100"},
		{"a body in the middle", get("/100") + request("PUT", "/100", "body!", "Content-Length: 5") + get("/100/3"), "", "GET PUT GET", "200@102 200@202 200@202", "/100 /100 /100/3"},
		{"a body first", request("PUT", "/100", "body!", "Content-Length: 5") + get("/50") + get("/100/3"), "", "PUT GET GET", "200@102 200@102 200@102", "/100 /100/3 /50"},
		{"a body that comes late", request("PUT", "/100", "bo", "Content-Length: 5"), "dy!" + get("/100"), "PUT GET", "200@152 200@152", "/100 /100"},
		{"chunks first", request("PUT", "/100", "3\r\nbod\r\n0\r\n\r\n", "Transfer-Encoding: chunked") + get("/100"), "", "PUT GET", "200@102 200@202", "/100 /100"},
		{"chunks in the middle", get("/100") + request("PUT", "/100", "3\r\nbod\r\n0\r\n\r\n", "Transfer-Encoding: chunked") + get("/100"), "", "GET PUT GET", "200@102 200@202 200@302", "/100 /100 /100"},
		{"expects 100", get("/100") + request("PUT", "/100", "", "Content-Length: 4", "Expect: 100-continue"), "body" + get("/10"), "GET PUT GET", "200@102 200@202 200@202", "/10 /100 /100"},
		{"HEAD", request("HEAD", "/100", "") + get("/100"), "", "HEAD GET", "200@102 200@102", "/100 /100"},
		{"HEAD behind", get("/100") + request("HEAD", "/100", "") + get("/100"), "", "GET HEAD GET", "200@102 200@102 200@102", "/100 /100 /100"},
		{"304", get("/100") + get("/100/304") + get("/100"), "", "GET GET GET", "200@102 304@102 200@102", "/100 /100 /100/304"},
		{"interim", get("/100") + get("/100/early") + get("/100"), "", "GET GET GET", "200@102 200@102 200@102", "/100 /100 /100/early"},
		{"without length", get("/100") + get("/100/stream") + get("/100"), "", "GET GET GET", "200@102 200@102 200@102", "/100 /100 /100/stream"},
		{"large", get("/100") + get("/10/large") + get("/20/large"), "", "GET GET GET", "200@102 200@102 200@102", "/10/large /100 /20/large"},
		{"cut", get("/100") + get("/100/cut") + get("/200"), "", "GET GET GET", "200@102 unexpected EOF", "/100 /100/cut /200"},
		{"cut first", get("/100/cut") + get("/100"), "", "GET GET", "unexpected EOF", "/100 /100/cut"},
		{"the server closes in the middle", get("/100") + get("/100/close") + get("/200"), "", "GET GET GET", "200@102 200@102 unexpected EOF", "/100 /100/close /200"},
		{"the server closes first", get("/100/close") + request("POST", "/100", ""), "", "GET POST", "200@102 unexpected EOF", "/100/close"},
		{"the caller closes in the middle", get("/100") + get("/100", "Connection: close") + get("/200"), "", "GET GET GET", "200@102 200@202 unexpected EOF", "/100 /100"},
		{"a bad one in the middle", get("/100") + "GET / NONSENSE\r\n\r\n" + get("/100"), "", "GET GET GET", "200@102 400@102 unexpected EOF", "/100"},
		{"a colon with a space", get("/100") + get("/100", "Content-Length : 3") + get("/100"), "", "GET GET GET", "200@102 400@102 unexpected EOF", "/100"},
		{"two lengths", get("/100") + get("/100", "Content-Length: 3", "Content-Length: 0") + get("/100"), "", "GET GET GET", "200@102 400@102 unexpected EOF", "/100"},
		{"length and chunks", get("/100") + request("PUT", "/100", "0\r\n\r\n", "Content-Length: 3", "Transfer-Encoding: chunked") + get("/100"), "", "GET PUT GET", "200@102 200@202 200@302", "/100 /100 /100"},
		{"bare line feeds", "GET /100 HTTP/1.1\nHost: a\n\n" + "GET /100 HTTP/1.1\nHost: a\n\n", "", "GET GET", "200@102 200@102", "/100 /100"},
		{"half a request at the end", get("/100") + "GET /100 HTTP/1.1\r\nHo", "st: a\r\n\r\n", "GET GET", "200@102 200@152", "/100 /100"},
		{"half an end", get("/100") + "GET /100 HTTP/1.1\r\nHost: a\r\n\r", "\n" + get("/10"), "GET GET GET", "200@102 200@152 200@152", "/10 /100 /100"},
		{"half a request that is never whole", get("/100") + "GET /100 HTTP/1.1\r\nHo", "", "GET", "200@102", "/100"},
		{"the whole server", request("OPTIONS", "*", "") + get("/100"), "", "OPTIONS GET", "200@2 200@102", "/100"},
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
				res, err := read(nc, began, strings.Fields(tc.methods)...)
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
				// Those that run side by side begin in any order.
				slices.Sort(ran)
				if text := strings.Join(ran, " "); text != tc.ran {
					t.Errorf("ran %s, want %s", text, tc.ran)
				}
			})
		})
	}
}
