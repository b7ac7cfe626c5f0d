package outlet

import (
	"context"
	"log/slog"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/ident"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// refusePoison refuses a request that ends the backend servers that run it. One such
// request took down a whole service, as each outlet repeated it and its caller came again
// at others; what any daemon saw of it counts here.
func (rq *request) refusePoison() *result.Refusal {
	vw := rq.ou.poison()
	if !vw.Suspects(rq.r) {
		return nil
	}
	lead, whole := rq.src.lead()
	if !whole {
		// Its body broke off, which the attempt finds as well.
		return nil
	}
	key := ident.KeyOf(rq.r, lead)
	rq.ends = vw.CrashCount(key)
	if !vw.Refuses(key, time.Now(), rq.ou.spread) {
		return nil
	}
	rq.ou.log.LogAttrs(context.Background(), slog.LevelInfo, logs.PoisonRefused,
		slog.String(logs.ID, rq.id()), slog.String(logs.RequestKey, key.String()), slog.Int(logs.Crashes, rq.ends))
	return &result.Refusal{
		Outcome: result.NotRun, Reason: result.ReasonPoison,
		Detail: "backend servers ended each time they ran this request; it is not run again for now",
	}
}
