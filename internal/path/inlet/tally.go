package inlet

import (
	"net/http"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// coldFactor is how many times as long a server takes that is cold after its start.
const coldFactor = 2

// tally counts an answer of the backend server.
func (in *Inlet) tally(r *http.Request, failed bool, held time.Duration, tg *Target) {
	if time.Now().Before(tg.ColdUntil) {
		held /= coldFactor
	}
	in.counts.Load().Add(r.Header.Get(result.RouteHeader), failed, held)
}

// tallyFailure counts a request that the backend server did not answer. One whose caller
// has gone or whose time is over counts by how long it took.
func (in *Inlet) tallyFailure(r *http.Request, over bool, pa *passage) {
	if r.Context().Err() != nil {
		return
	}
	in.counts.Load().Add(r.Header.Get(result.RouteHeader), !over, pa.spent(time.Now()).ServiceTime)
}

// Counts returns what the present start of the backend server did.
func (in *Inlet) Counts() tally.Cohort {
	return tally.Cohort{Servers: 1, Running: in.Gate.Load().Running, Routes: in.counts.Load().Snapshot()}
}
