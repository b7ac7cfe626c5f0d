package pick

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/steady"
)

// The times and shares that picking goes by.
const (
	// loadReportTTL is how long a reported load counts; it fades over that time.
	loadReportTTL = time.Second
	// slownessDecay is the time without an answer after which a server is taken to be twice as
	// fast as it was, so that one whose last answers were slow is tried again.
	slownessDecay = 5 * time.Second
	// unresponsiveAfter is how long a server with requests may answer nothing before
	// others are preferred to it. A frozen process accepts connections and
	// requests; only its lack of answers shows it.
	unresponsiveAfter = time.Second
	// minEject and maxEject bound how long a failing server is left out.
	minEject = time.Second
	maxEject = 30 * time.Second
	// shedEjection is how long a server that shed a request is left out.
	shedEjection = 500 * time.Millisecond
	// ejectFailureRate is the share of failures, in 1/one, above which a server is
	// left out; one outcome weighs 1/8.
	fixedOne         = 1 << 16
	ejectFailureRate = fixedOne * 6 / 10
	// minSlowStartShare is the least part of its share that a new server gets.
	minSlowStartShare = 0.05
	// coldSlowdown is how many times as long a server takes that says it is cold.
	coldSlowdown = 2
	// defaultServiceTime is the time for which servers are taken to hold a slot while
	// none of them has answered.
	defaultServiceTime = 100 * time.Millisecond
)

// Endpoint is a backend server as one outlet sees it. Its counters are shared
// by all tables that hold it.
type Endpoint struct {
	VM, Domain, Inlet string
	// Process names the process of the VM's daemon.
	Process string
	Slots   int
	// Since is when it began to serve, SlowStart for how long its share grows.
	Since     time.Time
	SlowStart time.Duration
	// ColdUntil is until when it is slow after its start.
	ColdUntil time.Time
	// Suspect marks one that may be out of reach.
	Suspect bool
	// Software is the version of its software, empty where it does not tell.
	Software string

	live *liveState
}

// live is what changes with each request.
type liveState struct {
	running         atomic.Int32
	reported        atomic.Uint64 // load, mean service in ms and time in ms: 16, 16 and 32 bits
	runningAtReport atomic.Int32  // running at the time of the report
	lastResponse    atomic.Int64  // time of the last answer, or of the first request since idle
	failureRate     atomic.Int32  // weighted share of failures, in 1/one
	ejected         atomic.Int64  // until when it is left out
	ejections       atomic.Int32  // how often in a row it was left out
	unreachable     atomic.Bool   // no connection can be made, which is tried again beside requests
	slowness        atomic.Uint64 // bits of the time of its answers against typical ones, 0 for unknown
	measurements    atomic.Int32  // how many answers made it
	reportedWaits   atomic.Uint64 // reported waits in ms by rank, 16 bits each
	linkFreeAt      atomic.Int64  // when the VM's link will have sent what waits
}

// NewEndpoint returns an endpoint without a past.
func NewEndpoint(ep Endpoint) *Endpoint {
	ep.live = &liveState{}
	return &ep
}

// WithFields returns an endpoint with the fields of next and the counters of ep.
func (ep *Endpoint) WithFields(next Endpoint) *Endpoint {
	next.live = ep.live
	return &next
}

// Running returns how many requests this outlet has there.
func (ep *Endpoint) Running() int { return int(ep.live.running.Load()) }

// Begin counts a request as sent.
func (ep *Endpoint) Begin(now time.Time) {
	if ep.live.running.Add(1) == 1 {
		ep.live.lastResponse.Store(steady.Nanos(now))
	}
}

// Verdict is what an attempt tells of the server.
type Verdict int

// The verdicts.
const (
	// Good is an answer.
	Good Verdict = iota
	// Busy is a refusal for want of room, which is no fault.
	Busy
	// Shed is a refusal by the server itself, whose slots may look free.
	Shed
	// Bad is a failure, or an answer that the server failed.
	Bad
	// Unreachable means that no connection could be made.
	Unreachable
)

