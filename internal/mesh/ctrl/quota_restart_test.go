package ctrl

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/sample"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/plat/memnet"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
)

// restartTenants are the numbers of tenants by their rate, a few of them large.
var restartTenants = map[float64]int{300: 1, 150: 1, 80: 1, 40: 4, 20: 8, 10: 12, 5: 20}

// restartFleet is a fleet whose outlets receive the requests of many tenants.
type restartFleet struct {
	*quotaFleet
	tenants []*restartTenant
	// since is when the first request came after the restart.
	since time.Time
}

type restartTenant struct {
	name  string
	limit admit.Limit
	// due accumulates the requests that are due, admittedAt has the times of the admitted ones.
	due        float64
	admittedAt []time.Time
}

// restartGrace is the time after the first request within which requests below a limit may be
// refused: nothing is known yet of what tenants send.
const restartGrace = 300 * time.Millisecond

func withRestartFleet(t *testing.T, sz size, fn func(rf *restartFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ms := *sample.Mesh(sz.vms, sz.domains, sz.services)
		rf := &restartFleet{}
		for rate, n := range restartTenants {
			for i := range n {
				name := fmt.Sprintf("tenant-%g-%d", rate, i)
				rf.tenants = append(rf.tenants, &restartTenant{name: name, limit: admit.Limit{Rate: rate, Burst: rate}})
				ms.Tenants = append(ms.Tenants, decl.Tenant{Name: name, Rate: rate, Burst: rate, Keys: []decl.KeyDigest{decl.HashKey("key-of-" + name)}})
			}
		}
		slices.SortFunc(rf.tenants, func(a, b *restartTenant) int { return int(b.limit.Rate - a.limit.Rate) })
		slices.SortFunc(ms.Tenants, func(a, b decl.Tenant) int { return int(b.Rate - a.Rate) })
		fl := newFleet(t, &ms)
		fl.linearizable = true
		rf.quotaFleet = &quotaFleet{
			fleet: fl, gates: map[string]*admit.Gate{}, versions: map[*admit.Gate]uint64{}, rnd: rand.New(rand.NewPCG(2, uint64(sz.vms))), version: 1,
		}
		fl.onGate = func(vm string, ga *admit.Gate) { rf.gates[vm] = ga }
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		fl.waitHeld(1, 20*time.Second)
		fl.waitMembers(20 * time.Second)
		rf.updateGates()
		time.Sleep(settleTime)
		fn(rf)
	})
}

// send offers requests of all tenants for a time, each a multiple of its rate, and returns the part
// that was admitted of those that came later than after.
func (rf *restartFleet) send(span time.Duration, multiple float64, after time.Time) float64 {
	offered, admitted := 0, 0
	for began := time.Now(); time.Since(began) < span; time.Sleep(quotaStep) {
		rf.updateGates()
		now := time.Now()
		for _, te := range rf.tenants {
			for te.due += te.limit.Rate * multiple * quotaStep.Seconds() * 2 * rf.rnd.Float64(); te.due >= 1; te.due-- {
				vm := rf.ms.VMs[rf.rnd.IntN(len(rf.ms.VMs))].Name
				tn := rf.nodes[vm]
				if tn == nil || tn.Board.Held.Get() == nil {
					continue
				}
				if rf.since.IsZero() {
					rf.since = now
				}
				ok := rf.gates[vm].Admit(te.name, 0, now).Admitted
				if ok {
					te.admittedAt = append(te.admittedAt, now)
				}
				if now.Before(after) || after.IsZero() && now.Sub(rf.since) < restartGrace {
					continue
				}
				offered++
				if ok {
					admitted++
				}
			}
		}
	}
	return float64(admitted) / float64(max(1, offered))
}

// checkTenants fails the test if any tenant was admitted more than allowed in any window. It returns
// the highest ratio.
func (rf *restartFleet) checkTenants() (worst float64) {
	name := ""
	for _, te := range rf.tenants {
		bound := (te.limit.Rate*quotaWindow.Seconds()+te.limit.Burst)*(1+quotaOverage) + quotaSlack
		first := 0
		for i, now := range te.admittedAt {
			for now.Sub(te.admittedAt[first]) > quotaWindow {
				first++
			}
			if ratio := float64(i-first+1) / bound; ratio > worst {
				worst, name = ratio, te.name
			}
		}
	}
	if worst > 1 {
		rf.t.Errorf("%s: %.2f of the bound admitted in some %s", name, worst, quotaWindow)
	}
	return worst
}

