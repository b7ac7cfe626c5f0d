package ctrl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/accept"
	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/sample"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/plat/guard"
	"github.com/flamingomast/flamingomast/internal/plat/memnet"
	"github.com/flamingomast/flamingomast/internal/plat/stand"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// fleet is a platform and daemons' control parts on an in-memory network.
type fleet struct {
	t     *testing.T
	nw    *memnet.Network
	st    *stand.Service
	ms    *decl.Mesh
	nodes map[string]*testNode
	// noPlatform names the failure domains that are cut off from the platform.
	noPlatform atomic.Pointer[map[string]bool]
	// spoilt says what the platform does to single VMs.
	spoilt atomic.Pointer[map[string]spoil]
	// newest says that a read of the platform shows every version that was ever accepted,
	// and that daemons know no seeds, as on the users\' platform.
	newest    bool
	versions  map[string]*uint64
	submitted int
	// counts returns what the backend server of a VM did; nil for nothing.
	counts func(vm string) Counts
}

// spoil is what the platform does to a VM.
type spoil int

const (
	// refuses answers each call with an error, hangs answers none.
	refuses spoil = iota + 1
	hangs
)

// testNode is one process of a VM.
type testNode struct {
	*Node
	vm     decl.VM
	ho     *memnet.Host
	guard  *guard.Guard
	cancel context.CancelFunc
	done   chan struct{}
}

// The latencies of the brief, and one between regions.
const (
	withinDomain   = 200 * time.Microsecond
	betweenDomains = 1500 * time.Microsecond
	betweenRegions = 15 * time.Millisecond
	toPlatform     = 3 * time.Millisecond
)

func newFleet(t *testing.T, ms *decl.Mesh) *fleet {
	fl := &fleet{t: t, nw: memnet.New(), st: stand.New(), ms: ms, nodes: map[string]*testNode{}, versions: map[string]*uint64{}}
	regions := map[string]string{}
	for _, dm := range ms.Domains {
		regions[dm.Name] = dm.Region
	}
	fl.nw.Latency = func(a, b *memnet.Host) time.Duration {
		switch {
		case a.Domain == b.Domain:
			return withinDomain
		case regions[a.Domain] == regions[b.Domain]:
			return betweenDomains
		}
		return betweenRegions
	}
	fl.noPlatform.Store(&map[string]bool{})
	fl.spoilt.Store(&map[string]spoil{})
	fl.st.SetFaults(stand.Faults{Delay: toPlatform})
	return fl
}

// store returns the platform as a VM sees it.
func (fl *fleet) store(vm decl.VM) store.Store {
	return store.Wrap(fl.st.Store(), func(ctx context.Context, op, key string, call func() error) error {
		cut := &store.Error{Kind: store.Unavailable, Op: op, Key: key}
		bad := func() bool {
			switch (*fl.spoilt.Load())[vm.Name] {
			case hangs:
				// The client of the platform gives up after the wait and some slack.
				_ = pause(ctx, hangTime)
				return true
			case refuses:
				return true
			}
			return (*fl.noPlatform.Load())[vm.Domain]
		}
		if bad() {
			return cut
		}
		err := call()
		if bad() {
			return cut
		}
		return err
	})
}

// hangTime is how long a call to a platform that does not answer takes.
const hangTime = 1500 * time.Millisecond

// seeds are the first three VMs of each failure domain: the own ones first.
func (fl *fleet) seeds(vm decl.VM) []string {
	var list []string
	per := map[string]int{}
	for _, v := range fl.ms.VMs {
		if v.Domain == vm.Domain && v.Name != vm.Name && per[v.Domain] < 3 {
			per[v.Domain]++
			list = append(list, v.Name+":7000")
		}
	}
	return list
}

// startNode starts a process of a VM at the VM's address.
func (fl *fleet) startNode(vm decl.VM) *testNode {
	addr := vm.Name + ":7000"
	ho, ln := fl.nw.Listen(addr, vm.Domain)
	gd := guard.New(fl.store(vm))
	tn := &testNode{vm: vm, ho: ho, guard: gd, done: make(chan struct{})}
	src, seeds := headSource(), fl.seeds(vm)
	if fl.newest {
		src.Linearizable, src.Restore, seeds = true, nil, nil
	}
	var counts func() Counts
	if fl.counts != nil {
		counts = func() Counts { return fl.counts(vm.Name) }
	}
	tn.Node = New(Config{
		Source: src, Counts: counts,
		VM: vm.Name, Domain: vm.Domain, Control: addr, Inlet: vm.Name + ":8000", Seeds: seeds, Store: gd.Store(), OnNewEpoch: gd.ResetBreaker,
		Dial: func(ctx context.Context, to string) (net.Conn, error) { return fl.nw.Dial(ctx, ho, to) },
	})
	fl.watchVersion(tn)
	ctx, cancel := context.WithCancel(context.Background())
	tn.cancel = cancel
	hs := tn.NewServer()
	go func() {
		defer close(tn.done)
		served := make(chan struct{})
		go func() {
			defer close(served)
			if err := hs.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				fl.t.Errorf("serve: %v", err)
			}
		}()
		tn.Run(ctx)
		fl.nw.CloseConns(ho)
		_ = hs.Close()
		<-served
	}()
	tn.Announce(func(rc *member.Record) {
		rc.State, rc.Service, rc.Since = member.StateServing, vm.Service, time.Now()
		if fl.counts != nil {
			rc.Software = software(vm.Name)
		}
	})
	fl.nodes[vm.Name] = tn
	return tn
}

