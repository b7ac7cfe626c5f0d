package inlet_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/path/ident"
	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// stage is an inlet before a backend server that does as a test says.
type rig struct {
	t  *testing.T
	in *inlet.Inlet
	// addr is where the server listens.
	addr string
	// started gets the path of each request that the server has read; it goes on with all
	// once proceed is closed.
	started chan string
	proceed chan struct{}

	mu      sync.Mutex
	server  *faulty.Server
	view    *poison.View
	reports []poison.Report
}

// newStage starts a server that answers once it may go on, unless behave says otherwise.
func newRig(t *testing.T, behave func(rg *rig, cn net.Conn, n int, req *http.Request) bool) *rig {
	t.Helper()
	rg := &rig{t: t, in: inlet.New(proxy.Options{}, nil), started: make(chan string, 16), proceed: make(chan struct{})}
	rg.serve("127.0.0.1:0", func(cn net.Conn, n int, req *http.Request) bool {
		faulty.ReadBody(req)
		rg.started <- req.URL.Path
		<-rg.proceed
		if behave != nil {
			return behave(rg, cn, n, req)
		}
		return faulty.Well(cn, n, req)
	})
	t.Cleanup(rg.crash)
	t.Cleanup(rg.in.Close)
	rg.in.Poison = func() *poison.View {
		rg.mu.Lock()
		defer rg.mu.Unlock()
		return rg.view
	}
	rg.in.Report = func(list []poison.Report) {
		rg.mu.Lock()
		defer rg.mu.Unlock()
		rg.reports = append(rg.reports, list...)
		rg.view, _ = rg.view.Merge(list, time.Now())
	}
	rg.in.Gate.Configure(8, []limit.Class{{Name: "default", Share: 10, Queue: 4}})
	rg.target("i-1")
	return rg
}

// serve starts a server at an address.
func (rg *rig) serve(addr string, fn faulty.Behave) {
	rg.t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		rg.t.Fatal(err)
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.server, rg.addr = faulty.Serve(ln, fn), ln.Addr().String()
}

// release ends the server with all that it runs.
func (rg *rig) crash() {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.server.Close()
}

func (rg *rig) target(lifetime string) {
	rg.in.SetTarget(inlet.Target{VM: "vm", Process: "p", Service: "booking", Addr: rg.addr, Lifetime: lifetime})
}

// ask sends a request to the inlet, of whose server ends its outlet knows some.
func (rg *rig) send(ctx context.Context, path string, ends int) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, "GET", "http://booking"+path, nil)
	for name, value := range map[string]string{
		result.VMHeader: "vm", result.ProcessHeader: "p", result.ServiceHeader: "booking", result.ClassHeader: "default",
	} {
		r.Header.Set(name, value)
	}
	if ends > 0 {
		r.Header.Set(result.EndsHeader, fmt.Sprint(ends))
	}
	w := httptest.NewRecorder()
	rg.in.ServeHTTP(w, r)
	return w
}

// ends returns how many servers ended under the request for a path, as was reported.
func (rg *rig) crashes(path string) int {
	r := httptest.NewRequest("GET", "http://booking"+path, nil)
	return rg.in.Poison().Ends(ident.Of(r, nil))
}

// crashServer is what a server does that ends under a request.
func crashServer(rg *rig, _ net.Conn, _ int, _ *http.Request) bool {
	rg.crash()
	return false
}

// TestCrashAttribution: when a server ends, all that it was running may be the cause, also what its
// outlet has given up on; and nothing else is one, or requests would be refused that every
// server can serve.
func TestCrashAttribution(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(rg *rig)
		// behave is what the server does in place of answering.
		behave func(rg *rig, cn net.Conn, n int, req *http.Request) bool
		// blamed are the paths of requests that it must be blamed against, once each.
		blamed []string
	}{
		{"ends with two running", func(rg *rig) {
			var wg sync.WaitGroup
			for _, path := range []string{"/a", "/b"} {
				wg.Go(func() { rg.send(context.Background(), path, 0) })
				<-rg.started
			}
			close(rg.proceed)
			wg.Wait()
		}, crashServer, []string{"/a", "/b"}},
		{"ends with one that its outlet gave up on", func(rg *rig) {
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { rg.send(ctx, "/gave-up", 0) })
			<-rg.started
			cancel()
			wg.Wait()
			rg.crash()
			close(rg.proceed)
			rg.send(context.Background(), "/next", 0)
		}, crashServer, []string{"/gave-up"}},
		{"breaks off one answer", func(rg *rig) {
			close(rg.proceed)
			rg.send(context.Background(), "/a", 0)
		}, func(*rig, net.Conn, int, *http.Request) bool { return false }, nil},
		{"is silent until the caller leaves", func(rg *rig) {
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { rg.send(ctx, "/a", 0) })
			<-rg.started
			cancel()
			wg.Wait()
			close(rg.proceed)
		}, nil, nil},
		{"said that it leaves", func(rg *rig) {
			var wg sync.WaitGroup
			wg.Go(func() { rg.send(context.Background(), "/a", 0) })
			<-rg.started
			rg.in.Gate.Drain()
			close(rg.proceed)
			wg.Wait()
		}, crashServer, nil},
		{"was gone before", func(rg *rig) {
			close(rg.proceed)
			rg.crash()
			rg.send(context.Background(), "/a", 0)
		}, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rg := newRig(t, tc.behave)
			tc.run(rg)
			for _, path := range []string{"/a", "/b", "/gave-up", "/next"} {
				want := 0
				if strings.Contains(strings.Join(tc.blamed, " ")+" ", path+" ") {
					want = 1
				}
				if got := rg.crashes(path); got != want {
					t.Errorf("%d ends are blamed against %s, want %d", got, path, want)
				}
			}
		})
	}
}

