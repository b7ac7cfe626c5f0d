package shed

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/path/decay"
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
	counters [Priorities]decay.Pair // offered and accepted requests
}

// Allow reports whether a request of the given priority should be offered. draw is a random number
// in [0, 1).
func (th *Throttle) Allow(priority int, now time.Time, draw float64) bool {
	co := &th.counters[priorityIndex(priority)]
	requests, accepts := co.Read(now, halfLife)
	excess := requests - offersPerAccept*accepts - minOffers
	if excess <= 0 || draw >= excess/(requests+1) {
		return true
	}
	co.Add(now, halfLife, 1, 0)
	return false
}

// RecordOutcome records whether an offered request was accepted.
func (th *Throttle) RecordOutcome(priority int, now time.Time, accepted bool) {
	n := 0.0
	if accepted {
		n = 1
	}
	th.counters[priorityIndex(priority)].Add(now, halfLife, 1, n)
}

func priorityIndex(priority int) int { return min(max(priority, 0), Priorities-1) }
