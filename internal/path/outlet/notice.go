package outlet

import (
	"net/http"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// readNotice records what an inlet's response to a request sent at sentAt says of the inlet's
// server.
func (rq *request) readNotice(ep *pick.Endpoint, res *http.Response, sentAt time.Time) {
	now := time.Now()
	if text := res.Header.Get(result.ServerHeader); text != "" {
		if en := rq.ou.notices.Hear(ep.VM, text, now); en != nil && en.Leaving {
			ep.Exclude()
		}
		return
	}
	// A refusal does not come from the server, and a new process beside it may know nothing yet.
	if res.Header.Get(result.OutcomeHeader) != "" {
		return
	}
	// While the rate of a server without a limit is raised step by step, it is held back although no
	// notice is known.
	if rq.ou.notices.Lift(ep.VM, sentAt, now) || rq.ou.notices.Get(ep.VM) == nil {
		ep.ReleaseHold()
	}
}

// turnSpacing returns the time between two requests of this outlet to a server with a rate limit if all
// outlets send as many, 0 if unknown.
func (rq *request) turnSpacing(ep *pick.Endpoint) time.Duration {
	en := rq.ou.notices.Get(ep.VM)
	if en == nil || !en.Limited || en.Limit <= 0 {
		return 0
	}
	seconds := float64(rq.ou.Table().Outlets) / en.Limit
	return time.Duration(min(seconds, maxTurnSpacing.Seconds()) * float64(time.Second))
}

// maxTurnSpacing bounds the time between two turns, so that very low limits do not overflow.
const maxTurnSpacing = time.Hour

// The time after which an outlet asks a server with a rate limit again, in spite of the turn that it was
// told, rather than refuse a request.
const (
	// minAskInterval holds for small fleets. A lifted limit is raised in steps of the same length.
	minAskInterval = 250 * time.Millisecond
	// askSpacing is the mean time between two such requests of all outlets together.
	askSpacing = 10 * time.Millisecond
)

// askInterval returns the least time between two requests to a server that holds requests back.
func (ou *Outlet) askInterval() time.Duration {
	return max(minAskInterval, time.Duration(ou.Table().Outlets)*askSpacing)
}

// overServerLimit returns the refusal of a request for which each server that could be used gets as
// many requests as it takes, or nil if that is not the cause.
func (rq *request) overServerLimit(now time.Time) *result.Refusal {
	if !rq.gp.OverLimit(now, rq.rank()) {
		return nil
	}
	return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonServerLimit}
}
