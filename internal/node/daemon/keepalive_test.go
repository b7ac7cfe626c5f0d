package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/node/admin"
	"github.com/flamingomast/flamingomast/internal/node/setup"
	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
)

// The times of a caller that reuses its connection.
const (
	routeDeadline = 600 * time.Millisecond
	serviceTime   = 350 * time.Millisecond
	// idlePause exceeds the deadline.
	idlePause = 700 * time.Millisecond
	// drainTimeout lets a stopping daemon end what runs.
	drainTimeout = 6 * time.Second
)

// singleServer is a daemon with a backend server.
type singleServer struct {
	outlet string
	dm     *Daemon
	stop   context.CancelFunc
}

// slowHandler answers after serviceTime.
func slowHandler(_ http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err == nil {
		<-time.After(serviceTime)
	}
}

func newSingleServer(t *testing.T, deadline, drainTimeout time.Duration, handler http.HandlerFunc) *singleServer {
	t.Helper()
	hs := httptest.NewServer(handler)
	t.Cleanup(hs.Close)
	kv := fakekv.New().Store()
	ms := mesh(8)
	ms.Routes = []decl.Route{{Name: "r", Match: decl.Match{Host: "booking"}, To: []decl.Target{{Service: "booking", Weight: 1}}, Deadline: decl.Duration(deadline), Repeat: decl.RepeatNever}}
	apply(t, kv, 0, ms)
	se := setup.Settings{VM: "vm-0", Domain: "d", Outlet: freeAddr(t), Inlet: freeAddr(t), Control: freeAddr(t), Admin: freeAddr(t), DrainTimeout: drainTimeout}
	dm := New(se, Options{Store: &kv})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- dm.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	an := admin.Announcement{Service: "booking", Address: hs.Listener.Addr().String(), TTLMs: 60_000}
	if err := dm.announce(t.Context(), an); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the server is known", func() bool {
		tb := dm.Outlet.Table()
		return tb != nil && tb.Group(tb.Snap.Services["booking"]).Len() == 1
	})
	return &singleServer{outlet: se.Outlet, dm: dm, stop: cancel}
}

// TestKeptConnectionAfterChunks guards against a request being given up while its server runs it,
// because an earlier request on its connection had a chunked body.
func TestKeptConnectionAfterChunks(t *testing.T) {
	h2 := new(http.Protocols)
	h2.SetUnencryptedHTTP2(true)
	for _, tc := range []struct {
		name   string
		length int64
		ps     *http.Protocols
	}{{"a length", 4, nil}, {"chunks", -1, nil}, {"HTTP/2", 4, h2}} {
		for _, stopped := range []bool{false, true} {
			name := tc.name
			if stopped {
				name += ", the daemon stops"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				for range maxSlowRuns {
					if keepsConnection(t, tc.length, tc.ps, stopped) {
						return
					}
				}
				t.Fatalf("in each of %d runs a request took its whole time of %v", maxSlowRuns, routeDeadline)
			})
		}
	}
}

// maxSlowRuns bounds how often a test is repeated in which the machine was too slow to tell.
const maxSlowRuns = 20

// keepsConnection sends three requests on one connection, and checks that none is given up before
// its time has passed since it was sent. It returns false if a request had its whole time and was
// not answered, or if the daemon had begun to drain: the machine was too slow then.
func keepsConnection(t *testing.T, length int64, ps *http.Protocols, stopped bool) (conclusive bool) {
	t.Helper()
	ss := newSingleServer(t, routeDeadline, drainTimeout, slowHandler)
	defer ss.stop()
	tr := &http.Transport{MaxConnsPerHost: 1, Protocols: ps}
	defer tr.CloseIdleConnections()
	send := func(when string) (answered bool) {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+ss.outlet+"/", io.NopCloser(strings.NewReader("body")))
		if err != nil {
			t.Fatal(err)
		}
		req.Host, req.ContentLength = "booking", length
		sentAt := time.Now()
		res, err := tr.RoundTrip(req)
		took := time.Since(sentAt)
		select {
		case <-ss.dm.draining:
			t.Logf("%s: the daemon drains", when)
			return false
		default:
		}
		if err != nil {
			t.Errorf("%s: %v", when, err)
			return true
		}
		defer res.Body.Close()
		if res.StatusCode == http.StatusGatewayTimeout && took >= routeDeadline {
			t.Logf("%s: %s after %v", when, res.Status, took)
			return false
		}
		if res.StatusCode != http.StatusOK {
			t.Errorf("%s: %s after %v, want the server's answer", when, res.Status, took)
		}
		return true
	}
	if !send("the first") {
		return false
	}
	if stopped {
		ss.stop()
	}
	if !send("right after it") {
		return false
	}
	<-time.After(idlePause)
	return send("after a pause")
}

// TestServerCallsWhileStopping guards against a request that fails because the daemon of its
// server's VM is stopping and no longer accepts calls of that server.
func TestServerCallsWhileStopping(t *testing.T) {
	t.Parallel()
	var ss *singleServer
	began := make(chan struct{})
	get := func(path string) (int, error) {
		req, err := http.NewRequest(http.MethodGet, "http://"+ss.outlet+path, nil)
		if err != nil {
			return 0, err
		}
		req.Host, req.Close = "booking", true
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err
		}
		return res.StatusCode, res.Body.Close()
	}
	// The outlet waits for the server for half of the drain timeout at most. Both times are so long
	// that a busy machine does not reach them; the test does not wait for them.
	const longTime = time.Minute
	ss = newSingleServer(t, longTime, longTime, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/calls" {
			return
		}
		close(began)
		<-ss.dm.draining
		for !ss.dm.Inlet.Gate.Draining() {
			<-time.After(time.Millisecond)
		}
		// The inlet accepts no requests. An outlet that does not wait closes now.
		<-time.After(100 * time.Millisecond)
		// No server of the service remains, so the call is refused, not interrupted.
		if status, err := get("/called"); err != nil || status != http.StatusServiceUnavailable {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	done := make(chan int)
	go func() {
		status, err := get("/calls")
		if err != nil {
			t.Error(err)
		}
		done <- status
	}()
	<-began
	ss.stop()
	if got := <-done; got != http.StatusOK {
		t.Errorf("the request got %d because its server could not make its call", got)
	}
}

// TestDrainAsNextBegins guards against a pipelined request being interrupted because the one before
// it, which started earlier, closes the connection.
func TestDrainAsNextBegins(t *testing.T) {
	t.Parallel()
	ss := newSingleServer(t, 5*time.Second, drainTimeout, slowHandler)
	sv := ss.dm.servers()
	sv.front.MayRunEarly = func(r *http.Request) bool {
		if r.URL.Path == "/last" {
			// The daemon begins to drain just as this request starts.
			defer ss.dm.beginDrain()
		}
		return true
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- sv.outlet.Serve(sv.front.Listener(ln)) }()
	defer func() {
		sv.outlet.Close()
		<-served
	}()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	paths := []string{"/first", "/second", "/last"}
	for _, path := range paths {
		if _, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: booking\r\n\r\n", path); err != nil {
			t.Fatal(err)
		}
	}
	br := bufio.NewReader(nc)
	for _, path := range paths {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("%s: %s, %v", path, res.Status, err)
		}
	}
}
