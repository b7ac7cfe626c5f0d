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
	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/guard"
	"github.com/flamingomast/flamingomast/internal/plat/memnet"
	"github.com/flamingomast/flamingomast/internal/plat/store"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
)

// fleet is a platform and the control planes of daemons on an in-memory network.
type fleet struct {
	t     *testing.T
	nw    *memnet.Network
	st    *fakekv.Service
	ms    *decl.Mesh
	nodes map[string]*testNode
	// platformCut has the failure domains that are cut off from the platform.
	platformCut atomic.Pointer[map[string]bool]
	// vmFaults has the faults of the platform that affect single VMs.
	vmFaults atomic.Pointer[map[string]vmFault]
	// linearizable says that a read of the platform returns every version ever accepted and that
	// daemons are configured without seeds, as on the users' platform.
	linearizable bool
	// highestHeld has the highest version that each VM has held.
	highestHeld map[string]*uint64
	submitted   int
	// counts returns the request counts of a VM's backend server; nil if there are no servers.
	counts func(vm string) Counts
	// onGate is called with the gate of each process that starts; nil if tenants send no requests.
	onGate func(vm string, ga *admit.Gate)
	// unranked has the VMs whose outlets neither report ranks nor follow shares by rank.
	unranked map[string]bool
}

// size is the size of a fleet.
type size struct{ vms, domains, services int }

// vmFault is a fault of the platform that affects one VM.
type vmFault int

