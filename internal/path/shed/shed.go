package shed

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/mono"
)

// The parameters of a throttle.
const (
	// offersPerAccept is how many requests are offered for each accepted one. When all servers of a
	// service but one are down, every outlet offers its whole load to that one, and refusing it
	// takes the inlet more time than serving. At 2, refusals cost at most as many messages as
	// responses, and capacity that becomes available is found within one half-life.
	offersPerAccept = 2
	// halfLife is the time after which an outcome counts half.
	halfLife = 500 * time.Millisecond
	// minOffers is the number of requests offered per half-life regardless of outcomes, so that
	// capacity is found after all requests were refused.
	minOffers = 6
	// Priorities is the number of distinct priorities.
	Priorities = 4
)

// Throttle counts the offered and the accepted requests of a service by priority. The zero value is
// ready for use.
//
// Priorities are independent: a refusal of one priority does not reduce the offers of another.
type Throttle struct {
	counters [Priorities]counter
}

// counter holds decaying sums. All fields change together, by compare-and-swap of their packed
// form.
type counter struct {
	packed atomic.Uint64 // requests, accepts: 20 bits each, in 1/16; time in units of 8 ms: 24 bits
}

const (
	fixedOne = 16
	maxSum   = 1<<20 - 1
	tickMs   = 8 // milliseconds per tick
	tickMask = 1<<24 - 1
)

func (co *counter) read(now time.Time) (requests, accepts float64, tick uint64) {
	tick = uint64(mono.Millis(now)/tickMs) & tickMask
	pk := co.packed.Load()
	age := (tick - pk&tickMask) & tickMask
	if age > tickMask/2 {
		// A concurrent request has already written a later time.
		age = 0
	}
	decay := math.Exp2(-float64(age) * tickMs / float64(halfLife.Milliseconds()))
	return float64(pk>>44) / fixedOne * decay, float64(pk>>24&maxSum) / fixedOne * decay, tick
}

func (co *counter) add(now time.Time, requests, accepts float64) {
	for {
		old := co.packed.Load()
		req, acc, tick := co.read(now)
		next := toFixed(req+requests)<<44 | toFixed(acc+accepts)<<24 | tick
		if co.packed.CompareAndSwap(old, next) {
			return
		}
	}
}

func toFixed(v float64) uint64 { return min(uint64(v*fixedOne), maxSum) }

// Allow reports whether a request of the given priority should be offered. draw is a random number
// in [0, 1).
func (th *Throttle) Allow(priority int, now time.Time, draw float64) bool {
	co := &th.counters[priorityIndex(priority)]
	requests, accepts, _ := co.read(now)
	excess := requests - offersPerAccept*accepts - minOffers
	if excess <= 0 || draw >= excess/(requests+1) {
		return true
	}
	co.add(now, 1, 0)
	return false
}

// RecordOutcome records whether an offered request was accepted.
func (th *Throttle) RecordOutcome(priority int, now time.Time, accepted bool) {
	n := 0.0
	if accepted {
		n = 1
	}
	th.counters[priorityIndex(priority)].add(now, 1, n)
}

func priorityIndex(priority int) int { return min(max(priority, 0), Priorities-1) }
