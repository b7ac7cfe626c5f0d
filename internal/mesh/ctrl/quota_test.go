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
	"github.com/flamingomast/flamingomast/internal/plat/memnet"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
)

// What operators allow: in any quotaWindow, all outlets together admit at most
// (rate * window + burst) * (1 + quotaOverage) + quotaSlack requests of a tenant.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// quotaConfigBound is the time within which a lower limit holds at all outlets.
	quotaConfigBound = 2500 * time.Millisecond
	// quotaStep is the time between two batches of simulated requests.
	quotaStep = 10 * time.Millisecond
)

// quotaFleet is a fleet whose outlets receive the requests of one tenant.
type quotaFleet struct {
	*fleet
	gates map[string]*admit.Gate
	// versions has the version that each gate has its limits from.
	versions map[*admit.Gate]uint64
	rnd      *rand.Rand
	limit    admit.Limit
	version  uint64

	// admittedAt has the times of the admitted requests, offered counts all of them.
	admittedAt []time.Time
	offered    int
	// rank is that of the requests.
	rank int
}

const quotaTenant = "tenant"

// withLimit declares the tenant with a limit.
func withLimit(ms *decl.Mesh, li admit.Limit) *decl.Mesh {
	next := *ms
	next.Tenants = []decl.Tenant{{Name: quotaTenant, Rate: li.Rate, Burst: li.Burst, Keys: []decl.KeyDigest{decl.HashKey("key-of-the-tenant")}}}
	return &next
}

// withQuotaFleet starts a fleet in which the tenant has a limit, waits until it is stable and calls
// fn.
func withQuotaFleet(t *testing.T, sz size, li admit.Limit, fn func(qf *quotaFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, withLimit(sample.Mesh(sz.vms, sz.domains, sz.services), li))
		qf := &quotaFleet{
			fleet: fl, gates: map[string]*admit.Gate{}, versions: map[*admit.Gate]uint64{},
			rnd: rand.New(rand.NewPCG(1, uint64(sz.vms))), limit: li, version: 1,
		}
		fl.onGate = func(vm string, ga *admit.Gate) { qf.gates[vm] = ga }
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		fl.waitHeld(1, 20*time.Second)
		fl.waitMembers(20 * time.Second)
		qf.updateGates()
		time.Sleep(settleTime)
		fn(qf)
	})
}

// setLimit changes the tenant's limit.
func (qf *quotaFleet) setLimit(li admit.Limit) {
	qf.version = qf.apply(withLimit(qf.ms, li), qf.version)
	qf.limit = li
}

// send offers requests for a time, rate per second in all, spread over the outlets of which wanted
// returns true. It returns the part of them that was admitted.
func (qf *quotaFleet) send(span time.Duration, rate float64, wanted func(vm decl.VM) bool) float64 {
	var vms []string
	for _, vm := range qf.ms.VMs {
		if wanted == nil || wanted(vm) {
			vms = append(vms, vm.Name)
		}
	}
	offered, admitted := 0, 0
	due := 0.0
	for began := time.Now(); time.Since(began) < span; time.Sleep(quotaStep) {
		qf.updateGates()
		for due += rate * quotaStep.Seconds(); due >= 1; due-- {
			name := vms[qf.rnd.IntN(len(vms))]
			tn := qf.nodes[name]
			if tn == nil || tn.Board.Held.Get() == nil {
				// Its callers find no listener, or are told that there is no configuration.
				continue
			}
			offered++
			if qf.admit(tn, time.Now()) {
				admitted++
			}
		}
	}
	qf.offered += offered
	return float64(admitted) / float64(max(1, offered))
}

// updateGates passes the limits of the versions in force to the gates.
func (qf *quotaFleet) updateGates() {
	for name, tn := range qf.nodes {
		ga, sn := qf.gates[name], tn.Board.Held.Get()
		if sn != nil && qf.versions[ga] != sn.Version {
			qf.versions[ga] = sn.Version
			ga.Update(sn.Tenants.Limits(), time.Now())
		}
	}
}

