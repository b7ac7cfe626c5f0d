package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/node/admin"
	"github.com/flamingomast/flamingomast/internal/node/setup"
	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// The limits for a poison request, as stated to operators.
const (
	// crashLimit is how many crashes identify a poison request.
	crashLimit = 3
	// laterSendLimit is how often the request may still reach servers once settleTime has passed
	// after that.
	laterSendLimit = 3
	settleTime     = 3 * time.Second
)

// poisonPath is the path prefix of poison requests, normalPath that of all others.
const (
	poisonPath = "/deadly"
	normalPath = "/well"
)

// crashFleet is a number of daemons, each with a backend server that crashes when it runs a request
// below poisonPath, and restarts after a while.
type crashFleet struct {
	t       *testing.T
	servers []*crashServer
	restart restart
	// reached counts the poison requests that servers began to run, crashed the servers that
	// crashed.
	reached, crashed atomic.Int64
}

// restart is how the servers of a fleet restart after a crash.
type restart struct {
	// delay is how long a server is down.
	delay time.Duration
	// keepsSocket is set if the listening socket outlives the server, like that of a prefork
	// server.
	keepsSocket bool
}

// persistentListener is a listening socket that outlives the server that accepts on it.
type persistentListener struct {
	*net.TCPListener
}

// Close makes Accept fail and leaves the socket open.
func (pl persistentListener) Close() error { return pl.SetDeadline(time.Unix(1, 0)) }

// crashServer is the backend server of one daemon.
type crashServer struct {
	fl   *crashFleet
	dm   *Daemon
	addr string
	// active is the number of requests being run.
	active atomic.Int64
	// mu guards running, starts and socket.
	mu      sync.Mutex
	running *faulty.Server
	starts  int
	socket  *net.TCPListener
}

// The service times of a crashServer.
const (
	// poisonServiceTime is how long it runs a poison request, normalServiceTime any other one.
	poisonServiceTime = 20 * time.Millisecond
	normalServiceTime = 40 * time.Millisecond
)

func newCrashFleet(t *testing.T, n int, re restart) *crashFleet {
	t.Helper()
	kv := fakekv.New().Store()
	ms := &decl.Mesh{
		Regions: []decl.Region{{Name: "r"}}, Domains: []decl.Domain{{Name: "d", Region: "r"}, {Name: "e", Region: "r"}},
		Services: []decl.Service{{Name: "booking", Port: 9001, Slots: 8}},
	}
	var ses []setup.Settings
	var controls []string
	for i := range n {
		se := setup.Settings{
			VM: fmt.Sprint("vm-", i), Domain: []string{"d", "e"}[i%2], DrainTimeout: time.Second,
			Outlet: freeAddr(t), Inlet: freeAddr(t), Control: freeAddr(t), Admin: freeAddr(t),
		}
		ses, controls = append(ses, se), append(controls, se.Control)
		ms.VMs = append(ms.VMs, decl.VM{Name: se.VM, Domain: se.Domain, Service: "booking"})
	}
	apply(t, kv, 0, ms)
	fl := &crashFleet{t: t, restart: re}
	for _, se := range ses {
		se.Seeds = controls
		dm := New(se, Options{Store: &kv})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- dm.Run(ctx) }()
		cs := &crashServer{fl: fl, dm: dm, addr: freeAddr(t)}
		fl.servers = append(fl.servers, cs)
		t.Cleanup(func() {
			cs.stop()
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
		cs.start()
	}
	for _, cs := range fl.servers {
		eventually(t, "all servers are known", func() bool {
			tb := cs.dm.Outlet.Table()
			return tb != nil && tb.Group(tb.Snap.Services["booking"]).Len() == n
		})
	}
	return fl
}

// start starts the server at its address under a new lifetime.
func (cs *crashServer) start() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.fl.t.Context().Err() != nil {
		return
	}
	ln, err := cs.listen()
	if err != nil {
		cs.fl.t.Error(err)
		return
	}
	cs.running = faulty.Serve(ln, cs.handle)
	cs.starts++
	err = cs.dm.announce(cs.fl.t.Context(), admin.Announcement{
		Service: "booking", Address: cs.addr, TTLMs: 60_000, Lifetime: fmt.Sprintf("%s-%d", cs.addr, cs.starts), Number: 1,
	})
	if err != nil {
		cs.fl.t.Error(err)
	}
}

// listen returns the server's listening socket; cs.mu must be held.
func (cs *crashServer) listen() (net.Listener, error) {
	if !cs.fl.restart.keepsSocket {
		return net.Listen("tcp", cs.addr)
	}
	if cs.socket == nil {
		ln, err := net.Listen("tcp", cs.addr)
		if err != nil {
			return nil, err
		}
		cs.socket = ln.(*net.TCPListener)
		cs.fl.t.Cleanup(func() { cs.socket.Close() })
	}
	return persistentListener{cs.socket}, cs.socket.SetDeadline(time.Time{})
}

