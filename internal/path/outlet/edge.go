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

// checkEdge refuses what is not carried, before anything of it is sent on.
func (ou *Outlet) checkEdge(r *http.Request) *result.Refusal {
	bad := func(re result.Reason, format string, args ...any) *result.Refusal {
		return &result.Refusal{Outcome: result.NotRun, Reason: re, Detail: fmt.Sprintf(format, args...)}
	}
	if r.Method == http.MethodConnect || proxy.Upgrades(r.Header) {
		return bad(result.ReasonUpgrade, "CONNECT and upgrades are not carried")
	}
	if name := proxy.ReservedHeader(r.Header); name != "" {
		return bad(result.ReasonBadRequest, "the header %s is not taken from callers", name)
	}
	if _, ok := ou.timeout(r.Header); !ok && r.Header.Get(ou.names.Timeout) != "" {
		return bad(result.ReasonBadRequest, "%s must be a whole number of milliseconds above 0", ou.names.Timeout)
	}
	if !strings.HasPrefix(r.URL.Path, "/") || dotted(r.URL.Path) {
		return bad(result.ReasonBadRequest, "the path must begin with a slash and have no \".\" or \"..\" segment")
	}
	if r.ContentLength > proxy.MaxBody {
		return bad(result.ReasonTooLarge, "a body may have %d bytes", proxy.MaxBody)
	}
	return nil
}

// dotted reports whether a decoded path has a segment that servers resolve in
// ways of their own: a rule for /confirm must not be passed by /x/../confirm.
func dotted(path string) bool {
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

// timeout returns how long the caller waits, if it says so.
func (ou *Outlet) timeout(hdr http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(hdr.Get(ou.names.Timeout), 10, 32)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0
}
