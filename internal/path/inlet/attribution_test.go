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

// rig is an inlet in front of a backend server whose behavior a test chooses.
type rig struct {
	t  *testing.T
	in *inlet.Inlet
	// addr is where the server listens.
	addr string
	// started receives the path of each request that the server has read. The server continues once
	// proceed is closed.
	started chan string
	proceed chan struct{}

	mu      sync.Mutex
	server  *faulty.Server
	view    *poison.View
	reports []poison.Report
}

// newRig starts a server that answers each request once proceed is closed, or calls behave if that
// is not nil.
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
		return faulty.RespondOK(cn, n, req)
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
func (rg *rig) serve(addr string, fn faulty.Handler) {
	rg.t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		rg.t.Fatal(err)
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.server, rg.addr = faulty.Serve(ln, fn), ln.Addr().String()
}

// crash closes the server and all its connections.
func (rg *rig) crash() {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.server.Close()
}

func (rg *rig) target(lifetime string) {
	rg.in.SetTarget(inlet.Target{VM: "vm", Process: "p", Service: "booking", Addr: rg.addr, Lifetime: lifetime})
}

// send sends a request to the inlet; crashCount is the number of crashes that its outlet knows of.
func (rg *rig) send(ctx context.Context, path string, crashCount int) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, "GET", "http://booking"+path, nil)
	for name, value := range map[string]string{
		result.VMHeader: "vm", result.ProcessHeader: "p", result.ServiceHeader: "booking", result.ClassHeader: "default",
	} {
		r.Header.Set(name, value)
	}
	if crashCount > 0 {
		r.Header.Set(result.CrashesHeader, fmt.Sprint(crashCount))
	}
	w := httptest.NewRecorder()
	rg.in.ServeHTTP(w, r)
	return w
}

// crashes returns how many crashes were reported for the request for a path.
func (rg *rig) crashes(path string) int {
	r := httptest.NewRequest("GET", "http://booking"+path, nil)
	return rg.in.Poison().CrashCount(ident.KeyOf(r, nil))
}

// crashServer is the behavior of a server that crashes while it runs a request.
func crashServer(rg *rig, _ net.Conn, _ int, _ *http.Request) bool {
	rg.crash()
	return false
}

// TestCrashAttribution guards against wrong attribution of a crash. Each request that the server
// was running may be the cause, also one that its outlet gave up on. No other request is: it would
// be refused although every server can serve it.
func TestCrashAttribution(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(rg *rig)
		// behave replaces the server's response.
		behave func(rg *rig, cn net.Conn, n int, req *http.Request) bool
		// blamed are the paths of the requests that the crash counts against, once each.
		blamed []string
	}{
		{"crashes with two requests running", func(rg *rig) {
			var wg sync.WaitGroup
			for _, path := range []string{"/a", "/b"} {
				wg.Go(func() { rg.send(context.Background(), path, 0) })
				<-rg.started
			}
			close(rg.proceed)
			wg.Wait()
		}, crashServer, []string{"/a", "/b"}},
		{"crashes with a request that its outlet gave up on", func(rg *rig) {
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
		{"breaks off one response", func(rg *rig) {
			close(rg.proceed)
			rg.send(context.Background(), "/a", 0)
		}, func(*rig, net.Conn, int, *http.Request) bool { return false }, nil},
		{"does not respond until the caller has gone", func(rg *rig) {
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { rg.send(ctx, "/a", 0) })
			<-rg.started
			cancel()
			wg.Wait()
			close(rg.proceed)
		}, nil, nil},
		{"crashes while draining", func(rg *rig) {
			var wg sync.WaitGroup
			wg.Go(func() { rg.send(context.Background(), "/a", 0) })
			<-rg.started
			rg.in.Gate.Drain()
			close(rg.proceed)
			wg.Wait()
		}, crashServer, nil},
		{"crashed before the request", func(rg *rig) {
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
					t.Errorf("%d crashes count against %s, want %d", got, path, want)
				}
			}
		})
	}
}

// TestCrashBeforeRequest guards against blaming a request that was sent on a keep-alive connection
// just after its server crashed.
func TestCrashBeforeRequest(t *testing.T) {
	rg := newRig(t, nil)
	close(rg.proceed)
	rg.send(context.Background(), "/a", 0)
	rg.crash()
	rg.send(context.Background(), "/b", 0)
	for _, path := range []string{"/a", "/b"} {
		if got := rg.crashes(path); got != 0 {
			t.Errorf("%d crashes count against %s, want 0", got, path)
		}
	}
}

// TestResponseClearsSuspect guards against refusing a common lookup that happened to run beside the
// cause of two crashes. One response from a server that survives shows that it is not the cause.
func TestResponseClearsSuspect(t *testing.T) {
	rg := newRig(t, nil)
	close(rg.proceed)
	r := httptest.NewRequest("GET", "http://booking/same", nil)
	for crashID := range poison.CrashID(2) {
		rg.in.Report([]poison.Report{{Head: ident.HeaderHash(r), Key: ident.KeyOf(r, nil), Crash: crashID, At: time.Now()}})
	}
	if w := rg.send(context.Background(), "/same", 2); w.Code != http.StatusOK {
		t.Fatalf("status %d, want 200", w.Code)
	}
	if got := rg.crashes("/same"); got != 0 {
		t.Errorf("%d crashes still count after a response, want 0", got)
	}
}

// TestSuspectsRunOneAtATime guards against refusing two requests for good because they ran together
// at each crash. Run one at a time, the harmless one is answered. A request without known crashes
// runs beside either.
func TestSuspectsRunOneAtATime(t *testing.T) {
	rg := newRig(t, nil)
	var wg sync.WaitGroup
	wg.Go(func() { rg.send(context.Background(), "/one", poison.IsolateThreshold) })
	<-rg.started
	w := rg.send(context.Background(), "/two", poison.IsolateThreshold)
	if got := result.Reason(w.Header().Get(result.ReasonHeader)); got != result.ReasonSuspectRunning || w.Header().Get(result.OutcomeHeader) != result.NotRun.String() {
		t.Errorf("second suspect request got %s/%s", w.Header().Get(result.OutcomeHeader), got)
	}
	wg.Go(func() {
		if w := rg.send(context.Background(), "/beside", poison.IsolateThreshold-1); w.Code != http.StatusOK {
			t.Errorf("request beside a suspect got status %d, want 200", w.Code)
		}
	})
	<-rg.started
	close(rg.proceed)
	wg.Wait()
	if w := rg.send(context.Background(), "/two", poison.IsolateThreshold); w.Code != http.StatusOK {
		t.Errorf("second suspect request got status %d after the first was answered, want 200", w.Code)
	}
}

// TestCrashPerInstance checks that a server that is restarted at the same address as a new instance
// and crashes on the same request counts as two crashes, and that one instance counts once however
// often its crash is detected.
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
			t.Errorf("%d crashes after that of instance %s, want %d", got, lifetime, i+1)
		}
	}
}

// TestTransientRefusal guards against a server that refused connections for a moment counting as
// crashed from then on. After it announces itself again, a response that it breaks off is no crash.
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
	if got := result.Reason(w.Header().Get(result.ReasonHeader)); got != result.ReasonConnectionBroken || rg.crashes("/b") != 0 {
		t.Errorf("reason %s, %d crashes; want %s and none", got, rg.crashes("/b"), result.ReasonConnectionBroken)
	}
}
