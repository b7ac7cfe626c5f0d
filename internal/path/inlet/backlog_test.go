package inlet_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// pastSettleTime exceeds the time in which the inlet waits for further connections of a crashed
// server to break.
const pastSettleTime = 100 * time.Millisecond

// backlogServer is a backend server that accepts connections only when told to, so that a request
// can wait in the backlog of its socket.
type backlogServer struct {
	t       *testing.T
	ln      net.Listener
	in      *inlet.Inlet
	mu      sync.Mutex
	reports []poison.Report
}

func newBacklogServer(t *testing.T) *backlogServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bs := &backlogServer{t: t, ln: ln, in: inlet.New(proxy.Options{}, nil)}
	t.Cleanup(func() {
		bs.in.Close()
		ln.Close()
	})
	bs.in.Report = func(list []poison.Report) {
		bs.mu.Lock()
		defer bs.mu.Unlock()
		bs.reports = append(bs.reports, list...)
	}
	bs.announce("i-1")
	bs.in.Gate.Configure(4, []limit.Class{{Name: "default", Share: 10, Queue: 4}})
	return bs
}

// announce makes the inlet know of an instance of the server.
func (bs *backlogServer) announce(lifetime string) {
	bs.in.SetTarget(inlet.Target{VM: "vm", Process: "p", Service: "booking", Addr: bs.ln.Addr().String(), Lifetime: lifetime})
}

// send sends a request and waits until the inlet runs it as the n-th. The returned channel delivers
// the status.
func (bs *backlogServer) send(path string, n int) <-chan int {
	bs.t.Helper()
	status := make(chan int, 1)
	go func() {
		r := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "http://booking"+path, nil)
		r.Header.Set(result.VMHeader, "vm")
		r.Header.Set(result.ProcessHeader, "p")
		r.Header.Set(result.ServiceHeader, "booking")
		r.Header.Set(result.ClassHeader, "default")
		w := httptest.NewRecorder()
		bs.in.ServeHTTP(w, r)
		status <- w.Code
	}()
	for deadline := time.Now().Add(10 * time.Second); bs.in.Gate.Load().Running != n; {
		if time.Now().After(deadline) {
			bs.t.Fatalf("%s is not run as request %d", path, n)
		}
		time.Sleep(time.Millisecond)
	}
	return status
}

// accept accepts the oldest connection of the backlog that carries a request, and reads the request.
// Probes of the inlet send none.
func (bs *backlogServer) accept() (net.Conn, *bufio.Reader, *http.Request) {
	bs.t.Helper()
	for {
		cn, err := bs.ln.Accept()
		if err != nil {
			bs.t.Fatal(err)
		}
		bs.t.Cleanup(func() { cn.Close() })
		br := bufio.NewReader(cn)
		if _, err := br.Peek(1); err == nil {
			return cn, br, bs.read(br)
		}
	}
}

// read reads one more request of a connection.
func (bs *backlogServer) read(br *bufio.Reader) *http.Request {
	bs.t.Helper()
	req, err := http.ReadRequest(br)
	if err != nil {
		bs.t.Fatal(err)
	}
	return req
}

// crashes returns the crashes reported so far, with the number of requests of each.
func (bs *backlogServer) crashes() map[poison.CrashID]int {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	n := map[poison.CrashID]int{}
	for _, re := range bs.reports {
		n[re.Crash]++
	}
	return n
}

// TestAnswerFromBacklog guards against the evidence of a crash being discarded because of an answer
// by the next instance: a request that waited in the backlog of a socket which outlives the server
// began before the crash was seen, and is answered before the next instance has announced itself.
func TestAnswerFromBacklog(t *testing.T) {
	bs := newBacklogServer(t)
	poisonStatus := bs.send("/deadly", 1)
	cn, _, _ := bs.accept()
	waiting := bs.send("/well", 2)
	cn.Close()
	if got := <-poisonStatus; got != http.StatusBadGateway {
		t.Fatalf("the request under which the server crashed got %d, want 502", got)
	}
	time.Sleep(pastSettleTime)
	// The next instance answers what waited, then announces itself.
	next, _, req := bs.accept()
	faulty.RespondOK(next, 1, req)
	if got := <-waiting; got != http.StatusOK {
		t.Fatalf("the request that waited got %d, want 200", got)
	}
	bs.announce("i-2")
	if got := len(bs.crashes()); got != 1 {
		t.Errorf("%d crashes reported, want 1", got)
	}
}

// TestAnswerOnKeptConnection guards against requests being blamed for a crash although their server
// answered, on a connection that it had from before, after they had broken off.
func TestAnswerOnKeptConnection(t *testing.T) {
	bs := newBacklogServer(t)
	first := bs.send("/well", 1)
	kept, br, req := bs.accept()
	faulty.RespondOK(kept, 1, req)
	if got := <-first; got != http.StatusOK {
		t.Fatalf("the first request got %d, want 200", got)
	}
	running := bs.send("/well", 1)
	req = bs.read(br)
	broken := bs.send("/broken", 2)
	cn, _, _ := bs.accept()
	cn.Close()
	if got := <-broken; got != http.StatusBadGateway {
		t.Fatalf("the request whose connection broke got %d, want 502", got)
	}
	time.Sleep(pastSettleTime)
	faulty.RespondOK(kept, 2, req)
	if got := <-running; got != http.StatusOK {
		t.Fatalf("the running request got %d, want 200", got)
	}
	bs.announce("i-2")
	if got := bs.crashes(); len(got) != 0 {
		t.Errorf("crashes reported: %v, want none", got)
	}
}

// TestCrashFromBacklog guards against the second of two crashes being taken for the first one: a
// request that waited in the backlog of a socket which outlives the server is run by the next
// instance, and was sent to the previous one.
func TestCrashFromBacklog(t *testing.T) {
	for _, tc := range []struct {
		name string
		// beside is whether the first instance runs another request when it crashes, which then shows
		// at once; otherwise the next instance shows it.
		beside bool
		// early is whether the second crash is seen before the second instance is known.
		early bool
	}{
		{"the first is known before", true, false},
		{"the first is known by the next instance", false, false},
		{"the second instance is known late", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bs := newBacklogServer(t)
			first := bs.send("/deadly", 1)
			cn, _, _ := bs.accept()
			if tc.beside {
				beside := bs.send("/well", 2)
				other, _, _ := bs.accept()
				other.Close()
				<-beside
			}
			cn.Close()
			<-first
			time.Sleep(pastSettleTime)
			second := bs.send("/deadly", 1)
			if !tc.early {
				bs.announce("i-2")
			}
			cn, _, _ = bs.accept()
			cn.Close()
			<-second
			if tc.early {
				bs.announce("i-2")
			}
			time.Sleep(pastSettleTime)
			bs.announce("i-3")
			if got := bs.crashes(); len(got) != 2 {
				t.Errorf("crashes and numbers of requests reported: %v, want two crashes", got)
			}
		})
	}
}
