package tally

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// PerDoubling is how many units of logarithm a doubling of a service time is.
const PerDoubling = 16

// Counts counts the requests of one route. Only its methods and those of Counter change it.
type Counts struct {
	Requests, Failures uint64
	// Timed counts the requests whose service time is known, the time for which they held
	// a slot. Logs adds up the logarithms of these times from a microsecond on, and
	// Squares their squares, so that rows of several moments can be added and subtracted.
	Timed, LogSum, LogSquareSum uint64
}

// Add adds the counts of other.
func (ro *Counts) Add(other *Counts) {
	ro.Requests += other.Requests
	ro.Failures += other.Failures
	ro.Timed += other.Timed
	ro.LogSum += other.LogSum
	ro.LogSquareSum += other.LogSquareSum
}

// Since returns what was counted after an earlier state of the row. It reports whether that
// was an earlier state: the counts of a process that was replaced begin anew.
func (ro *Counts) Since(before *Counts) (Counts, bool) {
	next := Counts{
		Requests: ro.Requests - before.Requests, Failures: ro.Failures - before.Failures,
		Timed: ro.Timed - before.Timed, LogSum: ro.LogSum - before.LogSum, LogSquareSum: ro.LogSquareSum - before.LogSquareSum,
	}
	ok := ro.Requests >= before.Requests && ro.Failures >= before.Failures &&
		ro.Timed >= before.Timed && ro.LogSum >= before.LogSum && ro.LogSquareSum >= before.LogSquareSum
	return next, ok
}

// Scaled returns the row as if it had so many requests, if it has more.
func (ro *Counts) Scaled(requests uint64) Counts {
	if ro.Requests <= requests {
		return *ro
	}
	part := float64(requests) / float64(ro.Requests)
	scale := func(n uint64) uint64 { return uint64(math.Round(part * float64(n))) }
	next := Counts{Requests: requests, Failures: scale(ro.Failures), Timed: scale(ro.Timed)}
	if ro.Timed > 0 {
		// By the rounded number, so that the mean stays.
		part = float64(next.Timed) / float64(ro.Timed)
		next.LogSum, next.LogSquareSum = scale(ro.LogSum), scale(ro.LogSquareSum)
	}
	return next
}

// Log returns the logarithm of a service time in units of Row.Logs.
func Log(held time.Duration) uint64 {
	us := max(1, held.Microseconds())
	return uint64(math.Round(PerDoubling * math.Log2(float64(us))))
}

// Counter counts the requests of one start of a backend server. The zero value is ready
// for use; its methods may be called from any goroutine.
type Counter struct {
	routes sync.Map // of *cells by the name of the route
}

type cells struct {
	requests, failures, timed, logs, squares atomic.Uint64
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
		lg := Log(held)
		ce.timed.Add(1)
		ce.logs.Add(lg)
		ce.squares.Add(lg * lg)
	}
}

// Snapshot returns the counts by route.
func (co *Counter) Snapshot() map[string]*Counts {
	rows := map[string]*Counts{}
	co.routes.Range(func(key, value any) bool {
		ce := value.(*cells)
		rows[key.(string)] = &Counts{
			Requests: ce.requests.Load(), Failures: ce.failures.Load(),
			Timed: ce.timed.Load(), LogSum: ce.logs.Load(), LogSquareSum: ce.squares.Load(),
		}
		return true
	})
	return rows
}

// Cohort is what one server of a software version did, or several as one.
type Cohort struct {
	// VM is the server's VM.
	VM string
	// Servers is how many there are, Running how many requests they run at the moment.
	Servers, Running int
	Routes           map[string]*Counts
}

// Cohorts is what the servers of a service in one failure domain did, by software version.
type Cohorts map[string][]*Cohort

// Add adds a cohort of a version.
func (su Cohorts) Add(software string, ch *Cohort) { su[software] = append(su[software], ch) }
