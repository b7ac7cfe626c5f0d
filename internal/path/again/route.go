package again

import (
	"sync"
	"time"
)

const (
	// period is the time over which those that were told to come back are counted
	// together. What an epoch tells is used once the next one is over too: by then who
	// comes back has done so.
	period = time.Second
	// minAdvised is how many must have been told before anything is concluded.
	minAdvised = 6
	// finalDivisor is the part of them that comes back, as one in so many, below which callers
	// of a route are taken not to come back.
	finalDivisor = 4
	// idleDivisor is the part of a route's requests, as one in so many, that may come while
	// the own backend server runs nothing though it made them: one whose caller has
	// left may still run there.
	idleDivisor = 20
	// maxCount bounds what is remembered, so that a change of habit shows within as many.
	maxCount = 64
)

// Route learns whether the callers of a route come back when they are told to.
// Backend servers that make calls mostly do not: to refuse a call is final, and the
// work done for its parent is lost with it. The zero value takes it that they do.
type Route struct {
	mu sync.Mutex
	// current, last and old are the counts of the present epoch, of the one before it and
	// of all older ones.
	current, previous, older count
	periodStart              time.Time
	// arrivals counts the requests of the route, alone those that came while the VM's own
	// backend server ran nothing.
	arrivals, idleArrivals int
}

// count is how many were told to come back and how many did.
type count struct{ advised, retried int }

// advised counts a caller that was told to come back.
func (rs *Route) countAdvised(now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.advance(now)
	rs.current.advised++
}

// retried counts a caller that came back after it was told so at a moment.
func (rs *Route) countRetried(advisedAt time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.advance(time.Now())
	switch {
	case !advisedAt.Before(rs.periodStart):
		rs.current.retried++
	case !advisedAt.Before(rs.periodStart.Add(-period)):
		rs.previous.retried++
	default:
		rs.older.retried++
	}
}

// advance begins a new epoch if it is time; rs.mu is held.
func (rs *Route) advance(now time.Time) {
	for range 2 {
		if now.Sub(rs.periodStart) < period {
			return
		}
		rs.older.advised += rs.previous.advised
		rs.older.retried += rs.previous.retried
		if rs.older.advised > maxCount {
			rs.older.retried = rs.older.retried * maxCount / rs.older.advised
			rs.older.advised = maxCount
		}
		rs.previous, rs.current = rs.current, count{}
		rs.periodStart = rs.periodStart.Add(period)
	}
	if now.Sub(rs.periodStart) >= period {
		rs.periodStart = now
	}
}

// Came counts a request and reports whether its caller will not come back if it is
// refused. Short says that the caller stops waiting no later than the operators do,
// busy that the VM's own backend server runs something.
//
// As long as nothing is known of refusals, a request is taken for a call of the VM's
// own backend server where its caller has no time to come back, and where hardly any of
// the route came while that server ran nothing.
func (rs *Route) Came(now time.Time, shortTimeout, serverBusy bool) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.advance(now)
	if rs.arrivals++; !serverBusy {
		rs.idleArrivals++
	}
	if rs.arrivals > maxCount {
		rs.arrivals, rs.idleArrivals = rs.arrivals/2, rs.idleArrivals/2
	}
	if rs.older.advised >= minAdvised {
		return rs.older.retried*finalDivisor < rs.older.advised
	}
	return shortTimeout && rs.idleArrivals*idleDivisor < rs.arrivals
}
