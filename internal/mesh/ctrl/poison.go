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
	// maxSwapAttempts is how often a change of it is tried that another daemon was ahead of.
	maxSwapAttempts = 3
	// partitionedReadInterval is how often it is read while a failure domain cannot be reached,
	// whose daemons may have written to it. With the rounds of those who follow the
	// store it stays below the three seconds in which the news must have come.
	partitionedReadInterval = time.Second
)

// poisonSyncer keeps the requests that are not run in the platform's store: for daemons that
// start after all were killed, and for those on the other side of a cut. Both ended as
// many servers again otherwise. Those who follow the store do it, since it answers them.
type poisonSyncer struct {
	nd *Node
	// due is set when what the store should have has changed.
	due atomic.Bool
	// running is held by the round that runs, and guards looked.
	running atomic.Bool
	// lastRead is when the key was read last, the zero time for not yet.
	lastRead time.Time
}

// decideAll reads and writes the key if that is due, beside what the caller does: it must not
// wait for the store with a new version on the way.
func (ps *poisonSyncer) syncIfDue(ctx context.Context) {
	if !ps.running.CompareAndSwap(false, true) {
		return
	}
	due := ps.due.Swap(false)
	partitioned := len(ps.nd.unlinkedDomains()) > 0 && time.Since(ps.lastRead) >= partitionedReadInterval
	if !due && !partitioned && !ps.lastRead.IsZero() || !ps.nd.background(func() { ps.runSync(ctx) }) {
		ps.running.Store(false)
	}
}

// runSync ends the round that runs.
func (ps *poisonSyncer) runSync(ctx context.Context) {
	defer ps.running.Store(false)
	if err := ps.sync(ctx); err != nil {
		ps.due.Store(true)
		ps.nd.log.Warn("poison-not-kept", slog.Any("error", err))
		return
	}
	ps.lastRead = time.Now()
}

// sync makes this daemon and the store know the same.
func (ps *poisonSyncer) sync(ctx context.Context) error {
	kv := ps.nd.cf.Store
	ent, err := kv.Get(ctx, poisonKey)
	for range maxSwapAttempts {
		if err != nil {
			return err
		}
		list, decodeErr := poison.Decode(ent.Value, time.Now())
		if decodeErr != nil {
			// Something else wrote it; it is written anew once there is anything to keep.
			ps.nd.log.Warn("poison-unreadable", slog.Any("error", decodeErr))
		}
		ps.nd.handleCrashReports(nil, list)
		ps.due.Store(false)
		refused := ps.nd.Board.Poison.Get().Refused()
		if poison.Same(refused, list) {
			return nil
		}
		ok := false
		if ok, ent, err = ps.write(ctx, refused, ent.Revision); ok || err != nil {
			return err
		}
	}
	return &store.Error{Kind: store.Unavailable, Op: "swap", Key: poisonKey}
}

// saveState replaces what the store has at a revision.
func (ps *poisonSyncer) write(ctx context.Context, list []poison.Report, at store.Revision) (ok bool, cur store.Entry, err error) {
	text, err := poison.Encode(list, time.Now())
	if err != nil {
		return false, cur, err
	}
	return ps.nd.cf.Store.Swap(ctx, store.Change{Key: poisonKey, Revision: at, Value: text})
}
