package tally

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// UnitsPerDoubling is the number of logarithm units in a doubling of a service time.
const UnitsPerDoubling = 16

// Counts has the counts of one route. Only its methods and those of Counter change it.
type Counts struct {
	Requests, Failures uint64
	// Timed counts the requests whose service time is known: the time for which they held a slot.
	// LogSum is the sum of the logarithms of these times (see LogUnits), and LogSquareSum that of
	// their squares, so that counts of several moments can be added and subtracted.
	Timed, LogSum, LogSquareSum uint64
}

// Add adds the counts of other.
func (ct *Counts) Add(other *Counts) {
	ct.Requests += other.Requests
	ct.Failures += other.Failures
	ct.Timed += other.Timed
	ct.LogSum += other.LogSum
	ct.LogSquareSum += other.LogSquareSum
}

// Since returns the difference to an earlier state of the counts. It reports false if before is not
// an earlier state: the counts of a replaced process start again at zero.
func (ct *Counts) Since(before *Counts) (Counts, bool) {
	delta := Counts{
		Requests: ct.Requests - before.Requests, Failures: ct.Failures - before.Failures,
		Timed: ct.Timed - before.Timed, LogSum: ct.LogSum - before.LogSum, LogSquareSum: ct.LogSquareSum - before.LogSquareSum,
	}
	ok := ct.Requests >= before.Requests && ct.Failures >= before.Failures &&
		ct.Timed >= before.Timed && ct.LogSum >= before.LogSum && ct.LogSquareSum >= before.LogSquareSum
	return delta, ok
}

// ScaledTo returns the counts scaled down to the given number of requests, if there are more.
func (ct *Counts) ScaledTo(requests uint64) Counts {
	if ct.Requests <= requests {
		return *ct
	}
	factor := float64(requests) / float64(ct.Requests)
	scale := func(n uint64) uint64 { return uint64(math.Round(factor * float64(n))) }
	scaled := Counts{Requests: requests, Failures: scale(ct.Failures), Timed: scale(ct.Timed)}
	if ct.Timed > 0 {
		// Scaled by the rounded number of times, so that their mean stays the same.
		factor = float64(scaled.Timed) / float64(ct.Timed)
		scaled.LogSum, scaled.LogSquareSum = scale(ct.LogSum), scale(ct.LogSquareSum)
	}
	return scaled
}

// LogUnits returns the logarithm of a service time in microseconds, in units of 1/UnitsPerDoubling
// of a doubling; 0 for times of up to a microsecond.
func LogUnits(serviceTime time.Duration) uint64 {
	us := max(1, serviceTime.Microseconds())
	return uint64(math.Round(UnitsPerDoubling * math.Log2(float64(us))))
}

// Counter counts the requests of one process of a backend server. The zero value is ready for use;
// its methods may be called from any goroutine.
type Counter struct {
	routes sync.Map // of *atomicCounts by route
}

type atomicCounts struct {
	requests, failures, timed, logs, squares atomic.Uint64
}

// Add counts a request that ended. A service time of 0 is not counted.
func (co *Counter) Add(route string, failed bool, serviceTime time.Duration) {
	v, ok := co.routes.Load(route)
	if !ok {
		v, _ = co.routes.LoadOrStore(route, &atomicCounts{})
	}
	ac := v.(*atomicCounts)
	ac.requests.Add(1)
	if failed {
		ac.failures.Add(1)
	}
	if serviceTime > 0 {
		lg := LogUnits(serviceTime)
		ac.timed.Add(1)
		ac.logs.Add(lg)
		ac.squares.Add(lg * lg)
	}
}

// Snapshot returns the current counts by route.
func (co *Counter) Snapshot() map[string]*Counts {
	rows := map[string]*Counts{}
	co.routes.Range(func(key, value any) bool {
		ac := value.(*atomicCounts)
		rows[key.(string)] = &Counts{
			Requests: ac.requests.Load(), Failures: ac.failures.Load(),
			Timed: ac.timed.Load(), LogSum: ac.logs.Load(), LogSquareSum: ac.squares.Load(),
		}
		return true
	})
	return rows
}

// Cohort has the counts of one server of a software version, or those of several together.
type Cohort struct {
	// VM is the server's VM.
	VM string
	// Servers is the number of servers, Running the number of requests that they are running.
	Servers, Running int
	Routes           map[string]*Counts
}

// Cohorts has the counts of a service's servers in one failure domain, by software version.
type Cohorts map[string][]*Cohort

// Add adds a cohort of a version.
func (cs Cohorts) Add(software string, ch *Cohort) { cs[software] = append(cs[software], ch) }
