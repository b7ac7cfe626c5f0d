package ctrl

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/sample"
	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/store"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
	"github.com/flamingomast/flamingomast/internal/roll/order"
	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// Limits that operators set for rollouts.
const (
	// A bad target version may receive the share maxExposure of all requests, and exposureSlack more.
	maxExposure   = 0.1
	exposureSlack = 50
	// Within rollbackLimit after badResponseLimit bad responses it must receive no more requests.
	rollbackLimit    = 5 * time.Second
	badResponseLimit = 50
)

// rolloutFleet is a fleet during a rollout. Some of its backend servers run the baseline version v1,
// the others the target version v2.
type rolloutFleet struct {
	fl      *fleet
	service string
	rnd     *rand.Rand
	// failureRate is the share of requests for which the target version fails.
	failureRate float64

	mu       sync.Mutex
	counters map[string]*tally.Counter
	// targetRequests and allRequests count the requests that reached servers, badResponses the bad
	// responses of the target.
	targetRequests, allRequests, badResponses int
	// limitReached is the time of bad response number badResponseLimit.
	limitReached, lastTargetRequest time.Time
}

const requestRate = 500 // requests per second

// software returns the software version of a VM's backend server.
func software(vm string) string {
	h := fnv.New32()
	h.Write([]byte(vm))
	if h.Sum32()%2 == 0 {
		return "v1"
	}
	return "v2"
}

// counts returns the request counts of a VM's backend server.
func (rf *rolloutFleet) counts(vm string) Counts {
	rf.mu.Lock()
	co := rf.counters[vm]
	rf.mu.Unlock()
	if co == nil {
		return Counts{}
	}
	return Counts{Service: rf.service, Software: software(vm), Cohort: tally.Cohort{Servers: 1, Routes: co.Snapshot()}}
}

// sendRequests simulates the requests that all outlets send during the given time.
func (rf *rolloutFleet) sendRequests(span time.Duration) {
	now := time.Now()
	byVersion := map[string][]string{}
	for name := range rf.fl.nodes {
		byVersion[software(name)] = append(byVersion[software(name)], name)
	}
	slices.Sort(byVersion["v1"])
	slices.Sort(byVersion["v2"])
	perNode := requestRate * span.Seconds() / float64(len(rf.fl.nodes))
	for _, tn := range rf.fl.nodes {
		ro := tn.Board.Rollouts.Get().Get(rf.service)
		share, state, servers := 0.0, canary.State(0), 0
		if ro != nil {
			share, state, servers = ro.ShareAt(now), ro.State, ro.Servers
		}
		n := int(perNode)
		if rf.rnd.Float64() < perNode-float64(n) {
			n++
		}
		for range n {
			list := byVersion["v1"]
			toTarget := state == canary.Complete || rf.rnd.Float64() < share
			if toTarget {
				if list = byVersion["v2"]; state != canary.Complete {
					list = list[:max(1, min(servers, len(list)))]
				}
			}
			rf.handleRequest(list[rf.rnd.IntN(len(list))], toTarget, now)
		}
	}
}

// handleRequest simulates one request to a VM's backend server.
func (rf *rolloutFleet) handleRequest(vm string, target bool, now time.Time) {
	rf.mu.Lock()
	defer rf.mu.Unlock()
	rf.allRequests++
	failed := rf.rnd.Float64() < 0.001
	if target {
		rf.targetRequests++
		rf.lastTargetRequest = now
		if rf.rnd.Float64() < rf.failureRate {
			failed = true
			if rf.badResponses++; rf.badResponses == badResponseLimit {
				rf.limitReached = now
			}
		}
	}
	latency := time.Duration(200 * float64(time.Millisecond) * math.Exp(0.8*rf.rnd.NormFloat64()))
	rf.counters[vm].Add("lookup", failed, latency)
}

// writeOrder writes a rollout order to the store as operators do.
func (rf *rolloutFleet) writeOrder(duration time.Duration) {
	rf.fl.t.Helper()
	or := order.Order{Service: rf.service, Target: "v2", DurationMs: duration.Milliseconds()}
	value, err := json.Marshal(or)
	if err != nil {
		rf.fl.t.Fatal(err)
	}
	if err := put(rf.fl.t.Context(), rf.fl.st.Store(), or.Key(), value); err != nil {
		rf.fl.t.Fatal(err)
	}
}

