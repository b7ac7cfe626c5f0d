package ctrl

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

const (
	// poisonKey is where the platform's store has the requests that are not run.
	poisonKey = "poison-requests"
	// keepTries is how often a change of it is tried that another daemon was ahead of.
	keepTries = 3
	// lookBehindCut is how often it is read while a failure domain cannot be reached,
	// whose daemons may have written to it. With the rounds of those who follow the
	// store it stays below the three seconds in which the news must have come.
	lookBehindCut = time.Second
)

// keeper keeps the requests that are not run in the platform's store: for daemons that
// start after all were killed, and for those on the other side of a cut. Both ended as
// many servers again otherwise. Those who follow the store do it, since it answers them.
type keeper struct {
	nd *Node
	// due is set when what the store should have has changed.
	due atomic.Bool
	// busy is held by the round that runs, and guards looked.
	busy atomic.Bool
	// looked is when the key was read last, the zero time for not yet.
	looked time.Time
}

// round reads and writes the key if that is due, beside what the caller does: it must not
// wait for the store with a new version on the way.
func (ke *keeper) round(ctx context.Context) {
	if !ke.busy.CompareAndSwap(false, true) {
		return
	}
	due := ke.due.Swap(false)
	behind := len(ke.nd.missing()) > 0 && time.Since(ke.looked) >= lookBehindCut
	if !due && !behind && !ke.looked.IsZero() || !ke.nd.background(func() { ke.finish(ctx) }) {
		ke.busy.Store(false)
	}
}

// finish ends the round that runs.
func (ke *keeper) finish(ctx context.Context) {
	defer ke.busy.Store(false)
	if err := ke.sync(ctx); err != nil {
		ke.due.Store(true)
		ke.nd.log.Warn("poison-not-kept", slog.Any("error", err))
		return
	}
	ke.looked = time.Now()
}

// sync makes this daemon and the store know the same.
func (ke *keeper) sync(ctx context.Context) error {
	kv := ke.nd.cf.Store
	ent, err := kv.Get(ctx, poisonKey)
	for range keepTries {
		if err != nil {
			return err
		}
		list, bad := poison.Decode(ent.Value, time.Now())
		if bad != nil {
			// Something else wrote it; it is written anew once there is anything to keep.
			ke.nd.log.Warn("poison-unreadable", slog.Any("error", bad))
		}
		ke.nd.handleCrashReports(nil, list)
		ke.due.Store(false)
		refused := ke.nd.Board.Poison.Get().RefusedReports()
		if poison.SameReports(refused, list) {
			return nil
		}
		ok := false
		if ok, ent, err = ke.write(ctx, refused, ent.Revision); ok || err != nil {
			return err
		}
	}
	return &store.Error{Kind: store.Unavailable, Op: "swap", Key: poisonKey}
}

// write replaces what the store has at a revision.
func (ke *keeper) write(ctx context.Context, list []poison.Report, at store.Revision) (ok bool, cur store.Entry, err error) {
	text, err := poison.Encode(list, time.Now())
	if err != nil {
		return false, cur, err
	}
	return ke.nd.cf.Store.Swap(ctx, store.Change{Key: poisonKey, Revision: at, Value: text})
}
