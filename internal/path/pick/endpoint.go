package pick

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/mono"
)

// The parameters of the load estimate, ejection and slow start.
const (
	// loadReportTTL is the age at which a load report is ignored. Its weight declines linearly
	// until then.
	loadReportTTL = time.Second
	// slownessDecay is the time without a response after which a server is assumed to be twice as
	// fast as measured, so that a server whose last responses were slow is tried again.
	slownessDecay = 5 * time.Second
	// unresponsiveAfter is how long a server with running requests may send no response before
	// others are preferred. A frozen process still accepts connections and requests and can be
	// detected only by its missing responses.
	unresponsiveAfter = time.Second
	// minEject and maxEject bound how long a failing server is ejected.
	minEject = time.Second
	maxEject = 30 * time.Second
	// shedEjection is how long a server that shed a request is ejected.
	shedEjection = 500 * time.Millisecond
	// ejectFailureRate is the failure rate above which a server is ejected, as a fixed-point number
	// in units of 1/fixedOne. Each outcome has a weight of 1/8.
	fixedOne         = 1 << 16
	ejectFailureRate = fixedOne * 6 / 10
	// minSlowStartShare is the minimum share of its regular requests that a new server gets.
	minSlowStartShare = 0.05
	// coldSlowdown is the factor by which a server that reports itself cold is assumed to be
	// slower.
	coldSlowdown = 2
	// defaultServiceTime is the assumed service time until a server has responded.
	defaultServiceTime = 100 * time.Millisecond
)

// Endpoint is a backend server as seen by one outlet. All tables that contain it share its
// counters.
type Endpoint struct {
	VM, Domain, Inlet string
	// Process is the name of the process of the VM's daemon.
	Process string
	Slots   int
	// Since is when the server began to serve, SlowStart how long its share of requests grows
	// afterwards.
	Since     time.Time
	SlowStart time.Duration
	// ColdUntil is when the server stops being slow after its start.
	ColdUntil time.Time
	// Suspect is set if the server may be unreachable.
	Suspect bool
	// Software is the version of the server's software, empty if it reports none.
	Software string

	live *liveState
}

// liveState holds the counters that are updated with each request.
type liveState struct {
	running         atomic.Int32
	reported        atomic.Uint64 // load, mean service time in ms, time in ms: 16, 16 and 32 bits
	runningAtReport atomic.Int32  // running at the time of the report
	lastResponse    atomic.Int64  // time of the last response, or of the first request since idle
	failureRate     atomic.Int32  // weighted failure rate, in units of 1/fixedOne
	ejected         atomic.Int64  // time until which the server is ejected
	ejections       atomic.Int32  // consecutive ejections
	unreachable     atomic.Bool   // connecting failed; the server is probed separately from requests
	slowness        atomic.Uint64 // float64 bits of service time/typical service time, 0 if unknown
	measurements    atomic.Int32  // number of responses in slowness
	reportedWaits   atomic.Uint64 // reported waits by rank in ms, 16 bits each
	linkFreeAt      atomic.Int64  // time at which the VM's link will have sent its backlog
	// holds keep requests from the server, by rank.
	holds [result.Ranks]hold
	// excluded is set once the server has said that it is leaving.
	excluded atomic.Bool
}

// NewEndpoint returns an endpoint with new counters.
func NewEndpoint(ep Endpoint) *Endpoint {
	ep.live = &liveState{}
	return &ep
}

// WithFields returns an endpoint with the fields of next and the counters of ep.
func (ep *Endpoint) WithFields(next Endpoint) *Endpoint {
	next.live = ep.live
	return &next
}

// Running returns how many requests of this outlet the server is running.
func (ep *Endpoint) Running() int { return int(ep.live.running.Load()) }

// Begin records that a request was sent.
func (ep *Endpoint) Begin(now time.Time) {
	if ep.live.running.Add(1) == 1 {
		ep.live.lastResponse.Store(mono.Nanos(now))
	}
}

// Verdict is what an attempt says about the server.
type Verdict int

// The verdicts.
const (
	// Success is a response.
	Success Verdict = iota
	// Busy is a refusal for lack of capacity, which does not count as a failure.
	Busy
	// Shed is a refusal by the backend server itself, which may have free slots.
	Shed
	// Failure is a failed attempt, or a response that reports a server error.
	Failure
	// Unreachable means that no connection could be made.
	Unreachable
)

// End records that a request ended.
func (ep *Endpoint) End(now time.Time, vd Verdict, gp *Group) {
	ep.live.running.Add(-1)
	if vd != Unreachable {
		ep.live.lastResponse.Store(mono.Nanos(now))
		ep.live.unreachable.Store(false)
	}
	switch vd {
	case Unreachable:
		// The daemon or its VM is down. Since no request was lost to find out, the server is
		// ejected at once, whatever its failure rate.
		ep.eject(now)
		ep.live.unreachable.Store(true)
	case Shed:
		// A server that sheds has few running requests, so it would attract more and more.
		ep.recordOutcome(fixedOne)
		if gp.mayEject(ep, now) {
			ep.live.ejected.Store(mono.Nanos(now.Add(shedEjection)))
		}
	case Failure:
		if ep.recordOutcome(fixedOne) > ejectFailureRate && gp.mayEject(ep, now) {
			ep.eject(now)
		}
	default:
		if ep.recordOutcome(0) < fixedOne/4 {
			ep.live.ejections.Store(0)
		}
	}
}