// storedState returns the rollout's state in the store, 0 if there is none.
func (rf *rolloutFleet) storedState() canary.State {
	ent, err := rf.fl.st.Store().Get(context.Background(), order.StatusKey(rf.service))
	if err != nil || !ent.Revision.Exists() {
		return 0
	}
	target, st, err := order.DecodeStatus(ent.Value)
	if err != nil || target != "v2" {
		rf.fl.t.Errorf("state in the store: %q, error %v", ent.Value, err)
	}
	return st
}

// sendRequestsFor simulates requests while the given time passes.
func (rf *rolloutFleet) sendRequestsFor(span time.Duration) {
	const step = 100 * time.Millisecond
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(step) {
		rf.sendRequests(step)
	}
}

// withRollout starts a fleet of 24 VMs with backend servers of two versions, simulates some requests,
// calls fn and stops the fleet.
func withRollout(t *testing.T, seed uint64, fn func(rf *rolloutFleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, sample.Mesh(24, 3, 1))
		rf := &rolloutFleet{fl: fl, service: fl.ms.VMs[0].Service, rnd: rand.New(rand.NewPCG(seed, 3)), counters: map[string]*tally.Counter{}}
		for _, vm := range fl.ms.VMs {
			rf.counters[vm.Name] = &tally.Counter{}
		}
		fl.counts = rf.counts
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		fl.waitHeld(1, 20*time.Second)
		fl.waitMembers(20 * time.Second)
		time.Sleep(settleTime)
		rf.sendRequestsFor(2 * time.Second)
		rf.allRequests, rf.targetRequests = 0, 0
		fn(rf)
	})
}

// rolloutFaults are faults injected during a rollout.
var rolloutFaults = []struct {
	name   string
	inject func(rf *rolloutFleet)
	// mayEndLate says that the rollout need not be final when the order's duration ends, and that a
	// good version may be rolled back.
	mayEndLate bool
}{
	{name: "nothing", inject: func(*rolloutFleet) {}},
	{name: "the deciding daemons are killed", inject: func(rf *rolloutFleet) {
		for name, tn := range rf.fl.nodes {
			if follows := tn.following.Get(); follows != nil && *follows {
				rf.fl.kill(name)
				defer rf.fl.restart(name)
			}
		}
		rf.sendRequestsFor(2 * time.Second)
	}},
	{name: "a failure domain is cut off", inject: func(rf *rolloutFleet) {
		rf.fl.cutDomain("d1")
		rf.sendRequestsFor(3 * time.Second)
		rf.fl.nw.SetPartition(nil)
	}},
	{name: "the store is down", inject: func(rf *rolloutFleet) {
		rf.fl.st.SetFaults(fakekv.Faults{Down: true})
		rf.sendRequestsFor(3 * time.Second)
		rf.fl.st.SetFaults(fakekv.Faults{Delay: toPlatform})
	}, mayEndLate: true},
	{name: "the store is slow", inject: func(rf *rolloutFleet) {
		rf.fl.st.SetFaults(fakekv.Faults{Delay: 200 * time.Millisecond})
		rf.sendRequestsFor(3 * time.Second)
		rf.fl.st.SetFaults(fakekv.Faults{Delay: toPlatform})
	}},
	{name: "responses of the store are lost", inject: func(rf *rolloutFleet) {
		rf.fl.st.SetFaults(fakekv.Faults{Delay: toPlatform, LoseResponses: 3})
	}},
	{name: "the store is restored from an older copy", inject: func(rf *rolloutFleet) {
		bk := rf.fl.st.Backup()
		rf.sendRequestsFor(time.Second)
		rf.fl.st.RestoreInNewEpoch(bk)
	}},
	{name: "the store is restored without the order", inject: func(rf *rolloutFleet) {
		rf.fl.st.RestoreInNewEpoch(rf.backupWithoutRollout())
		rf.sendRequestsFor(1500 * time.Millisecond)
		rf.writeOrder(12 * time.Second)
	}},
	{name: "all daemons are killed", inject: func(rf *rolloutFleet) {
		var all []string
		for name := range rf.fl.nodes {
			all = append(all, name)
		}
		rf.fl.kill(all...)
		rf.fl.restart(all...)
	}, mayEndLate: true},
}

