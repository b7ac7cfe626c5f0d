package shed

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/steady"
)

// The measures of a throttle.
const (
	// surplus is how many requests are offered for each that is taken. The load
	// answered: when all servers of a service but one are gone, every outlet
	// offers it all it has, and refusing takes the one inlet more time than
	// serving. At 2, refusals cost at most as many messages as answers do, and
	// room that becomes free is found within a window.
	surplus = 2
	// window is the time after which an outcome counts half.
	window = 500 * time.Millisecond
	// spare is how many requests a window are offered whatever the outcomes, so
	// that room is found after everything was refused.
	spare = 6
	// Ranks is how many priorities are told apart.
	Ranks = 4
)

// Throttle counts, for each priority, the requests of a service and those that
// were taken. The zero value is ready for use.
//
// An urgent request says nothing of the less urgent ones, but what was refused
// to an urgent one is not offered to them either.
type Throttle struct {
	ranks [Ranks]counter
}

// counter holds decaying sums; all fields change together by compare-and-swap of
// their packed form.
type counter struct {
	packed atomic.Uint64 // asked, taken: 20 bits each, in 1/16; time in ms/8: 24 bits
}

const (
	unit    = 16
	maxSum  = 1<<20 - 1
	timeOf  = 8 // milliseconds of one tick
	timeMax = 1<<24 - 1
)

func (co *counter) read(now time.Time) (asked, taken float64, tick uint64) {
	tick = uint64(steady.Millis(now)/timeOf) & timeMax
	pk := co.packed.Load()
	age := (tick - pk&timeMax) & timeMax
	if age > timeMax/2 {
		// Another request has written a later time.
		age = 0
	}
	fade := math.Exp2(-float64(age) * timeOf / float64(window.Milliseconds()))
	return float64(pk>>44) / unit * fade, float64(pk>>24&maxSum) / unit * fade, tick
}

func (co *counter) add(now time.Time, asked, taken float64) {
	for {
		old := co.packed.Load()
		as, ta, tick := co.read(now)
		next := pack(as+asked)<<44 | pack(ta+taken)<<24 | tick
		if co.packed.CompareAndSwap(old, next) {
			return
		}
	}
}

func pack(v float64) uint64 { return min(uint64(v*unit), maxSum) }

// Allow reports whether a request of a priority should be offered; draw is a
// random number from 0 to 1.
func (th *Throttle) Allow(priority int, now time.Time, draw float64) bool {
	co := &th.ranks[rank(priority)]
	asked, taken, _ := co.read(now)
	over := asked - surplus*taken - spare
	if over <= 0 || draw >= over/(asked+1) {
		return true
	}
	co.add(now, 1, 0)
	return false
}

// RecordOutcome notes whether a request that was offered was taken.
func (th *Throttle) RecordOutcome(priority int, now time.Time, taken bool) {
	n := 0.0
	if taken {
		n = 1
	}
	th.ranks[rank(priority)].add(now, 1, n)
}

func rank(priority int) int { return min(max(priority, 0), Ranks-1) }