// The parameters of slowness.
const (
	// slownessWeight is the number of responses that slowness averages. With fewer, chance would
	// give one of several equal servers more than its share of the requests.
	slownessWeight = 32
	// initialWeight is the number of typical responses that a server is assumed to have given
	// before its first one. Without it, a server whose first response is slow by chance gets no
	// requests for seconds.
	initialWeight = 4
	// maxSlowness caps the ratio of a single response: an outlier says little about the server.
	maxSlowness = 4
)

// RecordServiceTime records for how long a request held a slot, relative to what is typical for its
// route over all servers. A plain mean service time would reflect the kind of requests a server has
// run rather than its speed: one that has run short calls would look faster than one that has run
// long record requests, and attract the requests of all outlets.
func (ep *Endpoint) RecordServiceTime(serviceTime, typical time.Duration) {
	if serviceTime <= 0 || typical <= 0 {
		return
	}
	n := float64(min(initialWeight+ep.live.measurements.Add(1), slownessWeight))
	old := math.Float64frombits(ep.live.slowness.Load())
	if old == 0 {
		old = 1
	}
	ratio := min(float64(serviceTime)/float64(typical), maxSlowness)
	ep.live.slowness.Store(math.Float64bits(old + (ratio-old)/n))
}

// serviceTime returns how long a request is expected to hold a slot here if typical is the mean for
// its route. A server without measurements is assumed to be as fast as the others. If it were
// assumed to be slow, it would never be measured.
func (ep *Endpoint) serviceTime(now time.Time, typical time.Duration) time.Duration {
	slowness := math.Float64frombits(ep.live.slowness.Load())
	if slowness == 0 {
		if now.Before(ep.ColdUntil) {
			return coldSlowdown * typical
		}
		return typical
	}
	idle := max(0, float64(mono.Nanos(now)-ep.live.lastResponse.Load())) / float64(slownessDecay)
	return time.Duration(float64(typical) * slowness / (1 + idle))
}

// recordOutcome adds an outcome to the failure rate and returns the new rate.
func (ep *Endpoint) recordOutcome(outcome int32) int32 {
	for {
		old := ep.live.failureRate.Load()
		next := old + (outcome-old)/8
		if ep.live.failureRate.CompareAndSwap(old, next) {
			return next
		}
	}
}

func (ep *Endpoint) eject(now time.Time) {
	ejections := ep.live.ejections.Add(1)
	duration := min(minEject<<min(ejections-1, 6), maxEject)
	ep.live.ejected.Store(mono.Nanos(now.Add(duration)))
	// After the ejection, a few more failures suffice to eject the server again.
	ep.live.failureRate.Store(ejectFailureRate * 3 / 4)
}

// Ejected reports whether the server is ejected.
func (ep *Endpoint) Ejected(now time.Time) bool { return ep.live.ejected.Load() > mono.Nanos(now) }

// EjectAgain prolongs the ejection of an unreachable server.
func (ep *Endpoint) EjectAgain(now time.Time) { ep.live.ejected.Store(mono.Nanos(now.Add(minEject))) }

// Reinstate ends the ejection of an unreachable server after a connection was made.
func (ep *Endpoint) Reinstate() {
	ep.live.unreachable.Store(false)
	ep.live.ejected.Store(0)
}

// failureRate returns the weighted failure rate, 0 to 1.
func (ep *Endpoint) failureRate() float64 { return float64(ep.live.failureRate.Load()) / fixedOne }

// SetLoad records the load reported by an inlet.
func (ep *Endpoint) SetLoad(ld result.Load, now time.Time, gp *Group) {
	gp.meanUse.add(ld)
	ep.live.linkFreeAt.Store(mono.Nanos(now.Add(ld.Backlog)))
	load := uint64(min(ld.Running+ld.Waiting, math.MaxUint16))
	serviceTimeMs := uint64(min(ld.ServiceTime.Milliseconds(), math.MaxUint16))
	var waits uint64
	for i, wait := range ld.Waits {
		waits |= uint64(min(wait.Milliseconds(), math.MaxUint16)) << (16 * i)
	}
	ep.live.reportedWaits.Store(waits)
	ep.live.runningAtReport.Store(ep.live.running.Load())
	ep.live.reported.Store(load<<48 | serviceTimeMs<<32 | uint64(uint32(mono.Millis(now))))
}

