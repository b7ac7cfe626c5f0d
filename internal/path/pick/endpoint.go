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
	// loadAge is how long a reported load counts; it fades over that time.
	loadAge = time.Second
	// slowAge is the time without an answer after which a server is taken to be twice as
	// fast as it was, so that one whose last answers were slow is tried again.
	slowAge = 5 * time.Second
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
	// guessHeld is the time for which servers are taken to hold a slot while
	// none of them has answered.
	guessHeld = 100 * time.Millisecond
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
	// Software is the version of its software, empty where it does not tell.
	Software string

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
	cut      atomic.Bool   // no connection can be made, which is tried again beside requests
	speed    atomic.Uint64 // bits of the time of its answers against typical ones, 0 for unknown
	measured atomic.Int32  // how many answers made it
	waits    atomic.Uint64 // reported waits in ms by rank, 16 bits each
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
		ep.live.answered.Store(steady.Nanos(now))
	}
}

// Verdict is what an attempt tells of the server.
type Verdict int

// The verdicts.
const (
	// Success is an answer.
	Success Verdict = iota
	// Busy is a refusal for want of room, which is no fault.
	Busy
	// Shed is a refusal by the server itself, whose slots may look free.
	Shed
	// Failure is a failure, or an answer that the server failed.
	Failure
	// Unreachable means that no connection could be made.
	Unreachable
)

// End counts a request as ended.
func (ep *Endpoint) End(now time.Time, vd Verdict, gp *Group) {
	ep.live.running.Add(-1)
	if vd != Unreachable {
		ep.live.answered.Store(steady.Nanos(now))
		ep.live.cut.Store(false)
	}
	switch vd {
	case Unreachable:
		// No connection: the daemon or its VM is gone, and no request was lost
		// to find out. It is left out at once.
		ep.eject(now)
		ep.live.cut.Store(true)
	case Shed:
		// It has few requests and would draw more and more of them.
		ep.weigh(one)
		if gp.mayEject(ep, now) {
			ep.live.ejected.Store(steady.Nanos(now.Add(shedRest)))
		}
	case Failure:
		if ep.weigh(one) > failShare && gp.mayEject(ep, now) {
			ep.eject(now)
		}
	default:
		if ep.weigh(0) < one/4 {
			ep.live.times.Store(0)
		}
	}
}

// The measure of a server's speed.
const (
	// speedWeight is how many answers make it. With few, the one of equal servers that
	// was lucky draws more than its share.
	speedWeight = 32
	// firstWeight is how many answers a server is taken to have given as the others do
	// before its first one. Without it, one that is slow by chance with its first
	// answer gets nothing for seconds.
	firstWeight = 4
	// mostSpeed bounds what one answer counts: one of a long tail says little of the
	// server.
	mostSpeed = 4
)

// RecordServiceTime takes the time for which an answer held a slot, and what is typical of its
// route over all servers. A mean time of the server alone would tell what it was asked
// rather than how fast it is: one that has run short calls looks faster than another
// that has run long records, and draws what all outlets send.
func (ep *Endpoint) RecordServiceTime(held, typical time.Duration) {
	if held <= 0 || typical <= 0 {
		return
	}
	n := float64(min(firstWeight+ep.live.measured.Add(1), speedWeight))
	old := math.Float64frombits(ep.live.speed.Load())
	if old == 0 {
		old = 1
	}
	now := min(float64(held)/float64(typical), mostSpeed)
	ep.live.speed.Store(math.Float64bits(old + (now-old)/n))
}

// held returns for how long a request that takes others as long as typical is
// expected to hold a slot. A server of which nothing is known is taken to be like the
// others; were it taken to be slow, it would never show.
func (ep *Endpoint) held(now time.Time, typical time.Duration) time.Duration {
	speed := math.Float64frombits(ep.live.speed.Load())
	if speed == 0 {
		if now.Before(ep.ColdUntil) {
			return coldFactor * typical
		}
		return typical
	}
	idle := max(0, float64(steady.Nanos(now)-ep.live.answered.Load())) / float64(slowAge)
	return time.Duration(float64(typical) * speed / (1 + idle))
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
	ep.live.ejected.Store(steady.Nanos(now.Add(rest)))
	// Once it is back, a few failures leave it out again.
	ep.live.failing.Store(failShare * 3 / 4)
}