// watchVersion fails the test when a VM holds an older version than before,
// also across its processes.
func (fl *fleet) watchVersion(tn *testNode) {
	last := fl.versions[tn.vm.Name]
	if last == nil {
		last = new(uint64)
		fl.versions[tn.vm.Name] = last
	}
	go func() {
		for {
			sn, changed := tn.Board.Held.Watch()
			if sn != nil {
				if was := atomic.SwapUint64(last, sn.Version); was > sn.Version {
					fl.t.Errorf("%s holds version %d after version %d", tn.vm.Name, sn.Version, was)
				}
			}
			select {
			case <-changed:
			case <-tn.life.Done():
				return
			}
		}
	}()
}

func (fl *fleet) startAll() {
	for _, vm := range fl.ms.VMs {
		fl.startNode(vm)
	}
}

// kill ends a process without a word to anyone.
func (fl *fleet) kill(names ...string) {
	for _, name := range names {
		tn := fl.nodes[name]
		fl.nw.CloseConns(tn.ho)
		tn.cancel()
		delete(fl.nodes, name)
		defer func() { <-tn.done }()
	}
}

func (fl *fleet) stopAll() {
	var names []string
	for name := range fl.nodes {
		names = append(names, name)
	}
	fl.kill(names...)
	// What timers are left in the HTTP library run out.
	time.Sleep(time.Minute)
	synctest.Wait()
}

// apply makes a version of the fleet's declarations and returns its number.
func (fl *fleet) apply(ms *decl.Mesh, base uint64) uint64 {
	fl.t.Helper()
	co, err := pack.Encode(ms)
	if err != nil {
		fl.t.Fatal(err)
	}
	fl.submitted++
	res, err := accept.Submit(fl.t.Context(), fl.st.Store(), accept.Submission{ID: fmt.Sprint("s", fl.submitted), Base: base, Content: co})
	if err != nil {
		fl.t.Fatal(err)
	}
	return res.Entry.Version
}

// behind returns the VMs that run and hold an older version.
func (fl *fleet) behind(version uint64) []string {
	var list []string
	for name, tn := range fl.nodes {
		if tn.Board.HeldVersion() < version {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// waitFor waits in virtual time for a condition and returns how long it took.
func (fl *fleet) waitFor(what string, limit time.Duration, ok func() bool) time.Duration {
	fl.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			fl.t.Fatalf("not in %s: %s; %s; holding %v; relays %v", limit, what, fl.unknown(), fl.held(), fl.relays())
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// held counts the nodes by the version that they hold.
func (fl *fleet) held() map[uint64]int {
	m := map[uint64]int{}
	for _, tn := range fl.nodes {
		m[tn.Board.HeldVersion()]++
	}
	return m
}

func (fl *fleet) waitHeld(version uint64, limit time.Duration) time.Duration {
	fl.t.Helper()
	return fl.waitFor(fmt.Sprintf("version %d held by all", version), limit, func() bool { return len(fl.behind(version)) == 0 })
}

// waitMembers waits until every node knows all serving VMs.
func (fl *fleet) waitMembers(limit time.Duration) time.Duration {
	fl.t.Helper()
	return fl.waitFor("all members known everywhere", limit, func() bool { return fl.unknown() == "" })
}

// unknown names the first node that does not know another one as serving.
func (fl *fleet) unknown() string {
	for name, tn := range fl.nodes {
		vw := tn.Board.Members.Get()
		for other := range fl.nodes {
			if rc := vw.Get(other); rc == nil || !rc.Serving() || rc.Mark != member.MarkNone {
				return fmt.Sprintf("%s has of %s %+v", name, other, rc)
			}
		}
	}
	return ""
}

func (fl *fleet) relays() []string {
	var list []string
	for name, tn := range fl.nodes {
		if tn.isRelay() {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// TestFleetSmall is the everyday case at the sizes of the brief: nine daemons
// start at once, take a version and its successor, and know each other.
func TestFleetSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, sample.Mesh(9, 3, 2))
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		t.Logf("first version after %s", fl.waitHeld(1, 20*time.Second))
		t.Logf("members after %s", fl.waitMembers(20*time.Second))
		v := fl.apply(sample.Change(fl.ms, 1), 1)
		t.Logf("change after %s; relays %v", fl.waitHeld(v, 10*time.Second), fl.relays())
	})
}