// backupWithoutRollout returns a copy of the store without the keys of the rollout.
func (rf *rolloutFleet) backupWithoutRollout() fakekv.Backup {
	kv, current := rf.fl.st.Store(), rf.fl.st.Backup()
	for _, key := range []string{order.Prefix + rf.service, order.StatusKey(rf.service), beganPrefix + rf.service} {
		ent, err := kv.Get(context.Background(), key)
		if err == nil && ent.Revision.Exists() {
			_, _, err = kv.Swap(context.Background(), store.Change{Key: key, Revision: ent.Revision, Remove: true})
		}
		if err != nil {
			rf.fl.t.Error(err)
		}
	}
	bk := rf.fl.st.Backup()
	rf.fl.st.Restore(current)
	return bk
}

// TestRollout: while daemons, links or the store fail, a rollout must complete with a good version and
// be rolled back with a bad one, in time, and a bad version must not receive more requests than
// permitted.
func TestRollout(t *testing.T) {
	const duration = 12 * time.Second
	for _, failing := range []float64{0, 0.3} {
		for _, fa := range rolloutFaults {
			name := "good"
			if failing > 0 {
				name = "bad"
			}
			t.Run(fmt.Sprintf("%s/%s", name, fa.name), func(t *testing.T) {
				withRollout(t, 1, func(rf *rolloutFleet) {
					rf.failureRate = failing
					rf.writeOrder(duration)
					began := time.Now()
					if failing > 0 {
						rf.sendRequestsFor(200 * time.Millisecond)
					} else {
						rf.sendRequestsFor(4 * time.Second)
					}
					fa.inject(rf)
					rf.sendRequestsFor(duration - time.Since(began))
					rf.check(fa.mayEndLate)
				})
			})
		}
	}
}

// check verifies the outcome of a rollout at the end of its order's duration.
func (rf *rolloutFleet) check(mayEndLate bool) {
	t := rf.fl.t
	t.Helper()
	st := rf.storedState()
	switch {
	case rf.failureRate > 0 && st != canary.RolledBack && !(mayEndLate && st == canary.InProgress), rf.failureRate == 0 && st != canary.Complete && !mayEndLate:
		t.Errorf("state in the store at the end of the order's duration: %s", st)
	case rf.failureRate > 0 && st == canary.Complete:
		t.Error("the rollout of a bad version completed")
	}
	if limit := int(maxExposure*float64(rf.allRequests)) + exposureSlack; rf.failureRate > 0 && rf.targetRequests > limit {
		t.Errorf("%d of %d requests reached the bad version, want at most %d", rf.targetRequests, rf.allRequests, limit)
	}
	if !rf.limitReached.IsZero() && rf.lastTargetRequest.Sub(rf.limitReached) > rollbackLimit {
		t.Errorf("a request reached the bad version %s after its 50th bad response", rf.lastTargetRequest.Sub(rf.limitReached))
	}
	t.Logf("%s; %d of %d requests reached the target version, %d bad responses", st, rf.targetRequests, rf.allRequests, rf.badResponses)
	rf.sendRequestsFor(5 * time.Second)
	if final := rf.storedState(); st.Final() && final != st {
		t.Errorf("state in the store is %s after the final state %s", final, st)
	}
	for name, tn := range rf.fl.nodes {
		ro := tn.Board.Rollouts.Get().Get(rf.service)
		if ro == nil || ro.State != rf.storedState() {
			t.Errorf("%s has the rollout %+v, the store has %s", name, ro, rf.storedState())
		}
	}
}

// TestUnreadableOrder: an order that cannot be decoded must not affect the rollouts of other services.
func TestUnreadableOrder(t *testing.T) {
	withRollout(t, 2, func(rf *rolloutFleet) {
		for _, value := range []string{"", "[]", `{"service":"x"}`} {
			if err := put(context.Background(), rf.fl.st.Store(), order.Prefix+"other", []byte(value)); err != nil {
				t.Fatal(err)
			}
			rf.sendRequestsFor(time.Second)
		}
		rf.writeOrder(12 * time.Second)
		rf.sendRequestsFor(12 * time.Second)
		rf.check(false)
		if ent, err := rf.fl.st.Store().Get(context.Background(), order.StatusKey("other")); err != nil || ent.Revision.Exists() {
			t.Errorf("an unreadable order has the state %q in the store, error %v", ent.Value, err)
		}
	})
}
