package outlet_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// requestKinds are the kinds of requests that each fault is tested with.
var requestKinds = []struct {
	name, method, path, body string
	hdr                      []string
	// repeatable says that the rules allow a retry when the request may have run.
	repeatable bool
}{
	{"GET", "GET", "/a", "", nil, true},
	{"GET once", "GET", "/once/a", "", nil, false},
	{"GET once with key", "GET", "/once/a", "", []string{"Idempotency-Key", "k"}, false},
	{"POST", "POST", "/a", "visit", nil, false},
	{"POST with key", "POST", "/a", "visit", []string{"Idempotency-Key", "k"}, false},
	{"POST without body", "POST", "/a", "", nil, false},
	{"POST without body, with key", "POST", "/a", "", []string{"Idempotency-Key", "k"}, false},
	{"DELETE with key", "DELETE", "/a", "", []string{"Idempotency-Key", "k"}, false},
	{"PUT always", "PUT", "/always/a", "count", nil, true},
}

// TestServerFails: the only backend server fails in each way, for each kind of request. It must
// receive the request exactly once, without a retry by the transport or the outlet. The caller must
// be told that the request may have run, or must see its connection break; a truncated response
// must never look complete.
func TestServerFails(t *testing.T) {
	for _, fa := range faulty.Faults {
		t.Run(fa.Name, func(t *testing.T) {
			for _, kd := range requestKinds {
				t.Run(kd.name, func(t *testing.T) {
					t.Parallel()
					rs := newFaultyServer(t, fa.Handler)
					rg := newRig(t, rs.Addr)
					rp := rg.do(rg.request(kd.method, kd.path, kd.body, kd.hdr...))
					if n := rs.RequestCount(); n != 1 {
						t.Errorf("the server saw the request %d times", n)
					}
					switch {
					case fa.HeadSent && rp.err == nil && rp.outcome != "may-have-run":
						t.Errorf("a truncated response looked complete: %+v", rp)
					case !fa.HeadSent && (rp.outcome != "may-have-run" || rp.status != http.StatusBadGateway || rp.err != nil):
						t.Errorf("the caller got %+v, want may-have-run", rp)
					}
				})
			}
		})
	}
}

// TestServerFailsOnKeptConnection: the server answers one request and closes the connection after
// it has read the next one. In this case net/http's Transport resends on its own a request that it
// considers replayable.
func TestServerFailsOnKeptConnection(t *testing.T) {
	fn := func(cn net.Conn, n int, req *http.Request) bool {
		if n == 1 {
			return faulty.RespondOK(cn, n, req)
		}
		faulty.ReadBody(req)
		return false
	}
	for _, kd := range requestKinds {
		t.Run(kd.name, func(t *testing.T) {
			rs := newFaultyServer(t, fn)
			rg := newRig(t, rs.Addr)
			if rp := rg.do(rg.request("GET", "/first", "")); rp.status != http.StatusOK {
				t.Fatalf("the first request: %+v", rp)
			}
			rp := rg.do(rg.request(kd.method, kd.path, kd.body, kd.hdr...))
			if n := rs.RequestCount(); n != 2 {
				t.Errorf("the server saw %d requests, want the first and this one once", n)
			}
			if rp.outcome != "may-have-run" {
				t.Errorf("the caller got %+v", rp)
			}
		})
	}
}

// TestTransportResends shows the behavior that the test above guards against: http.Transport sends
// such requests twice by default.
func TestTransportResends(t *testing.T) {
	for _, tc := range []struct {
		method, key string
		want        int
	}{{"GET", "", 3}, {"DELETE", "k", 3}, {"POST", "k", 3}, {"POST", "", 2}} {
		rs := newFaultyServer(t, func(cn net.Conn, n int, req *http.Request) bool { return n == 1 && faulty.RespondOK(cn, n, req) })
		tr := &http.Transport{}
		cl := &http.Client{Transport: tr}
		for range 2 {
			req, err := http.NewRequest(tc.method, "http://"+rs.Addr, nil)
			if err != nil {
				t.Fatal(err)
			}
			if tc.key != "" {
				req.Header.Set("Idempotency-Key", tc.key)
			}
			send(cl, req)
		}
		if n := rs.RequestCount(); n != tc.want {
			t.Errorf("%s key %q: the server saw %d requests, want %d", tc.method, tc.key, n, tc.want)
		}
		tr.CloseIdleConnections()
	}
}

