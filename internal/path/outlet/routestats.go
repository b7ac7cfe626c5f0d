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

// routeStats is what an outlet has learned of a route's requests; it outlives
// versions of the configuration.
type routeStats struct {
	// size is the weighted mean of the bytes that an answer has, with its head.
	size atomic.Int64
	// held is the weighted mean time for which its requests hold a slot.
	held atomic.Int64
	// callerRetries learns whether callers come back after a refusal.
	callerRetries again.Route
}

// sizeDivisor is the part of the mean that one answer makes.
const sizeDivisor = 16

// headBytes is what the head of an answer takes, and that of the request.
const headBytes = 700

// recordSize notes the bytes of a request and its answer.
func (rs *routeStats) recordSize(n int64) {
	old := rs.size.Load()
	if old == 0 {
		rs.size.Store(n)
		return
	}
	rs.size.Store(old + (n-old)/sizeDivisor)
}

// heldDivisor is how many answers make the mean time of a route.
const heldDivisor = 32

// recordHeld notes for how long a request held a slot and returns what is typical.
func (rs *routeStats) recordHeld(held time.Duration) time.Duration {
	old := time.Duration(rs.held.Load())
	if old == 0 {
		old = held
	}
	next := old + (held-old)/heldDivisor
	rs.held.Store(int64(next))
	return next
}

// expectedSize returns the bytes that a request and its answer are expected to have.
func (rs *routeStats) expectedSize() int64 {
	if n := rs.size.Load(); n > 0 {
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
		text += result.Final
	}
	return text
}

// knownBodySize returns the length of a request's body, as far as it is known.
func knownBodySize(r *http.Request) int64 { return max(0, r.ContentLength) }
