package tally

import (
	"math"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

// Buckets is how many buckets of service time are counted, two for each doubling from a
// millisecond on.
const Buckets = 28

// Row counts the requests of one route. Only its methods and those of Counter change it.
type Row struct {
	Requests, Failures uint64
	// Held counts the requests by the time for which they held a slot, in buckets. Those
	// of a server that is slow after its start are left out.
	Held [Buckets]uint64
}

// Add adds the counts of other.
func (ro *Row) Add(other *Row) {
	ro.Requests += other.Requests
	ro.Failures += other.Failures
	for i, n := range other.Held {
		ro.Held[i] += n
	}
}

// Since returns what was counted after an earlier state of the row. It reports whether that
// was an earlier state: the counts of a process that was replaced begin anew.
func (ro *Row) Since(before *Row) (Row, bool) {
	next := Row{Requests: ro.Requests - before.Requests, Failures: ro.Failures - before.Failures}
	ok := ro.Requests >= before.Requests && ro.Failures >= before.Failures
	for i, n := range ro.Held {
		next.Held[i] = n - before.Held[i]
		ok = ok && n >= before.Held[i]
	}
	return next, ok
}

// Bucket returns the bucket of a service time.
func Bucket(held time.Duration) int {
	us := uint64(max(0, held.Microseconds()))
	// In units of 1/1024 ms, so that the bit length counts doublings from a millisecond.
	n := bits.Len64(us >> 10)
	if n == 0 {
		return 0
	}
	low := uint64(1) << (9 + n)
	at := 2*n - 1
	if float64(us) >= float64(low)*math.Sqrt2 {
		at++
	}
	return min(at, Buckets-1)
}

// Counter counts the requests of one start of a backend server. The zero value is ready
// for use; its methods may be called from any goroutine.
type Counter struct {
	routes sync.Map // of *cells by the name of the route
}

type cells struct {
	requests, failures atomic.Uint64
	held               [Buckets]atomic.Uint64
}

// Add counts a request that ended. A held time of 0 is not counted.
func (co *Counter) Add(route string, failed bool, held time.Duration) {
	v, ok := co.routes.Load(route)
	if !ok {
		v, _ = co.routes.LoadOrStore(route, &cells{})
	}
	ce := v.(*cells)
	ce.requests.Add(1)
	if failed {
		ce.failures.Add(1)
	}
	if held > 0 {
		ce.held[Bucket(held)].Add(1)
	}
}

// Rows returns the counts by route.
func (co *Counter) Rows() map[string]*Row {
	rows := map[string]*Row{}
	co.routes.Range(func(key, value any) bool {
		ce := value.(*cells)
		ro := &Row{Requests: ce.requests.Load(), Failures: ce.failures.Load()}
		for i := range ce.held {
			ro.Held[i] = ce.held[i].Load()
		}
		rows[key.(string)] = ro
		return true
	})
	return rows
}

// Cohort is what servers of one software version did.
type Cohort struct {
	// Servers is how many there are, Running how many requests they run at the moment.
	Servers, Running int
	Routes           map[string]*Row
}

// Add adds the counts of other.
func (ch *Cohort) Add(other *Cohort) {
	ch.Servers += other.Servers
	ch.Running += other.Running
	if ch.Routes == nil {
		ch.Routes = map[string]*Row{}
	}
	for route, ro := range other.Routes {
		if ch.Routes[route] == nil {
			ch.Routes[route] = &Row{}
		}
		ch.Routes[route].Add(ro)
	}
}

// Sum is what the servers of a service in one failure domain did, by software version.
type Sum map[string]*Cohort

// Add adds a cohort of a version.
func (su Sum) Add(software string, ch *Cohort) {
	if su[software] == nil {
		su[software] = &Cohort{}
	}
	su[software].Add(ch)
}
