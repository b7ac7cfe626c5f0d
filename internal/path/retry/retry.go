package retry

import (
	"net/http"
	"sync/atomic"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// MaxAttempts is how often a request is sent at most: three servers without room, and
// three more that cannot be reached or whose kept connections break.
const MaxAttempts = 6

// The budget, in units of one thousandth of a retry.
const (
	perRetry = 1000
	// perRequest is what each request adds: retries stay below a fifth of the
	// requests, whatever fails. Retries do not multiply over hops, since an
	// answer that a farther service failed is an answer here.
	perRequest = 150
	// most is what a quiet outlet may save up.
	most = 20 * perRetry
)

// Allowed tells whether a request with this outcome may be sent again.
//
// What has not run may always be. What may have run may be only where that
// does no harm: by default requests with safe methods, RFC 9110 section 9.2.1;
// all or none where a rule says so. An Idempotency-Key of the caller's does
// not count, since nothing here knows that the backend server heeds it.
func Allowed(oc result.Outcome, rp decl.Repeat, method string) bool {
	switch oc {
	case result.NotRun:
		return true
	case result.MayHaveRun:
		return rp == decl.RepeatAlways || rp != decl.RepeatNever && safe(method)
	}
	return false
}

func safe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// Budget bounds the retries of one service at one outlet.
type Budget struct {
	saved atomic.Int64
}

// New returns a budget that allows a few retries from the start.
func New() *Budget {
	var bu Budget
	bu.saved.Store(most / 2)
	return &bu
}

// Request adds what a new request brings.
func (bu *Budget) Request() {
	if bu.saved.Load() < most {
		bu.saved.Add(perRequest)
	}
}

// Take takes one retry out of the budget, if there is one.
func (bu *Budget) Take() bool {
	for {
		old := bu.saved.Load()
		if old < perRetry {
			return false
		}
		if bu.saved.CompareAndSwap(old, old-perRetry) {
			return true
		}
	}
}
