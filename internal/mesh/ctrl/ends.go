package ctrl

import (
	"log/slog"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// toldFirst is of how many requests that servers ended under a new peer is told, the
// worst first.
const toldFirst = 128

// The reports of first ends that a daemon makes a second. Where all servers end again and
// again, what they ran would fill the links; what a server ended under before is always
// told.
const (
	firstEndsRate  = 20
	firstEndsBurst = 200
)

// ReportEnds tells all daemons of requests that a backend server ended under, or that
// were answered since.
func (nd *Node) ReportEnds(list []poison.Report) {
	vw := nd.Board.Poison.Get()
	var tell []poison.Report
	for _, re := range list {
		if vw.Ends(re.Key) > 0 || nd.firstEnds.Allow() {
			tell = append(tell, re)
		}
	}
	if len(tell) < len(list) {
		nd.log.Warn("ends-left-out", slog.Int("requests", len(list)-len(tell)))
	}
	nd.takeEnds(nil, tell)
}

// takeEnds keeps reports of a peer, or this daemon's own, and passes on what is new.
// Reports reach all daemons as records do, by relays.
func (nd *Node) takeEnds(from *link.Peer, list []poison.Report) {
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
	nd.eachPeer(func(pr *link.Peer) {
		if pr != from {
			pr.SendEnds(news)
		}
	})
	for _, re := range news {
		nd.notePoison(re, was.Ends(re.Key), is.Ends(re.Key))
	}
}

// notePoison has the platform's store changed and writes a line when a request is not run any more, and when it is again.
func (nd *Node) notePoison(re poison.Report, was, is int) {
	if (was < poison.Most) != (is < poison.Most) {
		nd.keeper.due.Store(true)
	}
	switch {
	case was < poison.Most && is >= poison.Most:
		nd.log.Warn(logs.PoisonFound, slog.String(logs.Key, re.Key.String()), slog.Int("ends", is))
	case was >= poison.Most && is < poison.Most:
		nd.log.Info(logs.PoisonCleared, slog.String(logs.Key, re.Key.String()), slog.Int("ends", is))
	}
}
