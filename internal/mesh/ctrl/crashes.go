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

// maxInitialReports is the number of requests whose crash reports a new peer is sent, the worst
// first.
const maxInitialReports = 128

// singleCrashRate and singleCrashBurst bound how many reports a daemon forwards per second of
// requests that were running during a single crash only. When all servers crash repeatedly, as with
// a faulty version, each crash involves requests not seen before, and their reports would fill the
// links of the relays. A request that was running during more than one crash is always reported.
const (
	singleCrashRate  = 10
	singleCrashBurst = 200
)

// ReportCrashes informs all daemons of requests that were running when a backend server crashed, or
// that have been answered since.
func (nd *Node) ReportCrashes(list []poison.Report) { nd.handleCrashReports(nil, list) }

// handleCrashReports merges reports of a peer, or this daemon's own, and forwards the new ones.
// Like records, reports reach all daemons through the relays.
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
			pr.SendCrashReports(forward)
		}
	})
	keys := map[ident.Key]bool{}
	for _, re := range added {
		keys[re.Key] = true
	}
	for key := range keys {
		nd.handlePoisonChange(key, before.CrashCount(key), after.CrashCount(key))
	}
}

// reportsToForward selects the reports to forward from those added between two views. Of a request
// that was running during more than one crash it returns all known reports, since the first one may
// not have been forwarded; reports of a single crash are subject to singleCrashLimiter.
func (nd *Node) reportsToForward(added []poison.Report, before, after *poison.View) (forward []poison.Report) {
	dropped := 0
	for _, re := range added {
		switch {
		case after.CrashCount(re.Key) > 1:
			forward = append(forward, after.ReportsOf(re.Key)...)
		case before.CrashCount(re.Key) > 1, nd.singleCrashLimiter.Allow():
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

// handlePoisonChange logs that a request is now refused as poison, or is accepted again, and
// schedules an update of the platform's store.
func (nd *Node) handlePoisonChange(key ident.Key, before, after int) {
	event, level := logs.PoisonFound, slog.LevelWarn
	switch {
	case (before < poison.RefuseThreshold) == (after < poison.RefuseThreshold):
		return
	case after < poison.RefuseThreshold:
		event, level = logs.PoisonCleared, slog.LevelInfo
	}
	nd.log.LogAttrs(context.Background(), level, event, slog.String(logs.RequestKey, key.String()), slog.Int(logs.Crashes, after))
	nd.poison.due.Store(true)
}
