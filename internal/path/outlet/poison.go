package outlet

import (
	"context"
	"log/slog"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/ident"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// checkPoison refuses a poison request: one that crashes the backend servers that run it. A single
// such request can crash all backend servers of a service, because each outlet retries it and its
// caller retries it through other outlets. What any daemon has observed of the request is therefore
// taken into account.
func (rq *request) checkPoison() *result.Refusal {
	vw := rq.ou.poison()
	if !vw.Suspects(rq.r) {
		return nil
	}
	prefix, complete := rq.body.prefix()
	if !complete {
		// The body could not be read; the attempt will fail for the same reason.
		return nil
	}
	key := ident.KeyOf(rq.r, prefix)
	rq.serverCrashes = vw.CrashCount(key)
	if !vw.Refuses(key, time.Now(), rq.ou.poisonJitter) {
		return nil
	}
	rq.ou.log.LogAttrs(context.Background(), slog.LevelInfo, logs.PoisonRefused,
		slog.String(logs.ID, rq.id()), slog.String(logs.RequestKey, key.String()), slog.Int(logs.Crashes, rq.serverCrashes))
	return &result.Refusal{
		Outcome: result.NotRun, Reason: result.ReasonPoison,
		Detail: "backend servers crashed while running this request; it is refused for now",
	}
}