// End counts a request as ended.
func (ep *Endpoint) End(now time.Time, vd Verdict, gp *Group) {
	ep.live.running.Add(-1)
	if vd != Unreachable {
		ep.live.lastResponse.Store(steady.Nanos(now))
		ep.live.unreachable.Store(false)
	}
	switch vd {
	case Unreachable:
		// No connection: the daemon or its VM is gone, and no request was lost
		// to find out. It is left out at once.
		ep.eject(now)
		ep.live.unreachable.Store(true)
	case Shed:
		// It has few requests and would draw more and more of them.
		ep.recordOutcome(fixedOne)
		if gp.mayEject(ep, now) {
			ep.live.ejected.Store(steady.Nanos(now.Add(shedEjection)))
		}
	case Bad:
		if ep.recordOutcome(fixedOne) > ejectFailureRate && gp.mayEject(ep, now) {
			ep.eject(now)
		}
	default:
		if ep.recordOutcome(0) < fixedOne/4 {
			ep.live.ejections.Store(0)
		}
	}
}

// The measure of a server's speed.
const (
	// slownessWeight is how many answers make it. With few, the one of equal servers that
	// was lucky draws more than its share.
	slownessWeight = 32
	// initialWeight is how many answers a server is taken to have given as the others do
	// before its first one. Without it, one that is slow by chance with its first
	// answer gets nothing for seconds.
	initialWeight = 4
	// maxSlowness bounds what one answer counts: one of a long tail says little of the
	// server.
	maxSlowness = 4
)

// Measured takes the time for which an answer held a slot, and what is typical of its
// route over all servers. A mean time of the server alone would tell what it was asked
// rather than how fast it is: one that has run short calls looks faster than another
// that has run long records, and draws what all outlets send.
func (ep *Endpoint) Measured(serviceTime, typical time.Duration) {
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

// serviceTime returns for how long a request that takes others as long as typical is
// expected to hold a slot. A server of which nothing is known is taken to be like the
// others; were it taken to be slow, it would never show.
func (ep *Endpoint) serviceTime(now time.Time, typical time.Duration) time.Duration {
	slowness := math.Float64frombits(ep.live.slowness.Load())
	if slowness == 0 {
		if now.Before(ep.ColdUntil) {
			return coldSlowdown * typical
		}
		return typical
	}
	idle := max(0, float64(steady.Nanos(now)-ep.live.lastResponse.Load())) / float64(slownessDecay)
	return time.Duration(float64(typical) * slowness / (1 + idle))
}

// recordOutcome adds an outcome to the share of failures and returns it.
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
	ep.live.ejected.Store(steady.Nanos(now.Add(duration)))
	// Once it is back, a few failures leave it out again.
	ep.live.failureRate.Store(ejectFailureRate * 3 / 4)
}

// Out reports whether the server is left out for its failures.
func (ep *Endpoint) Out(now time.Time) bool { return ep.live.ejected.Load() > steady.Nanos(now) }

// KeepOut prolongs the time for which an unreachable server is left out.
func (ep *Endpoint) KeepOut(now time.Time) { ep.live.ejected.Store(steady.Nanos(now.Add(minEject))) }

// Return ends the time for which an unreachable server is left out, once a
// connection was made again.
func (ep *Endpoint) Return() {
	ep.live.unreachable.Store(false)
	ep.live.ejected.Store(0)
}

// failureRate returns the weighted share of failures.
func (ep *Endpoint) failureRate() float64 { return float64(ep.live.failureRate.Load()) / fixedOne }

// SetLoad takes the load that an inlet reported.
func (ep *Endpoint) SetLoad(ld result.Load, now time.Time, gp *Group) {
	gp.meanUse.add(ld)
	ep.live.linkFreeAt.Store(steady.Nanos(now.Add(ld.Backlog)))
	load := uint64(min(ld.Running+ld.Waiting, math.MaxUint16))
	service := uint64(min(ld.Service.Milliseconds(), math.MaxUint16))
	var waits uint64
	for i, wait := range ld.Waits {
		waits |= uint64(min(wait.Milliseconds(), math.MaxUint16)) << (16 * i)
	}
	ep.live.reportedWaits.Store(waits)
	ep.live.runningAtReport.Store(ep.live.running.Load())
	ep.live.reported.Store(load<<48 | service<<32 | uint64(uint32(steady.Millis(now))))
}