func (qf *quotaFleet) admit(tn *testNode, now time.Time) bool {
	if !qf.gates[tn.vm.Name].Admit(quotaTenant, qf.rank, now).Admitted {
		return false
	}
	qf.admittedAt = append(qf.admittedAt, now)
	return true
}

// checkWindows fails the test if more requests than allowed were admitted in any window that begins
// after a given time.
func (qf *quotaFleet) checkWindows(after time.Time, li admit.Limit) {
	qf.t.Helper()
	bound := int((li.Rate*quotaWindow.Seconds()+li.Burst)*(1+quotaOverage) + quotaSlack)
	most, at, first := 0, time.Time{}, 0
	for i, now := range qf.admittedAt {
		for qf.admittedAt[first].Before(after) && first < i || now.Sub(qf.admittedAt[first]) > quotaWindow {
			first++
		}
		if n := i - first + 1; n > most && !qf.admittedAt[first].Before(after) {
			most, at = n, now
		}
	}
	qf.t.Logf("%d of %d requests admitted; most in %s: %d, bound %d", len(qf.admittedAt), qf.offered, quotaWindow, most, bound)
	if most > bound {
		qf.t.Errorf("%d requests admitted in the %s before %s after the first, want at most %d", most, quotaWindow, at.Sub(qf.admittedAt[0]), bound)
	}
}

// quotaSizes are the sizes of the fleets. TestScaleQuota plays larger ones.
var quotaSizes = []size{{9, 3, 2}}

// limitFor returns the limit of a large tenant of a fleet.
func limitFor(sz size) admit.Limit {
	return admit.Limit{Rate: 10 * float64(sz.vms), Burst: 10 * float64(sz.vms)}
}

func eachQuotaSize(t *testing.T, limit func(size) admit.Limit, fn func(t *testing.T, qf *quotaFleet)) {
	for _, sz := range quotaSizes {
		t.Run(fmt.Sprint(sz.vms), func(t *testing.T) {
			withQuotaFleet(t, sz, limit(sz), func(qf *quotaFleet) { fn(t, qf) })
		})
	}
}

// wantServed fails the test if less than want of some requests was admitted.
func wantServed(t *testing.T, what string, got, want float64) {
	t.Helper()
	t.Logf("%s: %.3f admitted", what, got)
	if got < want {
		t.Errorf("%s: %.3f admitted, want at least %.3f", what, got, want)
	}
}

// TestQuotaFlood guards against the sum of all outlets exceeding the limit when a tenant suddenly
// sends eight times its rate at all of them, and against serving it less than its rate.
func TestQuotaFlood(t *testing.T) {
	eachQuotaSize(t, limitFor, func(t *testing.T, qf *quotaFleet) {
		wantServed(t, "below the limit", qf.send(5*time.Second, 0.6*qf.limit.Rate, nil), 0.999)
		wantServed(t, "eight times the limit", 8*qf.send(20*time.Second, 8*qf.limit.Rate, nil), 0.97)
		wantServed(t, "below the limit again", qf.send(10*time.Second, 0.6*qf.limit.Rate, nil), 0.9)
		qf.checkWindows(time.Time{}, qf.limit)
	})
}

// TestQuotaSmallTenant guards against refusing a tenant with fewer requests than outlets while it is
// below its limit, and against each outlet letting a first request pass when it is far above.
func TestQuotaSmallTenant(t *testing.T) {
	small := func(size) admit.Limit { return admit.Limit{Rate: 5, Burst: 5} }
	eachQuotaSize(t, small, func(t *testing.T, qf *quotaFleet) {
		wantServed(t, "below the limit", qf.send(30*time.Second, 0.6*qf.limit.Rate, nil), 0.995)
		wantServed(t, "eight times the limit", 8*qf.send(20*time.Second, 8*qf.limit.Rate, nil), 0.9)
		qf.checkWindows(time.Time{}, qf.limit)
	})
}

