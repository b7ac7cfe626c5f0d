package judge

import (
	"math"
	"time"

	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// The ramp, in parts of the time that an order gives. Most of it is spent at small shares,
// since a bad version may get a tenth of the requests at most.
const (
	// firstShare goes to the target until watchAt, and watchShare until rampAt.
	firstShare = 0.03
	watchAt    = 0.40
	watchShare = 0.04
	rampAt     = 0.80
	// At full, after a step of rampTime each, all requests go to the target, and the servers
	// before run out of work.
	rampTime = 0.045
	// lastRamp is when the ramp has to have begun, endAt when the rollout ends.
	lastRamp = 0.86
	endAt    = 0.95
	// rampRequests is how many requests the target has to have run before the ramp. A quiet
	// service gets a larger share, up to quietShare, to come to quietRequests.
	rampRequests  = 25
	quietRequests = 40
	quietShare    = 0.3
	// resumeRequests is how many requests a judge that takes over sees before it goes on.
	resumeRequests = 15
	// leastSeen is for how long the requests of a service are counted before that.
	leastSeen = 0.08
	// firstServers is how many servers take the first requests, so that those that are bad by
	// themselves are a few among them.
	firstServers = 12
)

// The evidence against a version, as the logarithm of how many times as likely it is to be
// bad as to be good.
const (
	// rejectAbove ends a rollout at once.
	rejectAbove = 6.0
	// doubtAbove ends a rollout after doubtTime, once the target has run doubtRequests.
	doubtAbove    = 0.0
	doubtRequests = 50
	doubtTime     = 2500 * time.Millisecond
	// acceptBelow is the evidence below which a rollout goes on, and acceptBelowFew that with
	// fewer than fewServers servers of the target: the speeds of some machines may lie as far
	// apart as those of versions.
	acceptBelow    = 0.0
	acceptBelowFew = -1.0
	fewServers     = 5
)

// rampShares are the shares of the steps of the ramp.
var rampShares = []float64{0.2, 0.4, 1}

// Ramp walks a rollout through its stages. The zero value stands at the first.
type Ramp struct {
	// step is the one of the ramp, from 1 on, and since when it lasts.
	step  int
	since time.Duration
	// resumed is set until the first decision of a ramp that goes on elsewhere. Its last step
	// begins once the target has run resumeFor requests in all.
	resumed   bool
	resumeFor uint64
	// doubted is since when the evidence has raised doubts, if doubts is set.
	doubted time.Duration
	doubts  bool
}

// Resume returns the ramp of a rollout in which the target gets a share already: another
// daemon has decided on it until now. The step is taken to have lasted long enough. What spoke
// against it is not known, so the last one waits until the target has run resumeRequests more.
func Resume(share float64) Ramp {
	ra := Ramp{}
	for i, one := range rampShares {
		// Shares come in thousandths.
		if share >= one-0.001 {
			ra = Ramp{step: i + 1, resumed: true}
		}
	}
	return ra
}

// Step returns what is to be done some time after the order.
func (ra *Ramp) Step(elapsed time.Duration, ju *Judge) Decision {
	part := float64(elapsed) / float64(ju.duration)
	if ra.resumed {
		ra.resumeFor, ra.resumed = ju.requests+resumeRequests, false
	}
	targets, others, running := ju.count()
	de := Decision{State: canary.InProgress, Requests: ju.requests}
	if ra.step > 0 {
		de.Servers = targets
	} else {
		de.Servers = max(firstServers, int(math.Ceil(2*watchShare*float64(targets))))
	}
	var compared bool
	de.Evidence, de.Cause, compared = ju.against()
	accepted := compared && (de.Evidence < acceptBelowFew || de.Evidence < acceptBelow && targets >= fewServers)
	switch {
	case de.Evidence >= rejectAbove, ra.doubt(elapsed, compared && de.Evidence >= doubtAbove) >= doubtTime && ju.requests >= doubtRequests:
		de.State = canary.RolledBack
		return de
	case part >= lastRamp && ra.step == 0, part >= endAt && ra.step < len(rampShares):
		// It is not known to be good, and cannot be in time any more.
		de.State = canary.RolledBack
		return de
	case targets == 0:
		return de
	}
	if accepted {
		ra.climb(elapsed, part, ju)
	}
	if ra.step == 0 {
		de.Share = ju.watchShare(part)
		return de
	}
	de.Share = rampShares[ra.step-1]
	if de.Share < 1 {
		// As many servers as have the load of the others then.
		de.Servers = max(1, int(math.Ceil(de.Share*float64(max(targets, others)))))
		return de
	}
	accepted = accepted && ju.requests >= ra.resumeFor
	idle := running == 0 && others > 0 && part >= rampAt+float64(len(rampShares))*rampTime
	switch {
	case part >= endAt && !accepted:
		de.State = canary.RolledBack
	case part >= endAt, idle && accepted:
		de.State = canary.Complete
	}
	return de
}

// doubt returns for how long the evidence has raised doubts.
func (ra *Ramp) doubt(elapsed time.Duration, doubted bool) time.Duration {
	if !doubted {
		ra.doubts = false
		return 0
	}
	if !ra.doubts {
		ra.doubts, ra.doubted = true, elapsed
	}
	return elapsed - ra.doubted
}

// climb goes on to the next step of the ramp once it is time.
func (ra *Ramp) climb(elapsed time.Duration, part float64, ju *Judge) {
	stepTime := time.Duration(rampTime * float64(ju.duration))
	switch {
	case ra.step == 0 && part >= rampAt && ju.requests >= rampRequests:
	case ra.step == len(rampShares)-1 && ju.requests < ra.resumeFor:
		return
	case ra.step > 0 && ra.step < len(rampShares) && elapsed-ra.since >= stepTime:
	default:
		return
	}
	ra.step++
	ra.since = elapsed
}

// watchShare returns the share before the ramp. A quiet service gets a larger one, so that
// the target runs enough requests until then.
func (ju *Judge) watchShare(part float64) float64 {
	share := firstShare
	if part >= watchAt {
		share = watchShare
	}
	seen := part - float64(ju.first)/float64(ju.duration)
	if seen < leastSeen || ju.all == 0 {
		return share
	}
	all := float64(ju.all) / seen
	return max(share, min(quietShare, quietRequests/(all*(rampAt-leastSeen))))
}
