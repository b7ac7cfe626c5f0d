package outlet_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// raw sends text to the outlet on a new connection. It returns the first line and all of what it
// receives until the connection ends.
func (rg *rig) raw(text string) (first, all string) {
	rg.t.Helper()
	cn, err := net.Dial("tcp", strings.TrimPrefix(rg.front.URL, "http://"))
	if err != nil {
		rg.t.Fatal(err)
	}
	defer cn.Close()
	if err := cn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		rg.t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(cn, text) }()
	b, _ := io.ReadAll(cn)
	first, _, _ = strings.Cut(string(b), "\r\n")
	return first, string(b)
}

// TestHostileCallers: the outlet refuses forged headers, smuggled requests, invalid targets and
// oversized heads. None of them may reach the backend server, and other callers must still be
// served.
func TestHostileCallers(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"forged target", "GET / HTTP/1.1\r\nHost: booking\r\nFlamingomast-Vm: vm-0\r\nConnection: close\r\n\r\n", "400"},
		{"forged outcome", "GET / HTTP/1.1\r\nHost: booking\r\nflamingomast-outcome: answered\r\nConnection: close\r\n\r\n", "400"},
		{"bad timeout", "GET / HTTP/1.1\r\nHost: booking\r\nFlamingomast-Timeout-Ms: -1\r\nConnection: close\r\n\r\n", "400"},
		{"upgrade", "GET / HTTP/1.1\r\nHost: booking\r\nConnection: Upgrade, close\r\nUpgrade: websocket\r\n\r\n", "501"},
		{"connect", "CONNECT booking:80 HTTP/1.1\r\nHost: booking\r\nConnection: close\r\n\r\n", "501"},
		{"asterisk", "OPTIONS * HTTP/1.1\r\nHost: booking\r\nConnection: close\r\n\r\n", ""},
		{"dot segment past a rule", "GET /x/../once/a HTTP/1.1\r\nHost: booking\r\nConnection: close\r\n\r\n", "400"},
		{"escaped dot segment", "GET /x/%2e%2e/once/a HTTP/1.1\r\nHost: booking\r\nConnection: close\r\n\r\n", "400"},
		{"two lengths", "POST / HTTP/1.1\r\nHost: booking\r\nContent-Length: 1\r\nContent-Length: 5\r\n\r\nxGET /smuggled", "400"},
		{"bad length", "POST / HTTP/1.1\r\nHost: booking\r\nContent-Length: +1\r\n\r\nx", "400"},
		{"bad coding", "POST / HTTP/1.1\r\nHost: booking\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n", "501"},
		{"space before colon", "GET / HTTP/1.1\r\nHost: booking\r\nContent-Length : 5\r\n\r\nhello", "400"},
		{"folded header", "GET / HTTP/1.1\r\nHost: booking\r\nX: a\r\n b\r\nConnection: close\r\n\r\n", ""},
		{"two hosts", "GET / HTTP/1.1\r\nHost: booking\r\nHost: portal\r\n\r\n", "400"},
		{"no host", "GET / HTTP/1.1\r\n\r\n", "400"},
		{"huge head", "GET / HTTP/1.1\r\nHost: booking\r\nX: " + strings.Repeat("x", 1<<20) + "\r\n\r\n", "431"},
		{"huge body", "POST / HTTP/1.1\r\nHost: booking\r\nContent-Length: 99999999999\r\n\r\n", "413"},
		{"unknown host", "GET / HTTP/1.1\r\nHost: nobody\r\nConnection: close\r\n\r\n", "404"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rs := newFaultyServer(t, faulty.RespondOK)
			rg := newRig(t, rs.Addr)
			first, all := rg.raw(tc.text)
			if tc.want != "" && !strings.HasPrefix(first, "HTTP/1.1 "+tc.want) {
				t.Errorf("answered %q, want %s", first, tc.want)
			}
			if tc.want != "" && rs.RequestCount() > 0 {
				t.Errorf("the server saw %d requests", rs.RequestCount())
			}
			if strings.Contains(all, "smuggled") {
				t.Errorf("a smuggled request was answered: %q", all)
			}
			if rp := rg.do(rg.request("GET", "/a", "")); rp.status != http.StatusOK {
				t.Errorf("another caller got %+v", rp)
			}
		})
	}
}

