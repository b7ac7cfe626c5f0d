package resend

import (
	"sync"
	"time"
)

const (
	// period is the interval over which callers advised to retry are counted together. The counts
	// of a period are used only after the following period has ended: by then, callers that retry
	// have done so.
	period = time.Second
	// minAdvised is the number of advised callers required for a conclusion.
	minAdvised = 6
	// Callers of a route are taken not to retry if less than one in finalDivisor of them does.
	finalDivisor = 4
	// A route is taken to be called by the VM's own backend server only if less than one in
	// idleDivisor of its requests arrives while that server runs nothing. Some do, because a
	// request whose caller has left may still be running there.
	idleDivisor = 20
	// maxCount bounds the counts, so that a change in behavior shows after as many requests.
	maxCount = 64
)

// RetryStats learns whether the callers of a route retry when advised to. Backend servers that make
// calls mostly do not: a refused call fails for good, and the work done for its parent request is
// lost. With the zero value, callers are assumed to retry.
type RetryStats struct {
	mu sync.Mutex
	// current, previous and older are the counts of the current period, of the one before it and of
	// all earlier ones.
	current, previous, older count
	periodStart              time.Time
	// arrivals counts the requests of the route, idleArrivals those that arrived while the VM's own
	// backend server ran nothing.
	arrivals, idleArrivals int
}

// count is the number of callers that were advised to retry and that did.
type count struct{ advised, retried int }

// countAdvised counts a caller that was advised to retry.
func (rs *RetryStats) countAdvised(now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.advance(now)
	rs.current.advised++
}

// countRetried counts a caller that retried after it was advised to at advisedAt.
func (rs *RetryStats) countRetried(advisedAt time.Time) {
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

// advance starts a new period if the current one has ended. rs.mu must be held.
func (rs *RetryStats) advance(now time.Time) {
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

// CountArrival counts a request and reports whether its caller is expected not to retry after a
// refusal. shortTimeout is set if the caller's timeout does not exceed the configured one,
// serverBusy if the VM's own backend server is running requests.
//
// As long as too few refusals are known, a request is taken for a call of the VM's own backend
// server if its caller has no time left to retry, if hardly any request of the route arrived while
// that server ran nothing, which says little if it is always busy, and if no caller has returned.
func (rs *RetryStats) CountArrival(now time.Time, shortTimeout, serverBusy bool) bool {
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
	returned := rs.current.retried + rs.previous.retried + rs.older.retried
	return shortTimeout && returned == 0 && rs.idleArrivals*idleDivisor < rs.arrivals
}
