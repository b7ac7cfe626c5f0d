package limit

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// ranker orders waiting requests by their value per unit of slot time, so that calls made by
// backend servers and requests of external callers can compete for the same slots. The zero value
// has no samples.
type ranker struct {
	// meanServiceTimeByPriority is the average service time by priority, without calls.
	meanServiceTimeByPriority [result.Ranks - 1]movingAverage
	// callRank is the rank of the most recently queued call.
	callRank float64
}

// priorityIndex clamps a priority to an index of the arrays by priority.
func priorityIndex(priority int) int { return min(max(priority, 0), result.Ranks-2) }

func (rk *ranker) add(rq *Request, serviceTime time.Duration) {
	if !rq.Final {
		rk.meanServiceTimeByPriority[priorityIndex(rq.Priority)].add(serviceTime)
	}
}

// valueDensity returns the value of a request per unit of slot time. Only the ratio of two
// densities is meaningful. Each priority is worth twice as much as the next one.
func valueDensity(priority int, serviceTime time.Duration) float64 {
	return 1 / (float64(uint(1)<<priorityIndex(priority)) * max(1, float64(serviceTime)))
}

// rank returns the position of a request relative to others, lower ones first. It is the priority,
// except for calls.
//
// A call has the priority of the request that it is made for, and usually a shorter service time.
// It goes ahead of more urgent requests as long as its value density is higher than theirs. If
// calls always came after them, the work already done for the parent request would be lost to save
// a short call. If calls always came first, the calls of lookups would displace list requests,
// which are worth more per unit of slot time.
func (rk *ranker) rank(rq *Request, serviceTime time.Duration) float64 {
	if !rq.Final {
		return float64(rq.Priority)
	}
	density := valueDensity(rq.Priority, serviceTime)
	index := 0
	for index < priorityIndex(rq.Priority) && (rk.meanServiceTimeByPriority[index].n == 0 || density <= valueDensity(index, rk.meanServiceTimeByPriority[index].value)) {
		index++
	}
	rk.callRank = float64(index) - 0.5
	return rk.callRank
}