// TestSmuggling: a request has both Content-Length and Transfer-Encoding. Two hops that frame it
// differently would see different requests; the outlet frames it anew, and the server receives
// exactly one request.
func TestSmuggling(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	rs := newFaultyServer(t, func(cn net.Conn, n int, req *http.Request) bool {
		body, _ := io.ReadAll(req.Body)
		mu.Lock()
		seen = append(seen, fmt.Sprintf("%s %s %q %d", req.Method, req.URL.Path, body, len(req.TransferEncoding)))
		mu.Unlock()
		return faulty.RespondOK(cn, n, req)
	})
	rg := newRig(t, rs.Addr)
	rg.raw("POST /a HTTP/1.1\r\nHost: booking\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" +
		"3\r\nabc\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: booking\r\n\r\n")
	mu.Lock()
	defer mu.Unlock()
	if len(seen) != 1 || seen[0] != `POST /a "abc" 1` {
		t.Errorf("the server saw %q", seen)
	}
}

// TestForwardedHeaders checks what both hops forward and what they remove.
func TestForwardedHeaders(t *testing.T) {
	var got http.Header
	var host, method, uri string
	back := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, host, method, uri = r.Header.Clone(), r.Host, r.Method, r.RequestURI
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Flamingomast-Outcome", "not-run")
		w.Header().Set("Flamingomast-Load", "0/0/99")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("Trailer", "X-Sum")
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, "body")
		w.Header().Set("X-Sum", "7")
	}))
	rg := newRig(t, back)
	req := rg.request("PATCH", "/a%2Fb/c?q=1&q=2", "text", "X-Hop-Too", "1", "Connection", "X-Hop-Too", "Flamingomast-Timeout-Ms", "1500", "Idempotency-Key", "k")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil || string(body) != "body" || res.StatusCode != http.StatusAccepted || res.Trailer.Get("X-Sum") != "7" {
		t.Errorf("response %d %q, trailer %v, %v", res.StatusCode, body, res.Trailer, err)
	}
	for name := range res.Header {
		if strings.HasPrefix(name, "Flamingomast-") || name == "X-Hop" {
			t.Errorf("the response has the header %s", name)
		}
	}
	if host != "booking" || method != "PATCH" || uri != "/a%2Fb/c?q=1&q=2" || got.Get("Idempotency-Key") != "k" || got.Get("X-Hop-Too") != "" {
		t.Errorf("the server saw %s %s%s %v", method, host, uri, got)
	}
	for name := range got {
		if strings.HasPrefix(name, "Flamingomast-") && name != "Flamingomast-Timeout-Ms" {
			t.Errorf("the server saw %s", name)
		}
	}
	if ms := got.Get("Flamingomast-Timeout-Ms"); ms == "" || ms > "1500" {
		t.Errorf("the server was given %q ms of 1500", ms)
	}
}

// TestLargeBodies: a body above the buffering limit, with or without a length, is forwarded
// completely. If the slots of the first server are full, the request is refused there before any of
// the body is read, and the whole body goes to the other server.
func TestLargeBodies(t *testing.T) {
	back := func() string {
		return startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, err := io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprintf(w, "%d %v", n, err)
		}))
	}
	rg := newRig(t, back(), back())
	rg.vms[0].in.Gate.Configure(0, nil)
	const size = 3 << 20
	for _, chunked := range []bool{false, true} {
		req := rg.request("POST", "/a", "")
		var r io.Reader = bytes.NewReader(make([]byte, size))
		if chunked {
			r = io.MultiReader(r)
		}
		req.Body = io.NopCloser(r)
		req.ContentLength = size
		if chunked {
			req.ContentLength = -1
		}
		if rp := rg.do(req); rp.body != fmt.Sprintf("%d <nil>", size) {
			t.Errorf("chunked %t: %+v", chunked, rp)
		}
	}
}

