package limit

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// waiter is a request that waits for a slot.
type waiter struct {
	Request
	// serviceTime is for how long it is expected to hold a slot.
	serviceTime time.Duration
	// rank is its place among others, lower ones first.
	rank  float64
	since time.Time
	// due is when its answer must come to be in time, zero where nothing is declared.
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
	// maxWaitShare is the part of the time left to a request before it must begin within
	// which its turn must be expected to come. What is refused at once can still be
	// served in time elsewhere or a little later; what waits and is then too late has
	// cost its caller the time and the server a slot.
	maxWaitShare = 0.8
	// lateMaxWait is how long a request may wait that cannot be in time any more.
	// Slots are given to such ones only while no other waits, so it is long enough to
	// outlast a burst and not longer: behind a lasting load its turn never comes.
	lateMaxWait = 100 * time.Millisecond
	// padding is how many times its mean time a request is taken to hold a slot where
	// it must be in time: of those begun with less than that left, many are late.
	padding = 1.25
)

// paddedTime returns for how long the request holds a slot at most, as a rule.
func (wt *waiter) paddedTime() time.Duration { return time.Duration(padding * float64(wt.serviceTime)) }

// meetsObjective reports whether an answer can come in time if the request begins at a moment.
func (wt *waiter) meetsObjective(start time.Time) bool {
	return wt.due.IsZero() || !start.Add(wt.paddedTime()).After(wt.due)
}

// maxExpectedWait returns how long the turn of the request may be expected to take.
func (wt *waiter) maxExpectedWait() time.Duration {
	if wt.Final || wt.due.IsZero() {
		return math.MaxInt64
	}
	return max(lateMaxWait, time.Duration(maxWaitShare*float64(wt.Objective-wt.paddedTime())))
}

// queueTimeout returns after which time the request is refused if its turn has not come.
func (wt *waiter) queueTimeout() time.Duration {
	if wt.Final || wt.due.IsZero() {
		return math.MaxInt64
	}
	return max(0, wt.Objective-wt.serviceTime) + lateMaxWait
}

// refusalLatency is the time in which a refusal reaches the outlet that waits for it: a hop
// between failure domains, and the turn of two daemons on a sixth of a core.
const refusalLatency = 25 * time.Millisecond

// timeToLatestStart returns after which time the request could not be answered any more
// before its deadline, if it has one. A request that waited until its deadline was
// given up on by its outlet at the same moment, which could not know then whether it
// had run: callers were told 504, after which they may not repeat what may run only
// once. Begun with less time than it takes, it would use a slot for nothing.
func (wt *waiter) timeToLatestStart(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return math.MaxInt64
	}
	return time.Until(deadline) - max(wt.serviceTime, refusalLatency)
}

// position returns where a request stands among those of its class that wait: by rank, and
// by when the answer is due.
func (cl *class) position(wt *waiter) int {
	pos, _ := slices.BinarySearchFunc(cl.queue, wt, func(a, b *waiter) int {
		// Those that are equal keep the order in which they came.
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.due.Compare(b.due), -1)
	})
	return pos
}

// preferred reports whether a request gets its slot before those that are late already.
func (wt *waiter) preferred(now time.Time) bool { return wt.Final || wt.meetsObjective(now) }

// serviceTimeAhead returns for how long those hold a slot that go before a request at a place of
// the queue.
func (cl *class) serviceTimeAhead(wt *waiter, pos int) (sum time.Duration) {
	now := time.Now()
	preferred := wt.preferred(now)
	for i, other := range cl.queue {
		if i < pos && (!preferred || other.preferred(now)) || !preferred && other.preferred(now) {
			sum += other.serviceTime
		}
	}
	return sum
}

// addWaits adds to each rank of result.Load.Waits for how long those that go before it
// will hold a slot; final is the rank of calls.
func (cl *class) addWaits(waits *[result.Ranks]time.Duration, callRank float64, now time.Time) {
	for _, wt := range cl.queue {
		if !wt.preferred(now) {
			continue
		}
		if wt.rank <= callRank {
			waits[0] += wt.serviceTime
		}
		for i := 1; i < len(waits); i++ {
			if wt.rank <= float64(i-1) {
				waits[i] += wt.serviceTime
			}
		}
	}
}

// oldestFirstEvery is how many slots go to the first in the queue before one goes to
// the one that has waited longest. Without it, documents get nothing at servers that
// urgent lookups and calls keep busy.
const oldestFirstEvery = 16

// next returns the waiter that gets the next slot: the first that can be in time, and
// one that is late only where there is none.
func (cl *class) next(now time.Time) *waiter {
	cl.grants++
	if cl.grants%oldestFirstEvery == 0 {
		return slices.MinFunc(cl.queue, func(a, b *waiter) int { return a.since.Compare(b.since) })
	}
	for _, wt := range cl.queue {
		if wt.preferred(now) {
			return wt
		}
	}
	return cl.queue[0]
}

// victim returns the waiter that gives way in a full queue: the last one that is not
// the only one of its priority.
func (cl *class) victim() *waiter {
	for _, wt := range slices.Backward(cl.queue) {
		if !cl.onlyOfPriority(wt) {
			return wt
		}
	}
	return cl.queue[len(cl.queue)-1]
}

// onlyOfPriority reports whether a waiter is the only one of its priority.
func (cl *class) onlyOfPriority(wt *waiter) bool {
	return !slices.ContainsFunc(cl.queue, func(other *waiter) bool { return other != wt && other.Priority == wt.Priority })
}

func (cl *class) remove(wt *waiter) {
	if i := slices.Index(cl.queue, wt); i >= 0 {
		cl.queue = slices.Delete(cl.queue, i, i+1)
	}
}
