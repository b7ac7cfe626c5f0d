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
type stage struct {
	t  *testing.T
	in *inlet.Inlet
	// addr is where the server listens.
	addr string
	// begun gets the path of each request that the server has read; it goes on with all
	// once goOn is closed.
	begun chan string
	goOn  chan struct{}

	mu      sync.Mutex
	up      *faulty.Server
	view    *poison.View
	reports []poison.Report
}

// newStage starts a server that answers once it may go on, unless fails says otherwise.
func newStage(t *testing.T, fails func(st *stage, cn net.Conn, n int, req *http.Request) bool) *stage {
	t.Helper()
	st := &stage{t: t, in: inlet.New(proxy.Options{}, nil), begun: make(chan string, 16), goOn: make(chan struct{})}
	st.serve("127.0.0.1:0", func(cn net.Conn, n int, req *http.Request) bool {
		faulty.ReadBody(req)
		st.begun <- req.URL.Path
		<-st.goOn
		if fails != nil {
			return fails(st, cn, n, req)
		}
		return faulty.RespondOK(cn, n, req)
	})
	t.Cleanup(st.end)
	t.Cleanup(st.in.Close)
	st.in.Poison = func() *poison.View {
		st.mu.Lock()
		defer st.mu.Unlock()
		return st.view
	}
	st.in.Report = func(list []poison.Report) {
		st.mu.Lock()
		defer st.mu.Unlock()
		st.reports = append(st.reports, list...)
		st.view, _ = st.view.Merge(list, time.Now())
	}
	st.in.Gate.Configure(8, []limit.Class{{Name: "default", Share: 10, Queue: 4}})
	st.target("i-1")
	return st
}

// serve starts a server at an address.
func (st *stage) serve(addr string, fn faulty.Handler) {
	st.t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		st.t.Fatal(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.up, st.addr = faulty.Serve(ln, fn), ln.Addr().String()
}

// end ends the server with all that it runs.
func (st *stage) end() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.up.Close()
}

func (st *stage) target(lifetime string) {
	st.in.SetTarget(inlet.Target{VM: "vm", Process: "p", Service: "booking", Addr: st.addr, Lifetime: lifetime})
}

// ask sends a request to the inlet, of whose server ends its outlet knows some.
func (st *stage) ask(ctx context.Context, path string, ends int) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, "GET", "http://booking"+path, nil)
	for name, value := range map[string]string{
		result.VMHeader: "vm", result.ProcessHeader: "p", result.ServiceHeader: "booking", result.ClassHeader: "default",
	} {
		r.Header.Set(name, value)
	}
	if ends > 0 {
		r.Header.Set(result.CrashesHeader, fmt.Sprint(ends))
	}
	w := httptest.NewRecorder()
	st.in.ServeHTTP(w, r)
	return w
}

// ends returns how many servers ended under the request for a path, as was reported.
func (st *stage) ends(path string) int {
	r := httptest.NewRequest("GET", "http://booking"+path, nil)
	return st.in.Poison().CrashCount(ident.KeyOf(r, nil))
}

// endsServer is what a server does that ends under a request.
func endsServer(st *stage, _ net.Conn, _ int, _ *http.Request) bool {
	st.end()
	return false
}

// TestWhoseEnd: when a server ends, all that it was running may be the cause, also what its
// outlet has given up on; and nothing else is one, or requests would be refused that every
// server can serve.
func TestWhoseEnd(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(st *stage)
		// fails is what the server does in place of answering.
		fails func(st *stage, cn net.Conn, n int, req *http.Request) bool
		// counted are the paths of requests that it must be counted against, once each.
		counted []string
	}{
		{"ends with two running", func(st *stage) {
			var wg sync.WaitGroup
			for _, path := range []string{"/a", "/b"} {
				wg.Go(func() { st.ask(context.Background(), path, 0) })
				<-st.begun
			}
			close(st.goOn)
			wg.Wait()
		}, endsServer, []string{"/a", "/b"}},
		{"ends with one that its outlet gave up on", func(st *stage) {
			ctx, leave := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { st.ask(ctx, "/gave-up", 0) })
			<-st.begun
			leave()
			wg.Wait()
			st.end()
			close(st.goOn)
			st.ask(context.Background(), "/next", 0)
		}, endsServer, []string{"/gave-up"}},
		{"breaks off one answer", func(st *stage) {
			close(st.goOn)
			st.ask(context.Background(), "/a", 0)
		}, func(*stage, net.Conn, int, *http.Request) bool { return false }, nil},
		{"is silent until the caller leaves", func(st *stage) {
			ctx, leave := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { st.ask(ctx, "/a", 0) })
			<-st.begun
			leave()
			wg.Wait()
			close(st.goOn)
		}, nil, nil},
		{"said that it leaves", func(st *stage) {
			var wg sync.WaitGroup
			wg.Go(func() { st.ask(context.Background(), "/a", 0) })
			<-st.begun
			st.in.Gate.Drain()
			close(st.goOn)
			wg.Wait()
		}, endsServer, nil},
		{"was gone before", func(st *stage) {
			close(st.goOn)
			st.end()
			st.ask(context.Background(), "/a", 0)
		}, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := newStage(t, tc.fails)
			tc.play(st)
			for _, path := range []string{"/a", "/b", "/gave-up", "/next"} {
				want := 0
				if strings.Contains(strings.Join(tc.counted, " ")+" ", path+" ") {
					want = 1
				}
				if got := st.ends(path); got != want {
					t.Errorf("%d ends are counted against %s, want %d", got, path, want)
				}
			}
		})
	}
}

