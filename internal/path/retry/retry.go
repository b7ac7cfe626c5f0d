package retry

import (
	"net/http"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// MaxAttempts is the maximum number of attempts for a request: three servers without free slots,
// and three more that are unreachable or whose keep-alive connections break.
const MaxAttempts = 6

// Allowed reports whether a request with the given outcome may be sent again.
//
// A request that has not run always may. One that may have run may only if that does no harm: by
// default if its method is safe (RFC 9110, section 9.2.1), otherwise always or never as configured
// for its route. An Idempotency-Key sent by the caller does not count, because it is unknown
// whether the backend server honors it.
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