// TestEndlessBody: a body of unknown length that exceeds the limit ends with an error. It is never
// buffered, so memory use stays bounded.
func TestEndlessBody(t *testing.T) {
	rs := newFaultyServer(t, func(_ net.Conn, _ int, req *http.Request) bool { faulty.ReadBody(req); return false })
	rg := newRig(t, rs.Addr)
	req := rg.request("POST", "/always/a", "")
	req.Body = io.NopCloser(io.LimitReader(zeros{}, proxy.MaxBody+1<<20))
	req.ContentLength = -1
	if rp := rg.do(req); rp.err == nil && rp.status < 400 {
		t.Errorf("got %+v", rp)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestSlowCallers: callers that send their body slowly or do not read their response hold a slot
// and memory of the outlet until their deadline and no longer. Other callers are served meanwhile.
func TestSlowCallers(t *testing.T) {
	big := strings.Repeat("x", 32<<20)
	back := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/short/big" {
			_, _ = io.WriteString(w, big)
		}
	}))
	rg := newRig(t, back)
	var serving atomic.Int64
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serving.Add(1)
		defer serving.Add(-1)
		rg.outlet.ServeHTTP(w, r)
	}))
	defer front.Close()
	addr := strings.TrimPrefix(front.URL, "http://")
	for _, text := range []string{
		"POST /short/slow HTTP/1.1\r\nHost: booking\r\nContent-Length: 70000\r\n\r\nx",
		"POST /short/slow HTTP/1.1\r\nHost: booking\r\nContent-Length: 10\r\n\r\nx",
		"GET /short/big HTTP/1.1\r\nHost: booking\r\n\r\n",
	} {
		cn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer cn.Close()
		_, _ = io.WriteString(cn, text)
	}
	eventually(t, func() bool { return serving.Load() == 3 })
	if rp := rg.do(rg.request("GET", "/a", "")); rp.status != http.StatusOK {
		t.Errorf("another caller got %+v", rp)
	}
	eventually(t, func() bool { return rg.vms[0].in.Gate.Load().Running == 0 && serving.Load() == 0 })
}

// TestCallerGone: when a caller cancels its request, the backend server learns that at once through
// both hops, and the slot is released.
func TestCallerGone(t *testing.T) {
	started, ended := make(chan bool, 1), make(chan error, 1)
	back := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		started <- true
		<-r.Context().Done()
		ended <- r.Context().Err()
	}))
	rg := newRig(t, back)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	rg.do(rg.request("GET", "/a", "").WithContext(ctx))
	if err := <-ended; err == nil {
		t.Error("the server did not learn that the caller had gone")
	}
	eventually(t, func() bool { return rg.vms[0].in.Gate.Load().Running == 0 })
}

// TestHTTP2Caller: a truncated response must not look complete over HTTP/2 either.
func TestHTTP2Caller(t *testing.T) {
	rs := newFaultyServer(t, func(cn net.Conn, n int, req *http.Request) bool {
		if req.URL.Path == "/whole" {
			return faulty.RespondOK(cn, n, req)
		}
		faulty.ReadBody(req)
		_, _ = fmt.Fprint(cn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		return false
	})
	rg := newRig(t, rs.Addr)
	var ps http.Protocols
	ps.SetUnencryptedHTTP2(true)
	cl := &http.Client{Transport: &http.Transport{Protocols: &ps, TLSClientConfig: &tls.Config{}}}
	defer cl.CloseIdleConnections()
	if rp := send(cl, rg.request("GET", "/whole", "")); rp.body != "ok /whole" {
		t.Errorf("a complete response: %+v", rp)
	}
	if rp := send(cl, rg.request("GET", "/half", "")); rp.err == nil && rp.outcome != "may-have-run" {
		t.Errorf("a truncated response looked complete: %+v", rp)
	}
}

// TestConfigurationChangeDuringRequest: a new version of the configuration removes the service and
// its VMs while a request is running. The request is completed under the version it began with, and
// new requests are refused.
func TestConfigurationChangeDuringRequest(t *testing.T) {
	started, proceed := make(chan bool), make(chan bool)
	rs := newFaultyServer(t, func(cn net.Conn, n int, req *http.Request) bool {
		started <- true
		<-proceed
		return faulty.RespondOK(cn, n, req)
	})
	rg := newRig(t, rs.Addr)
	var wg conc.WaitGroup
	var rp reply
	wg.Go(func() { rp = rg.do(rg.request("POST", "/once/a", "visit")) })
	<-started
	rg.sn = compile(t, "regions: [{name: r}]\nfailure-domains: [{name: a, region: r}]\n")
	rg.update()
	if other := rg.do(rg.request("GET", "/b", "")); other.status != http.StatusNotFound || other.outcome != "not-run" {
		t.Errorf("after the change: %+v", other)
	}
	close(proceed)
	wg.Wait()
	if rp.status != http.StatusOK || rp.body != "ok /once/a" {
		t.Errorf("the request that was running got %+v", rp)
	}
}

// TestManyCallers: hundreds of callers wait for a slow server at the same time. The outlet accepts
// a bounded number of them, refuses the others at once as not run, and serves requests again after
// the server has answered.
func TestManyCallers(t *testing.T) {
	const callers, most = 600, 512
	proceed := make(chan bool)
	rg := newRig(t, startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-proceed })))
	rg.vms[0].in.Gate.Configure(callers, nil)
	var refused, answered atomic.Int64
	var wg conc.WaitGroup
	for range callers {
		wg.Go(func() {
			switch rp := rg.do(rg.request("GET", "/long", "")); {
			case rp.status == http.StatusOK:
				answered.Add(1)
			case rp.outcome == "not-run" && rp.reason == "outlet-full" && rp.retryAfter == "1":
				refused.Add(1)
			default:
				t.Errorf("a caller got %+v", rp)
			}
		})
	}
	eventually(t, func() bool { return refused.Load() == callers-most })
	close(proceed)
	wg.Wait()
	if answered.Load() != most {
		t.Errorf("%d answered, want %d", answered.Load(), most)
	}
	if rp := rg.do(rg.request("GET", "/a", "")); rp.status != http.StatusOK {
		t.Errorf("afterwards a caller got %+v", rp)
	}
}

