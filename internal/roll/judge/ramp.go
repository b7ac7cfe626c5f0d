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
	// leastSeen is for how long the requests of a service are counted before that.
	leastSeen = 0.08
	// fewServers is how many servers take the first requests at least, so that one slow
	// machine says little.
	fewServers = 4
)

// rampShares are the shares of the steps of the ramp.
var rampShares = []float64{0.2, 0.4, 1}

// Ramp walks a rollout through its stages. The zero value stands at the first.
type Ramp struct {
	// step is the one of the ramp, from 1 on, and since when it lasts.
	step  int
	since time.Duration
}

// Resume returns the ramp of a rollout in which the target gets a share already: another
// daemon has decided on it until now. The step is taken to have lasted long enough.
func Resume(share float64) Ramp {
	ra := Ramp{}
	for i, one := range rampShares {
		// Shares come in thousandths.
		if share >= one-0.001 {
			ra = Ramp{step: i + 1}
		}
	}
	return ra
}

func exp2(x float64) float64 { return math.Exp2(x) }

// Step returns what is to be done some time after the order.
func (ra *Ramp) Step(elapsed time.Duration, ju *Judge) Decision {
	part := float64(elapsed) / float64(ju.duration)
	targets, others, running := ju.count()
	de := Decision{State: canary.InProgress, Requests: ju.requests}
	if ra.step > 0 {
		de.Servers = targets
	} else {
		de.Servers = max(fewServers, int(math.Ceil(2*watchShare*float64(targets))))
	}
	de.Against = ju.against(targets)
	switch {
	case de.Against >= alarm:
		de.State = canary.RolledBack
		return de
	case part >= lastRamp && ra.step == 0, part >= endAt && ra.step < len(rampShares):
		// It is not known to be good, and cannot be in time any more.
		de.State = canary.RolledBack
		return de
	case targets == 0:
		return de
	}
	ra.climb(elapsed, part, de.Against, ju)
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
	idle := running == 0 && others > 0 && part >= rampAt+float64(len(rampShares))*rampTime
	switch {
	case part >= endAt && de.Against >= quiet:
		de.State = canary.RolledBack
	case part >= endAt, idle && de.Against < quiet:
		de.State = canary.Complete
	}
	return de
}

// climb goes on to the next step of the ramp once nothing speaks against it.
func (ra *Ramp) climb(elapsed time.Duration, part, against float64, ju *Judge) {
	if against >= quiet {
		return
	}
	stepTime := time.Duration(rampTime * float64(ju.duration))
	switch {
	case ra.step == 0 && part >= rampAt && ju.requests >= rampRequests:
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
