package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestBudget retries every request as often as the budget allows. Retries must stay below a fifth
// of the requests, and use most of the allowed ratio.
func TestBudget(t *testing.T) {
	bo := Bound{Ratio: 0.2, Spare: 20}
	bu := New(bo, 1)
	retries := 0
	const requests = 10_000
	for range requests {
		bu.AddRequest()
		for bu.Take() {
			retries++
		}
	}
	if retries > requests/5 || retries < requests/10 {
		t.Errorf("%d retries of %d requests", retries, requests)
	}
	idle := New(bo, 1)
	for range requests {
		idle.AddRequest()
	}
	burst := 0
	for idle.Take() {
		burst++
	}
	if burst > 20 {
		t.Errorf("%d retries in a burst after a time without any, bound 20", burst)
	}
}

// TestLimit changes the number of outlets, as when members join and leave. The balance must be cut
// down to each outlet's part of the spare, a ratio of 0 must allow no repeats, and debts must be
// bounded.
func TestLimit(t *testing.T) {
	taken := func(bu *Budget) (n int) {
		for bu.Take() {
			n++
		}
		return n
	}
	for _, tc := range []struct {
		name    string
		bo      Bound
		outlets int
		want    int
	}{
		{"alone", Bound{Ratio: 0.2, Spare: 60}, 1, 60},
		{"twelve", Bound{Ratio: 0.2, Spare: 60}, 12, 5},
		{"more outlets than the spare", Bound{Ratio: 0.2, Spare: 60}, 790, 1},
		{"unknown number", Bound{Ratio: 0.2, Spare: 60}, 0, 60},
		{"forbidden", Bound{Spare: 60}, 12, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bu := New(Bound{Ratio: 0.2, Spare: 60}, 1)
			for range 1000 {
				bu.AddRequest()
			}
			bu.SetBound(tc.bo, tc.outlets)
			if got := taken(bu); got != tc.want {
				t.Errorf("%d repeats, want %d", got, tc.want)
			}
		})
	}
	debt := New(Bound{Ratio: 0.2, Spare: 60}, 12)
	for range 1000 {
		debt.Charge(1)
	}
	for range 100 {
		debt.AddRequest()
	}
	if taken(debt) == 0 {
		t.Error("a burst of repeated calls prevents retries after 100 further requests")
	}
}

// fleet simulates two services, A and B, and the outlets in front of them, in virtual time.
// Requests run by A make calls to B. Both services shed a fraction of their requests.
type fleet struct {
	bo      Bound
	rnd     *rand.Rand
	outlets []*testOutlet
	weights []float64
	sum     float64
	a, b    counts
	denied  int
}

type testOutlet struct {
	a, b *Budget
	// running and repeats count the requests recently run by the VM's own server of A.
	running, repeats float64
}

// counts holds the numbers of requests and repeats of a service by tick.
type counts struct{ requests, repeats []int }

const (
	ticksPerSecond = 4
	window         = 10 * ticksPerSecond
	// Both services shed requests from tick shedFrom until shedUntil.
	shedFrom  = 15 * ticksPerSecond
	shedUntil = 45 * ticksPerSecond
)

func newFleet(n int, spare float64, skew bool) *fleet {
	fl := &fleet{bo: Bound{Ratio: 0.2, Spare: spare}, rnd: rand.New(rand.NewPCG(uint64(n), 7))}
	for i := range n {
		fl.outlets = append(fl.outlets, &testOutlet{a: New(fl.bo, n), b: New(fl.bo, n)})
		w := 1.0
		if skew {
			w = 1 / float64(i+1)
		}
		fl.weights = append(fl.weights, w)
		fl.sum += w
	}
	return fl
}

func (fl *fleet) tick(perOutlet float64, shed float64) {
	fl.a.requests, fl.a.repeats = append(fl.a.requests, 0), append(fl.a.repeats, 0)
	fl.b.requests, fl.b.repeats = append(fl.b.requests, 0), append(fl.b.repeats, 0)
	total := perOutlet * float64(len(fl.outlets)) / ticksPerSecond
	for i, ou := range fl.outlets {
		mean := total * fl.weights[i] / fl.sum
		n := int(mean)
		if fl.rnd.Float64() < mean-float64(n) {
			n++
		}
		for range n {
			fl.request(ou, shed)
		}
	}
	for _, ou := range fl.outlets {
		ou.running, ou.repeats = ou.running/2, ou.repeats/2
	}
}

// request simulates a request for A at an outlet, with its retries and the calls made while it
// runs.
func (fl *fleet) request(ou *testOutlet, shed float64) {
	at := len(fl.a.requests) - 1
	fl.a.requests[at]++
	ou.a.AddRequest()
	for try := range 3 {
		if try > 0 {
			if !ou.a.Take() {
				fl.denied++
				return
			}
			fl.a.repeats[at]++
		}
		if fl.rnd.Float64() < shed {
			continue
		}
		runner := fl.outlets[fl.rnd.IntN(len(fl.outlets))]
		runner.running++
		if try > 0 {
			runner.repeats++
		}
		for range 1 + fl.rnd.IntN(2) {
			fl.call(runner, try > 0, shed)
		}
		return
	}
}

