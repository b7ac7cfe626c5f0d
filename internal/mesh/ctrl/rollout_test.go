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
	"github.com/flamingomast/flamingomast/internal/plat/stand"
	"github.com/flamingomast/flamingomast/internal/plat/store"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
	"github.com/flamingomast/flamingomast/internal/roll/order"
	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// The bounds of a rollout, as operators state them.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rollbackLimit = 5 * time.Second
	badAnswers    = 50
)

// rolling is a fleet whose backend servers are rolled out: the odd VMs have the new version.
type rolling struct {
	fl      *fleet
	service string
	rnd     *rand.Rand
	// failing is the share of requests that the new version fails.
	failing float64

	mu       sync.Mutex
	counters map[string]*tally.Counter
	// target and all count the requests that reached servers, bad the bad answers of the
	// target.
	target, all, bad int
	fiftieth, last   time.Time
}

const rollRate = 500 // requests a second

func software(vm string) string {
	h := fnv.New32()
	h.Write([]byte(vm))
	if h.Sum32()%2 == 0 {
		return "v1"
	}
	return "v2"
}

// counts returns what the server of a VM did.
func (rl *rolling) counts(vm string) Counts {
	rl.mu.Lock()
	co := rl.counters[vm]
	rl.mu.Unlock()
	if co == nil {
		return Counts{}
	}
	return Counts{Service: rl.service, Software: software(vm), Cohort: tally.Cohort{Servers: 1, Routes: co.Snapshot()}}
}

// serve plays the requests of a span at all outlets.
func (rl *rolling) serve(span time.Duration) {
	now := time.Now()
	names := map[string][]string{}
	for name := range rl.fl.nodes {
		names[software(name)] = append(names[software(name)], name)
	}
	slices.Sort(names["v1"])
	slices.Sort(names["v2"])
	perNode := rollRate * span.Seconds() / float64(len(rl.fl.nodes))
	for _, tn := range rl.fl.nodes {
		ro := tn.Board.Rollouts.Get().Get(rl.service)
		share, state, servers := 0.0, canary.State(0), 0
		if ro != nil {
			share, state, servers = ro.ShareAt(now), ro.State, ro.Servers
		}
		n := int(perNode)
		if rl.rnd.Float64() < perNode-float64(n) {
			n++
		}
		for range n {
			list := names["v1"]
			toTarget := state == canary.Complete || rl.rnd.Float64() < share
			if toTarget {
				if list = names["v2"]; state != canary.Complete {
					list = list[:max(1, min(servers, len(list)))]
				}
			}
			rl.run(list[rl.rnd.IntN(len(list))], toTarget, now)
		}
	}
}

func (rl *rolling) run(vm string, target bool, now time.Time) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.all++
	failed := rl.rnd.Float64() < 0.001
	if target {
		rl.target++
		rl.last = now
		if rl.rnd.Float64() < rl.failing {
			failed = true
			if rl.bad++; rl.bad == badAnswers {
				rl.fiftieth = now
			}
		}
	}
	held := time.Duration(200 * float64(time.Millisecond) * math.Exp(0.8*rl.rnd.NormFloat64()))
	rl.counters[vm].Add("lookup", failed, held)
}

// order writes an order as the operators do.
func (rl *rolling) order(duration time.Duration) {
	rl.fl.t.Helper()
	or := order.Order{Service: rl.service, Target: "v2", DurationMs: duration.Milliseconds()}
	value, err := json.Marshal(or)
	if err != nil {
		rl.fl.t.Fatal(err)
	}
	if err := put(rl.fl.t.Context(), rl.fl.st.Store(), or.Key(), value); err != nil {
		rl.fl.t.Fatal(err)
	}
}

// status returns the state that the store has, 0 for none.
func (rl *rolling) status() canary.State {
	ent, err := rl.fl.st.Store().Get(context.Background(), order.StatusKey(rl.service))
	if err != nil || !ent.Revision.Exists() {
		return 0
	}
	target, st, err := order.DecodeStatus(ent.Value)
	if err != nil || target != "v2" {
		rl.fl.t.Errorf("the store has %q, %v", ent.Value, err)
	}
	return st
}

// playFor plays requests for a span.
func (rl *rolling) playFor(span time.Duration) {
	const step = 100 * time.Millisecond
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(step) {
		rl.serve(step)
	}
}

// withRolling starts a fleet whose servers are rolled out.
func withRolling(t *testing.T, seed uint64, fn func(rl *rolling)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, sample.Mesh(24, 3, 1))
		rl := &rolling{fl: fl, service: fl.ms.VMs[0].Service, rnd: rand.New(rand.NewPCG(seed, 3)), counters: map[string]*tally.Counter{}}
		for _, vm := range fl.ms.VMs {
			rl.counters[vm.Name] = &tally.Counter{}
		}
		fl.counts = rl.counts
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		fl.waitHeld(1, 20*time.Second)
		fl.waitMembers(20 * time.Second)
		time.Sleep(settleTime)
		rl.playFor(2 * time.Second)
		rl.all, rl.target = 0, 0
		fn(rl)
	})
}