// TestCrashBeforeRequest guards against blame for a request that was sent on a kept connection
// just after its server ended.
func TestCrashBeforeRequest(t *testing.T) {
	rg := newRig(t, nil)
	close(rg.proceed)
	rg.send(context.Background(), "/a", 0)
	rg.crash()
	rg.send(context.Background(), "/b", 0)
	for _, path := range []string{"/a", "/b"} {
		if got := rg.crashes(path); got != 0 {
			t.Errorf("%d ends are blamed against %s, want 0", got, path)
		}
	}
}

// TestResponseClearsSuspect: a lookup that many callers make ran beside the cause of two ends. One
// answer by a server that lives shows that it is not the cause.
func TestResponseClearsSuspect(t *testing.T) {
	rg := newRig(t, nil)
	close(rg.proceed)
	r := httptest.NewRequest("GET", "http://booking/same", nil)
	for en := range poison.End(2) {
		rg.in.Report([]poison.Report{{Head: ident.Head(r), Key: ident.Of(r, nil), End: en, At: time.Now()}})
	}
	if w := rg.send(context.Background(), "/same", 2); w.Code != http.StatusOK {
		t.Fatalf("answered %d", w.Code)
	}
	if got := rg.crashes("/same"); got != 0 {
		t.Errorf("%d ends count after an answer", got)
	}
}

// TestSuspectsRunOneAtATime: two requests had both been beside each other at two ends. Run
// together at a third server, both would be refused for good; run apart, one of them is
// answered. A third one that nothing is known of runs beside either.
func TestSuspectsRunOneAtATime(t *testing.T) {
	rg := newRig(t, nil)
	var wg sync.WaitGroup
	wg.Go(func() { rg.send(context.Background(), "/one", poison.Apart) })
	<-rg.started
	w := rg.send(context.Background(), "/two", poison.Apart)
	if got := result.Reason(w.Header().Get(result.ReasonHeader)); got != result.ReasonApart || w.Header().Get(result.OutcomeHeader) != result.NotRun.String() {
		t.Errorf("the second suspect got %s/%s", w.Header().Get(result.OutcomeHeader), got)
	}
	wg.Go(func() {
		if w := rg.send(context.Background(), "/beside", poison.Apart-1); w.Code != http.StatusOK {
			t.Errorf("one beside a suspect got %d", w.Code)
		}
	})
	<-rg.started
	close(rg.proceed)
	wg.Wait()
	if w := rg.send(context.Background(), "/two", poison.Apart); w.Code != http.StatusOK {
		t.Errorf("the second suspect got %d once the first was answered", w.Code)
	}
}

// TestCrashPerInstance: the same address is back after some seconds as another lifetime, and ends
// again under the same request. That is two ends; the same lifetime ends once, however
// many find out.
func TestCrashPerInstance(t *testing.T) {
	rg := newRig(t, crashServer)
	close(rg.proceed)
	for i, lifetime := range []string{"i-1", "i-2"} {
		if i > 0 {
			rg.serve(rg.addr, func(cn net.Conn, n int, req *http.Request) bool { return crashServer(rg, cn, n, req) })
		}
		rg.target(lifetime)
		rg.send(context.Background(), "/a", 0)
		rg.send(context.Background(), "/a", 0)
		if got := rg.crashes("/a"); got != i+1 {
			t.Errorf("%d ends after the end of %s, want %d", got, lifetime, i+1)
		}
	}
}

// TestTransientRefusal: a server refused connections for a moment and was taken to have
// ended. It announces itself again, and an answer that it breaks off later is no end.
func TestTransientRefusal(t *testing.T) {
	rg := newRig(t, crashServer)
	close(rg.proceed)
	rg.send(context.Background(), "/a", 0)
	rg.in.SetTarget(inlet.Target{VM: "vm", Process: "p"})
	rg.serve(rg.addr, func(_ net.Conn, _ int, req *http.Request) bool {
		faulty.ReadBody(req)
		return false
	})
	rg.target("i-1")
	w := rg.send(context.Background(), "/b", 0)
	if got := result.Reason(w.Header().Get(result.ReasonHeader)); got != result.ReasonBroken || rg.crashes("/b") != 0 {
		t.Errorf("reason %s, %d ends; want %s and none", got, rg.crashes("/b"), result.ReasonBroken)
	}
}
