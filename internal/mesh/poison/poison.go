package poison

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/ident"
)

// When requests are refused.
const (
	// RefuseThreshold is the number of crashes, over all servers, from which a request is
	// refused.
	RefuseThreshold = 3
	// IsolateThreshold is the number of crashes from which a request is not run concurrently
	// with another such request: if the server crashes again, the cause is known.
	IsolateThreshold = 2
	// refusePeriod is how long after its last crash a request is refused. Then it is tried
	// again, as a new version of the servers may have fixed the fault. One more crash starts
	// the period again.
	refusePeriod = 10 * time.Minute
	// RetryJitter is the interval over which daemons spread their retries after refusePeriod,
	// so that the first one can report the result to the others.
	RetryJitter = time.Minute
	// retention is how long after its last crash a request is remembered.
	retention = time.Hour
	// crashSpan is the time within which crashes of several servers are one incident. Servers that
	// crash together may have a common cause, whatever they were running.
	crashSpan = time.Second
	// trialDelay is how long after an incident a refused request may be tried on one server. It exceeds
	// crashSpan and the time in which all daemons learn of a crash. After each further incident it is
	// longer by trialBackoff.
	trialDelay   = 10 * time.Second
	trialBackoff = 5
)

// Limits on what is remembered. Without them, servers that all crash repeatedly, each time with
// all requests that they run, would fill the memory of the daemons.
const (
	// maxRequests is the number of requests, maxCrashes the number of crashes of each.
	maxRequests = 1024
	maxCrashes  = 8
)

// CrashID identifies the crash of one process of a backend server.
type CrashID uint64

// Report states that a server crashed while it was running a request or, if Answered is set,
// that a server answered the request after that crash was known.
type Report struct {
	Head  uint64
	Key   ident.Key
	Crash CrashID
	// At is when the server crashed, by the clock of this daemon.
	At       time.Time
	Answered bool
}

// crash is a crash of a server that was running the request.
type crash struct {
	CrashID
	at       time.Time
	answered bool
}

// request is what is known of one request. It is immutable once it is part of a view.
type request struct {
	head    uint64
	crashes []crash
	// last is the time of the newest crash.
	last time.Time
}

// crashCount returns the number of crashes that no later answer has cleared.
func (rq *request) crashCount() (n int) {
	for _, cr := range rq.crashes {
		if !cr.answered {
			n++
		}
	}
	return n
}

// View is an immutable set of suspected requests; Merge returns a new one. The nil View is
// empty.
type View struct {
	requests map[ident.Key]*request
	// suspectHeads holds the heads of requests with crashes that count.
	suspectHeads map[uint64]bool
}

// Suspects reports whether servers may have crashed while running a request, judging by its
// head alone. It is called for every request and saves computing the key of most requests, and
// the head as well while no request is suspected.
func (vw *View) Suspects(r *http.Request) bool {
	return vw != nil && len(vw.suspectHeads) > 0 && vw.suspectHeads[ident.HeaderHash(r)]
}

// CrashCount returns how many crashes count against a request.
func (vw *View) CrashCount(key ident.Key) int {
	if vw == nil || vw.requests[key] == nil {
		return 0
	}
	return vw.requests[key].crashCount()
}

// Refuses reports whether a request is to be refused. The jitter of the daemon prolongs
// refusePeriod.
func (vw *View) Refuses(key ident.Key, now time.Time, jitter time.Duration) bool {
	return vw.CrashCount(key) >= RefuseThreshold && now.Sub(vw.requests[key].last) < refusePeriod+jitter
}

// incidents returns the number of incidents among the crashes that no later answer has cleared.
func (rq *request) incidents() (n int) {
	var began time.Time
	for _, cr := range rq.crashes {
		if !cr.answered && (n == 0 || cr.at.Sub(began) > crashSpan) {
			n++
			began = cr.at
		}
	}
	return n
}

// MayTry reports whether a refused request may be tried on one server, since it crashed servers in
// fewer incidents than RefuseThreshold. An answer clears it; a crash is one more incident.
func (vw *View) MayTry(key ident.Key, now time.Time) bool {
	if vw.CrashCount(key) < RefuseThreshold {
		return false
	}
	rq := vw.requests[key]
	n := rq.incidents()
	delay := trialDelay
	for range n - 1 {
		delay *= trialBackoff
	}
	return n < RefuseThreshold && now.Sub(rq.last) >= delay
}

// AnswerReports returns the reports to publish after a server answered a request: one for each
// known crash that no answer has cleared yet.
func (vw *View) AnswerReports(key ident.Key) []Report {
	list := slices.DeleteFunc(vw.ReportsOf(key), func(re Report) bool { return re.Answered })
	for i := range list {
		list[i].Answered = true
	}
	return list
}

// Counts returns the number of requests with crashes that count, and the number of those that
// have reached RefuseThreshold.
func (vw *View) Counts() (suspected, refused int) {
	if vw == nil {
		return 0, 0
	}
	for _, rq := range vw.requests {
		if n := rq.crashCount(); n > 0 {
			suspected++
			if n >= RefuseThreshold {
				refused++
			}
		}
	}
	return suspected, refused
}

// Reports returns the reports to send to a daemon that has just started. They are limited to
// the given number of requests, those with the most crashes first.
func (vw *View) Reports(limit int) []Report {
	if vw == nil {
		return nil
	}
	var list []Report
	for _, key := range vw.byCrashCount() {
		if limit > 0 && vw.CrashCount(key) > 0 {
			limit--
			list = append(list, vw.ReportsOf(key)...)
		}
	}
	return list
}

// ReportsOf returns all known reports of a request.
func (vw *View) ReportsOf(key ident.Key) []Report {
	if vw == nil || vw.requests[key] == nil {
		return nil
	}
	rq := vw.requests[key]
	var list []Report
	for _, cr := range rq.crashes {
		list = append(list, Report{Head: rq.head, Key: key, Crash: cr.CrashID, At: cr.at, Answered: cr.answered})
	}
	return list
}

// byCrashCount returns the keys of all requests, those with the most and the newest crashes
// first.
func (vw *View) byCrashCount() []ident.Key {
	return slices.SortedFunc(maps.Keys(vw.requests), func(a, b ident.Key) int {
		ra, rb := vw.requests[a], vw.requests[b]
		return cmp.Or(cmp.Compare(rb.crashCount(), ra.crashCount()), rb.last.Compare(ra.last), cmp.Compare(a, b))
	})
}

// Merge returns a view that includes the reports, and the list of those that were not known
// yet. It returns vw itself if all were.
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

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// withReport returns a copy of the request with one more report, or nil if the report adds
// nothing. In a full list only a newer crash replaces the oldest one. Otherwise reports that
// circulate between daemons would displace each other forever.
func (rq *request) withReport(re Report) *request {
	next := request{head: re.Head, last: re.At}
	if rq != nil {
		next = *rq
	}
	next.crashes = slices.Clone(next.crashes)
	at := slices.IndexFunc(next.crashes, func(cr crash) bool { return cr.CrashID == re.Crash })
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
	next.crashes = append(next.crashes, crash{CrashID: re.Crash, at: re.At, answered: re.Answered})
	slices.SortFunc(next.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	next.last = next.crashes[len(next.crashes)-1].at
	return &next
}

// trim drops requests whose last crash is older than retention and, beyond maxRequests, those
// with the fewest and the oldest crashes. It also rebuilds suspectHeads.
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
