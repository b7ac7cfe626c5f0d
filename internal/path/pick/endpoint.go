package pick

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// The times and shares that picking goes by.
const (
	// loadAge is how long a reported load counts; it fades over that time.
	loadAge = time.Second
	// latencyAge is the time after which a latency counts half.
	latencyAge = 5 * time.Second
	// stuckAfter is how long a server with requests may answer nothing before
	// others are preferred to it. A frozen process accepts connections and
	// requests; only its lack of answers shows it.
	stuckAfter = time.Second
	// firstEject and mostEject bound how long a failing server is left out.
	firstEject = time.Second
	mostEject  = 30 * time.Second
	// shedRest is how long a server that shed a request is left out.
	shedRest = 500 * time.Millisecond
	// failShare is the share of failures, in 1/one, above which a server is
	// left out; one outcome weighs 1/8.
	one       = 1 << 16
	failShare = one * 6 / 10
	// startShare is the least part of its share that a new server gets.
	startShare = 0.05
	// coldFactor is how many times as long a server takes that says it is cold.
	coldFactor = 2
	// guessService is the time for which servers are taken to hold a slot while
	// none of them has answered.
	guessService = 100 * time.Millisecond
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
	// Weak marks one that may be out of reach.
	Weak bool

	live *live
}

// live is what changes with each request.
type live struct {
	running  atomic.Int32
	reported atomic.Uint64 // load, mean service in ms and time in ms: 16, 16 and 32 bits
	ownThen  atomic.Int32  // running at the time of the report
	answered atomic.Int64  // time of the last answer, or of the first request since idle
	failing  atomic.Int32  // weighted share of failures, in 1/one
	ejected  atomic.Int64  // until when it is left out
	times    atomic.Int32  // how often in a row it was left out
	latency  atomic.Int64  // weighted mean time of an answer, 0 for unknown
	linkFree atomic.Int64  // when the VM's link will have sent what waits
}

// NewEndpoint returns an endpoint without a past.
func NewEndpoint(ep Endpoint) *Endpoint {
	ep.live = &live{}
	return &ep
}

// With returns an endpoint with the fields of next and the counters of ep.
func (ep *Endpoint) With(next Endpoint) *Endpoint {
	next.live = ep.live
	return &next
}

// Running returns how many requests this outlet has there.
func (ep *Endpoint) Running() int { return int(ep.live.running.Load()) }

