package limit

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// worths tells which requests are worth most for the time of a slot, where calls of
// backend servers compete with requests of callers. The zero value knows nothing.
type worths struct {
	// held has for how long requests of each priority hold a slot, without calls.
	held [result.Ranks - 1]mean
	// final is the rank of the last call.
	final float64
}

// step returns the index of a priority.
func step(priority int) int { return min(max(priority, 0), result.Ranks-2) }

func (wo *worths) add(rq *Request, held time.Duration) {
	if !rq.Final {
		wo.held[step(rq.Priority)].add(held)
	}
}

// density is what a request of a priority is worth for the time of its slot, in units
// that only compare: each priority is taken to be worth twice as much as the next one.
func density(priority int, held time.Duration) float64 {
	return 1 / (float64(uint(1)<<step(priority)) * max(1, float64(held)))
}

// rank returns the place of a request among others: its priority, lower ones first.
//
// A call has the priority of the request that it is made for, and takes less time than
// that as a rule, so it may go before more urgent requests, as long as it is worth more
// for the time of its slot than they are. Behind them, its parent's work would be lost
// for little; always before them, calls of lookups would keep out lists that are worth more.
func (wo *worths) rank(rq *Request, service time.Duration) float64 {
	if !rq.Final {
		return float64(rq.Priority)
	}
	own := density(rq.Priority, service)
	at := 0
	for at < step(rq.Priority) && (wo.held[at].n == 0 || own <= density(at, wo.held[at].value)) {
		at++
	}
	wo.final = float64(at) - 0.5
	return wo.final
}
