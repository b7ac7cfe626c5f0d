package limit

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// waiter is a request queued for a slot.
type waiter struct {
	Request
	// meanServiceTime is how long the request is expected to hold a slot.
	serviceTime time.Duration
	// rank orders the queue, lower ones first.
	rank float64
	// floor is set if the request goes ahead of the others because its kind is below its floor.
	floor bool
	since time.Time
	// due is when the objective ends, zero if none is declared.
	due      time.Time
	ready    chan struct{}
	granted  bool
	dequeued bool
}

func newWaiter(rq Request, serviceTime time.Duration, now time.Time) *waiter {
	wt := &waiter{Request: rq, serviceTime: serviceTime, since: now, ready: make(chan struct{})}
	if rq.Objective > 0 {
		wt.due = now.Add(rq.Objective)
	}
	return wt
}

const (
	// floorRank is the rank of requests whose kind is below its floor.
	floorRank = -1
	// floorEvery bounds the slots that they get ahead of the others, as one in so many.
	floorEvery = 4
	// floorQueueDivisor bounds them to a part of a queue, as one in so many, so that the others can still
	// wait.
	floorQueueDivisor = 2
)

const (
	// maxWaitShare is the longest expected wait with which a request is queued, as a share of the
	// time left until it must start to meet its objective. A request refused at once can still be
	// served in time by another server or on a retry. One that waits and then misses its objective
	// has cost its caller that time and the server a slot.
	maxWaitShare = 0.8
	// lateMaxWait is how long a request that can no longer meet its objective may wait. Such
	// requests get a slot only while no other one waits. The limit is long enough to outlast a
	// burst, but no longer, since under sustained overload they would never get a slot.
	lateMaxWait = 100 * time.Millisecond
	// padding is the factor by which the expected service time is increased when checking whether
	// the objective can be met. Many of the requests that start with less time than that are late.
	padding = 1.25
)

// paddedTime returns an upper estimate of the service time.
func (wt *waiter) paddedTime() time.Duration { return time.Duration(padding * float64(wt.serviceTime)) }

// meetsObjective reports whether the request, started at start, is expected to finish before it is
// due.
func (wt *waiter) meetsObjective(start time.Time) bool {
	return wt.due.IsZero() || !start.Add(wt.paddedTime()).After(wt.due)
}

// maxExpectedWait returns the longest expected wait with which the request is queued.
func (wt *waiter) maxExpectedWait() time.Duration {
	if wt.floor || wt.Final || wt.due.IsZero() {
		return math.MaxInt64
	}
	return max(lateMaxWait, time.Duration(maxWaitShare*float64(wt.Objective-wt.paddedTime())))
}

// queueTimeout returns how long the request may stay in the queue before it is refused.
func (wt *waiter) queueTimeout() time.Duration {
	if wt.floor || wt.Final || wt.due.IsZero() {
		return math.MaxInt64
	}
	return max(0, wt.Objective-wt.serviceTime) + lateMaxWait
}

// refusalLatency is the time a refusal needs to reach the waiting outlet: a network hop between
// failure domains, and the scheduling delay of two daemons on a sixth of a core.
const refusalLatency = 25 * time.Millisecond

// timeToLatestStart returns the time after which the request can no longer be answered before its
// deadline. If a request stayed queued until the deadline itself, its outlet would time out at the
// same moment without knowing whether the request had run. The caller would get a 504, after which
// it must not retry a request that may run only once. A request started with less time than it
// needs would only waste a slot.
func (wt *waiter) timeToLatestStart(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return math.MaxInt64
	}
	return time.Until(deadline) - max(wt.serviceTime, refusalLatency)
}

// position returns the index at which a request is inserted into the queue of its class, which is
// ordered by rank and then by due time.
func (cl *class) position(wt *waiter) int {
	pos, _ := slices.BinarySearchFunc(cl.queue, wt, func(a, b *waiter) int {
		// Equal requests stay in order of arrival.
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.due.Compare(b.due), -1)
	})
	return pos
}

