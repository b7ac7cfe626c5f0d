package inlet

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/ident"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// The question whether a backend server has ended.
const (
	// askTime bounds it. A server that ended refuses a connection at once; one that is
	// silent may be paused, and has not ended.
	askTime = 100 * time.Millisecond
	// askAgain is for how long a server that takes connections is not asked again,
	// though more of its answers break off.
	askAgain = 100 * time.Millisecond
)

// ends knows whether the backend server of a target has ended.
type ends struct {
	mu sync.Mutex
	// of is the target that was asked last, ended what came out, at when.
	of    *Target
	ended bool
	at    time.Time
}

// has tells whether the server of a target has ended; ask is called where that is not
// known. Requests that broke off together wait for one answer.
func (en *ends) has(tg *Target, ask func() bool) (ended, first bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.of == tg && (en.ended || time.Since(en.at) < askAgain) {
		return en.ended, false
	}
	en.of, en.ended = tg, ask()
	en.at = time.Now()
	return en.ended, en.ended
}

// noteEnd finds out whether a request failed because its backend server ended. All
// that a server runs breaks off when it ends, and so does what a server that lives
// breaks off by itself; only the former takes no connection afterwards.
func (in *Inlet) noteEnd(r *http.Request, lead *ident.Lead, tg *Target, rf *result.Refusal) {
	if rf.Outcome != result.MayHaveRun || rf.Reason != result.ReasonBroken {
		return
	}
	ended, first := in.ends.has(tg, func() bool { return in.refusesAll(tg) })
	if !ended {
		return
	}
	rf.Reason = result.ReasonServerEnded
	if first {
		in.Log.LogAttrs(context.Background(), slog.LevelWarn, logs.ServerEnded,
			slog.String(logs.Lifetime, tg.Lifetime), slog.Int("running", in.Gate.Load().Running))
	}
	if body, whole := lead.Bytes(r.ContentLength); whole {
		in.Log.LogAttrs(context.Background(), slog.LevelWarn, logs.EndedUnder, slog.String(logs.ID, in.id(r)),
			slog.String(logs.Key, ident.Of(r, body).String()), slog.String(logs.Lifetime, tg.Lifetime))
	}
}

// refusesAll tells whether the backend server of a target refuses a connection.
func (in *Inlet) refusesAll(tg *Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTime)
	defer cancel()
	return !in.fw.Load().Reach(ctx, tg.Addr) && ctx.Err() == nil
}