// TestEndedBeforeRequest guards against blame for a request that was sent on a kept connection
// just after its server ended.
func TestEndedBeforeRequest(t *testing.T) {
	st := newStage(t, nil)
	close(st.goOn)
	st.ask(context.Background(), "/a", 0)
	st.end()
	st.ask(context.Background(), "/b", 0)
	for _, path := range []string{"/a", "/b"} {
		if got := st.ends(path); got != 0 {
			t.Errorf("%d ends are counted against %s, want 0", got, path)
		}
	}
}

// TestAnswerClears: a lookup that many callers make ran beside the cause of two ends. One
// answer by a server that lives shows that it is not the cause.
func TestAnswerClears(t *testing.T) {
	st := newStage(t, nil)
	close(st.goOn)
	r := httptest.NewRequest("GET", "http://booking/same", nil)
	for en := range poison.CrashID(2) {
		st.in.Report([]poison.Report{{Head: ident.HeaderHash(r), Key: ident.KeyOf(r, nil), Crash: en, At: time.Now()}})
	}
	if w := st.ask(context.Background(), "/same", 2); w.Code != http.StatusOK {
		t.Fatalf("answered %d", w.Code)
	}
	if got := st.ends("/same"); got != 0 {
		t.Errorf("%d ends count after an answer", got)
	}
}

// TestSuspectsRunApart: two requests had both been beside each other at two ends. Run
// together at a third server, both would be refused for good; run apart, one of them is
// answered. A third one that nothing is known of runs beside either.
func TestSuspectsRunApart(t *testing.T) {
	st := newStage(t, nil)
	var wg sync.WaitGroup
	wg.Go(func() { st.ask(context.Background(), "/one", poison.IsolateThreshold) })
	<-st.begun
	w := st.ask(context.Background(), "/two", poison.IsolateThreshold)
	if got := result.Reason(w.Header().Get(result.ReasonHeader)); got != result.ReasonSuspectRunning || w.Header().Get(result.OutcomeHeader) != result.NotRun.String() {
		t.Errorf("the second suspect got %s/%s", w.Header().Get(result.OutcomeHeader), got)
	}
	wg.Go(func() {
		if w := st.ask(context.Background(), "/beside", poison.IsolateThreshold-1); w.Code != http.StatusOK {
			t.Errorf("one beside a suspect got %d", w.Code)
		}
	})
	<-st.begun
	close(st.goOn)
	wg.Wait()
	if w := st.ask(context.Background(), "/two", poison.IsolateThreshold); w.Code != http.StatusOK {
		t.Errorf("the second suspect got %d once the first was answered", w.Code)
	}
}

// TestLifetimes: the same address is back after some seconds as another lifetime, and ends
// again under the same request. That is two ends; the same lifetime ends once, however
// many find out.
func TestLifetimes(t *testing.T) {
	st := newStage(t, endsServer)
	close(st.goOn)
	for i, lifetime := range []string{"i-1", "i-2"} {
		if i > 0 {
			st.serve(st.addr, func(cn net.Conn, n int, req *http.Request) bool { return endsServer(st, cn, n, req) })
		}
		st.target(lifetime)
		st.ask(context.Background(), "/a", 0)
		st.ask(context.Background(), "/a", 0)
		if got := st.ends("/a"); got != i+1 {
			t.Errorf("%d ends after the end of %s, want %d", got, lifetime, i+1)
		}
	}
}

// TestRefusedForAMoment: a server refused connections for a moment and was taken to have
// ended. It announces itself again, and an answer that it breaks off later is no end.
func TestRefusedForAMoment(t *testing.T) {
	st := newStage(t, endsServer)
	close(st.goOn)
	st.ask(context.Background(), "/a", 0)
	st.in.SetTarget(inlet.Target{VM: "vm", Process: "p"})
	st.serve(st.addr, func(_ net.Conn, _ int, req *http.Request) bool {
		faulty.ReadBody(req)
		return false
	})
	st.target("i-1")
	w := st.ask(context.Background(), "/b", 0)
	if got := result.Reason(w.Header().Get(result.ReasonHeader)); got != result.ReasonConnectionBroken || st.ends("/b") != 0 {
		t.Errorf("reason %s, %d ends; want %s and none", got, st.ends("/b"), result.ReasonConnectionBroken)
	}
}
