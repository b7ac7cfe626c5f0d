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
	// poisonKey is the store key with the requests refused as poison.
	poisonKey = "poison-requests"
	// maxSwapAttempts bounds the attempts to update poisonKey while other daemons update it
	// concurrently.
	maxSwapAttempts = 3
	// partitionedReadInterval is how often poisonKey is read while a failure domain cannot be
	// reached, whose daemons may have written to it. Together with the interval at which followers
	// read the store it stays below the three seconds within which a poison request must be known
	// everywhere.
	partitionedReadInterval = time.Second
)

// poisonSyncer synchronizes the requests refused as poison with the platform's store, for daemons
// that start after all were killed and for those on the other side of a partition. Without it, a
// poison request that reached them would crash as many servers again. It runs on the daemons that
// follow the store, since the store answers them.
type poisonSyncer struct {
	nd *Node
	// due is set when the contents of poisonKey may have to change.
	due atomic.Bool
	// running is set while a synchronization runs, which owns lastRead meanwhile.
	running atomic.Bool
	// lastRead is when the key was last read, zero if it has not been.
	lastRead time.Time
}

// syncIfDue synchronizes with the store in the background if that is due: the caller must not wait
// for the store while it could receive a new version.
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

// runSync runs one synchronization, and schedules another if it fails.
func (ps *poisonSyncer) runSync(ctx context.Context) {
	defer ps.running.Store(false)
	if err := ps.sync(ctx); err != nil {
		ps.due.Store(true)
		ps.nd.log.Warn("poison-not-kept", slog.Any("error", err))
		return
	}
	ps.lastRead = time.Now()
}

// sync merges the reports in the store with those of this daemon, and writes the result back.
func (ps *poisonSyncer) sync(ctx context.Context) error {
	kv := ps.nd.cf.Store
	ent, err := kv.Get(ctx, poisonKey)
	for range maxSwapAttempts {
		if err != nil {
			return err
		}
		list, decodeErr := poison.Decode(ent.Value, time.Now())
		if decodeErr != nil {
			// The value was not written by a daemon; it is overwritten once there is anything to
			// store.
			ps.nd.log.Warn("poison-unreadable", slog.Any("error", decodeErr))
		}
		ps.nd.handleCrashReports(nil, list)
		ps.due.Store(false)
		refused := ps.nd.Board.Poison.Get().RefusedReports()
		if poison.SameReports(refused, list) {
			return nil
		}
		ok := false
		if ok, ent, err = ps.write(ctx, refused, ent.Revision); ok || err != nil {
			return err
		}
	}
	return &store.Error{Kind: store.Unavailable, Op: "swap", Key: poisonKey}
}

// write replaces the value of poisonKey if it is still at the given revision.
func (ps *poisonSyncer) write(ctx context.Context, list []poison.Report, at store.Revision) (ok bool, cur store.Entry, err error) {
	text, err := poison.Encode(list, time.Now())
	if err != nil {
		return false, cur, err
	}
	return ps.nd.cf.Store.Swap(ctx, store.Change{Key: poisonKey, Revision: at, Value: text})
}