// Ejected reports whether the server is left out for its failures.
func (ep *Endpoint) Ejected(now time.Time) bool { return ep.live.ejected.Load() > steady.Nanos(now) }

// EjectAgain prolongs the time for which an unreachable server is left out.
func (ep *Endpoint) EjectAgain(now time.Time) {
	ep.live.ejected.Store(steady.Nanos(now.Add(firstEject)))
}

// Reinstate ends the time for which an unreachable server is left out, once a
// connection was made again.
func (ep *Endpoint) Reinstate() {
	ep.live.cut.Store(false)
	ep.live.ejected.Store(0)
}

// failShareNow returns the weighted share of failures.
func (ep *Endpoint) failShareNow() float64 { return float64(ep.live.failing.Load()) / one }

// SetLoad takes the load that an inlet reported.
func (ep *Endpoint) SetLoad(ld result.Load, now time.Time, gp *Group) {
	gp.typical.add(ld)
	ep.live.linkFree.Store(steady.Nanos(now.Add(ld.Backlog)))
	load := uint64(min(ld.Running+ld.Waiting, math.MaxUint16))
	service := uint64(min(ld.ServiceTime.Milliseconds(), math.MaxUint16))
	var waits uint64
	for i, wait := range ld.Waits {
		waits |= uint64(min(wait.Milliseconds(), math.MaxUint16)) << (16 * i)
	}
	ep.live.waits.Store(waits)
	ep.live.ownThen.Store(ep.live.running.Load())
	ep.live.reported.Store(load<<48 | service<<32 | uint64(uint32(steady.Millis(now))))
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
	age := time.Duration(uint32(steady.Millis(now))-uint32(rep)) * time.Millisecond
	if age >= loadAge {
		return max(own, usual)
	}
	since := own - float64(ep.live.ownThen.Load())
	old := float64(age) / float64(loadAge)
	return max(own, (float64(rep>>48)+since)*(1-old)+usual*old)
}

// EstimatedLoad returns the load that is believed of the server and how old the last
// report is, for the log.
func (ep *Endpoint) EstimatedLoad(now time.Time) (load float64, age time.Duration) {
	rep := ep.live.reported.Load()
	return ep.load(now, 0), time.Duration(uint32(steady.Millis(now))-uint32(rep)) * time.Millisecond
}

// starting reports whether a new server is to be passed over this time, so that
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
// taken to need them again, and one that is nearly full to slow down.
func (ep *Endpoint) cost(now time.Time, wa *Criteria, typical float64) time.Duration {
	slots := float64(max(1, ep.Slots))
	load := ep.load(now, typical)
	held := float64(ep.held(now, wa.ServiceTime))
	use := min(1, load/slots)
	cost := waitWeight*ep.wait(now, wa.Rank, load, held) + held*(1+fullSlowdown*use)
	cost *= 1 + failWeight*ep.failShareNow()
	if ep.live.running.Load() > 0 && steady.Nanos(now)-ep.live.answered.Load() > int64(stuckAfter) {
		cost += float64(stuckCost)
	}
	return time.Duration(cost)
}

// wait estimates the wait for a slot: what the inlet said last, and what this outlet
// has sent since then. With age that gives way to what the load tells.
func (ep *Endpoint) wait(now time.Time, rank int, load, held float64) float64 {
	slots := float64(max(1, ep.Slots))
	byLoad := max(0, load+1-slots) * held / slots
	rep := ep.live.reported.Load()
	age := time.Duration(uint32(steady.Millis(now))-uint32(rep)) * time.Millisecond
	if rep == 0 || age >= loadAge {
		return byLoad
	}
	told := float64(ep.live.waits.Load()>>(16*rank)&math.MaxUint16) * float64(time.Millisecond)
	since := float64(ep.live.running.Load() - ep.live.ownThen.Load())
	free := max(0, slots-float64(rep>>48))
	over := max(0, since-free)
	if free > 0 {
		over = max(0, since+1-free)
	}
	old := float64(age) / float64(loadAge)
	return (told+over*held/slots)*(1-old) + byLoad*old
}

// linkWait returns how long the VM's link has to send before it is free for an
// answer of size bytes. Small answers go before the others.
func (ep *Endpoint) linkWait(now time.Time, size int64) time.Duration {
	if !Large(size) {
		return 0
	}
	return max(0, time.Duration(ep.live.linkFree.Load()-steady.Nanos(now)))
}

// Large reports whether an answer that is expected to have size bytes is large, so
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
