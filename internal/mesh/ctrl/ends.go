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

// toldFirst is of how many requests that servers ended under a new peer is told, the
// worst first.
const toldFirst = 128

// How many reports of a single end a daemon passes on a second. When all servers end again
// and again, as of a bad version, each takes down requests that nobody has seen before, and
// what is told of them would fill the links of the relays. A request that more than one
// server ended under is always told.
const (
	firstEndsRate  = 10
	firstEndsBurst = 200
)

// ReportCrashes tells all daemons of requests that a backend server ended under, or that
// were answered since.
func (nd *Node) ReportCrashes(list []poison.Report) { nd.handleCrashReports(nil, list) }

// handleCrashReports keeps reports of a peer, or this daemon's own, and passes on what is new.
// Reports reach all daemons as records do, by relays.
func (nd *Node) handleCrashReports(from *link.Peer, list []poison.Report) {
	var news []poison.Report
	var was, is *poison.View
	nd.Board.Poison.Update(func(vw *poison.View) *poison.View {
		was = vw
		is, news = vw.Merge(list, time.Now())
		return is
	})
	if len(news) == 0 {
		return
	}
	tell := nd.shouldAnnounce(news, was, is)
	nd.eachPeer(func(pr *link.Peer) {
		if pr != from {
			pr.SendCrashReports(tell)
		}
	})
	keys := map[ident.Key]bool{}
	for _, re := range news {
		keys[re.Key] = true
	}
	for key := range keys {
		nd.recordPoison(key, was.CrashCount(key), is.CrashCount(key))
	}
}

// shouldAnnounce returns what is passed on of the news between two views: all that is known
// of a request that more than one server ended under, as its first end may not have been
// told, and of others as long as there are not too many.
func (nd *Node) shouldAnnounce(news []poison.Report, was, is *poison.View) (tell []poison.Report) {
	left := 0
	for _, re := range news {
		switch {
		case is.CrashCount(re.Key) > 1:
			tell = append(tell, is.ReportsOf(re.Key)...)
		case was.CrashCount(re.Key) > 1, nd.firstEnds.Allow():
			tell = append(tell, re)
		default:
			left++
		}
	}
	if left > 0 {
		nd.log.Warn("ends-not-told", slog.Int("requests", left))
	}
	return tell
}

// recordPoison logs that a request is not run any more, or is again, and has the platform's
// store changed accordingly.
func (nd *Node) recordPoison(key ident.Key, was, is int) {
	event, level := logs.PoisonFound, slog.LevelWarn
	switch {
	case (was < poison.RefuseThreshold) == (is < poison.RefuseThreshold):
		return
	case is < poison.RefuseThreshold:
		event, level = logs.PoisonCleared, slog.LevelInfo
	}
	nd.log.LogAttrs(context.Background(), level, event, slog.String(logs.RequestKey, key.String()), slog.Int(logs.Crashes, is))
	nd.keeper.due.Store(true)
}
