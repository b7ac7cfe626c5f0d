package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/node/admin"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// testServer is a backend server in the test's own process, which says things about itself in its
// responses and goes on announcing that it serves.
type testServer struct {
	t    *testing.T
	vm   *vm
	http *httptest.Server

	mu             sync.Mutex
	limit, leaving string
	announcements  uint64
	// arrivedFrom counts the requests, toldLeaving holds the outlets to which a response said that the
	// server is leaving, both by VM.
	arrivedFrom map[string]int
	toldLeaving map[string]bool
}

func newTestServer(t *testing.T, v *vm) *testServer {
	ts := &testServer{t: t, vm: v, arrivedFrom: map[string]int{}, toldLeaving: map[string]bool{}}
	ts.http = httptest.NewServer(ts)
	t.Cleanup(ts.http.Close)
	stop := make(chan struct{})
	var done sync.WaitGroup
	t.Cleanup(func() {
		close(stop)
		done.Wait()
	})
	done.Go(func() {
		for {
			ts.announce()
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	})
	return ts
}

// announce announces the server; the daemon may be down.
func (ts *testServer) announce() {
	ts.mu.Lock()
	ts.announcements++
	an := admin.Announcement{Service: "booking", Address: ts.http.Listener.Addr().String(), Lifetime: "the-same", Number: ts.announcements}
	ts.mu.Unlock()
	body, err := json.Marshal(an)
	if err != nil {
		ts.t.Error(err)
		return
	}
	res, err := http.Post("http://"+ts.vm.admin+"/announce", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = res.Body.Close()
	}
}

// outletHeader names the VM through whose outlet a request was sent.
const outletHeader = "Sent-Through"

func (ts *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	from := r.Header.Get(outletHeader)
	ts.arrivedFrom[from]++
	if ts.limit != "" {
		w.Header().Set(result.ServerLimitHeader, ts.limit)
	}
	if ts.leaving != "" {
		w.Header().Set(result.ServerLeavingHeader, ts.leaving)
		ts.toldLeaving[from] = true
	}
	_, _ = w.Write([]byte("ok"))
}

// arrived returns how many requests came through the outlets of the VMs.
func (ts *testServer) arrived(vms ...*vm) (n int) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, v := range vms {
		n += ts.arrivedFrom[v.name]
	}
	return n
}

// sendThrough sends requests through the outlets of all VMs until the test ends.
func (me *mesh) sendThrough(pause time.Duration) {
	stop := make(chan struct{})
	var done sync.WaitGroup
	me.t.Cleanup(func() {
		close(stop)
		done.Wait()
	})
	for _, v := range me.vms {
		done.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				req, err := http.NewRequest(http.MethodGet, "http://"+v.outlet+"/"+strconv.Itoa(n), nil)
				if err != nil {
					me.t.Error(err)
					return
				}
				req.Host = "booking"
				req.Header.Set(outletHeader, v.name)
				res, err := http.DefaultClient.Do(req)
				if err == nil {
					_ = res.Body.Close()
				}
			}
		})
	}
}

// TestServerLimitAcrossKilledDaemon guards against requests beyond a server's rate limit, or after it
// said that it is leaving, while the daemon beside it is killed and started again.
func TestServerLimitAcrossKilledDaemon(t *testing.T) {
	const (
		rate = 3.4
		// grace is how long after the limit was named it must hold, drainTime how long after a
		// departure an outlet may send requests.
		grace     = 3 * time.Second
		drainTime = 2 * time.Second
	)
	me := newMesh(t)
	ts := newTestServer(t, me.vms[0])
	me.startServer(me.vms[1])
	me.startServer(me.vms[2])
	me.write("rules.yaml", "routes: []\nplacements: [{service: booking, order: [any], spill: true}]\n")
	me.apply("")
	me.sendThrough(15 * time.Millisecond)
	others := me.vms[1:]
	eventually(t, "the server gets requests through all outlets", func() bool {
		return ts.arrived(me.vms[0]) > 0 && ts.arrived(me.vms[1]) > 0 && ts.arrived(me.vms[2]) > 0
	})
	restart := func() {
		me.vms[0].daemon.kill()
		<-time.After(300 * time.Millisecond)
		me.startDaemon(me.vms[0])
	}

	ts.mu.Lock()
	ts.limit = strconv.FormatFloat(rate, 'f', -1, 64)
	ts.mu.Unlock()
	eventually(t, "the status shows the limit", func() bool {
		st, err := me.vms[0].status()
		return err == nil && st.Server != nil && st.Server.RateLimit != nil && *st.Server.RateLimit == rate
	})
	<-time.After(grace)
	began, before := time.Now(), ts.arrived(others...)
	restart()
	<-time.After(2 * time.Second)
	restart()
	<-time.After(2 * time.Second)
	got, allowed := ts.arrived(others...)-before, 1.5*rate*time.Since(began).Seconds()+5
	if float64(got) > allowed {
		t.Errorf("%d requests in %v at a limit of %v a second, %.0f allowed", got, time.Since(began), rate, allowed)
	}
	eventually(t, "the limited server gets requests after the daemon was killed", func() bool { return ts.arrived(others...) > before })

	ts.mu.Lock()
	ts.limit, ts.leaving = "", "1"
	ts.mu.Unlock()
	eventually(t, "an outlet hears that the server is leaving", func() bool {
		ts.mu.Lock()
		defer ts.mu.Unlock()
		return len(ts.toldLeaving) > 0
	})
	<-time.After(drainTime)
	before = ts.arrived(others...)
	restart()
	<-time.After(2 * time.Second)
	if got := ts.arrived(others...) - before; got > 0 {
		t.Errorf("%d requests to a server that is leaving, later than %v", got, drainTime)
	}
}
