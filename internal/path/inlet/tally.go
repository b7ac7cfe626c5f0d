package inlet

import (
	"net/http"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// coldFactor is how many times longer a server takes for a request while it is cold after its
// start.
const coldFactor = 2

// countResponse counts a response of the backend server.
func (in *Inlet) countResponse(r *http.Request, failed bool, serviceTime time.Duration, tg *Target) {
	if time.Now().Before(tg.ColdUntil) {
		serviceTime /= coldFactor
	}
	in.counts.Load().Add(r.Header.Get(result.RouteHeader), failed, serviceTime)
}

// countFailure counts a request that the backend server did not answer. If its deadline passed, it
// counts with the time that it took, not as a failure; if its caller has disconnected, it does not
// count.
func (in *Inlet) countFailure(r *http.Request, expired bool, ar *admittedRequest) {
	if r.Context().Err() != nil {
		return
	}
	in.counts.Load().Add(r.Header.Get(result.RouteHeader), !expired, ar.spent(time.Now()).ServiceTime)
}

// Counts returns the request counts of the current instance of the backend server.
func (in *Inlet) Counts() tally.Cohort {
	return tally.Cohort{Servers: 1, Running: in.Gate.Load().Running, Routes: in.counts.Load().Snapshot()}
}