// TestQuotaMovingTenant guards against tying a tenant to outlets: one that sends all its requests to
// one outlet, and then to one of another failure domain, is served up to its limit at each.
func TestQuotaMovingTenant(t *testing.T) {
	eachQuotaSize(t, limitFor, func(t *testing.T, qf *quotaFleet) {
		at := func(name string) func(decl.VM) bool { return func(vm decl.VM) bool { return vm.Name == name } }
		first, second := qf.domainVMs("d0")[0], qf.domainVMs("d1")[0]
		wantServed(t, "at one outlet", qf.send(8*time.Second, 0.9*qf.limit.Rate, at(first)), 0.99)
		wantServed(t, "at another one", qf.send(8*time.Second, 0.9*qf.limit.Rate, at(second)), 0.99)
		wantServed(t, "eight times the limit there", 8*qf.send(8*time.Second, 8*qf.limit.Rate, at(second)), 0.9)
		wantServed(t, "eight times the limit at the first", 8*qf.send(8*time.Second, 8*qf.limit.Rate, at(first)), 0.9)
		qf.checkWindows(time.Time{}, qf.limit)
	})
}

// TestQuotaChangedLimit guards against a limit that is lowered far below what a tenant sends taking
// effect late, and against one that is raised not being used.
func TestQuotaChangedLimit(t *testing.T) {
	eachQuotaSize(t, limitFor, func(t *testing.T, qf *quotaFleet) {
		high := qf.limit
		low := admit.Limit{Rate: high.Rate / 10, Burst: high.Burst / 10}
		qf.send(5*time.Second, 0.6*high.Rate, nil)
		qf.setLimit(low)
		changed := time.Now()
		qf.send(15*time.Second, 0.6*high.Rate, nil)
		qf.checkWindows(changed.Add(quotaConfigBound), low)
		qf.setLimit(high)
		qf.send(quotaConfigBound, 0.6*high.Rate, nil)
		wantServed(t, "below the raised limit", qf.send(5*time.Second, 0.6*high.Rate, nil), 0.99)
		qf.checkWindows(time.Time{}, high)
	})
}

// TestQuotaPartition guards against both sides of a partition using the whole limit, whether the
// tenant sends before it or only afterwards, and against a part staying unused once it has ended.
func TestQuotaPartition(t *testing.T) {
	for _, idle := range []bool{false, true} {
		t.Run(map[bool]string{false: "during a flood", true: "before a flood"}[idle], func(t *testing.T) {
			eachQuotaSize(t, limitFor, func(t *testing.T, qf *quotaFleet) {
				if !idle {
					qf.send(8*time.Second, 8*qf.limit.Rate, nil)
				}
				qf.cutDomain("d2")
				if idle {
					time.Sleep(2 * time.Second)
				}
				wantServed(t, "during the partition", 8*qf.send(20*time.Second, 8*qf.limit.Rate, nil), 0.9)
				qf.nw.SetPartition(nil)
				qf.send(8*time.Second, 8*qf.limit.Rate, nil)
				wantServed(t, "after it", qf.send(10*time.Second, 0.6*qf.limit.Rate, nil), 0.9)
				qf.checkWindows(time.Time{}, qf.limit)
			})
		})
	}
}

// TestQuotaIsolatedOutlets guards against outlets that reach no other daemon admitting more than
// their part of the limit together.
func TestQuotaIsolatedOutlets(t *testing.T) {
	eachQuotaSize(t, limitFor, func(t *testing.T, qf *quotaFleet) {
		qf.send(5*time.Second, 0.6*qf.limit.Rate, nil)
		isolated := map[string]bool{}
		for i, vm := range qf.ms.VMs {
			if i%6 == 0 {
				isolated[vm.Name] = true
			}
		}
		qf.cutVMs(isolated)
		at := func(vm decl.VM) bool { return isolated[vm.Name] }
		wantServed(t, "at isolated outlets, as usual", qf.send(10*time.Second, 0.6*qf.limit.Rate*float64(len(isolated))/float64(len(qf.ms.VMs)), at), 0.8)
		qf.send(15*time.Second, 8*qf.limit.Rate, nil)
		qf.nw.SetPartition(nil)
		qf.send(5*time.Second, 8*qf.limit.Rate, nil)
		qf.checkWindows(time.Time{}, qf.limit)
	})
}