// crash kills the processes of VMs and starts them again after a pause.
func (rf *restartFleet) crash(names []string, down time.Duration, multiple float64) {
	slices.Sort(names)
	rf.kill(names...)
	rf.send(down, multiple, time.Time{})
	rf.since = time.Time{}
	// Processes take different times to start.
	const steps = 30
	for step := range steps {
		for i, vm := range rf.ms.VMs {
			if i%steps == step && slices.Contains(names, vm.Name) {
				rf.startNode(vm)
			}
		}
		rf.send(quotaStep, multiple, time.Time{})
	}
}

func (rf *restartFleet) allVMs() []string {
	var list []string
	for _, vm := range rf.ms.VMs {
		list = append(list, vm.Name)
	}
	return list
}

// restartCase is a loss of daemons while tenants send a multiple of their rates.
type restartCase struct {
	name          string
	down          time.Duration
	before, after float64
	vms           func(rf *restartFleet) []string
	// again kills them once more while they learn.
	again bool
	// large is set for the cases that large fleets play as well.
	large bool
}

// belowLimits is the multiple of its rate that a tenant sends in cases without one.
const belowLimits = 0.6

// largeFleet is the number of VMs from which a fleet plays only some of the cases.
const largeFleet = 100

func eachRestart(t *testing.T, cases []restartCase, fn func(t *testing.T, rf *restartFleet, served float64)) {
	for _, sz := range quotaSizes {
		for _, tc := range cases {
			if sz.vms >= largeFleet && !tc.large {
				continue
			}
			if tc.before == 0 {
				tc.before, tc.after = belowLimits, belowLimits
			}
			t.Run(fmt.Sprint(sz.vms, " ", tc.name), func(t *testing.T) {
				withRestartFleet(t, sz, func(rf *restartFleet) {
					rf.send(2500*time.Millisecond, tc.before, time.Now())
					rf.crash(tc.vms(rf), tc.down, tc.after)
					if tc.again {
						rf.send(400*time.Millisecond, tc.after, time.Time{})
						rf.crash(tc.vms(rf), tc.down, tc.after)
					}
					served := rf.send(4*time.Second, tc.after, time.Time{})
					t.Logf("%.3f admitted from %s after the first request; most in %s: %.2f of the bound", served, restartGrace, quotaWindow, rf.checkTenants())
					fn(t, rf, served)
				})
			})
		}
	}
}

// TestQuotaRestartBound guards against tenants above their limits being admitted more than all outlets
// may, when the daemons that counted their requests are lost.
func TestQuotaRestartBound(t *testing.T) {
	eachRestart(t, []restartCase{
		{name: "flood before", down: 100 * time.Millisecond, before: 8, after: 0.6, vms: (*restartFleet).allVMs},
		{name: "flood after", down: 100 * time.Millisecond, before: 0.6, after: 8, vms: (*restartFleet).allVMs},
		{name: "flood", down: 100 * time.Millisecond, before: 8, after: 8, vms: (*restartFleet).allVMs, large: true},
		{name: "flood and no power for 2 s", down: 2 * time.Second, before: 8, after: 8, vms: (*restartFleet).allVMs},
		{name: "flood and killed again", down: 100 * time.Millisecond, before: 8, after: 8, vms: (*restartFleet).allVMs, again: true},
		{name: "flood and all relays", down: 100 * time.Millisecond, before: 8, after: 8, vms: func(rf *restartFleet) []string { return rf.relays() }},
		{name: "flood and half of them", down: 600 * time.Millisecond, before: 8, after: 8, vms: func(rf *restartFleet) []string { return rf.allVMs()[:len(rf.ms.VMs)/2] }},
		{name: "flood and two thirds of them", down: 600 * time.Millisecond, before: 8, after: 8, vms: func(rf *restartFleet) []string { return rf.allVMs()[:len(rf.ms.VMs)*2/3] }},
		{name: "at the limits", down: 600 * time.Millisecond, before: 1, after: 1, vms: (*restartFleet).allVMs},
	}, func(t *testing.T, rf *restartFleet, _ float64) { rf.checkTenants() })
}

// TestQuotaRestartBelowLimits guards against refusing tenants that are below their limits after the
// daemons that counted their requests were lost.
func TestQuotaRestartBelowLimits(t *testing.T) {
	eachRestart(t, []restartCase{
		{name: "all killed", down: 100 * time.Millisecond, vms: (*restartFleet).allVMs},
		{name: "no power for 0.6 s", down: 600 * time.Millisecond, vms: (*restartFleet).allVMs, large: true},
		{name: "no power for 10 s", down: 10 * time.Second, vms: (*restartFleet).allVMs},
		{name: "half of them", down: 600 * time.Millisecond, vms: func(rf *restartFleet) []string { return rf.allVMs()[:len(rf.ms.VMs)/2] }},
		{name: "a failure domain", down: 600 * time.Millisecond, vms: func(rf *restartFleet) []string { return rf.domainVMs("d0") }},
		{name: "all relays", down: 600 * time.Millisecond, vms: func(rf *restartFleet) []string { return rf.relays() }},
	}, func(t *testing.T, rf *restartFleet, served float64) {
		if served < 0.99 {
			t.Errorf("%.3f of the requests below the limits admitted, want 0.99", served)
		}
	})
}