const (
	// faultReject means that each call fails at once, faultHang that no call is answered.
	faultReject vmFault = iota + 1
	faultHang
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

// Network latencies. All but betweenRegions are those that the requirements state.
const (
	withinDomain   = 200 * time.Microsecond
	betweenDomains = 1500 * time.Microsecond
	betweenRegions = 15 * time.Millisecond
	toPlatform     = 3 * time.Millisecond
)

func newFleet(t *testing.T, ms *decl.Mesh) *fleet {
	fl := &fleet{t: t, nw: memnet.New(), st: fakekv.New(), ms: ms, nodes: map[string]*testNode{}, highestHeld: map[string]*uint64{}}
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
	fl.platformCut.Store(&map[string]bool{})
	fl.vmFaults.Store(&map[string]vmFault{})
	fl.st.SetFaults(fakekv.Faults{Delay: toPlatform})
	return fl
}

// store returns the platform's store as seen by a VM, with the faults that affect the VM.
func (fl *fleet) store(vm decl.VM) store.Store {
	return store.Wrap(fl.st.Store(), func(ctx context.Context, op, key string, call func() error) error {
		unavailable := &store.Error{Kind: store.Unavailable, Op: op, Key: key}
		failing := func() bool {
			switch (*fl.vmFaults.Load())[vm.Name] {
			case faultHang:
				// The platform's client times out after the duration of the watch and some slack.
				_ = pause(ctx, hangDuration)
				return true
			case faultReject:
				return true
			}
			return (*fl.platformCut.Load())[vm.Domain]
		}
		if failing() {
			return unavailable
		}
		err := call()
		if failing() {
			return unavailable
		}
		return err
	})
}

// hangDuration is how long a call takes to fail if the platform does not answer.
const hangDuration = 1500 * time.Millisecond

// seeds returns the addresses of the first three other VMs of the VM's failure domain.
func (fl *fleet) seeds(vm decl.VM) []string {
	var list []string
	count := map[string]int{}
	for _, v := range fl.ms.VMs {
		if v.Domain == vm.Domain && v.Name != vm.Name && count[v.Domain] < 3 {
			count[v.Domain]++
			list = append(list, v.Name+":7000")
		}
	}
	return list
}

// startNode starts a daemon process of a VM at the VM's address.
func (fl *fleet) startNode(vm decl.VM) *testNode {
	addr := vm.Name + ":7000"
	ho, ln := fl.nw.Listen(addr, vm.Domain)
	gd := guard.New(fl.store(vm))
	tn := &testNode{vm: vm, ho: ho, guard: gd, done: make(chan struct{})}
	src, seeds := defaultSource(), fl.seeds(vm)
	if fl.linearizable {
		src.Linearizable, src.Restore, seeds = true, nil, nil
	}
	var counts func() Counts
	if fl.counts != nil {
		counts = func() Counts { return fl.counts(vm.Name) }
	}
	var quota Quota
	if fl.onGate != nil {
		ga := admit.New(func() *admit.Directive { return tn.Board.Directive.Get() })
		ga.Outlets = func() int {
			if n := tn.Board.Outlets.Get(); n != nil {
				return *n
			}
			return 0
		}
		ga.Tolerance = admit.Tolerance{Window: quotaWindow, Overage: quotaOverage, Spare: quotaSlack}
		quota = Quota{Usage: ga.Usage, Due: ga.Due, Tolerance: ga.Tolerance}
		if fl.unranked[vm.Name] {
			quota.Usage, ga.Directive = withoutRanks(ga)
		}
		fl.onGate(vm.Name, ga)
	}
	tn.Node = New(Config{
		Source: src, Counts: counts, Quota: quota,
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

// watchVersion fails the test if a VM, in this or a later process, holds an older version than
// before.
func (fl *fleet) watchVersion(tn *testNode) {
	last := fl.highestHeld[tn.vm.Name]
	if last == nil {
		last = new(uint64)
		fl.highestHeld[tn.vm.Name] = last
	}
	go func() {
		for {
			sn, changed := tn.Board.Held.Watch()
			if sn != nil {
				if prev := atomic.SwapUint64(last, sn.Version); prev > sn.Version {
					fl.t.Errorf("%s holds version %d after version %d", tn.vm.Name, sn.Version, prev)
				}
			}
			select {
			case <-changed:
			case <-tn.ctx.Done():
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

// kill ends the processes of VMs without any message to the other daemons.
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
	// Let the remaining timers of the HTTP library expire.
	time.Sleep(time.Minute)
	synctest.Wait()
}

// apply submits declarations as a new version and returns its number.
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

// behind returns the running VMs that hold an older version.
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

// waitFor waits in virtual time until ok returns true, and returns how long that took.
func (fl *fleet) waitFor(condition string, limit time.Duration, ok func() bool) time.Duration {
	fl.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			fl.t.Fatalf("not within %s: %s; %s; nodes by held version %v; relays %v", limit, condition, fl.missingMember(), fl.heldCounts(), fl.relays())
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// heldCounts returns the number of nodes by held version.
func (fl *fleet) heldCounts() map[uint64]int {
	m := map[uint64]int{}
	for _, tn := range fl.nodes {
		m[tn.Board.HeldVersion()]++
	}
	return m
}

func (fl *fleet) waitHeld(version uint64, limit time.Duration) time.Duration {
	fl.t.Helper()
	return fl.waitFor(fmt.Sprintf("all hold version %d", version), limit, func() bool { return len(fl.behind(version)) == 0 })
}

// waitMembers waits until every node knows every other one as serving.
func (fl *fleet) waitMembers(limit time.Duration) time.Duration {
	fl.t.Helper()
	return fl.waitFor("every node knows all members", limit, func() bool { return fl.missingMember() == "" })
}

// missingMember describes a node that does not know another one as serving; empty if there is none.
func (fl *fleet) missingMember() string {
	for name, tn := range fl.nodes {
		vw := tn.Board.Members.Get()
		for other := range fl.nodes {
			if rc := vw.Get(other); rc == nil || !rc.Serving() || rc.Mark != member.MarkNone {
				return fmt.Sprintf("%s has for %s the record %+v", name, other, rc)
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

// TestFleetSmall: nine daemons start at once without faults, install a version and the next one,
// and learn of each other.
func TestFleetSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, sample.Mesh(9, 3, 2))
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		t.Logf("first version held by all after %s", fl.waitHeld(1, 20*time.Second))
		t.Logf("members known after %s more", fl.waitMembers(20*time.Second))
		v := fl.apply(sample.Change(fl.ms, 1), 1)
		t.Logf("change held by all after %s; relays %v", fl.waitHeld(v, 10*time.Second), fl.relays())
	})
}