// stop ends the server and all requests that it runs, and reports whether it was running.
func (cs *crashServer) stop() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.running == nil {
		return false
	}
	cs.running.Close()
	cs.running = nil
	return true
}

func (cs *crashServer) handle(cn net.Conn, n int, req *http.Request) bool {
	faulty.ReadBody(req)
	cs.active.Add(1)
	defer cs.active.Add(-1)
	if !strings.HasPrefix(req.URL.Path, poisonPath) {
		<-time.After(normalServiceTime)
		return faulty.RespondOK(cn, n, req)
	}
	cs.fl.reached.Add(1)
	<-time.After(poisonServiceTime)
	if cs.stop() {
		cs.fl.crashed.Add(1)
		time.AfterFunc(cs.fl.restart.delay, cs.start)
	}
	return false
}

// send sends a request through the outlet of a VM, on a connection of its own.
func (fl *crashFleet) send(i int, method, path string, body io.Reader) (status int, retry string) {
	req, err := http.NewRequestWithContext(fl.t.Context(), method, "http://"+fl.servers[i].dm.se.Outlet+path, body)
	if err != nil {
		fl.t.Error(err)
		return 0, ""
	}
	req.Host = "booking"
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		fl.t.Errorf("%s %s: %v", method, path, err)
		return 0, ""
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Header.Get("Retry-After")
}

// sendUntilCrashes sends a poison request to one VM after another until it has crashed crashLimit
// servers.
func (fl *crashFleet) sendUntilCrashes(send func(i int)) {
	fl.t.Helper()
	for i := 0; fl.crashed.Load() < crashLimit; i++ {
		if i == 100 {
			fl.t.Fatalf("%d servers crashed under 100 requests", fl.crashed.Load())
		}
		send(i % len(fl.servers))
	}
}

// restarts are the ways in which servers restart.
var restarts = []struct {
	name string
	restart
}{
	{"its address refuses connections", restart{delay: 300 * time.Millisecond}},
	{"its socket outlives it", restart{delay: 2 * time.Second, keepsSocket: true}},
	{"it is back at once", restart{delay: time.Millisecond, keepsSocket: true}},
}

// TestRequestEndsServers guards against a poison request, which crashes each server that runs it,
// being sent again without end by daemons and by its caller.
func TestRequestEndsServers(t *testing.T) {
	for _, tc := range []struct {
		name, method string
		body         func() io.Reader
	}{
		{"may be repeated", "GET", func() io.Reader { return nil }},
		{"runs once", "POST", func() io.Reader { return strings.NewReader("the same body") }},
		{"streams its body", "POST", func() io.Reader { return io.MultiReader(strings.NewReader("the same body")) }},
	} {
		for _, re := range restarts {
			t.Run(tc.name+"/"+re.name, func(t *testing.T) {
				t.Parallel()
				testPoisonRequest(t, newCrashFleet(t, 6, re.restart), tc.method, tc.body)
			})
		}
	}
}

// testPoisonRequest sends a poison request until it has crashed crashLimit servers, and checks that
// it reaches hardly any later on, while other requests are served.
func testPoisonRequest(t *testing.T, fl *crashFleet, method string, body func() io.Reader) {
	// Callers of other requests, one of them the same each time, continue throughout.
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer stop()
	for i := range fl.servers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				fl.send(i, "GET", fmt.Sprintf("%s/%d/%d", normalPath, i, n), nil)
				fl.send(i, "GET", normalPath+"/same", nil)
			}
		})
	}
	sendPoison := func(i int) (int, string) { return fl.send(i, method, poisonPath+"/7", body()) }
	fl.sendUntilCrashes(func(i int) { sendPoison(i) })
	<-time.After(settleTime)
	before := fl.reached.Load()
	for i := range 5 * len(fl.servers) {
		sendPoison(i % len(fl.servers))
	}
	if got := fl.reached.Load() - before; got > laterSendLimit {
		t.Errorf("reached servers %d times later than %v after it had crashed %d; %d crashed in all", got, settleTime, crashLimit, fl.crashed.Load())
	}
	for i := range fl.servers {
		status, retry := sendPoison(i)
		if status != http.StatusServiceUnavailable || retry != "" {
			t.Errorf("vm-%d answers %d, Retry-After %q; want 503 without one: the request has not run, and a retry is useless", i, status, retry)
		}
		for _, path := range []string{normalPath + "/same", normalPath + "/new"} {
			if status, _ := fl.send(i, "GET", path, nil); status != http.StatusOK {
				t.Errorf("vm-%d answers %s with %d", i, path, status)
			}
		}
	}
}
