package judge

import (
	"math"
	"time"

	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// The stages of a rollout. Times are fractions of the duration of the order. Most of it is spent at
// small shares, since a bad version may get at most a tenth of the requests.
const (
	// The target gets initialShare until canaryAt, and canaryShare until rampAt.
	initialShare = 0.03
	canaryAt     = 0.40
	canaryShare  = 0.04
	rampAt       = 0.80
	// rampStepTime is the length of each step of the ramp. In the last one all requests go to the
	// target, and the baseline servers finish theirs.
	rampStepTime = 0.045
	// rampDeadline is when the ramp has to have begun, decisionDeadline when the rollout ends.
	rampDeadline     = 0.86
	decisionDeadline = 0.95
	// minRampRequests is how many requests the target has to have served before the ramp. If the
	// service has little traffic, the target gets a larger share, up to maxLowTrafficShare, so that
	// it serves about lowTrafficRequests by then.
	minRampRequests    = 25
	lowTrafficRequests = 40
	maxLowTrafficShare = 0.3
	// resumeRequests is how many requests of the target a judge that takes over has to observe
	// before the last step.
	resumeRequests = 15
	// minObserved is how long the traffic of a service is measured before the share is raised.
	minObserved = 0.08
	// initialServers is the least number of target servers that get the first requests, so that
	// individually bad ones are a minority among them.
	initialServers = 12
)

// Thresholds of the evidence against the target, a log Bayes factor.
const (
	// rejectAbove ends a rollout at once.
	rejectAbove = 6.0
	// suspectAbove ends a rollout once the evidence has stayed at or above it for maxSuspectTime
	// and the target has served minSuspectRequests.
	suspectAbove       = 0.0
	minSuspectRequests = 50
	maxSuspectTime     = 2500 * time.Millisecond
	// acceptBelow is the evidence below which the ramp advances. With fewer than fewServers target
	// servers it is acceptBelowFewServers: the speeds of a few machines may differ as much as those
	// of versions.
	acceptBelow           = 0.0
	acceptBelowFewServers = -1.0
	fewServers            = 5
)

// rampShares are the target's shares in the steps of the ramp.
var rampShares = []float64{0.2, 0.4, 1}

// Ramp takes a rollout through its stages. The zero value is at the first one.
type Ramp struct {
	// step is the number of the current step of the ramp, 0 before the ramp, and stepStart when
	// that step began.
	step      int
	stepStart time.Duration
	// resumed is set from Resume until the next call of Step, which sets resumeAfter: the last step
	// begins once the target has served that many requests in all.
	resumed     bool
	resumeAfter uint64
	// suspectSince is since when the evidence has been at least suspectAbove, if suspected is
	// set.
	suspectSince time.Duration
	suspected    bool
}

// Resume returns the ramp of a rollout that another daemon has decided on until now and in which
// the target already gets a share. The current step counts as having lasted long enough. The
// evidence that the other daemon had is not known, so the last step waits until the target has
// served resumeRequests more.
func Resume(share float64) Ramp {
	ra := Ramp{}
	for i, rampShare := range rampShares {
		// Shares are sent in thousandths.
		if share >= rampShare-0.001 {
			ra = Ramp{step: i + 1, resumed: true}
		}
	}
	return ra
}

// Step returns the decision at a time after the rollout order.
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
	de.Evidence, de.Cause, compared = ju.strongestEvidence()
	accepted := compared && (de.Evidence < acceptBelowFewServers || de.Evidence < acceptBelow && targets >= fewServers)
	switch {
	case de.Evidence >= rejectAbove, ra.suspectTime(elapsed, compared && de.Evidence >= suspectAbove) >= maxSuspectTime && ju.targetRequests >= minSuspectRequests:
		de.State = canary.RolledBack
		return de
	case progress >= rampDeadline && ra.step == 0, progress >= decisionDeadline && ra.step < len(rampShares):
		// The target is not known to be good, and there is not enough time left to find out.
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
		// Enough servers for each to carry the load that a baseline server carries.
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

// suspectTime returns for how long the evidence has been at least suspectAbove.
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

// advance moves on to the next step of the ramp when it is due.
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

// preRampShare returns the share before the ramp. With little traffic it is larger, so that the
// target serves enough requests before the ramp.
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
