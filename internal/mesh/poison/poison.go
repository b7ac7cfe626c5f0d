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
	// RefuseThreshold is the number of ends, over all servers, from which it is not run.
	RefuseThreshold = 3
	// IsolateThreshold is the number of ends from which it is not run beside another such request:
	// if the server ends as well, it is known which of them was the cause.
	IsolateThreshold = 2
	// refuseFor is how long after the last end it is not run. Then it is tried again,
	// as a new version of the servers may have mended the fault; one more end, and it is
	// not run for as long again.
	refuseFor = 10 * time.Minute
	// RetryJitter is the span over which daemons begin to try it again, each at a
	// moment of its own: the first one tells the others what became of it.
	RetryJitter = time.Minute
	// keepFor is how long after its last end a request is kept in mind.
	keepFor = time.Hour
)

// The bounds of what is kept. Servers that all end again and again, with all that they
// run, would fill the memory of the daemons otherwise.
const (
	// maxCases is how many requests are kept, maxEnds how many ends of each.
	maxCases = 1024
	maxEnds  = 8
)

// Crash names the end of one lifetime of a backend server.
type CrashID uint64

// Report says that a server ended while it ran a request or, where it is Answered, that
// the request was answered by a server though that end was known of it.
type Report struct {
	Head  uint64
	Key   ident.Key
	Crash CrashID
	// At is when the server ended, by the reader's clock.
	At       time.Time
	Answered bool
}

// ending is an end that a server came to under a request.
type ending struct {
	CrashID
	at       time.Time
	answered bool
}

// request is what is known of one request. It is not changed once it is in a view.
type request struct {
	head uint64
	ends []ending
	// last is the newest end.
	last time.Time
}

// count returns the number of ends that no answer was given to.
func (rq *request) count() (n int) {
	for _, en := range rq.ends {
		if !en.answered {
			n++
		}
	}
	return n
}

// View is what a daemon knows of such requests. It is never changed: Merge returns
// another one. The nil view knows nothing.
type View struct {
	requests map[ident.Key]*request
	// heads has the heads of requests with ends that count.
	heads map[uint64]bool
}

// Suspects reports whether servers may have ended under a request, by its head. It is asked
// for each request: most need no key because of it, and none a head while nothing is known.
func (vw *View) Suspects(r *http.Request) bool {
	return vw != nil && len(vw.heads) > 0 && vw.heads[ident.HeaderHash(r)]
}

// CrashCount returns how many servers a request has ended, as far as is known.
func (vw *View) CrashCount(key ident.Key) int {
	if vw == nil || vw.requests[key] == nil {
		return 0
	}
	return vw.requests[key].count()
}

// Refuses reports whether a request is not to be run. A daemon tries it again later than
// others by its spread.
func (vw *View) Refuses(key ident.Key, now time.Time, spread time.Duration) bool {
	return vw.CrashCount(key) >= RefuseThreshold && now.Sub(vw.requests[key].last) < refuseFor+spread
}

// AnswerReports returns the reports that a request was answered by a server.
func (vw *View) AnswerReports(key ident.Key) []Report {
	list := slices.DeleteFunc(vw.ReportsOf(key), func(re Report) bool { return re.Answered })
	for i := range list {
		list[i].Answered = true
	}
	return list
}

// Counts returns how many requests have ends that count, and how many as many as are not
// run.
func (vw *View) Counts() (suspected, refused int) {
	if vw == nil {
		return 0, 0
	}
	for _, rq := range vw.requests {
		if n := rq.count(); n > 0 {
			suspected++
			if n >= RefuseThreshold {
				refused++
			}
		}
	}
	return suspected, refused
}

// Reports returns what a daemon that knows nothing has to be told: of those requests
// under which most servers ended, up to most of them.
func (vw *View) Reports(most int) []Report {
	if vw == nil {
		return nil
	}
	var list []Report
	for _, key := range vw.worst() {
		if most > 0 && vw.CrashCount(key) > 0 {
			most--
			list = append(list, vw.ReportsOf(key)...)
		}
	}
	return list
}

// ReportsOf returns all reports of a request that are known.
func (vw *View) ReportsOf(key ident.Key) []Report {
	if vw == nil || vw.requests[key] == nil {
		return nil
	}
	rq := vw.requests[key]
	var list []Report
	for _, en := range rq.ends {
		list = append(list, Report{Head: rq.head, Key: key, Crash: en.CrashID, At: en.at, Answered: en.answered})
	}
	return list
}

// worst returns all requests, those with the most and the newest ends first.
func (vw *View) worst() []ident.Key {
	return slices.SortedFunc(maps.Keys(vw.requests), func(a, b ident.Key) int {
		ra, rb := vw.requests[a], vw.requests[b]
		return cmp.Or(cmp.Compare(rb.count(), ra.count()), rb.last.Compare(ra.last), cmp.Compare(a, b))
	})
}

// Merge returns the view with the reports in it, and those that were news.
func (vw *View) Merge(list []Report, now time.Time) (next *View, news []Report) {
	next = &View{requests: map[ident.Key]*request{}, heads: map[uint64]bool{}}
	if vw != nil {
		maps.Copy(next.requests, vw.requests)
	}
	for _, re := range list {
		if now.Sub(re.At) >= keepFor {
			continue
		}
		re.At = earlier(re.At, now)
		if rq := next.requests[re.Key].with(re); rq != nil {
			next.requests[re.Key] = rq
			news = append(news, re)
		}
	}
	if len(news) == 0 {
		return vw, nil
	}
	next.trim(now)
	return next, news
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// with returns the request with one more report of it, nil where that is no news. Of a
// full list the oldest end makes room for a newer one only, so that reports which go
// round do not displace each other for ever.
func (rq *request) with(re Report) *request {
	next := request{head: re.Head, last: re.At}
	if rq != nil {
		next = *rq
	}
	next.ends = slices.Clone(next.ends)
	at := slices.IndexFunc(next.ends, func(en ending) bool { return en.CrashID == re.Crash })
	switch {
	case at >= 0 && (next.ends[at].answered || !re.Answered):
		return nil
	case at >= 0:
		next.ends[at].answered = true
		return &next
	case len(next.ends) == maxEnds:
		if !next.ends[0].at.Before(re.At) {
			return nil
		}
		next.ends = next.ends[1:]
	}
	next.ends = append(next.ends, ending{CrashID: re.Crash, at: re.At, answered: re.Answered})
	slices.SortFunc(next.ends, func(a, b ending) int { return a.at.Compare(b.at) })
	next.last = next.ends[len(next.ends)-1].at
	return &next
}

// trim forgets requests whose last end is long ago and, of too many, those with the
// fewest and the oldest ends.
func (vw *View) trim(now time.Time) {
	maps.DeleteFunc(vw.requests, func(_ ident.Key, rq *request) bool { return now.Sub(rq.last) >= keepFor })
	if len(vw.requests) > maxCases {
		for _, key := range vw.worst()[maxCases:] {
			delete(vw.requests, key)
		}
	}
	for _, rq := range vw.requests {
		if rq.count() > 0 {
			vw.heads[rq.head] = true
		}
	}
}
