package outlet

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/path/resend"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// routeStats holds what an outlet has measured of a route's requests. It is kept when the
// configuration changes.
type routeStats struct {
	// size is the moving average of the bytes of a request and its response, with both heads.
	size atomic.Int64
	// held is the moving average of the time for which a request holds a slot.
	held atomic.Int64
	// callerRetries tracks whether callers retry after a refusal.
	callerRetries resend.RetryStats
	// kinds holds the served shares.
	kinds kinds
}

// sizeDivisor is the inverse weight of one response in the moving average of sizes.
const sizeDivisor = 16

// headBytes is the assumed size of the heads of a request and its response together.
const headBytes = 700

// recordSize records the bytes of a request and its response.
func (rs *routeStats) recordSize(n int64) {
	old := rs.size.Load()
	if old == 0 {
		rs.size.Store(n)
		return
	}
	rs.size.Store(old + (n-old)/sizeDivisor)
}

// heldDivisor is the inverse weight of one response in the moving average of slot times.
const heldDivisor = 32

// recordHeld records for how long a request held a slot and returns the moving average.
func (rs *routeStats) recordHeld(held time.Duration) time.Duration {
	old := time.Duration(rs.held.Load())
	if old == 0 {
		old = held
	}
	next := old + (held-old)/heldDivisor
	rs.held.Store(int64(next))
	return next
}

// expectedSize returns the expected bytes of a request and its response.
func (rs *routeStats) expectedSize() int64 {
	if n := rs.size.Load(); n > 0 {
		return n
	}
	return headBytes
}

// urgency returns the header value that ranks a request at an inlet: its priority, the milliseconds
// left of its objective, at least 1, and whether it is final, that is, whether the caller cannot
// retry after a refusal. spent is how long the request has been at this outlet.
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

// knownBodySize returns the length of a request's body, 0 if it is unknown.
func knownBodySize(r *http.Request) int64 { return max(0, r.ContentLength) }
