package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
)

const ms = time.Millisecond

// flow is requests of one kind that come to a gate.
type flow struct {
	name string
	// rate is how many come in a second, work for how long one holds a slot in the
	// mean.
	rate      float64
	work      time.Duration
	priority  int
	objective time.Duration
	deadline  time.Duration
	// final says that they do not come back after a refusal, tries how often the
	// others try, each back time after the last.
	final bool
	tries int
	back  time.Duration
}

// tally is what became of the requests of a flow, as shares of all.
type tally struct{ inTime, late, lost float64 }

// play sends flows to a gate of six slots for 20 s of virtual time.
func play(flows []flow) map[string]tally {
	ga := New()
	ga.Configure(6, []Class{{Name: "default", Queue: 16}})
	var mu sync.Mutex
	counts, all := map[string]*tally{}, map[string]float64{}
	var wg conc.WaitGroup
	began := time.Now()
	for i, fl := range flows {
		rnd, returns := rand.New(rand.NewPCG(1, uint64(i))), rand.New(rand.NewPCG(2, uint64(i)))
		ta := &tally{}
		counts[fl.name] = ta
		for at := 0.0; at < 20; at += rnd.ExpFloat64() / fl.rate {
			all[fl.name]++
			work := fl.work/2 + time.Duration(rnd.Float64()*float64(fl.work))
			back := rand.New(rand.NewPCG(returns.Uint64(), 0))
			wg.Go(func() {
				time.Sleep(time.Until(began.Add(time.Duration(at * float64(time.Second)))))
				took, ok := try(ga, &fl, work, back)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case !ok:
					ta.lost++
				case took <= fl.objective:
					ta.inTime++
				default:
					ta.late++
				}
			})
		}
	}
	wg.Wait()
	shares := map[string]tally{}
	for name, ta := range counts {
		n := all[name]
		shares[name] = tally{ta.inTime / n, ta.late / n, ta.lost / n}
	}
	return shares
}

// try is a caller with all its tries at one request, who comes back at the times drawn
// from back.
func try(ga *Limiter, fl *flow, work time.Duration, back *rand.Rand) (took time.Duration, ok bool) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), fl.deadline)
	defer cancel()
	for range max(1, fl.tries) {
		left := max(1, fl.objective-time.Since(began))
		rq := Request{Class: "default", Kind: fl.name, Priority: fl.priority, Objective: left, Final: fl.final}
		tk, rf := ga.Acquire(ctx, rq)
		if rf == nil {
			time.Sleep(work)
			tk.Release()
			return time.Since(began), true
		}
		time.Sleep(fl.back/2 + time.Duration(back.Int64N(int64(fl.back)+1)))
	}
	return 0, false
}

// TestLoads replays loads at one server of six slots, whose callers come back after a
// refusal. Under each, as much as the slots allow must be in time, and nothing lost that
// others have worked for.
func TestLoads(t *testing.T) {
	lookups := flow{name: "lookups", work: 120 * ms, priority: 2, objective: 400 * ms, deadline: 1200 * ms, tries: 3, back: 300 * ms}
	records := flow{name: "records", work: 160 * ms, priority: 1, objective: 500 * ms, deadline: 1500 * ms, tries: 3, back: 300 * ms}
	calls := flow{name: "calls", work: 30 * ms, priority: 2, objective: 120 * ms, deadline: 400 * ms, final: true}
	long := calls
	long.name, long.work = "longer calls", 40*ms
	lists := flow{name: "lists", work: 64 * ms, priority: 1, objective: 200 * ms, deadline: 1200 * ms, tries: 3, back: 150 * ms}
	at := func(fl flow, rate float64) flow {
		fl.rate = rate
		return fl
	}
	for _, tc := range []struct {
		name  string
		flows []flow
		// inTime and lost bound the shares of flows from below and above.
		inTime, lost map[string]float64
	}{
		{
			"three quarters of the slots", []flow{at(lookups, 37)},
			map[string]float64{"lookups": 0.99}, nil,
		},
		// Were those first that are due first, late ones would keep out those that can
		// still be in time, until all are late: 0.13 in time of one third more than
		// there is room for, 0.04 of twice as many.
		{
			"lookups for 1.3 times the slots", []flow{at(lookups, 65)},
			map[string]float64{"lookups": 0.68}, nil,
		},
		{
			"lookups for twice the slots", []flow{at(lookups, 100)},
			map[string]float64{"lookups": 0.42}, nil,
		},
		// Were calls to wait as long as their objective leaves, half of them would be
		// refused where records have the slots, and with each the work of its parent
		// be lost.
		{
			"calls beside records for 1.1 times the slots", []flow{at(calls, 60), at(records, 30)},
			map[string]float64{"records": 0.75, "calls": 0.92}, map[string]float64{"calls": 0.005},
		},
		// Were calls always first, those of lookups would keep out lists that are worth
		// more for the time of a slot.
		{
			"calls beside lists for 1.3 times the slots", []flow{at(long, 75), at(lists, 75)},
			map[string]float64{"lists": 0.85}, nil,
		},
		{
			"records before lookups", []flow{at(records, 20), at(lookups, 40)},
			map[string]float64{"records": 0.95, "lookups": 0.4}, nil,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := play(tc.flows)
				for name, ta := range got {
					t.Logf("%s: in time %.3f, late %.3f, lost %.3f", name, ta.inTime, ta.late, ta.lost)
				}
				for name, least := range tc.inTime {
					if got[name].inTime < least {
						t.Errorf("%.3f of the %s were in time, bound %.3f", got[name].inTime, name, least)
					}
				}
				for name, most := range tc.lost {
					if got[name].lost > most {
						t.Errorf("%.3f of the %s were lost, bound %.3f", got[name].lost, name, most)
					}
				}
			})
		})
	}
}
