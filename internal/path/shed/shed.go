package shed

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/steady"
)

// The measures of a throttle.
const (
	// offersPerAccept is how many requests are offered for each that is taken. The load
	// answered: when all servers of a service but one are gone, every outlet
	// offers it all it has, and refusing takes the one inlet more time than
	// serving. At 2, refusals cost at most as many messages as answers do, and
	// room that becomes free is found within a window.
	offersPerAccept = 2
	// halfLife is the time after which an outcome counts half.
	halfLife = 500 * time.Millisecond
	// minOffers is how many requests a window are offered whatever the outcomes, so
	// that room is found after everything was refused.
	minOffers = 6
	// Priorities is how many priorities are told apart.
	Priorities = 4
)

// Throttle counts, for each priority, the requests of a service and those that
// were taken. The zero value is ready for use.
//
// An urgent request says nothing of the less urgent ones, but what was refused
// to an urgent one is not offered to them either.
type Throttle struct {
	counters [Priorities]counter
}

// counter holds decaying sums; all fields change together by compare-and-swap of
// their packed form.
type counter struct {
	packed atomic.Uint64 // asked, taken: 20 bits each, in 1/16; time in ms/8: 24 bits
}

const (
	fixedOne = 16
	maxSum   = 1<<20 - 1
	tickMs   = 8 // milliseconds of one tick
	tickMask = 1<<24 - 1
)

func (co *counter) read(now time.Time) (requests, accepts float64, tick uint64) {
	tick = uint64(steady.Millis(now)/tickMs) & tickMask
	pk := co.packed.Load()
	age := (tick - pk&tickMask) & tickMask
	if age > tickMask/2 {
		// Another request has written a later time.
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

// Offer reports whether a request of a priority should be offered; draw is a
// random number from 0 to 1.
func (th *Throttle) Offer(priority int, now time.Time, draw float64) bool {
	co := &th.counters[priorityIndex(priority)]
	requests, accepts, _ := co.read(now)
	excess := requests - offersPerAccept*accepts - minOffers
	if excess <= 0 || draw >= excess/(requests+1) {
		return true
	}
	co.add(now, 1, 0)
	return false
}

// Done notes whether a request that was offered was taken.
func (th *Throttle) Done(priority int, now time.Time, accepted bool) {
	n := 0.0
	if accepted {
		n = 1
	}
	th.counters[priorityIndex(priority)].add(now, 1, n)
}

func priorityIndex(priority int) int { return min(max(priority, 0), Priorities-1) }