// call simulates a call for B by the server of A on the VM of runner.
func (fl *fleet) call(runner *testOutlet, repeated bool, shed float64) {
	at := len(fl.b.requests) - 1
	fl.b.requests[at]++
	runner.b.AddRequest()
	runner.b.Charge(runner.repeats / runner.running)
	if repeated {
		fl.b.repeats[at]++
	}
	for try := range 3 {
		if try > 0 {
			if !runner.b.Take() {
				return
			}
			fl.b.repeats[at]++
		}
		if fl.rnd.Float64() >= shed {
			return
		}
	}
}

// check returns by how much the repeats of the worst window exceed the bound, and which fraction of
// the ratio was used while both services shed requests.
func (co *counts) check(bo Bound) (over float64, used float64) {
	sum := func(list []int, from int) (n int) {
		for i := max(0, from); i < min(len(list), from+window); i++ {
			n += list[i]
		}
		return n
	}
	over = -bo.Spare
	for from := 0; from+window <= len(co.repeats); from++ {
		requests := max(sum(co.requests, from), sum(co.requests, from-window), sum(co.requests, from-window/2))
		over = max(over, float64(sum(co.repeats, from))-bo.Ratio*float64(requests)-bo.Spare)
	}
	all, repeats := 0, 0
	for i := shedFrom; i < shedUntil; i++ {
		all, repeats = all+co.requests[i], repeats+co.repeats[i]
	}
	return over, float64(repeats) / (bo.Ratio * float64(all))
}

// TestFleet lets all servers of a service shed more than half of their requests, while calls of
// those that run go to another service that does the same. With a fixed balance per outlet, chosen
// for nine outlets, some hundred outlets together exceeded the bound many times over, and calls
// made while running retried requests came on top. No window may exceed the bound, for any fleet
// size and distribution of requests and even if all processes restart, and most of the allowed
// repeats must be used.
func TestFleet(t *testing.T) {
	for _, size := range []struct {
		outlets int
		spare   float64
	}{{9, 56}, {24, 30}, {88, 216}, {295, 630}, {790, 1600}} {
		for _, skew := range []bool{false, true} {
			for _, restart := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d outlets, skew %t, restart %t", size.outlets, skew, restart), func(t *testing.T) {
					fl := newFleet(size.outlets, size.spare, skew)
					for tick := range 60 * ticksPerSecond {
						shed := 0.0
						if tick >= shedFrom && tick < shedUntil {
							shed = 0.55
						}
						if restart && tick%(5*ticksPerSecond) == 0 {
							for _, ou := range fl.outlets {
								// A new process assumes many outlets until it knows their number.
								ou.a, ou.b = New(fl.bo, 1000), New(fl.bo, 1000)
							}
						}
						if tick%(5*ticksPerSecond) == ticksPerSecond {
							for _, ou := range fl.outlets {
								ou.a.SetBound(fl.bo, len(fl.outlets))
								ou.b.SetBound(fl.bo, len(fl.outlets))
							}
						}
						fl.tick(8, shed)
					}
					for name, co := range map[string]*counts{"A": &fl.a, "B": &fl.b} {
						over, used := co.check(fl.bo)
						if over > 0 {
							t.Errorf("service %s: %.0f repeats above the bound in some window", name, over)
						}
						if used < 0.7 && !restart {
							t.Errorf("service %s: %.2f of the allowed repeats were used", name, used)
						}
					}
					if fl.denied == 0 {
						t.Error("no retry was denied: the load is too small to test the bound")
					}
				})
			}
		}
	}
}

// TestPartitionedFleet separates one failure domain of five from the others, so that each side
// removes the VMs of the other from its members. The outlets then count fewer outlets than there
// are in total. Since balances grow only with an outlet's own requests, the sum must stay within
// the bound that applies to the whole fleet.
func TestPartitionedFleet(t *testing.T) {
	fl := newFleet(295, 630, false)
	for tick := range 50 * ticksPerSecond {
		if tick == 20*ticksPerSecond {
			for i, ou := range fl.outlets {
				side := 236
				if i < 59 {
					side = 59
				}
				ou.a.SetBound(fl.bo, side)
				ou.b.SetBound(fl.bo, side)
			}
		}
		shed := 0.0
		if tick > 21*ticksPerSecond {
			shed = 0.55
		}
		fl.tick(8, shed)
	}
	for name, co := range map[string]*counts{"A": &fl.a, "B": &fl.b} {
		if over, _ := co.check(fl.bo); over > 0 {
			t.Errorf("service %s: %.0f repeats above the bound", name, over)
		}
	}
}
