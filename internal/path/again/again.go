package again

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// places and ways bound the failed tries that are remembered: as many as an outlet
	// refuses in a few seconds of overload. Tries that fall into one place have ways
	// there, so that none of a wave is lost.
	places = 1 << 8
	ways   = 8
	// tolerance is by how much the moment may differ at which a caller stops waiting,
	// as its two tries tell it: several times the way to the callers.
	tolerance = 25 * time.Millisecond
)

// Tracker holds failed tries. The zero value is empty. Its methods may be called from
// any goroutine.
//
// The time that a caller gives does not tell by itself how long it has been at its
// request, since callers of one route differ in patience. But a caller that comes
// back asks for the same, and stops waiting at the same moment as before.
type Tracker struct {
	tries [places][ways]atomic.Pointer[Try]
}

// Try is a caller's try at a request.
type Try struct {
	// FirstAt is when the first try came, until when its caller stops waiting.
	FirstAt time.Time
	until   time.Time
	key     uint64
	// failed is when this try was given up on.
	failed time.Time
}

// CountArrival returns the try of a request that came at a moment, whose caller waits for as
// long as left from then on, 0 where it does not say. It reports whether it is a
// further one, and takes that into the account of its route.
func (me *Tracker) Arrived(r *http.Request, at time.Time, left time.Duration, ro *RetryStats) (tr *Try, further bool) {
	tr = &Try{FirstAt: at}
	if left <= 0 {
		return tr, false
	}
	tr.until, tr.key = at.Add(left), key(r)
	for i := range ways {
		place := &me.tries[tr.key%places][i]
		old := place.Load()
		if old == nil || !old.same(tr) || !old.failed.Before(at) || !place.CompareAndSwap(old, nil) {
			continue
		}
		tr.FirstAt = old.FirstAt
		ro.back(old.failed)
		return tr, true
	}
	return tr, false
}

// same reports whether two tries are of one caller and request.
func (tr *Try) same(other *Try) bool {
	return tr.key == other.key && tr.until.Sub(other.until).Abs() <= tolerance
}

// Failed remembers a try that was given up on now. Told says that its caller was told
// to come back.
func (me *Tracker) Failed(tr *Try, now time.Time, told bool, ro *RetryStats) {
	if tr.until.IsZero() {
		return
	}
	next := *tr
	next.failed = now
	me.place(tr.key, now).Store(&next)
	if told {
		ro.told(now)
	}
}

// place returns where a try is put: in place of the one whose caller stops waiting
// first, which is over already as a rule.
func (me *Tracker) place(key uint64, now time.Time) *atomic.Pointer[Try] {
	var best *atomic.Pointer[Try]
	var until time.Time
	for i := range ways {
		place := &me.tries[key%places][i]
		old := place.Load()
		if old == nil || old.until.Before(now) {
			return place
		}
		if best == nil || old.until.Before(until) {
			best, until = place, old.until
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