// load estimates the requests at the server: those of this outlet for certain,
// those of others as last reported. With age the report gives way to what is
// typical of the service's servers. Were it to fade to nothing, an outlet of many
// servers, which hears of each once a second, would pass by one that has room
// for those of which it knows nothing.
func (ep *Endpoint) load(now time.Time, meanUse float64) float64 {
	own := float64(ep.live.running.Load())
	expected := meanUse * float64(ep.Slots)
	rep := ep.live.reported.Load()
	if rep == 0 {
		return max(own, expected)
	}
	age := time.Duration(uint32(steady.Millis(now))-uint32(rep)) * time.Millisecond
	if age >= loadReportTTL {
		return max(own, expected)
	}
	ownDelta := own - float64(ep.live.runningAtReport.Load())
	faded := float64(age) / float64(loadReportTTL)
	return max(own, (float64(rep>>48)+ownDelta)*(1-faded)+expected*faded)
}

// Believed returns the load that is believed of the server and how old the last
// report is, for the log.
func (ep *Endpoint) Believed(now time.Time) (load float64, age time.Duration) {
	rep := ep.live.reported.Load()
	return ep.load(now, 0), time.Duration(uint32(steady.Millis(now))-uint32(rep)) * time.Millisecond
}

// skipInSlowStart reports whether a new server is to be passed over this time, so that
// its share grows over its slow start.
func (ep *Endpoint) skipInSlowStart(now time.Time, rnd Random) bool {
	age := now.Sub(ep.Since)
	if ep.SlowStart <= 0 || age >= ep.SlowStart {
		return false
	}
	// It has the fewest requests and wins nearly whenever it is compared, so its
	// chance rises with the square of its age.
	share := float64(age) / float64(ep.SlowStart)
	return float64(rnd(shareResolution)) >= max(minSlowStartShare, share*share)*shareResolution
}

// shareResolution is how finely a share is drawn.
const shareResolution = 1000

// cost is the time after which an answer is expected, were the request sent
// here: the wait for a slot, and the time for which it is held. Servers of one
// service differ in speed by more than two, so their free slots do not tell
// which of them answers first. A server that fails part of its requests is
// taken to need them again, and one that is nearly full to slow down.
func (ep *Endpoint) cost(now time.Time, cr *Want, meanUse float64) time.Duration {
	slots := float64(max(1, ep.Slots))
	load := ep.load(now, meanUse)
	serviceTime := float64(ep.serviceTime(now, cr.Held))
	use := min(1, load/slots)
	cost := waitWeight*ep.wait(now, cr.Rank, load, serviceTime) + serviceTime*(1+fullSlowdown*use)
	cost *= 1 + failureWeight*ep.failureRate()
	if ep.live.running.Load() > 0 && steady.Nanos(now)-ep.live.lastResponse.Load() > int64(unresponsiveAfter) {
		cost += float64(unresponsiveCost)
	}
	return time.Duration(cost)
}

// wait estimates the wait for a slot: what the inlet said last, and what this outlet
// has sent since then. With age that gives way to what the load tells.
func (ep *Endpoint) wait(now time.Time, rank int, load, serviceTime float64) float64 {
	slots := float64(max(1, ep.Slots))
	byLoad := max(0, load+1-slots) * serviceTime / slots
	rep := ep.live.reported.Load()
	age := time.Duration(uint32(steady.Millis(now))-uint32(rep)) * time.Millisecond
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

// linkWait returns how long the VM's link has to send before it is free for an
// answer of size bytes. Small answers go before the others.
func (ep *Endpoint) linkWait(now time.Time, size int64) time.Duration {
	if !Large(size) {
		return 0
	}
	return max(0, time.Duration(ep.live.linkFreeAt.Load()-steady.Nanos(now)))
}

// Large reports whether an answer that is expected to have size bytes is large, so
// that it waits for links.
func Large(size int64) bool { return size > largeResponse }

const (
	// largeResponse is the size above which an answer waits for the link, in bytes:
	// what inlets take for a small one, and its head.
	largeResponse = 10 << 10
	// fullSlowdown is the part by which a server with all slots in use is taken
	// to be slower than an idle one. It also spreads requests over servers of
	// equal speed.
	fullSlowdown = 0.5
	// waitWeight is how many times its length a wait counts: others come before
	// it is over, and an inlet that expects a long one refuses.
	waitWeight = 3
	// failureWeight is how many times its cost a server counts besides that fails
	// everything.
	failureWeight = 4
	// unresponsiveCost ranks a server that seems stuck behind all others.
	unresponsiveCost = 100 * time.Second
)
