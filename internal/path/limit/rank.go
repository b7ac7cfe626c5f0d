package limit

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// ranker tells which requests are worth most for the time of a slot, where calls of
// backend servers compete with requests of callers. The zero value knows nothing.
type ranker struct {
	// serviceByPriority has for how long requests of each priority hold a slot, without calls.
	serviceByPriority [result.Ranks - 1]movingAverage
	// callRank is the rank of the last call.
	callRank float64
}

// priorityIndex returns the index of a priority.
func priorityIndex(priority int) int { return min(max(priority, 0), result.Ranks-2) }

func (rk *ranker) add(rq *Request, serviceTime time.Duration) {
	if !rq.Final {
		rk.serviceByPriority[priorityIndex(rq.Priority)].add(serviceTime)
	}
}

// valueDensity is what a request of a priority is worth for the time of its slot, in units
// that only compare: each priority is taken to be worth twice as much as the next one.
func valueDensity(priority int, serviceTime time.Duration) float64 {
	return 1 / (float64(uint(1)<<priorityIndex(priority)) * max(1, float64(serviceTime)))
}

// rank returns the place of a request among others: its priority, lower ones first.
//
// A call has the priority of the request that it is made for, and takes less time than
// that as a rule, so it may go before more urgent requests, as long as it is worth more
// for the time of its slot than they are. Behind them, its parent's work would be lost
// for little; always before them, calls of lookups would keep out lists that are worth more.
func (rk *ranker) rank(rq *Request, serviceTime time.Duration) float64 {
	if !rq.Final {
		return float64(rq.Priority)
	}
	density := valueDensity(rq.Priority, serviceTime)
	index := 0
	for index < priorityIndex(rq.Priority) && (rk.serviceByPriority[index].n == 0 || density <= valueDensity(index, rk.serviceByPriority[index].value)) {
		index++
	}
	rk.callRank = float64(index) - 0.5
	return rk.callRank
}