// TestQuotaIsolatedStarts guards against daemons that start without reaching each other, but reach the
// store, taking the few that they know for all outlets.
func TestQuotaIsolatedStarts(t *testing.T) {
	for _, sz := range quotaSizes {
		if sz.vms >= largeFleet {
			continue
		}
		t.Run(fmt.Sprint(sz.vms), func(t *testing.T) {
			withRestartFleet(t, sz, func(rf *restartFleet) {
				rf.kill(rf.allVMs()...)
				time.Sleep(quotaWindow)
				rf.nw.SetPartition(func(a, b *memnet.Host) bool { return a != b && a.Domain != "" && b.Domain != "" })
				rf.startAll()
				rf.send(4*time.Second, 8, time.Time{})
				rf.nw.SetPartition(nil)
				rf.send(quotaWindow, 8, time.Time{})
				t.Logf("most in %s: %.2f of the bound", quotaWindow, rf.checkTenants())
			})
		})
	}
}

// newFollower returns a node that has opened a link to a future relay, the only one, and a function that
// opens another one.
func newFollower(t *testing.T) (nd *Node, future *link.Peer, open func(vm string, isRelay bool) *link.Peer) {
	nd = New(Config{VM: "vm-x", Domain: "d0", Control: "x:1"})
	t.Cleanup(nd.cancel)
	open = func(vm string, isRelay bool) *link.Peer {
		pr := link.New(link.Stream{Abort: func() {}}, nd.offer)
		pr.Outgoing, pr.Addr = true, vm+":1"
		rc := &member.Record{VM: vm, Domain: "d0", Incarnation: 1}
		nd.handlePacket(pr, &wirepb.Packet{Hello: &wirepb.Hello{Protocol: Protocol, Relay: isRelay, Record: rc.ToWire()}, Welcome: &wirepb.Welcome{}})
		return pr
	}
	future = open("vm-f", false)
	nd.linker.chosen.Store(&[]*member.Record{future.Record})
	return nd, future, open
}

// TestDirectiveOfFutureRelay guards against following a daemon that counts before it is a relay while
// the requests are reported to a relay: the former knows nothing of them, and lets all pass.
func TestDirectiveOfFutureRelay(t *testing.T) {
	nd, future, open := newFollower(t)
	nd.handlePacket(future, &wirepb.Packet{Directive: &wirepb.Directive{Outlets: 5}})
	if di := nd.Board.Directive.Get(); di == nil || di.Outlets != 5 {
		t.Errorf("without a relay: %+v, want the directive of the future relay", di)
	}
	rl := open("vm-r", true)
	nd.handlePacket(rl, &wirepb.Packet{Directive: &wirepb.Directive{Outlets: 7}})
	nd.handlePacket(future, &wirepb.Packet{Directive: &wirepb.Directive{Outlets: 6}})
	if di := nd.Board.Directive.Get(); di.Outlets != 7 {
		t.Errorf("linked to a relay: %+v, want its directive", di)
	}
}

// TestReportAfterLinkLoss guards against counts that are given to a link that has ended: they would be
// marked as reported, and the next relay would not count them.
func TestReportAfterLinkLoss(t *testing.T) {
	nd, future, _ := newFollower(t)
	nd.handlePacket(future, &wirepb.Packet{Directive: &wirepb.Directive{Outlets: 5}})
	if got := nd.quota.linkedRelay(); got != future {
		t.Errorf("reports to %v, want the future relay", got)
	}
	nd.removePeer(future, nil)
	if got := nd.quota.linkedRelay(); got != nil {
		t.Errorf("reports to %s after the link has ended", got.Record.VM)
	}
}

// TestLearnTime guards against members that are told again that their relay learns once it has said that
// it does not: daemons that have started together are older than startPeriod soon after.
func TestLearnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nd, future, _ := newFollower(t)
		future.RunningSince = time.Now()
		time.Sleep(startPeriod - startLearnTime - 50*time.Millisecond)
		nd.quota.reset()
		for _, tc := range []struct {
			after time.Duration
			want  bool
		}{{0, true}, {startLearnTime, false}, {startLearnTime + 100*time.Millisecond, false}} {
			time.Sleep(time.Until(nd.quota.ledger.Since.Add(tc.after)))
			if got := time.Since(nd.quota.ledger.Since) < nd.quota.learnTime(); got != tc.want {
				t.Errorf("learns %s after it began to count: %v, want %v", tc.after, got, tc.want)
			}
		}
	})
}
