package again

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sets and ways bound the failed tries that are remembered: as many as an outlet
	// refuses in a few seconds of overload. Tries that fall into one place have ways
	// there, so that none of a wave is lost.
	sets = 1 << 8
	ways = 8
	// deadlineTolerance is by how much the moment may differ at which a caller stops waiting,
	// as its two tries tell it: several times the way to the callers.
	deadlineTolerance = 25 * time.Millisecond
)

// Memory holds failed tries. The zero value is empty. Its methods may be called from
// any goroutine.
//
// The time that a caller gives does not tell by itself how long it has been at its
// request, since callers of one route differ in patience. But a caller that comes
// back asks for the same, and stops waiting at the same moment as before.
type Memory struct {
	tries [sets][ways]atomic.Pointer[Try]
}

// Try is a caller's try at a request.
type Try struct {
	// First is when the first try came, until when its caller stops waiting.
	First    time.Time
	deadline time.Time
	key      uint64
	// failedAt is when this try was given up on.
	failedAt time.Time
}

// Came returns the try of a request that came at a moment, whose caller waits for as
// long as left from then on, 0 where it does not say. It reports whether it is a
// further one, and takes that into the account of its route.
func (tk *Memory) Came(r *http.Request, now time.Time, timeout time.Duration, rs *Route) (tr *Try, further bool) {
	tr = &Try{First: now}
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
		tr.First = old.First
		rs.countRetried(old.failedAt)
		return tr, true
	}
	return tr, false
}

// same reports whether two tries are of one caller and request.
func (tr *Try) same(other *Try) bool {
	return tr.key == other.key && tr.deadline.Sub(other.deadline).Abs() <= deadlineTolerance
}

// Failed remembers a try that was given up on now. Told says that its caller was told
// to come back.
func (tk *Memory) Failed(tr *Try, now time.Time, retryAdvised bool, rs *Route) {
	if tr.deadline.IsZero() {
		return
	}
	next := *tr
	next.failedAt = now
	tk.entry(tr.key, now).Store(&next)
	if retryAdvised {
		rs.countAdvised(now)
	}
}

// entry returns where a try is put: in place of the one whose caller stops waiting
// first, which is over already as a rule.
func (tk *Memory) entry(key uint64, now time.Time) *atomic.Pointer[Try] {
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

// key names what a request asks for.
func key(r *http.Request) uint64 {
	var di xxhash.Digest
	di.Reset()
	for _, text := range [...]string{r.Method, r.Host, r.RequestURI} {
		// Writing to a digest does not fail.
		_, _ = di.WriteString(text)
		_, _ = di.WriteString("\x00")
	}
	return di.Sum64()
}
