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
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
	"github.com/flamingomast/flamingomast/internal/plat/stand"
)

// The bounds of a request that ends backend servers, as operators state them.
const (
	// endsBound is how many servers it may end before it counts.
	endsBound = 3
	// sendsBound is how often it may reach servers later than contact after that.
	sendsBound = 3
	contact    = 3 * time.Second
)

// deadlyPath begins the path of requests that end their servers, wellPath that of all
// others.
const (
	deadlyPath = "/deadly"
	wellPath   = "/well"
)

// mortalFleet is some daemons with a backend server each that ends when it runs a request
// below deadlyPath, and is back after a while.
type mortalFleet struct {
	t       *testing.T
	servers []*mortal
	restart restart
	// reached counts the deadly requests that servers began, ended the servers that did.
	reached, ended atomic.Int64
}

// restart is how the servers of a fleet come back after they ended.
type restart struct {
	// after is how long a server is away.
	after time.Duration
	// socket says that its listening socket outlives it, as that of a prefork server does.
	socket bool
}

// lasting is a listening socket that outlives the server which accepts on it.
type lasting struct {
	*net.TCPListener
}

// Close ends the accepting alone.
func (la lasting) Close() error { return la.SetDeadline(time.Unix(1, 0)) }

// mortal is a daemon's backend server.
type mortal struct {
	fl   *mortalFleet
	dm   *Daemon
	addr string
	// mu guards what is up, and how often it was started.
	mu     sync.Mutex
	up     *faulty.Server
	starts int
	socket *net.TCPListener
}

// The times of a mortal server.
const (
	// deadlyTime is how long it runs a deadly request, wellTime any other one.
	deadlyTime = 20 * time.Millisecond
	wellTime   = 40 * time.Millisecond
)

func newMortalFleet(t *testing.T, n int, re restart) *mortalFleet {
	t.Helper()
	kv := stand.New().Store()
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
	fl := &mortalFleet{t: t, restart: re}
	for _, se := range ses {
		se.Seeds = controls
		dm := New(se, Options{Store: &kv})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- dm.Run(ctx) }()
		mo := &mortal{fl: fl, dm: dm, addr: freeAddr(t)}
		fl.servers = append(fl.servers, mo)
		t.Cleanup(func() {
			mo.end()
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
		mo.start()
	}
	for _, mo := range fl.servers {
		eventually(t, "all servers are known", func() bool {
			tb := mo.dm.Outlet.Table()
			return tb != nil && tb.Group(tb.Snap.Services["booking"]).Len() == n
		})
	}
	return fl
}

// start lets the server serve at its address, as another lifetime than before.
func (mo *mortal) start() {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	if mo.fl.t.Context().Err() != nil {
		return
	}
	ln, err := mo.listen()
	if err != nil {
		mo.fl.t.Error(err)
		return
	}
	mo.up = faulty.Serve(ln, mo.behave)
	mo.starts++
	err = mo.dm.announce(mo.fl.t.Context(), admin.Announcement{
		Service: "booking", Address: mo.addr, TTLMs: 60_000, Lifetime: fmt.Sprintf("%s-%d", mo.addr, mo.starts), Number: 1,
	})
	if err != nil {
		mo.fl.t.Error(err)
	}
}

// listen returns the server's listening socket; mo.mu is held.
func (mo *mortal) listen() (net.Listener, error) {
	if !mo.fl.restart.socket {
		return net.Listen("tcp", mo.addr)
	}
	if mo.socket == nil {
		ln, err := net.Listen("tcp", mo.addr)
		if err != nil {
			return nil, err
		}
		mo.socket = ln.(*net.TCPListener)
		mo.fl.t.Cleanup(func() { mo.socket.Close() })
	}
	return lasting{mo.socket}, mo.socket.SetDeadline(time.Time{})
}

// end ends the server with all that it runs, and reports whether it was up.
func (mo *mortal) end() bool {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	if mo.up == nil {
		return false
	}
	mo.up.Close()
	mo.up = nil
	return true
}

func (mo *mortal) behave(cn net.Conn, n int, req *http.Request) bool {
	faulty.ReadBody(req)
	if !strings.HasPrefix(req.URL.Path, deadlyPath) {
		<-time.After(wellTime)
		return faulty.RespondOK(cn, n, req)
	}
	mo.fl.reached.Add(1)
	<-time.After(deadlyTime)
	if mo.end() {
		mo.fl.ended.Add(1)
		time.AfterFunc(mo.fl.restart.after, mo.start)
	}
	return false
}

// ask sends a request by the outlet of a VM, as a caller that has a connection of its
// own for it.
func (fl *mortalFleet) ask(i int, method, path string, body io.Reader) (status int, retry string) {
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

// untilEnds lets a deadly request come at one VM after the other until it has ended as
// many servers as count.
func (fl *mortalFleet) untilEnds(come func(i int)) {
	fl.t.Helper()
	for i := 0; fl.ended.Load() < endsBound; i++ {
		if i == 100 {
			fl.t.Fatalf("%d servers ended under 100 requests", fl.ended.Load())
		}
		come(i % len(fl.servers))
	}
}

// restarts are the ways in which servers come back.
var restarts = []struct {
	name string
	restart
}{
	{"its address refuses connections", restart{after: 300 * time.Millisecond}},
	{"its socket outlives it", restart{after: 2 * time.Second, socket: true}},
	{"it is back at once", restart{after: time.Millisecond, socket: true}},
}

// TestRequestEndsServers guards against a request that crashes each server that runs it
// and is sent on for good, by its daemons and by its caller.
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
				playEndings(t, newMortalFleet(t, 6, re.restart), tc.method, tc.body)
			})
		}
	}
}

// playEndings lets a deadly request come until it has ended as many servers as count, and
// checks that it reaches hardly any later on, while others are served.
func playEndings(t *testing.T, fl *mortalFleet, method string, body func() io.Reader) {
	// Callers of other requests, one of them the same each time, go on all the while.
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer stop()
	for i := range fl.servers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				fl.ask(i, "GET", fmt.Sprintf("%s/%d/%d", wellPath, i, n), nil)
				fl.ask(i, "GET", wellPath+"/same", nil)
			}
		})
	}
	deadly := func(i int) (int, string) { return fl.ask(i, method, deadlyPath+"/7", body()) }
	fl.untilEnds(func(i int) { deadly(i) })
	<-time.After(contact)
	before := fl.reached.Load()
	for i := range 5 * len(fl.servers) {
		deadly(i % len(fl.servers))
	}
	if got := fl.reached.Load() - before; got > sendsBound {
		t.Errorf("reached servers %d times later than %v after it had ended %d; %d ended in all", got, contact, endsBound, fl.ended.Load())
	}
	for i := range fl.servers {
		status, retry := deadly(i)
		if status != http.StatusServiceUnavailable || retry != "" {
			t.Errorf("vm-%d answers %d, Retry-After %q; want 503 without one: it has not run, and to come back is of no use", i, status, retry)
		}
		for _, path := range []string{wellPath + "/same", wellPath + "/new"} {
			if status, _ := fl.ask(i, "GET", path, nil); status != http.StatusOK {
				t.Errorf("vm-%d answers %s with %d", i, path, status)
			}
		}
	}
}
