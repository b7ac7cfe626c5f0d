package resend

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sets and ways are the dimensions of the set-associative table of failed tries. It holds as
	// many as an outlet refuses within a few seconds of overload. Tries that map to the same set
	// share its ways, so that a burst of failures does not overwrite entries that are still needed.
	sets = 1 << 8
	ways = 8
	// deadlineTolerance is the largest difference between the deadlines of two tries of the same
	// request: several times the network latency to the callers.
	deadlineTolerance = 25 * time.Millisecond
)

// Tracker remembers failed tries. The zero value is empty. Its methods are safe for concurrent use.
//
// The timeout that a caller sends does not show how long the caller has been trying, since callers
// of one route use different timeouts. But a retry is for the same request and has the same
// deadline as the try before it.
type Tracker struct {
	tries [sets][ways]atomic.Pointer[Try]
}

// Try is one try of a caller at a request.
type Try struct {
	// FirstAt is when the first try arrived, deadline when the caller stops waiting.
	FirstAt  time.Time
	deadline time.Time
	key      uint64
	// failedAt is when the try failed.
	failedAt time.Time
	// uncounted is set if a retry says nothing about the callers of the route.
	uncounted bool
}

// Arrived returns the try of a request that arrived at now and whose caller waits for timeout, 0 if
// unknown. It reports whether the request is a retry, and if so counts it for its route.
func (tk *Tracker) Arrived(r *http.Request, now time.Time, timeout time.Duration, rs *RetryStats) (tr *Try, isRetry bool) {
	tr = &Try{FirstAt: now}
	if timeout <= 0 {
		return tr, false
	}
	tr.deadline, tr.key = now.Add(timeout), key(r)
	for i := range ways {
		entry := &tk.tries[tr.key%sets][i]
		old := entry.Load()
		if old == nil || !old.same(tr) || !old.failedAt.Before(now) || !entry.CompareAndSwap(old, nil) {
			continue
		}
		tr.FirstAt = old.FirstAt
		if !old.uncounted {
			rs.countRetried(old.failedAt)
		}
		return tr, true
	}
	return tr, false
}

// same reports whether two tries are from the same caller for the same request.
func (tr *Try) same(other *Try) bool {
	return tr.key == other.key && tr.deadline.Sub(other.deadline).Abs() <= deadlineTolerance
}

// waitDivisor is the share of the time that a caller has left, as one in so many, up to which it honors
// a Retry-After.
const waitDivisor = 3

// MayReturn reports whether a caller that is told at now to retry after wait has the time to do so. One
// that has not and stays away does not show that callers of its route never retry.
func (tr *Try) MayReturn(now time.Time, wait time.Duration) bool {
	return tr.deadline.IsZero() || wait <= tr.deadline.Sub(now)/waitDivisor
}

// Failed records that a try failed at now. retryAdvised is set if the caller was told to retry. rs is
// nil if whether it does says nothing about the callers of the route.
func (tk *Tracker) Failed(tr *Try, now time.Time, retryAdvised bool, rs *RetryStats) {
	if tr.deadline.IsZero() {
		return
	}
	next := *tr
	next.failedAt, next.uncounted = now, rs == nil
	tk.entry(tr.key, now).Store(&next)
	if retryAdvised && rs != nil {
		rs.countAdvised(now)
	}
}

// entry returns the entry to overwrite with a try: one whose deadline has passed, otherwise the one
// with the earliest deadline.
func (tk *Tracker) entry(key uint64, now time.Time) *atomic.Pointer[Try] {
	var best *atomic.Pointer[Try]
	var deadline time.Time
	for i := range ways {
		entry := &tk.tries[key%sets][i]
		old := entry.Load()
		if old == nil || old.deadline.Before(now) {
			return entry
		}
		if best == nil || old.deadline.Before(deadline) {
			best, deadline = entry, old.deadline
		}
	}
	return best
}

// key returns a hash of the method, host and URI of a request.
func key(r *http.Request) uint64 {
	var di xxhash.Digest
	di.Reset()
	for _, text := range [...]string{r.Method, r.Host, r.RequestURI} {
		// Writing to a digest cannot fail.
		_, _ = di.WriteString(text)
		_, _ = di.WriteString("\x00")
	}
	return di.Sum64()
}
