package outlet

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// known is what an outlet has learned of a route's requests; it outlives
// versions of the configuration.
type known struct {
	// size is the weighted mean of the bytes that an answer has, with its head.
	size atomic.Int64
	// patience is the longest time, in ms, that a caller said it would wait.
	patience atomic.Int64
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

// expected returns the bytes that a request and its answer are expected to have.
func (kn *known) expected() int64 {
	if n := kn.size.Load(); n > 0 {
		return n
	}
	return headBytes
}

// elapsed returns how long a caller has been at its request already, from what
// is left of the time that it gives: callers of a route begin with the same
// time, and one that comes back after a refusal has less.
func (kn *known) elapsed(left time.Duration) time.Duration {
	for {
		most := kn.patience.Load()
		if left.Milliseconds() <= most {
			return time.Duration(most)*time.Millisecond - left
		}
		if kn.patience.CompareAndSwap(most, left.Milliseconds()) {
			return 0
		}
	}
}

// returnedAfter is the time after which a caller is taken to have come back after
// a refusal: it is told to wait for longer, and what a backend server has spent
// before it calls is mostly less.
const returnedAfter = returnLeast

// returned tells whether a caller came back after a refusal.
func returned(elapsed time.Duration) bool { return elapsed >= returnedAfter }

// urgency returns the header that ranks a request at an inlet: its priority, what
// is left of its objective, 0 where that has passed, and whether its caller came
// back. Spent is how long the request has been here.
func urgency(rt *snap.Route, elapsed, spent time.Duration) string {
	text := strconv.Itoa(rt.Priority)
	if rt.Objective > 0 {
		text += "/" + strconv.FormatInt(max(1, (rt.Objective-elapsed-spent).Milliseconds()), 10)
	}
	if returned(elapsed) {
		text += result.Again
	}
	return text
}

// bodyBytes returns the length of a request's body, as far as it is known.
func bodyBytes(r *http.Request) int64 { return max(0, r.ContentLength) }