// load estimates the number of requests at the server: the current number of this outlet's own,
// plus the others as last reported. As the report ages, the estimate moves to the mean load of the
// service's servers. If it declined to zero instead, an outlet of many servers, which gets a report
// from each once a second, would prefer servers with outdated reports to those known to have free
// slots.
func (ep *Endpoint) load(now time.Time, meanUse float64) float64 {
	own := float64(ep.live.running.Load())
	expected := meanUse * float64(ep.Slots)
	rep := ep.live.reported.Load()
	if rep == 0 {
		return max(own, expected)
	}
	age := time.Duration(uint32(mono.Millis(now))-uint32(rep)) * time.Millisecond
	if age >= loadReportTTL {
		return max(own, expected)
	}
	ownDelta := own - float64(ep.live.runningAtReport.Load())
	faded := float64(age) / float64(loadReportTTL)
	return max(own, (float64(rep>>48)+ownDelta)*(1-faded)+expected*faded)
}

// EstimatedLoad returns the estimated load of the server and the age of its last report, for the
// log.
func (ep *Endpoint) EstimatedLoad(now time.Time) (load float64, age time.Duration) {
	rep := ep.live.reported.Load()
	return ep.load(now, 0), time.Duration(uint32(mono.Millis(now))-uint32(rep)) * time.Millisecond
}

// skipInSlowStart reports whether a new server is passed over this time. It decides at random, so
// that the server's share of requests grows over its slow start.
func (ep *Endpoint) skipInSlowStart(now time.Time, rnd Random) bool {
	age := now.Sub(ep.Since)
	if ep.SlowStart <= 0 || age >= ep.SlowStart {
		return false
	}
	// A new server has the fewest requests and wins most comparisons, so its chance rises with the
	// square of its age.
	share := float64(age) / float64(ep.SlowStart)
	return float64(rnd(shareResolution)) >= max(minSlowStartShare, share*share)*shareResolution
}

// shareResolution is the number of steps in which a share is drawn at random.
const shareResolution = 1000

// cost estimates the time until the response if the request is sent here: the wait for a slot, plus
// the service time. Servers of one service differ in speed by a factor of more than two, so free
// slots alone do not show which one responds first. The cost increases with the failure rate, since
// failed requests have to be sent again, and with the load, since servers slow down when nearly
// full.
func (ep *Endpoint) cost(now time.Time, cr *Criteria, meanUse float64) time.Duration {
	slots := float64(max(1, ep.Slots))
	load := ep.load(now, meanUse)
	serviceTime := float64(ep.serviceTime(now, cr.ServiceTime))
	use := min(1, load/slots)
	cost := waitWeight*ep.wait(now, cr.Rank, load, serviceTime) + serviceTime*(1+fullSlowdown*use)
	cost *= 1 + failureWeight*ep.failureRate()
	if ep.live.running.Load() > 0 && mono.Nanos(now)-ep.live.lastResponse.Load() > int64(unresponsiveAfter) {
		cost += float64(unresponsiveCost)
	}
	return time.Duration(cost)
}

// wait estimates the wait for a slot: what the inlet last reported for the rank, plus the requests
// sent by this outlet since. As the report ages, the estimate moves to one derived from the load.
func (ep *Endpoint) wait(now time.Time, rank int, load, serviceTime float64) float64 {
	slots := float64(max(1, ep.Slots))
	byLoad := max(0, load+1-slots) * serviceTime / slots
	rep := ep.live.reported.Load()
	age := time.Duration(uint32(mono.Millis(now))-uint32(rep)) * time.Millisecond
	if rep == 0 || age >= loadReportTTL {
		return byLoad
	}
	reported := float64(ep.live.reportedWaits.Load()>>(16*rank)&math.MaxUint16) * float64(time.Millisecond)
	ownDelta := float64(ep.live.running.Load() - ep.live.runningAtReport.Load())
	free := max(0, slots-float64(rep>>48))
	excess := max(0, ownDelta-free)
	if free > 0 {
		excess = max(0, ownDelta+1-free)
	}
	faded := float64(age) / float64(loadReportTTL)
	return (reported+excess*serviceTime/slots)*(1-faded) + byLoad*faded
}

// linkWait returns how long the VM's link is busy before it can send a response of size bytes.
// Small responses are sent ahead of the others.
func (ep *Endpoint) linkWait(now time.Time, size int64) time.Duration {
	if !Large(size) {
		return 0
	}
	return max(0, time.Duration(ep.live.linkFreeAt.Load()-mono.Nanos(now)))
}

// Large reports whether a response with an expected size of size bytes counts as large, so that it
// waits for links.
func Large(size int64) bool { return size > largeResponse }

const (
	// largeResponse is the size in bytes, including the header, above which a response waits for
	// the link. Inlets treat responses up to this size as small.
	largeResponse = 10 << 10
	// fullSlowdown is by how much a server with all slots in use is assumed to be slower than an
	// idle one. It also spreads requests over servers of equal speed.
	fullSlowdown = 0.5
	// waitWeight is the factor by which a wait counts more than service time: other requests arrive
	// before it is over, and an inlet that expects a long wait refuses.
	waitWeight = 3
	// failureWeight is the factor of the cost added for a failure rate of 1.
	failureWeight = 4
	// unresponsiveCost ranks a server that appears unresponsive behind all others.
	unresponsiveCost = 100 * time.Second
)
