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

// flow describes the requests of one kind that a limiter receives.
type flow struct {
	name string
	// rate is the number of requests per second, meanServiceTime their mean service time.
	rate        float64
	serviceTime time.Duration
	priority    int
	objective   time.Duration
	deadline    time.Duration
	// final is set if they do not retry after a refusal. Otherwise tries is the number of tries,
	// with a mean pause of retryDelay between them.
	final      bool
	tries      int
	retryDelay time.Duration
}

// tally is the outcome of the requests of a flow, as fractions of all.
type tally struct{ inTime, late, lost float64 }

// simulate sends flows to a limiter of six slots for 20 s of virtual time.
func simulate(flows []flow) map[string]tally {
	lm := New()
	lm.Configure(6, []Class{{Name: "default", Queue: 16}})
	var mu sync.Mutex
	counts, all := map[string]*tally{}, map[string]float64{}
	var wg conc.WaitGroup
	began := time.Now()
	for i, fl := range flows {
		rnd, retrySeeds := rand.New(rand.NewPCG(1, uint64(i))), rand.New(rand.NewPCG(2, uint64(i)))
		ta := &tally{}
		counts[fl.name] = ta
		for at := 0.0; at < 20; at += rnd.ExpFloat64() / fl.rate {
			all[fl.name]++
			work := fl.serviceTime/2 + time.Duration(rnd.Float64()*float64(fl.serviceTime))
			retryRand := rand.New(rand.NewPCG(retrySeeds.Uint64(), 0))
			wg.Go(func() {
				time.Sleep(time.Until(began.Add(time.Duration(at * float64(time.Second)))))
				took, ok := simulateCaller(lm, &fl, work, retryRand)
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

// simulateCaller sends one request, with all its tries. rnd varies the pauses between tries.
func simulateCaller(lm *Limiter, fl *flow, work time.Duration, rnd *rand.Rand) (took time.Duration, ok bool) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), fl.deadline)
	defer cancel()
	for range max(1, fl.tries) {
		left := max(1, fl.objective-time.Since(began))
		rq := Request{Class: "default", Kind: fl.name, Priority: fl.priority, Objective: left, Final: fl.final}
		sl, rf := lm.Acquire(ctx, rq)
		if rf == nil {
			time.Sleep(work)
			sl.Release()
			return time.Since(began), true
		}
		time.Sleep(fl.retryDelay/2 + time.Duration(rnd.Int64N(int64(fl.retryDelay)+1)))
	}
	return 0, false
}

// TestLoads simulates loads on one server of six slots, with callers that retry after a refusal.
// Under each load, as many requests must meet their objective as the slots allow, and no calls may
// be lost for whose parent requests other servers have done work.
func TestLoads(t *testing.T) {
	lookups := flow{name: "lookups", serviceTime: 120 * ms, priority: 2, objective: 400 * ms, deadline: 1200 * ms, tries: 3, retryDelay: 300 * ms}
	records := flow{name: "records", serviceTime: 160 * ms, priority: 1, objective: 500 * ms, deadline: 1500 * ms, tries: 3, retryDelay: 300 * ms}
	calls := flow{name: "calls", serviceTime: 30 * ms, priority: 2, objective: 120 * ms, deadline: 400 * ms, final: true}
	long := calls
	long.name, long.serviceTime = "longer calls", 40*ms
	lists := flow{name: "lists", serviceTime: 64 * ms, priority: 1, objective: 200 * ms, deadline: 1200 * ms, tries: 3, retryDelay: 150 * ms}
	at := func(fl flow, rate float64) flow {
		fl.rate = rate
		return fl
	}
	for _, tc := range []struct {
		name  string
		flows []flow
		// inTime holds lower bounds for the fraction in time, lost upper bounds for the fraction
		// lost.
		inTime, lost map[string]float64
	}{
		{
			"three quarters of the slots", []flow{at(lookups, 37)},
			map[string]float64{"lookups": 0.99}, nil,
		},
		// With earliest-deadline-first order, late requests would delay those that can still be in
		// time until all are late. The fraction in time was 0.13 at 1.3 times the slots, 0.04 at twice.
		{
			"lookups for 1.3 times the slots", []flow{at(lookups, 65)},
			map[string]float64{"lookups": 0.68}, nil,
		},
		{
			"lookups for twice the slots", []flow{at(lookups, 100)},
			map[string]float64{"lookups": 0.42}, nil,
		},
		// If the wait of calls were limited by their objective, half of them would be refused while
		// records hold the slots, and the work of their parent requests would be lost.
		{
			"calls beside records for 1.1 times the slots", []flow{at(calls, 60), at(records, 30)},
			map[string]float64{"records": 0.75, "calls": 0.92}, map[string]float64{"calls": 0.005},
		},
		// If calls always came first, the calls of lookups would displace list requests, which are
		// worth more per unit of slot time.
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
				got := simulate(tc.flows)
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
