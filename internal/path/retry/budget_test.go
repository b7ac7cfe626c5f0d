package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestBudget: every request fails and wants to be sent again. Retries stay
// below a fifth of the requests, and most of what is allowed is used.
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
	quiet := New(bo, 1)
	for range requests {
		quiet.AddRequest()
	}
	burst := 0
	for quiet.Take() {
		burst++
	}
	if burst > 20 {
		t.Errorf("a burst of %d after a quiet time, bound 20", burst)
	}
}

// TestLimit: the number of outlets changes as members come and go. What was saved is
// cut down with the part that each may save; none at all may be sent where the ratio
// is 0; debts are bounded.
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
		{"more than the spare", Bound{Ratio: 0.2, Spare: 60}, 790, 1},
		{"not known", Bound{Ratio: 0.2, Spare: 60}, 0, 60},
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
		t.Error("a wave of calls that were made again forbids retries after 100 requests")
	}
}

// fleet is a service A whose runs call a service B, and the outlets before both, in
// virtual time. Both services shed a part of what they get.
type fleet struct {
	bo      Bound
	rnd     *rand.Rand
	outlets []*outletOf
	weights []float64
	sum     float64
	a, b    counts
	denied  int
}

type outletOf struct {
	a, b *Budget
	// running and repeats are the runs of the VM's own server of A, of the last moment.
	running, repeats float64
}

// counts are the requests and repeats of a service by tick.
type counts struct{ requests, repeats []int }

const (
	ticksPerSecond = 4
	window         = 10 * ticksPerSecond
	// shedFrom and shedUntil are between which ticks both services shed.
	shedFrom  = 15 * ticksPerSecond
	shedUntil = 45 * ticksPerSecond
)

func newFleet(n int, spare float64, skew bool) *fleet {
	fl := &fleet{bo: Bound{Ratio: 0.2, Spare: spare}, rnd: rand.New(rand.NewPCG(uint64(n), 7))}
	for i := range n {
		fl.outlets = append(fl.outlets, &outletOf{a: New(fl.bo, n), b: New(fl.bo, n)})
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

// request is one request for A at an outlet, with its repeats and the calls of its run.
func (fl *fleet) request(ou *outletOf, shed float64) {
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
		on := fl.outlets[fl.rnd.IntN(len(fl.outlets))]
		on.running++
		if try > 0 {
			on.repeats++
		}
		for range 1 + fl.rnd.IntN(2) {
			fl.call(on, try > 0, shed)
		}
		return
	}
}

// call is a call for B from the VM on which a run of A is.
func (fl *fleet) call(on *outletOf, again bool, shed float64) {
	at := len(fl.b.requests) - 1
	fl.b.requests[at]++
	on.b.AddRequest()
	on.b.Charge(on.repeats / on.running)
	if again {
		fl.b.repeats[at]++
	}
	for try := range 3 {
		if try > 0 {
			if !on.b.Take() {
				return
			}
			fl.b.repeats[at]++
		}
		if fl.rnd.Float64() >= shed {
			return
		}
	}
}

// check tells by how much a window is above the bound at most, and which part of the
// ratio was used while both services shed.
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
	all, again := 0, 0
	for i := shedFrom; i < shedUntil; i++ {
		all, again = all+co.requests[i], again+co.repeats[i]
	}
	return over, float64(again) / (bo.Ratio * float64(all))
}

// TestFleet: all servers of a service shed more than half of what they get, and what
// they run calls another service that does the same. Each outlet had retries saved up
// for itself, which were right for nine outlets: at some hundred they added up to many
// times what operators allow, and calls of repeated runs came on top. Now no window is
// above the bound, whatever the size, however the requests are spread, and also where
// all processes start again; and what the bound allows is mostly used.
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
								// A new process reckons with many others until it knows them.
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
						t.Error("the bound never held anything back: the load is too small to show it")
					}
				})
			}
		}
	}
}

// TestFleetCutOff: a failure domain of five is cut off, and each side takes the other's
// VMs for gone after a time. No side knows of more outlets than there are on it, yet
// savings come from its own requests, so the sum stays within the bound for those who
// count it wrongly for some seconds.
func TestFleetCutOff(t *testing.T) {
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