// TestRetryOnOtherServer: one of two servers fails in each way. A request that may be retried is
// answered by the other server. Any other request runs once in total, and the caller is told that
// it may have run.
func TestRetryOnOtherServer(t *testing.T) {
	for _, fa := range faulty.Faults {
		if fa.HeadSent {
			continue
		}
		for _, kd := range requestKinds {
			t.Run(fa.Name+"/"+kd.name, func(t *testing.T) {
				t.Parallel()
				bad, good := newFaultyServer(t, fa.Handler), newFaultyServer(t, faulty.RespondOK)
				// The failing server is in the outlet's own failure domain and is therefore tried
				// first.
				rg := newRig(t, bad.Addr, good.Addr)
				rp := rg.do(rg.request(kd.method, kd.path, kd.body, kd.hdr...))
				runs := [2]int{bad.RequestCount(), good.RequestCount()}
				if kd.repeatable && (rp.status != http.StatusOK || runs != [2]int{1, 1}) {
					t.Errorf("got %+v, runs %v; want a response of the other server", rp, runs)
				}
				if !kd.repeatable && (rp.outcome != "may-have-run" || runs != [2]int{1, 0}) {
					t.Errorf("got %+v, runs %v; want one run", rp, runs)
				}
			})
		}
	}
}

// TestNotRunSentElsewhere: one of two servers does not run the request: nothing listens there, the
// server sheds with the agreed header, its slots are full, it drains, its inlet belongs to another
// VM or process, or its VM no longer exists. Every kind of request is then answered by the other
// server and runs once.
func TestNotRunSentElsewhere(t *testing.T) {
	// Nothing listens on port 1 of the loopback address, and no other test is given it.
	const unusedAddr = "127.0.0.1:1"
	for _, tc := range []struct {
		name        string
		fn          faulty.Handler
		injectFault func(rg *rig)
		// reason is what the caller is told if there is no other server, runs how many requests the
		// refusing server sees.
		reason string
		runs   int
	}{
		{"nothing listens", nil, func(rg *rig) {
			rg.vms[0].in.SetTarget(inlet.Target{VM: "vm-0", Process: pick.Process(rg.vms[0].rec), Service: "booking", Addr: unusedAddr})
		}, "no-connection", 0},
		{"the server sheds", func(cn net.Conn, _ int, req *http.Request) bool {
			faulty.ReadBody(req)
			_, err := fmt.Fprint(cn, "HTTP/1.1 503 Busy\r\nFlamingomast-Not-Run: 1\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}, func(*rig) {}, "shed-by-server", 1},
		{"full", nil, func(rg *rig) { rg.vms[0].in.Gate.Configure(0, nil) }, "slots-full", 0},
		{"draining", nil, func(rg *rig) { rg.vms[0].in.Gate.Drain() }, "draining", 0},
		{"no server announced", nil, func(rg *rig) {
			rg.vms[0].in.SetTarget(inlet.Target{VM: "vm-0", Process: pick.Process(rg.vms[0].rec)})
		}, "no-backend-server", 0},
		{"another VM has the address", nil, func(rg *rig) {
			rg.vms[0].in.SetTarget(inlet.Target{VM: "vm-9", Process: "x", Service: "portal", Addr: rg.vms[0].addr})
		}, "wrong-target", 0},
		{"another process has the address", nil, func(rg *rig) {
			rg.vms[0].in.SetTarget(inlet.Target{VM: "vm-0", Process: "x", Service: "booking", Addr: rg.vms[0].addr})
		}, "wrong-target", 0},
		{"the outlet sends no token", nil, func(rg *rig) { rg.vms[0].in.Token = "hush" }, "token-missing-or-wrong", 0},
		{"the VM is gone", nil, func(rg *rig) { rg.vms[0].http.Close() }, "no-connection", 0},
	} {
		for _, kd := range requestKinds {
			t.Run(tc.name+"/"+kd.name, func(t *testing.T) {
				fn := tc.fn
				if fn == nil {
					fn = faulty.RespondOK
				}
				bad, good := newFaultyServer(t, fn), newFaultyServer(t, faulty.RespondOK)
				rg := newRig(t, bad.Addr, good.Addr)
				tc.injectFault(rg)
				rp := rg.do(rg.request(kd.method, kd.path, kd.body, kd.hdr...))
				if rp.status != http.StatusOK || bad.RequestCount() != tc.runs || good.RequestCount() != 1 {
					t.Errorf("got %+v, runs %d and %d", rp, bad.RequestCount(), good.RequestCount())
				}
				alone := newRig(t, bad.Addr)
				tc.injectFault(alone)
				rp = alone.do(alone.request(kd.method, kd.path, kd.body, kd.hdr...))
				if rp.outcome != "not-run" || rp.reason != tc.reason {
					t.Errorf("without another server got %+v, want not-run for %s", rp, tc.reason)
				}
			})
		}
	}
}

// TestFrozenServer: the server reads the request and never answers. At its deadline, not later, the
// caller is told that the request may have run, and the slot is released.
func TestFrozenServer(t *testing.T) {
	done, timeouts := make(chan struct{}), make(chan string, 1)
	rs := newFaultyServer(t, func(_ net.Conn, _ int, req *http.Request) bool {
		faulty.ReadBody(req)
		timeouts <- req.Header.Get("Flamingomast-Timeout-Ms")
		<-done
		return false
	})
	rg := newRig(t, rs.Addr)
	rp := rg.do(rg.request("POST", "/short", "visit"))
	close(done)
	if rp.status != http.StatusGatewayTimeout || rp.outcome != "may-have-run" || rp.reason != "deadline-passed" {
		t.Errorf("got %+v", rp)
	}
	if ms, err := strconv.Atoi(<-timeouts); rs.RequestCount() != 1 || err != nil || ms > 200 {
		t.Errorf("the server saw it %d times, with %d ms left of 200", rs.RequestCount(), ms)
	}
	eventually(t, func() bool { return rg.vms[0].in.Gate.Load().Running == 0 })
}

func eventually(t testing.TB, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			t.Fatal("condition not met within 20 s")
		case <-tick.C:
		}
	}
}

// TestSurplusBytes: a server sends bytes after its response in the same write, with each form of
// body. These bytes are a complete response themselves and could be taken for the response to the
// next caller's request on the connection.
func TestSurplusBytes(t *testing.T) {
	const injected = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen"
	for _, tc := range []struct{ name, response string }{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n"},
		{"chunked, with a blank line within", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nfi\r\n\r\nrst\r\n0\r\n\r\n"},
		{"chunked, with trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nfirst\r\n0\r\nX: y\r\n\r\n"},
		{"without a body", "HTTP/1.1 204 No Content\r\n\r\n"},
		{"of length 0", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rs := newFaultyServer(t, func(cn net.Conn, n int, req *http.Request) bool {
				if strings.HasPrefix(req.URL.Path, "/good") {
					return faulty.RespondOK(cn, n, req)
				}
				faulty.ReadBody(req)
				_, err := fmt.Fprint(cn, tc.response, injected)
				return err == nil
			})
			rg := newRig(t, rs.Addr)
			for i := range 50 {
				if rp := rg.do(rg.request("GET", "/bad", "")); rp.err != nil || strings.Contains(rp.body, "stolen") {
					t.Fatalf("round %d: the bad response: %+v", i, rp)
				}
				path := fmt.Sprint("/good/", i)
				if rp := rg.do(rg.request("GET", path, "")); rp.body != "ok "+path {
					t.Fatalf("round %d: the next caller got %+v", i, rp)
				}
			}
		})
	}
}

// TestAnswersNotMixed: hundreds of concurrent callers have an individual response each. Some
// callers cancel, and some responses are truncated. Each caller must get its own response
// completely or an error.
func TestAnswersNotMixed(t *testing.T) {
	size := func(id int) int { return (id * 7919) % 70_000 }
	text := func(id int) string { return strings.Repeat(fmt.Sprintf("%08d", id), size(id)/8+1) }
	back := func(w http.ResponseWriter, r *http.Request) {
		var id int
		_, _ = fmt.Sscanf(r.URL.Path, "/id/%d", &id)
		body := text(id)
		switch id % 5 {
		case 0:
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		case 1:
			_ = http.NewResponseController(w).Flush()
		case 2:
			// The response is truncated in the middle.
			_, _ = io.WriteString(w, body[:len(body)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, body)
	}
	var addrs []string
	for range 3 {
		addrs = append(addrs, startServer(t, http.HandlerFunc(back)))
	}
	rg := newRig(t, addrs...)
	for _, vm := range rg.vms {
		vm.in.Gate.Configure(200, nil)
	}
	cl := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
	var wg conc.WaitGroup
	for w := range 30 {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(1, uint64(w)))
			for n := range 20 {
				id := w*20 + n
				ctx, cancel := context.WithCancel(context.Background())
				if rnd.IntN(4) == 0 {
					time.AfterFunc(time.Duration(rnd.IntN(3000))*time.Microsecond, cancel)
				}
				req := rg.request("GET", fmt.Sprint("/id/", id), "").WithContext(ctx)
				rp := send(cl, req)
				cancel()
				if rp.err == nil && rp.status == http.StatusOK {
					want := sha256.Sum256([]byte(text(id)))
					if got := sha256.Sum256([]byte(rp.body)); got != want {
						t.Errorf("request %d: a response of %d bytes, digest %s, want %d bytes", id, len(rp.body), hex.EncodeToString(got[:4]), len(text(id)))
					}
				}
				if id%5 == 2 && rp.err == nil && rp.status == http.StatusOK {
					t.Errorf("request %d: a truncated response looked complete", id)
				}
			}
		})
	}
	wg.Wait()
}

func startServer(t testing.TB, h http.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hs := &http.Server{Handler: h}
	go func() {
		if err := hs.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { hs.Close() })
	return ln.Addr().String()
}