// rollFaults are what happens a part of the way into a rollout.
var rollFaults = []struct {
	name string
	with func(rl *rolling)
	// slow says that the rollout may end too late, or with the servers of before.
	slow bool
}{
	{name: "nothing", with: func(*rolling) {}},
	{name: "those that decide are killed", with: func(rl *rolling) {
		for name, tn := range rl.fl.nodes {
			if follows := tn.following.Get(); follows != nil && *follows {
				rl.fl.kill(name)
				defer rl.fl.restart(name)
			}
		}
		rl.playFor(2 * time.Second)
	}},
	{name: "a failure domain is cut off", with: func(rl *rolling) {
		rl.fl.cutDomain("d1")
		rl.playFor(3 * time.Second)
		rl.fl.nw.SetPartition(nil)
	}},
	{name: "the store is down", with: func(rl *rolling) {
		rl.fl.st.SetFaults(stand.Faults{Down: true})
		rl.playFor(3 * time.Second)
		rl.fl.st.SetFaults(stand.Faults{Delay: toPlatform})
	}, slow: true},
	{name: "the store is slow", with: func(rl *rolling) {
		rl.fl.st.SetFaults(stand.Faults{Delay: 200 * time.Millisecond})
		rl.playFor(3 * time.Second)
		rl.fl.st.SetFaults(stand.Faults{Delay: toPlatform})
	}},
	{name: "answers of the store are lost", with: func(rl *rolling) {
		rl.fl.st.SetFaults(stand.Faults{Delay: toPlatform, LoseResponses: 3})
	}},
	{name: "the store comes back older", with: func(rl *rolling) {
		bk := rl.fl.st.Backup()
		rl.playFor(time.Second)
		rl.fl.st.RestoreInNewEpoch(bk)
	}},
	{name: "the store comes back without the order", with: func(rl *rolling) {
		rl.fl.st.RestoreInNewEpoch(rl.backup())
		rl.playFor(1500 * time.Millisecond)
		rl.order(12 * time.Second)
	}},
	{name: "all daemons are killed", with: func(rl *rolling) {
		var all []string
		for name := range rl.fl.nodes {
			all = append(all, name)
		}
		rl.fl.kill(all...)
		rl.fl.restart(all...)
	}, slow: true},
}

// backup returns a copy of the store without the rollout.
func (rl *rolling) backup() stand.Backup {
	kv, keep := rl.fl.st.Store(), rl.fl.st.Backup()
	for _, key := range []string{order.Prefix + rl.service, order.StatusKey(rl.service), beganPrefix + rl.service} {
		ent, err := kv.Get(context.Background(), key)
		if err == nil && ent.Revision.Exists() {
			_, _, err = kv.Swap(context.Background(), store.Change{Key: key, Revision: ent.Revision, Remove: true})
		}
		if err != nil {
			rl.fl.t.Error(err)
		}
	}
	bk := rl.fl.st.Backup()
	rl.fl.st.Restore(keep)
	return bk
}

// TestRollout guards against rollouts that end wrong or late, and against a bad version that
// gets more requests than it may, while daemons, links and the store fail.
func TestRollout(t *testing.T) {
	const duration = 12 * time.Second
	for _, failing := range []float64{0, 0.3} {
		for _, fa := range rollFaults {
			name := "good"
			if failing > 0 {
				name = "bad"
			}
			t.Run(fmt.Sprintf("%s/%s", name, fa.name), func(t *testing.T) {
				withRolling(t, 1, func(rl *rolling) {
					rl.failing = failing
					rl.order(duration)
					began := time.Now()
					if failing > 0 {
						rl.playFor(200 * time.Millisecond)
					} else {
						rl.playFor(4 * time.Second)
					}
					fa.with(rl)
					rl.playFor(duration - time.Since(began))
					rl.check(fa.slow)
				})
			})
		}
	}
}

func (rl *rolling) check(slow bool) {
	t := rl.fl.t
	t.Helper()
	st := rl.status()
	switch {
	case rl.failing > 0 && st != canary.RolledBack && !(slow && st == canary.InProgress), rl.failing == 0 && st != canary.Complete && !slow:
		t.Errorf("the store has %s at the end of the order's time", st)
	case rl.failing > 0 && st == canary.Complete:
		t.Error("a bad version is complete")
	}
	if most := int(exposureShare*float64(rl.all)) + exposureSlack; rl.failing > 0 && rl.target > most {
		t.Errorf("%d of %d requests reached the bad version, %d may", rl.target, rl.all, most)
	}
	if !rl.fiftieth.IsZero() && rl.last.Sub(rl.fiftieth) > rollbackLimit {
		t.Errorf("a request reached the bad version %s after its 50th bad answer", rl.last.Sub(rl.fiftieth))
	}
	t.Logf("%s; %d of %d requests reached the new version, %d bad answers", st, rl.target, rl.all, rl.bad)
	rl.playFor(5 * time.Second)
	if end := rl.status(); st.Final() && end != st {
		t.Errorf("the store has %s after %s", end, st)
	}
	for name, tn := range rl.fl.nodes {
		ro := tn.Board.Rollouts.Get().Get(rl.service)
		if ro == nil || ro.State != rl.status() {
			t.Errorf("%s has %+v, the store %s", name, ro, rl.status())
		}
	}
}

// TestUnreadableOrder guards against an order of another writer that stops the others.
func TestUnreadableOrder(t *testing.T) {
	withRolling(t, 2, func(rl *rolling) {
		for _, value := range []string{"", "[]", `{"service":"x"}`} {
			if err := put(context.Background(), rl.fl.st.Store(), order.Prefix+"other", []byte(value)); err != nil {
				t.Fatal(err)
			}
			rl.playFor(time.Second)
		}
		rl.order(12 * time.Second)
		rl.playFor(12 * time.Second)
		rl.check(false)
		if ent, err := rl.fl.st.Store().Get(context.Background(), order.StatusKey("other")); err != nil || ent.Revision.Exists() {
			t.Errorf("an unreadable order got the state %q, %v", ent.Value, err)
		}
	})
}