// TestManyBodies: callers send part of their body and stop. The outlet buffers only a bounded
// number of bytes; the other bodies are streamed, and of these requests those that get neither a
// slot nor a place in the queue are refused at once.
func TestManyBodies(t *testing.T) {
	rg := newRig(t, newFaultyServer(t, faulty.RespondOK).Addr)
	addr := strings.TrimPrefix(rg.front.URL, "http://")
	const kept = 4 << 20 / 60_000
	var refused atomic.Int64
	for range 3 * kept {
		cn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer cn.Close()
		_, _ = io.WriteString(cn, "POST /long HTTP/1.1\r\nHost: booking\r\nContent-Length: 60000\r\n\r\nx")
		go func() {
			if res, err := http.ReadResponse(bufio.NewReader(cn), nil); err == nil && res.Header.Get("Flamingomast-Reason") == "slots-full" {
				refused.Add(1)
			}
		}()
	}
	// A streamed request needs a slot or a place in the queue immediately.
	eventually(t, func() bool { return refused.Load() == 3*kept-kept-8 })
}

// TestConnections: a service has a limit of three connections and four concurrent requests. There
// must never be more connections than that, and all requests must be answered.
func TestConnections(t *testing.T) {
	var open, most atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hs := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		ConnState: func(_ net.Conn, cs http.ConnState) {
			switch cs {
			case http.StateNew:
				most.Store(max(most.Load(), open.Add(1)))
			case http.StateClosed:
				open.Add(-1)
			}
		},
	}
	go func() { _ = hs.Serve(ln) }()
	defer hs.Close()
	rg := newRig(t, ln.Addr().String())
	rg.vms[0].in.SetMaxConns(3)
	var wg conc.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 50 {
				if rp := rg.do(rg.request("GET", "/a", "")); rp.status != http.StatusOK {
					t.Errorf("got %+v", rp)
				}
			}
		})
	}
	wg.Wait()
	if n := most.Load(); n > 3 {
		t.Errorf("%d concurrent connections, limit 3", n)
	}
}

// TestNoBackendServer: the outlet refuses a request at once if the service has no server.
func TestNoBackendServer(t *testing.T) {
	rg := newRig(t)
	rp := rg.do(rg.request("GET", "/a", ""))
	if rp.outcome != "not-run" || rp.reason != "no-backend-server" || rp.retryAfter != "1" {
		t.Errorf("without a backend server: %+v", rp)
	}
}

// FuzzEdge: whatever a caller sends, the outlet answers in valid HTTP or closes the connection.
func FuzzEdge(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: booking\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: booking\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	rs := newFaultyServer(f, faulty.RespondOK)
	rg := newRig(f, rs.Addr)
	addr := strings.TrimPrefix(rg.front.URL, "http://")
	f.Fuzz(func(t *testing.T, text string) {
		cn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Skip(err)
		}
		defer cn.Close()
		_ = cn.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(cn, text)
		_ = cn.(*net.TCPConn).CloseWrite()
		br := bufio.NewReader(cn)
		if _, err := br.Peek(1); err != nil {
			return
		}
		if _, err := http.ReadResponse(br, nil); err != nil {
			t.Errorf("the response is not valid HTTP: %v", err)
		}
	})
}