// preferred reports whether the request goes ahead of those that can no longer meet their
// objective.
func (wt *waiter) preferred(now time.Time) bool {
	return wt.floor || wt.Final || wt.meetsObjective(now)
}

// floorFirst reports whether a floor request is the first of the queue.
func (cl *class) floorFirst() bool { return len(cl.queue) > 0 && cl.queue[0].floor }

// floorWaiting returns the number of queued floor requests.
func (cl *class) floorWaiting() (n int) {
	for n < len(cl.queue) && cl.queue[n].floor {
		n++
	}
	return n
}

// serviceTimeAhead returns the total service time of the queued requests that are served before a
// request at position pos.
func (cl *class) serviceTimeAhead(wt *waiter, pos int) (sum time.Duration) {
	now := time.Now()
	preferred, others := wt.preferred(now), 0
	for i, other := range cl.queue {
		if other.floor && !wt.floor {
			continue
		}
		if i < pos && (!preferred || other.preferred(now)) || !preferred && other.preferred(now) {
			sum += other.serviceTime
			others++
		}
	}
	if !wt.floor {
		sum += cl.floorTimeAhead(others)
	}
	return sum
}

// floorTimeAhead returns the total service time of the floor requests that get slots before a request with
// others ahead of it that are no floor requests.
func (cl *class) floorTimeAhead(others int) (sum time.Duration) {
	for i, wt := range cl.queue {
		if !wt.floor || i > others/(floorEvery-1) {
			break
		}
		sum += wt.serviceTime
	}
	return sum
}

// addWaits adds, for each rank of result.Load.Waits, the service time of the queued requests that
// are served before a request of that rank. callRank is the rank of calls.
func (cl *class) addWaits(waits *[result.Ranks]time.Duration, callRank float64, now time.Time) {
	var others [result.Ranks]int
	for _, wt := range cl.queue {
		if wt.floor || !wt.preferred(now) {
			continue
		}
		for i := range waits {
			if i == 0 && wt.rank <= callRank || i > 0 && wt.rank <= float64(i-1) {
				waits[i] += wt.serviceTime
				others[i]++
			}
		}
	}
	for i, n := range others {
		waits[i] += cl.floorTimeAhead(n)
	}
}

// oldestFirstEvery is how often a slot goes to the request that has waited longest instead of the
// first one in the queue. Without it, document requests starve at servers kept busy by urgent
// lookups and calls.
const oldestFirstEvery = 16

// next returns the waiter that gets the next slot: the first preferred one, otherwise the first in
// the queue. Every oldestFirstEvery-th slot goes to the one that has waited longest. Floor requests
// come after the other preferred ones unless floorAllowed is set.
func (cl *class) next(now time.Time, floorAllowed bool) *waiter {
	cl.grants++
	if cl.grants%oldestFirstEvery == 0 {
		return slices.MinFunc(cl.queue, func(a, b *waiter) int { return a.since.Compare(b.since) })
	}
	for _, wt := range cl.queue {
		if wt.preferred(now) && (floorAllowed || !wt.floor) {
			return wt
		}
	}
	return cl.queue[0]
}

// victim returns the waiter to evict from a full queue: the last one that is not the only one of
// its priority, otherwise the last one.
func (cl *class) victim() *waiter {
	for _, wt := range slices.Backward(cl.queue) {
		if !cl.onlyOfPriority(wt) {
			return wt
		}
	}
	return cl.queue[len(cl.queue)-1]
}

// onlyOfPriority reports whether no other waiter in the queue has the same priority.
func (cl *class) onlyOfPriority(wt *waiter) bool {
	return !slices.ContainsFunc(cl.queue, func(other *waiter) bool { return other != wt && other.Priority == wt.Priority })
}

func (cl *class) remove(wt *waiter) {
	if i := slices.Index(cl.queue, wt); i >= 0 {
		cl.queue = slices.Delete(cl.queue, i, i+1)
	}
}
