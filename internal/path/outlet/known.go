package outlet

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/path/again"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// known is what an outlet has learned of a route's requests; it outlives
// versions of the configuration.
type known struct {
	// size is the weighted mean of the bytes that an answer has, with its head.
	size atomic.Int64
	// held is the weighted mean time for which its requests hold a slot.
	held atomic.Int64
	// back learns whether callers come back after a refusal.
	back again.RetryStats
}

// sizeWeight is the part of the mean that one answer makes.
const sizeWeight = 16

// headBytes is what the head of an answer takes, and that of the request.
const headBytes = 700

// answered notes the bytes of a request and its answer.
func (kn *known) answered(n int64) {
	old := kn.size.Load()
	if old == 0 {
		kn.size.Store(n)
		return
	}
	kn.size.Store(old + (n-old)/sizeWeight)
}

// heldWeight is how many answers make the mean time of a route.
const heldWeight = 32

// ran notes for how long a request held a slot and returns what is typical.
func (kn *known) ran(held time.Duration) time.Duration {
	old := time.Duration(kn.held.Load())
	if old == 0 {
		old = held
	}
	next := old + (held-old)/heldWeight
	kn.held.Store(int64(next))
	return next
}

// expected returns the bytes that a request and its answer are expected to have.
func (kn *known) expected() int64 {
	if n := kn.size.Load(); n > 0 {
		return n
	}
	return headBytes
}

// urgency returns the header that ranks a request at an inlet: its priority, what
// is left of its objective, 0 where that has passed, and whether its caller came
// back. Spent is how long the request has been here.
func urgency(rt *snap.Route, priority int, elapsed, spent time.Duration, final bool) string {
	text := strconv.Itoa(priority)
	if rt.Objective > 0 {
		text += "/" + strconv.FormatInt(max(1, (rt.Objective-elapsed-spent).Milliseconds()), 10)
	}
	if final {
		text += result.FinalSuffix
	}
	return text
}

// bodyBytes returns the length of a request's body, as far as it is known.
func bodyBytes(r *http.Request) int64 { return max(0, r.ContentLength) }
