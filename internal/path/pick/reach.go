package pick

import (
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/steady"
)

// The judgement of whether another failure domain can be reached.
const (
	// suspectAfter is how many different servers of a failure domain must have fallen
	// silent in a row, with no answer from any between. One may be a VM without power.
	suspectAfter = 2
	// suspectFor is how long the failure domain is then left alone before one request
	// tries it again. Each that meets the cut hangs for 700 ms, and may have run for all
	// that its outlet knows.
	suspectFor = time.Second
)

// reach is what an outlet has learned of whether a failure domain other than its own can
// be reached. Relays find a cut after five seconds, and each of dozens of servers behind
// it is found by itself after a few lost requests; this finds it after two. All servers of
// the failure domain share it, in all tables.
type reach struct {
	// silent counts the servers that fell silent in a row, last is the last of them.
	silent atomic.Int32
	last   atomic.Pointer[live]
	// until is when the next request may try.
	until atomic.Int64
}

// answered notes an answer of any kind.
func (re *reach) answered() {
	if re.silent.Load() > 0 {
		re.silent.Store(0)
		re.last.Store(nil)
	}
}

// fellSilent notes that a server neither answered nor refused the connection. It tells
// whether the failure domain is suspected from now on.
func (re *reach) fellSilent(lv *live, now time.Time) (suspected bool) {
	n := re.silent.Load()
	if re.last.Swap(lv) != lv {
		n = re.silent.Add(1)
	}
	if n < suspectAfter {
		return false
	}
	re.until.Store(steady.Nanos(now.Add(suspectFor)))
	return n == suspectAfter
}

// silentNow tells whether the failure domain was silent when it was tried last.
func (re *reach) silentNow() bool { return re != nil && re.silent.Load() >= suspectAfter }

// suspected tells whether the failure domain is left alone. Once the time for that is over
// the first one to ask may try it, and the others wait for what becomes of it.
func (re *reach) suspected(now time.Time) bool {
	if !re.silentNow() {
		return false
	}
	at, until := steady.Nanos(now), re.until.Load()
	return at < until || !re.until.CompareAndSwap(until, at+int64(suspectFor))
}

// Answered notes that the server's VM answered.
func (ep *Endpoint) Answered() {
	if ep.reach != nil {
		ep.reach.answered()
	}
}

// FellSilent notes that the server's VM did not answer, nor refuse the connection. It
// tells whether its failure domain is suspected to be cut off from now on.
func (ep *Endpoint) FellSilent(now time.Time) (suspected bool) {
	return ep.reach != nil && ep.reach.fellSilent(ep.live, now)
}

// behindCut tells whether the server's failure domain is suspected to be cut off.
func (ep *Endpoint) behindCut(now time.Time) bool { return ep.reach != nil && ep.reach.suspected(now) }
