package outlet

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// validate refuses invalid and unsupported requests before any part of them is forwarded.
func (ou *Outlet) validate(r *http.Request) *result.Refusal {
	refuse := func(re result.Reason, format string, args ...any) *result.Refusal {
		return &result.Refusal{Outcome: result.NotRun, Reason: re, Detail: fmt.Sprintf(format, args...)}
	}
	if r.Method == http.MethodConnect || proxy.Upgrades(r.Header) {
		return refuse(result.ReasonUpgrade, "CONNECT and protocol upgrades are not supported")
	}
	if name := proxy.ReservedHeader(r.Header); name != "" {
		return refuse(result.ReasonBadRequest, "callers must not set the header %s", name)
	}
	if _, ok := ou.callerTimeout(r.Header); !ok && r.Header.Get(ou.names.Timeout) != "" {
		return refuse(result.ReasonBadRequest, "%s must be a positive whole number of milliseconds", ou.names.Timeout)
	}
	if !strings.HasPrefix(r.URL.Path, "/") || hasDotSegment(r.URL.Path) {
		return refuse(result.ReasonBadRequest, "the path must begin with a slash and contain no \".\" or \"..\" segment")
	}
	if r.ContentLength > proxy.MaxBody {
		return refuse(result.ReasonTooLarge, "the request body exceeds the limit of %d bytes", proxy.MaxBody)
	}
	return nil
}

// hasDotSegment reports whether a decoded path has a "." or ".." segment. Servers resolve these in
// different ways, so that /x/../confirm could evade the rules for /confirm.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for seg := range strings.SplitSeq(path, "/") {
		if seg == "." || seg == ".." {
			return true
		}
	}
	return false
}

// callerTimeout returns how long the caller waits, if the request says so.
func (ou *Outlet) callerTimeout(hdr http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(hdr.Get(ou.names.Timeout), 10, 32)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0
}
