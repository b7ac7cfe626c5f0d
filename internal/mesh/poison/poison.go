package poison

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/ident"
)

// When a request is not run.
const (
	// Most is the number of ends, over all servers, from which it is not run.
	Most = 3
	// Apart is the number of ends from which it is not run beside another such request:
	// if the server ends as well, it is known which of them was the cause.
	Apart = 2
	// refusePeriod is how long after the last end it is not run. Then it is tried again,
	// as a new version of the servers may have mended the fault; one more end, and it is
	// not run for as long again.
	refusePeriod = 10 * time.Minute
	// RefuseSpread is the span over which daemons begin to try it again, each at a
	// moment of its own: the first one tells the others what became of it.
	RefuseSpread = time.Minute
	// retention is how long after its last end a request is kept in mind.
	retention = time.Hour
)

// The bounds of what is kept. Servers that all end again and again, with all that they
// run, would fill the memory of the daemons otherwise.
const (
	// maxRequests is how many requests are kept, maxCrashes how many ends of each.
	maxRequests = 1024
	maxCrashes  = 8
)

// Crash names the end of one lifetime of a backend server.
type End uint64

// Report says that a server ended while it ran a request or, where it is Answered, that
// the request was answered by a server though that end was known of it.
type Report struct {
	Head uint64
	Key  ident.Key
	End  End
	// At is when the server ended, by the reader's clock.
	At       time.Time
	Answered bool
}

// crash is an end that a server came to under a request.
type crash struct {
	End
	at       time.Time
	answered bool
}

// request is what is known of one request. It is not changed once it is in a view.
type request struct {
	head    uint64
	crashes []crash
	// last is the newest end.
	last time.Time
}

// crashCount returns the number of ends that no answer was given to.
func (rq *request) crashCount() (n int) {
	for _, cr := range rq.crashes {
		if !cr.answered {
			n++
		}
	}
	return n
}

// View is what a daemon knows of such requests. It is never changed: Merge returns
// another one. The nil view knows nothing.
type View struct {
	requests map[ident.Key]*request
	// suspectHeads has the heads of requests with ends that count.
	suspectHeads map[uint64]bool
}

// Suspects reports whether servers may have ended under a request, by its head. It is asked
// for each request: most need no key because of it, and none a head while nothing is known.
func (vw *View) Suspects(r *http.Request) bool {
	return vw != nil && len(vw.suspectHeads) > 0 && vw.suspectHeads[ident.Head(r)]
}

// Ends returns how many servers a request has ended, as far as is known.
func (vw *View) Ends(key ident.Key) int {
	if vw == nil || vw.requests[key] == nil {
		return 0
	}
	return vw.requests[key].crashCount()
}

// Refuses reports whether a request is not to be run. A daemon tries it again later than
// others by its spread.
func (vw *View) Refuses(key ident.Key, now time.Time, jitter time.Duration) bool {
	return vw.Ends(key) >= Most && now.Sub(vw.requests[key].last) < refusePeriod+jitter
}

// Answered returns the reports that a request was answered by a server.
func (vw *View) Answered(key ident.Key) []Report {
	list := slices.DeleteFunc(vw.Of(key), func(re Report) bool { return re.Answered })
	for i := range list {
		list[i].Answered = true
	}
	return list
}

// Len returns how many requests have ends that count, and how many as many as are not
// run.
func (vw *View) Len() (suspected, refused int) {
	if vw == nil {
		return 0, 0
	}
	for _, rq := range vw.requests {
		if n := rq.crashCount(); n > 0 {
			suspected++
			if n >= Most {
				refused++
			}
		}
	}
	return suspected, refused
}

// Reports returns what a daemon that knows nothing has to be told: of those requests
// under which most servers ended, up to most of them.
func (vw *View) Reports(limit int) []Report {
	if vw == nil {
		return nil
	}
	var list []Report
	for _, key := range vw.byCrashCount() {
		if limit > 0 && vw.Ends(key) > 0 {
			limit--
			list = append(list, vw.Of(key)...)
		}
	}
	return list
}

// Of returns all reports of a request that are known.
func (vw *View) Of(key ident.Key) []Report {
	if vw == nil || vw.requests[key] == nil {
		return nil
	}
	rq := vw.requests[key]
	var list []Report
	for _, cr := range rq.crashes {
		list = append(list, Report{Head: rq.head, Key: key, End: cr.End, At: cr.at, Answered: cr.answered})
	}
	return list
}

// byCrashCount returns all requests, those with the most and the newest ends first.
func (vw *View) byCrashCount() []ident.Key {
	return slices.SortedFunc(maps.Keys(vw.requests), func(a, b ident.Key) int {
		ra, rb := vw.requests[a], vw.requests[b]
		return cmp.Or(cmp.Compare(rb.crashCount(), ra.crashCount()), rb.last.Compare(ra.last), cmp.Compare(a, b))
	})
}

// Merge returns the view with the reports in it, and those that were news.
func (vw *View) Merge(list []Report, now time.Time) (next *View, added []Report) {
	next = &View{requests: map[ident.Key]*request{}, suspectHeads: map[uint64]bool{}}
	if vw != nil {
		maps.Copy(next.requests, vw.requests)
	}
	for _, re := range list {
		if now.Sub(re.At) >= retention {
			continue
		}
		re.At = earlier(re.At, now)
		if rq := next.requests[re.Key].withReport(re); rq != nil {
			next.requests[re.Key] = rq
			added = append(added, re)
		}
	}
	if len(added) == 0 {
		return vw, nil
	}
	next.trim(now)
	return next, added
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// withReport returns the request with one more report of it, nil where that is no news. Of a
// full list the oldest end makes room for a newer one only, so that reports which go
// round do not displace each other for ever.
func (rq *request) withReport(re Report) *request {
	next := request{head: re.Head, last: re.At}
	if rq != nil {
		next = *rq
	}
	next.crashes = slices.Clone(next.crashes)
	at := slices.IndexFunc(next.crashes, func(cr crash) bool { return cr.End == re.End })
	switch {
	case at >= 0 && (next.crashes[at].answered || !re.Answered):
		return nil
	case at >= 0:
		next.crashes[at].answered = true
		return &next
	case len(next.crashes) == maxCrashes:
		if !next.crashes[0].at.Before(re.At) {
			return nil
		}
		next.crashes = next.crashes[1:]
	}
	next.crashes = append(next.crashes, crash{End: re.End, at: re.At, answered: re.Answered})
	slices.SortFunc(next.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	next.last = next.crashes[len(next.crashes)-1].at
	return &next
}

// trim forgets requests whose last end is long ago and, of too many, those with the
// fewest and the oldest ends.
func (vw *View) trim(now time.Time) {
	maps.DeleteFunc(vw.requests, func(_ ident.Key, rq *request) bool { return now.Sub(rq.last) >= retention })
	if len(vw.requests) > maxRequests {
		for _, key := range vw.byCrashCount()[maxRequests:] {
			delete(vw.requests, key)
		}
	}
	for _, rq := range vw.requests {
		if rq.crashCount() > 0 {
			vw.suspectHeads[rq.head] = true
		}
	}
}