// Begin counts a request as sent.
func (ep *Endpoint) Begin(now time.Time) {
	if ep.live.running.Add(1) == 1 {
		ep.live.answered.Store(now.UnixNano())
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

// End counts a request as ended that took as long as took.
func (ep *Endpoint) End(now time.Time, vd Verdict, took time.Duration, gp *Group) {
	ep.live.running.Add(-1)
	if vd != Unreachable {
		ep.live.answered.Store(now.UnixNano())
	}
	switch vd {
	case Unreachable:
		// No connection: the daemon or its VM is gone, and no request was lost
		// to find out. It is left out at once.
		ep.eject(now)
	case Shed:
		// It has few requests and would draw more and more of them.
		ep.weigh(one)
		if gp.mayEject(ep, now) {
			ep.live.ejected.Store(now.Add(shedRest).UnixNano())
		}
	case Bad:
		if ep.weigh(one) > failShare && gp.mayEject(ep, now) {
			ep.eject(now)
		}
	case Good:
		ep.setLatency(took)
		fallthrough
	default:
		if ep.weigh(0) < one/4 {
			ep.live.times.Store(0)
		}
	}
}

// setLatency adds the time of an answer to the mean.
func (ep *Endpoint) setLatency(took time.Duration) {
	old := ep.live.latency.Load()
	if old == 0 {
		old = int64(took)
	}
	ep.live.latency.Store(old + (int64(took)-old)/8)
}

// expectedLatency returns the mean time of an answer, which fades while the
// server answers nothing, so that one that was slow is tried again; 0 for a
// server that is not known.
func (ep *Endpoint) expectedLatency(now time.Time) float64 {
	lat := float64(ep.live.latency.Load())
	idle := float64(now.UnixNano() - ep.live.answered.Load())
	return lat / (1 + max(0, idle)/float64(latencyAge))
}

// weigh adds an outcome to the share of failures and returns it.
func (ep *Endpoint) weigh(outcome int32) int32 {
	for {
		old := ep.live.failing.Load()
		next := old + (outcome-old)/8
		if ep.live.failing.CompareAndSwap(old, next) {
			return next
		}
	}
}

func (ep *Endpoint) eject(now time.Time) {
	times := ep.live.times.Add(1)
	rest := min(firstEject<<min(times-1, 6), mostEject)
	ep.live.ejected.Store(now.Add(rest).UnixNano())
	// Once it is back, a few failures leave it out again.
	ep.live.failing.Store(failShare * 3 / 4)
}

// Out tells whether the server is left out for its failures.
func (ep *Endpoint) Out(now time.Time) bool { return ep.live.ejected.Load() > now.UnixNano() }

// KeepOut prolongs the time for which an unreachable server is left out.
func (ep *Endpoint) KeepOut(now time.Time) { ep.live.ejected.Store(now.Add(firstEject).UnixNano()) }

// Return ends the time for which an unreachable server is left out, once a
// connection was made again.
func (ep *Endpoint) Return() { ep.live.ejected.Store(0) }

// failShareNow returns the weighted share of failures.
func (ep *Endpoint) failShareNow() float64 { return float64(ep.live.failing.Load()) / one }

// SetLoad takes the load that an inlet reported.
func (ep *Endpoint) SetLoad(ld result.Load, now time.Time, gp *Group) {
	gp.typical.add(ld)
	ep.live.linkFree.Store(now.Add(ld.Backlog).UnixNano())
	load := uint64(min(ld.Running+ld.Waiting, math.MaxUint16))
	service := uint64(min(ld.Service.Milliseconds(), math.MaxUint16))
	ep.live.ownThen.Store(ep.live.running.Load())
	ep.live.reported.Store(load<<48 | service<<32 | uint64(uint32(now.UnixMilli())))
}

// load estimates the requests at the server: those of this outlet for certain,
// those of others as last reported. With age the report gives way to what is
// typical of the service's servers. Were it to fade to nothing, an outlet of many
// servers, which hears of each once a second, would pass by one that has room
// for those of which it knows nothing.
func (ep *Endpoint) load(now time.Time, typical float64) float64 {
	own := float64(ep.live.running.Load())
	usual := typical * float64(ep.Slots)
	rep := ep.live.reported.Load()
	if rep == 0 {
		return max(own, usual)
	}
	age := time.Duration(uint32(now.UnixMilli())-uint32(rep)) * time.Millisecond
	if age >= loadAge {
		return max(own, usual)
	}
	since := own - float64(ep.live.ownThen.Load())
	old := float64(age) / float64(loadAge)
	return max(own, (float64(rep>>48)+since)*(1-old)+usual*old)
}

// Believed returns the load that is believed of the server and how old the last
// report is, for the log.
func (ep *Endpoint) Believed(now time.Time) (load float64, age time.Duration) {
	rep := ep.live.reported.Load()
	return ep.load(now, 0), time.Duration(uint32(now.UnixMilli())-uint32(rep)) * time.Millisecond
}

// service returns the time for which the server holds a slot: as its inlet
// measures it, else as its answers took; 0 while neither tells. What is old
// fades, so that a server of which the last was bad is tried again.
func (ep *Endpoint) service(now time.Time) time.Duration {
	rep := ep.live.reported.Load()
	if ms := rep >> 32 & math.MaxUint16; ms > 0 {
		age := time.Duration(uint32(now.UnixMilli())-uint32(rep)) * time.Millisecond
		return time.Duration(float64(ms) * float64(time.Millisecond) / (1 + float64(age)/float64(latencyAge)))
	}
	return time.Duration(ep.expectedLatency(now))
}

// starting tells whether a new server is to be passed over this time, so that
// its share grows over its slow start.
func (ep *Endpoint) starting(now time.Time, rnd Random) bool {
	age := now.Sub(ep.Since)
	if ep.SlowStart <= 0 || age >= ep.SlowStart {
		return false
	}
	// It has the fewest requests and wins nearly whenever it is compared, so its
	// chance rises with the square of its age.
	share := float64(age) / float64(ep.SlowStart)
	return float64(rnd(shareSteps)) >= max(startShare, share*share)*shareSteps
}

// shareSteps is how finely a share is drawn.
const shareSteps = 1000

// cost is the time after which an answer is expected, were the request sent
// here: the wait for a slot, and the time for which it is held. Servers of one
// service differ in speed by more than two, so their free slots do not tell
// which of them answers first. A server that fails part of its requests is
// taken to need them again, and one that is nearly full to slow down. A server
// of which nothing is known is taken to be like the others, which hold a slot
// for the time others; were it taken to be slow, it would never show.
func (ep *Endpoint) cost(now time.Time, others time.Duration, typical float64) time.Duration {
	slots := float64(max(1, ep.Slots))
	load := ep.load(now, typical)
	service := float64(ep.service(now))
	if service == 0 {
		service = float64(others)
		if now.Before(ep.ColdUntil) {
			service *= coldFactor
		}
	}
	wait := max(0, load+1-slots) * service / slots
	use := min(1, load/slots)
	cost := waitWeight*wait + service*(1+fullSlowdown*use)
	cost *= 1 + failWeight*ep.failShareNow()
	if ep.live.running.Load() > 0 && now.UnixNano()-ep.live.answered.Load() > int64(stuckAfter) {
		cost += float64(stuckCost)
	}
	return time.Duration(cost)
}

// linkWait returns how long the VM's link has to send before it is free for an
// answer of size bytes. Small answers go before the others.
func (ep *Endpoint) linkWait(now time.Time, size int64) time.Duration {
	if !Large(size) {
		return 0
	}
	return max(0, time.Duration(ep.live.linkFree.Load()-now.UnixNano()))
}

// Large tells whether an answer that is expected to have size bytes is large, so
// that it waits for links.
func Large(size int64) bool { return size > largeAnswer }

const (
	// largeAnswer is the size above which an answer waits for the link, in bytes:
	// what inlets take for a small one, and its head.
	largeAnswer = 10 << 10
	// fullSlowdown is the part by which a server with all slots in use is taken
	// to be slower than an idle one. It also spreads requests over servers of
	// equal speed.
	fullSlowdown = 0.5
	// waitWeight is how many times its length a wait counts: others come before
	// it is over, and an inlet that expects a long one refuses.
	waitWeight = 3
	// failWeight is how many times its cost a server counts besides that fails
	// everything.
	failWeight = 4
	// stuckCost ranks a server that seems stuck behind all others.
	stuckCost = 100 * time.Second
)
