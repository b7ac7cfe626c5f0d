package ctrl

import (
	"context"
	"log/slog"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/path/ident"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// maxInitialReports is of how many requests that servers ended under a new peer is told, the
// worst first.
const maxInitialReports = 128

// How many reports of a single end a daemon passes on a second. When all servers end again
// and again, as of a bad version, each takes down requests that nobody has seen before, and
// what is told of them would fill the links of the relays. A request that more than one
// server ended under is always told.
const (
	singleCrashRate  = 10
	singleCrashBurst = 200
)

// ReportEnds tells all daemons of requests that a backend server ended under, or that
// were answered since.
func (nd *Node) ReportEnds(list []poison.Report) { nd.handleCrashReports(nil, list) }

// handleCrashReports keeps reports of a peer, or this daemon's own, and passes on what is new.
// Reports reach all daemons as records do, by relays.
func (nd *Node) handleCrashReports(from *link.Peer, list []poison.Report) {
	var added []poison.Report
	var before, after *poison.View
	nd.Board.Poison.Update(func(vw *poison.View) *poison.View {
		before = vw
		after, added = vw.Merge(list, time.Now())
		return after
	})
	if len(added) == 0 {
		return
	}
	forward := nd.reportsToForward(added, before, after)
	nd.eachPeer(func(pr *link.Peer) {
		if pr != from {
			pr.SendEnds(forward)
		}
	})
	keys := map[ident.Key]bool{}
	for _, re := range added {
		keys[re.Key] = true
	}
	for key := range keys {
		nd.handlePoisonChange(key, before.Ends(key), after.Ends(key))
	}
}

// reportsToForward returns what is passed on of the news between two views: all that is known
// of a request that more than one server ended under, as its first end may not have been
// told, and of others as long as there are not too many.
func (nd *Node) reportsToForward(added []poison.Report, before, after *poison.View) (forward []poison.Report) {
	dropped := 0
	for _, re := range added {
		switch {
		case after.Ends(re.Key) > 1:
			forward = append(forward, after.Of(re.Key)...)
		case before.Ends(re.Key) > 1, nd.singleCrashLimiter.Allow():
			forward = append(forward, re)
		default:
			dropped++
		}
	}
	if dropped > 0 {
		nd.log.Warn("ends-not-told", slog.Int("requests", dropped))
	}
	return forward
}

// handlePoisonChange logs that a request is not run any more, or is again, and has the platform's
// store changed accordingly.
func (nd *Node) handlePoisonChange(key ident.Key, before, after int) {
	event, level := logs.PoisonFound, slog.LevelWarn
	switch {
	case (before < poison.Most) == (after < poison.Most):
		return
	case after < poison.Most:
		event, level = logs.PoisonCleared, slog.LevelInfo
	}
	nd.log.LogAttrs(context.Background(), level, event, slog.String(logs.Key, key.String()), slog.Int(logs.Ends, after))
	nd.poison.due.Store(true)
}
