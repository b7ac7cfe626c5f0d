package pick

import (
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/mono"
)

// hold keeps requests of one rank from a server that limits their rate. Times are in nanoseconds of
// package mono.
type hold struct {
	// until is when it ends, spacing the expected time between two turns of this outlet.
	until, spacing atomic.Int64
	// promised is the time from which turns have not been promised to callers.
	promised atomic.Int64
	// askedAt is when the server was last asked in spite of the hold, or refused a request for its limit.
	askedAt atomic.Int64
}

// HoldBack keeps requests of a rank, and of the ranks below it, from the server for a time, after
// which the server's inlet expects to take one of this outlet's. An earlier hold that is not over
// stays: each refusal gets a turn of its own, and the first one is to be used. spacing is the least
// time between two turns of this outlet if all outlets get as many.
func (ep *Endpoint) HoldBack(rank int, now time.Time, wait, spacing time.Duration) {
	at := mono.Nanos(now)
	for i := rank; i < result.Ranks; i++ {
		ho := &ep.live.holds[i]
		ho.askedAt.Store(at)
		// Of two concurrent refusals either may win.
		if old := ho.until.Load(); old <= at && ho.until.CompareAndSwap(old, at+int64(wait)) {
			ho.spacing.Store(int64(max(wait, spacing)))
		}
	}
}

// PickHeld returns a server that is only held back from requests of a rank and was last asked longer
// ago than interval, nil if there is none. It is for a request that would otherwise be refused: an
// outlet that leaves a server alone does not learn that its limit has been lifted or raised.
func (gp *Group) PickHeld(now time.Time, rank int, interval time.Duration, tried *Tried, rnd Random) *Endpoint {
	if len(gp.all) == 0 {
		return nil
	}
	start, at := rnd(len(gp.all)), mono.Nanos(now)
	for i := range gp.all {
		ep := gp.all[(start+i)%len(gp.all)]
		if !ep.awaitsTurn(now, rank) || tried.has(ep) {
			continue
		}
		ho := &ep.live.holds[rank]
		if old := ho.askedAt.Load(); at-old >= int64(interval) && ho.askedAt.CompareAndSwap(old, at) {
			return ep
		}
	}
	return nil
}

// ReleaseHold ends HoldBack.
func (ep *Endpoint) ReleaseHold() {
	for i := range ep.live.holds {
		// Most servers are never held back, and a load is cheaper than a store.
		if until := &ep.live.holds[i].until; until.Load() != 0 {
			until.Store(0)
		}
	}
}

// Exclude keeps all requests from the server for good. It is called if the server says that it is
// leaving, whatever its record says.
func (ep *Endpoint) Exclude() { ep.live.excluded.Store(true) }

// accepts reports whether the server may get requests of a rank, being neither excluded nor held back
// from them.
func (ep *Endpoint) accepts(now time.Time, rank int) bool {
	return !ep.live.excluded.Load() && ep.live.holds[rank].until.Load() <= mono.Nanos(now)
}

// OverLimit reports whether a server could be used that is only held back.
func (gp *Group) OverLimit(now time.Time, rank int) bool {
	for _, ep := range gp.all {
		if ep.awaitsTurn(now, rank) {
			return true
		}
	}
	return false
}

// awaitsTurn reports whether the server is only held back from requests of a rank.
func (ep *Endpoint) awaitsTurn(now time.Time, rank int) bool {
	return !ep.Ejected(now) && !ep.live.excluded.Load() && !ep.accepts(now, rank)
}

// maxPromise is the longest time after which a caller is asked to return.
const maxPromise = 10 * time.Second

// PromiseTurn returns the time until one of the servers is expected to take a request of a rank again
// from this outlet, at a turn that was not promised to another caller. It returns 0 if no server is
// only held back.
func (gp *Group) PromiseTurn(now time.Time, rank int) time.Duration {
	var best *hold
	var first int64
	for _, ep := range gp.all {
		if !ep.awaitsTurn(now, rank) {
			continue
		}
		ho := &ep.live.holds[rank]
		if at := max(ho.until.Load(), ho.promised.Load()); best == nil || at < first {
			best, first = ho, at
		}
	}
	if best == nil {
		return 0
	}
	at := mono.Nanos(now)
	first = min(first, at+int64(maxPromise))
	best.promised.Store(first + best.spacing.Load())
	return time.Duration(max(1, first-at))
}
