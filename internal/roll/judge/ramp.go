package judge

import (
	"math"
	"time"

	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// The ramp, in parts of the time that an order gives. Most of it is spent at small shares,
// since a bad version may get a tenth of the requests at most.
const (
	// initialShare goes to the target until canaryAt, and preRampShare until rampAt.
	initialShare = 0.03
	canaryAt     = 0.40
	canaryShare  = 0.04
	rampAt       = 0.80
	// At full, after a step of rampStepTime each, all requests go to the target, and the servers
	// before run out of work.
	rampStepTime = 0.045
	// rampDeadline is when the ramp has to have begun, decisionDeadline when the rollout ends.
	rampDeadline     = 0.86
	decisionDeadline = 0.95
	// minRampRequests is how many requests the target has to have run before the ramp. A quiet
	// service gets a larger share, up to maxLowTrafficShare, to come to lowTrafficRequests.
	minRampRequests    = 25
	lowTrafficRequests = 40
	maxLowTrafficShare = 0.3
	// resumeRequests is how many requests a judge that takes over sees before it goes on.
	resumeRequests = 15
	// minObserved is for how long the requests of a service are counted before that.
	minObserved = 0.08
	// initialServers is how many servers take the first requests, so that those that are bad by
	// themselves are a few among them.
	initialServers = 12
)

// The evidence against a version, as the logarithm of how many times as likely it is to be
// bad as to be good.
const (
	// rejectAbove ends a rollout at once.
	rejectAbove = 6.0
	// suspectAbove ends a rollout after maxSuspectTime, once the target has run minSuspectRequests.
	suspectAbove       = 0.0
	minSuspectRequests = 50
	maxSuspectTime     = 2500 * time.Millisecond
	// acceptBelow is the evidence below which a rollout goes on, and acceptBelowFewServers that with
	// fewer than fewServers servers of the target: the speeds of some machines may lie as far
	// apart as those of versions.
	acceptBelow           = 0.0
	acceptBelowFewServers = -1.0
	fewServers            = 5
)

// rampShares are the shares of the steps of the ramp.
var rampShares = []float64{0.2, 0.4, 1}

// Ramp walks a rollout through its stages. The zero value stands at the first.
type Ramp struct {
	// step is the one of the ramp, from 1 on, and since when it lasts.
	step      int
	stepStart time.Duration
	// resumed is set until the first decision of a ramp that goes on elsewhere. Its last step
	// begins once the target has run resumeAfter requests in all.
	resumed     bool
	resumeAfter uint64
	// suspectSince is since when the evidence has raised doubts, if doubts is set.
	suspectSince time.Duration
	suspected    bool
}

// Resume returns the ramp of a rollout in which the target gets a share already: another
// daemon has decided on it until now. The step is taken to have lasted long enough. What spoke
// against it is not known, so the last one waits until the target has run resumeRequests more.
func Resume(share float64) Ramp {
	ra := Ramp{}
	for i, rampShare := range rampShares {
		// Shares come in thousandths.
		if share >= rampShare-0.001 {
			ra = Ramp{step: i + 1, resumed: true}
		}
	}
	return ra
}

// Step returns what is to be done some time after the order.
func (ra *Ramp) Step(elapsed time.Duration, ju *Judge) Decision {
	progress := float64(elapsed) / float64(ju.duration)
	if ra.resumed {
		ra.resumeAfter, ra.resumed = ju.targetRequests+resumeRequests, false
	}
	targets, baseline, running := ju.countServers()
	de := Decision{State: canary.InProgress, Requests: ju.targetRequests}
	if ra.step > 0 {
		de.Servers = targets
	} else {
		de.Servers = max(initialServers, int(math.Ceil(2*canaryShare*float64(targets))))
	}
	var compared bool
	de.Against, de.Cause, compared = ju.strongestEvidence()
	accepted := compared && (de.Against < acceptBelowFewServers || de.Against < acceptBelow && targets >= fewServers)
	switch {
	case de.Against >= rejectAbove, ra.suspectTime(elapsed, compared && de.Against >= suspectAbove) >= maxSuspectTime && ju.targetRequests >= minSuspectRequests:
		de.State = canary.RolledBack
		return de
	case progress >= rampDeadline && ra.step == 0, progress >= decisionDeadline && ra.step < len(rampShares):
		// It is not known to be good, and cannot be in time any more.
		de.State = canary.RolledBack
		return de
	case targets == 0:
		return de
	}
	if accepted {
		ra.advance(elapsed, progress, ju)
	}
	if ra.step == 0 {
		de.Share = ju.preRampShare(progress)
		return de
	}
	de.Share = rampShares[ra.step-1]
	if de.Share < 1 {
		// As many servers as have the load of the others then.
		de.Servers = max(1, int(math.Ceil(de.Share*float64(max(targets, baseline)))))
		return de
	}
	accepted = accepted && ju.targetRequests >= ra.resumeAfter
	idle := running == 0 && baseline > 0 && progress >= rampAt+float64(len(rampShares))*rampStepTime
	switch {
	case progress >= decisionDeadline && !accepted:
		de.State = canary.RolledBack
	case progress >= decisionDeadline, idle && accepted:
		de.State = canary.Complete
	}
	return de
}

// suspectTime returns for how long the evidence has raised doubts.
func (ra *Ramp) suspectTime(elapsed time.Duration, suspected bool) time.Duration {
	if !suspected {
		ra.suspected = false
		return 0
	}
	if !ra.suspected {
		ra.suspected, ra.suspectSince = true, elapsed
	}
	return elapsed - ra.suspectSince
}

// advance goes on to the next step of the ramp once it is time.
func (ra *Ramp) advance(elapsed time.Duration, progress float64, ju *Judge) {
	stepTime := time.Duration(rampStepTime * float64(ju.duration))
	switch {
	case ra.step == 0 && progress >= rampAt && ju.targetRequests >= minRampRequests:
	case ra.step == len(rampShares)-1 && ju.targetRequests < ra.resumeAfter:
		return
	case ra.step > 0 && ra.step < len(rampShares) && elapsed-ra.stepStart >= stepTime:
	default:
		return
	}
	ra.step++
	ra.stepStart = elapsed
}

// preRampShare returns the share before the ramp. A quiet service gets a larger one, so that
// the target runs enough requests until then.
func (ju *Judge) preRampShare(progress float64) float64 {
	share := initialShare
	if progress >= canaryAt {
		share = canaryShare
	}
	observed := progress - float64(ju.firstObserved)/float64(ju.duration)
	if observed < minObserved || ju.totalRequests == 0 {
		return share
	}
	expectedRequests := float64(ju.totalRequests) / observed
	return max(share, min(maxLowTrafficShare, lowTrafficRequests/(expectedRequests*(rampAt-minObserved))))
}