// TestQuotaRelaysKilled guards against the limit being lost or doubled when the relays that count are
// killed during a flood, and when they come back.
func TestQuotaRelaysKilled(t *testing.T) {
	eachQuotaSize(t, limitFor, func(t *testing.T, qf *quotaFleet) {
		qf.send(5*time.Second, 8*qf.limit.Rate, nil)
		var dead []string
		for _, dm := range qf.ms.Domains {
			dead = append(dead, qf.relaysOf(dm.Name)[0])
		}
		qf.kill(dead...)
		wantServed(t, "while relays are missing", 8*qf.send(8*time.Second, 8*qf.limit.Rate, nil), 0.5)
		qf.restart(dead...)
		wantServed(t, "once they are back", 8*qf.send(8*time.Second, 8*qf.limit.Rate, nil), 0.7)
		qf.checkWindows(time.Time{}, qf.limit)
	})
}

// TestQuotaAllKilled guards against a second burst after all daemons were killed at once during a
// flood, when nobody is left who knows what was admitted.
func TestQuotaAllKilled(t *testing.T) {
	eachQuotaSize(t, limitFor, func(t *testing.T, qf *quotaFleet) {
		qf.send(2*time.Second, 8*qf.limit.Rate, nil)
		var all []string
		for name := range qf.nodes {
			all = append(all, name)
		}
		slices.Sort(all)
		qf.kill(all...)
		time.Sleep(100 * time.Millisecond)
		qf.startAll()
		qf.send(10*time.Second, 8*qf.limit.Rate, nil)
		wantServed(t, "ten seconds after the restart", 8*qf.send(5*time.Second, 8*qf.limit.Rate, nil), 0.9)
		qf.checkWindows(time.Time{}, qf.limit)
	})
}

// TestQuotaManyVersions guards against versions in quick succession that keep relays from counting: the
// outlets would be left without a directive and refuse what is below the limit.
func TestQuotaManyVersions(t *testing.T) {
	eachQuotaSize(t, limitFor, func(t *testing.T, qf *quotaFleet) {
		for i := range 25 {
			qf.version = qf.apply(sample.Change(qf.ms, i), qf.version)
			served := qf.send(200*time.Millisecond, 0.9*qf.limit.Rate, nil)
			if served < 0.99 {
				t.Errorf("%.3f of the requests admitted during version %d", served, i)
			}
		}
		qf.checkWindows(time.Time{}, qf.limit)
	})
}

// TestQuotaStoreAway guards against limits that depend on the platform's store.
func TestQuotaStoreAway(t *testing.T) {
	eachQuotaSize(t, limitFor, func(t *testing.T, qf *quotaFleet) {
		faults := map[string]vmFault{}
		for _, vm := range qf.ms.VMs {
			faults[vm.Name] = faultHang
		}
		qf.vmFaults.Store(&faults)
		calls := qf.st.Calls.Total()
		wantServed(t, "below the limit", qf.send(10*time.Second, 0.6*qf.limit.Rate, nil), 0.999)
		wantServed(t, "eight times the limit", 8*qf.send(10*time.Second, 8*qf.limit.Rate, nil), 0.95)
		qf.checkWindows(time.Time{}, qf.limit)
		if n := qf.st.Calls.Total() - calls; n > 0 {
			t.Logf("%d calls reached the store", n)
		}
		qf.vmFaults.Store(&map[string]vmFault{})
	})
}

// cutVMs cuts VMs off from all others, and from each other.
func (fl *fleet) cutVMs(vms map[string]bool) {
	cut := map[any]bool{}
	for name := range vms {
		cut[fl.nodes[name].ho] = true
	}
	fl.nw.SetPartition(func(a, b *memnet.Host) bool { return a != b && (cut[a] || cut[b]) })
}
