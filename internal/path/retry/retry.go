package retry

import (
	"net/http"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// MaxAttempts is how often a request is sent at most: three servers without room, and
// three more that cannot be reached or whose kept connections break.
const MaxAttempts = 6

// Allowed reports whether a request with this outcome may be sent again.
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
