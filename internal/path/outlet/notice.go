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
	if res.Header.Get(result.OutcomeHeader) == "" && rq.ou.notices.Lift(ep.VM, sentAt, now) {
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

// overServerLimit returns the refusal of a request for which each server that could be used gets as
// many requests as it takes, or nil if that is not the cause.
func (rq *request) overServerLimit(now time.Time) *result.Refusal {
	if !rq.gp.OverLimit(now, rq.rank()) {
		return nil
	}
	return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonServerLimit}
}
