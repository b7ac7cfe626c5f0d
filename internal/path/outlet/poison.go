package outlet

import (
	"context"
	"log/slog"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/ident"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// minTrialAge is the age from which an outlet takes part in trials. A younger one may know too few servers
// to designate the same one as the others.
const minTrialAge = 3 * time.Second

// checkPoison refuses a poison request: one that crashes the backend servers that run it. A single
// such request can crash all backend servers of a service, because each outlet retries it and its
// caller retries it through other outlets. What any daemon has observed of the request is therefore
// taken into account. If the crashes may have had another cause, the request is sent on a trial to one
// server, the same one from all outlets, whose inlet limits trials.
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
	if vw.MayTry(key, time.Now()) && time.Since(rq.ou.started) >= minTrialAge {
		if rq.trial = rq.base.Designated(key.String()); rq.trial != nil {
			rq.ou.log.LogAttrs(context.Background(), slog.LevelInfo, logs.PoisonTrial, slog.String(logs.ID, rq.id()),
				slog.String(logs.RequestKey, key.String()), slog.Int(logs.Crashes, rq.serverCrashes), slog.String(logs.TargetVM, rq.trial.VM))
			return nil
		}
	}
	rq.ou.log.LogAttrs(context.Background(), slog.LevelInfo, logs.PoisonRefused,
		slog.String(logs.ID, rq.id()), slog.String(logs.RequestKey, key.String()), slog.Int(logs.Crashes, rq.serverCrashes))
	return &result.Refusal{
		Outcome: result.NotRun, Reason: result.ReasonPoison,
		Detail: "backend servers crashed while running this request; it is refused for now",
	}
}
