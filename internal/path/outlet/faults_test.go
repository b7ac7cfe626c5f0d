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

// kinds are the requests that each fault meets.
var kinds = []struct {
	name, method, path, body string
	hdr                      []string
	// repeatable says that the rules let it be sent again when it may have run.
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

// TestServerFails: the only backend server fails in each way, for each kind of
// request. It must see the request exactly once, whatever the transport or we
// might like to repeat, and the caller must be told that it may have run, or
// see the answer break; never a short answer that looks whole.
func TestServerFails(t *testing.T) {
	for _, fa := range faulty.Faults {
		t.Run(fa.Name, func(t *testing.T) {
			for _, kd := range kinds {
				t.Run(kd.name, func(t *testing.T) {
					t.Parallel()
					rs := newRaw(t, fa.Handler)
					rg := newRig(t, rs.Addr)
					an := rg.do(rg.request(kd.method, kd.path, kd.body, kd.hdr...))
					if n := rs.RequestCount(); n != 1 {
						t.Errorf("the server saw the request %d times", n)
					}
					switch {
					case fa.HeadSent && an.err == nil && an.outcome != "may-have-run":
						t.Errorf("a broken answer looked whole: %+v", an)
					case !fa.HeadSent && (an.outcome != "may-have-run" || an.status != http.StatusBadGateway || an.err != nil):
						t.Errorf("the caller got %+v, want may-have-run", an)
					}
				})
			}
		})
	}
}

// TestServerFailsOnKeptConnection: the server answers one request and closes
// when it has read the next one on the same connection. This is where
// net/http's Transport sends again on its own what it takes for replayable.
func TestServerFailsOnKeptConnection(t *testing.T) {
	fn := func(cn net.Conn, n int, req *http.Request) bool {
		if n == 1 {
			return faulty.RespondOK(cn, n, req)
		}
		faulty.ReadBody(req)
		return false
	}
	for _, kd := range kinds {
		t.Run(kd.name, func(t *testing.T) {
			rs := newRaw(t, fn)
			rg := newRig(t, rs.Addr)
			if an := rg.do(rg.request("GET", "/first", "")); an.status != http.StatusOK {
				t.Fatalf("the first request: %+v", an)
			}
			an := rg.do(rg.request(kd.method, kd.path, kd.body, kd.hdr...))
			if n := rs.RequestCount(); n != 2 {
				t.Errorf("the server saw %d requests, want the first and this one once", n)
			}
			if an.outcome != "may-have-run" {
				t.Errorf("the caller got %+v", an)
			}
		})
	}
}

// TestTransportResends shows the trap that the test above guards against: the
// transport as it comes sends such requests twice.
func TestTransportResends(t *testing.T) {
	for _, tc := range []struct {
		method, key string
		want        int
	}{{"GET", "", 3}, {"DELETE", "k", 3}, {"POST", "k", 3}, {"POST", "", 2}} {
		rs := newRaw(t, func(cn net.Conn, n int, req *http.Request) bool { return n == 1 && faulty.RespondOK(cn, n, req) })
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

// TestOtherServerHelps: one of two servers fails in each way. What may be
// repeated is answered by the other; what may not has run once in all, and the
// caller is told that it may have run.
func TestOtherServerHelps(t *testing.T) {
	for _, fa := range faulty.Faults {
		if fa.HeadSent {
			continue
		}
		for _, kd := range kinds {
			t.Run(fa.Name+"/"+kd.name, func(t *testing.T) {
				t.Parallel()
				bad, good := newRaw(t, fa.Handler), newRaw(t, faulty.RespondOK)
				// The failing server is in the own failure domain: tried first.
				rg := newRig(t, bad.Addr, good.Addr)
				an := rg.do(rg.request(kd.method, kd.path, kd.body, kd.hdr...))
				runs := [2]int{bad.RequestCount(), good.RequestCount()}
				if kd.repeatable && (an.status != http.StatusOK || runs != [2]int{1, 1}) {
					t.Errorf("got %+v, runs %v; want it answered by the other", an, runs)
				}
				if !kd.repeatable && (an.outcome != "may-have-run" || runs != [2]int{1, 0}) {
					t.Errorf("got %+v, runs %v; want one run", an, runs)
				}
			})
		}
	}
}

// TestNotRunGoesElsewhere: one of two servers refuses truly: nobody listens,
// the server says so in the agreed way, its slots are full, it drains, its
// inlet is another VM's, or its VM is gone. Every kind of request is then
// answered by the other server and runs once.
func TestNotRunGoesElsewhere(t *testing.T) {
	// Port 1 of loopback: nobody listens, and no other test gets it.
	const dead = "127.0.0.1:1"
	for _, tc := range []struct {
		name  string
		fn    faulty.Handler
		spoil func(rg *rig)
		// reason is given when there is no other server, and runs is how many
		// heads the refusing server sees.
		reason string
		runs   int
	}{
		{"nobody listens", nil, func(rg *rig) {
			rg.vms[0].in.SetTarget(inlet.Target{VM: "vm-0", Process: pick.Process(rg.vms[0].rec), Service: "booking", Addr: dead})
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
		{"the outlet shows no token", nil, func(rg *rig) { rg.vms[0].in.Token = "hush" }, "token-missing-or-wrong", 0},
		{"the VM is gone", nil, func(rg *rig) { rg.vms[0].http.Close() }, "no-connection", 0},
	} {
		for _, kd := range kinds {
			t.Run(tc.name+"/"+kd.name, func(t *testing.T) {
				fn := tc.fn
				if fn == nil {
					fn = faulty.RespondOK
				}
				bad, good := newRaw(t, fn), newRaw(t, faulty.RespondOK)
				rg := newRig(t, bad.Addr, good.Addr)
				tc.spoil(rg)
				an := rg.do(rg.request(kd.method, kd.path, kd.body, kd.hdr...))
				if an.status != http.StatusOK || bad.RequestCount() != tc.runs || good.RequestCount() != 1 {
					t.Errorf("got %+v, runs %d and %d", an, bad.RequestCount(), good.RequestCount())
				}
				alone := newRig(t, bad.Addr)
				tc.spoil(alone)
				an = alone.do(alone.request(kd.method, kd.path, kd.body, kd.hdr...))
				if an.outcome != "not-run" || an.reason != tc.reason {
					t.Errorf("without another server got %+v, want not-run for %s", an, tc.reason)
				}
			})
		}
	}
}

// TestFrozenServer: the server reads the request and never answers. The caller
// is told at its deadline, not later, that it may have run, and the slot is
// free again.
func TestFrozenServer(t *testing.T) {
	done, given := make(chan struct{}), make(chan string, 1)
	rs := newRaw(t, func(_ net.Conn, _ int, req *http.Request) bool {
		faulty.ReadBody(req)
		given <- req.Header.Get("Flamingomast-Timeout-Ms")
		<-done
		return false
	})
	rg := newRig(t, rs.Addr)
	an := rg.do(rg.request("POST", "/short", "visit"))
	close(done)
	if an.status != http.StatusGatewayTimeout || an.outcome != "may-have-run" || an.reason != "deadline-passed" {
		t.Errorf("got %+v", an)
	}
	if ms, err := strconv.Atoi(<-given); rs.RequestCount() != 1 || err != nil || ms > 200 {
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
			t.Fatal("the condition did not come")
		case <-tick.C:
		}
	}
}

// TestSurplusBytes: a server sends more than its answer, in the same write, in
// each form of body. The surplus is a whole answer by itself and would be
// taken for the answer to the next caller's request on that connection.
func TestSurplusBytes(t *testing.T) {
	const stolen = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen"
	for _, tc := range []struct{ name, answer string }{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n"},
		{"chunked, with a blank line within", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nfi\r\n\r\nrst\r\n0\r\n\r\n"},
		{"chunked, with trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nfirst\r\n0\r\nX: y\r\n\r\n"},
		{"without a body", "HTTP/1.1 204 No Content\r\n\r\n"},
		{"of length 0", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rs := newRaw(t, func(cn net.Conn, n int, req *http.Request) bool {
				if strings.HasPrefix(req.URL.Path, "/good") {
					return faulty.RespondOK(cn, n, req)
				}
				faulty.ReadBody(req)
				_, err := fmt.Fprint(cn, tc.answer, stolen)
				return err == nil
			})
			rg := newRig(t, rs.Addr)
			for i := range 50 {
				if an := rg.do(rg.request("GET", "/bad", "")); an.err != nil || strings.Contains(an.body, "stolen") {
					t.Fatalf("round %d: the bad answer: %+v", i, an)
				}
				path := fmt.Sprint("/good/", i)
				if an := rg.do(rg.request("GET", path, "")); an.body != "ok "+path {
					t.Fatalf("round %d: the next caller got %+v", i, an)
				}
			}
		})
	}
}

// TestOwnAnswers: hundreds of callers at once, each with an answer of its own,
// some of which give up, some read slowly, and some answers break off. Each
// caller gets its own answer whole or an error.
func TestOwnAnswers(t *testing.T) {
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
			// Breaks off in the middle.
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
				an := send(cl, req)
				cancel()
				if an.err == nil && an.status == http.StatusOK {
					want := sha256.Sum256([]byte(text(id)))
					if got := sha256.Sum256([]byte(an.body)); got != want {
						t.Errorf("request %d: an answer of %d bytes, digest %s, want %d bytes", id, len(an.body), hex.EncodeToString(got[:4]), len(text(id)))
					}
				}
				if id%5 == 2 && an.err == nil && an.status == http.StatusOK {
					t.Errorf("request %d: an answer that broke off looked whole", id)
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
