package ctrl

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

const (
	// epochKey is the store key with the last epoch in which the store was seen to have all
	// versions known to the daemons.
	epochKey = "store-epoch"
	// restoreTimeout bounds the rewriting of a version that the store has lost.
	restoreTimeout = 10 * time.Second
)

// watchEpochs wraps kv so that its epoch is checked after each call.
func (nd *Node) watchEpochs(kv store.Store) store.Store {
	if kv.Epoch == nil {
		kv.Epoch = func() store.Epoch { return 0 }
	}
	return store.Wrap(kv, func(_ context.Context, _, _ string, call func() error) error {
		err := call()
		nd.enterEpoch(kv.Epoch())
		return err
	})
}

// enterEpoch handles an epoch seen in the store or reported by a peer. In a new epoch the store may
// lack keys that daemons had written, so each daemon rewrites its own: relays their directory
// entries and leases, the daemon of a draining server its drain, and the followers of the store the
// shared keys.
func (nd *Node) enterEpoch(ep store.Epoch) {
	entered, known := nd.Board.AdvanceEpoch(ep)
	if !entered {
		return
	}
	nd.eachPeer(func(pr *link.Peer) {
		pr.UpdateNext(func(pk *wirepb.Packet) { pk.Epoch = int64(ep) })
	})
	if !known {
		nd.log.Info("store-epoch", slog.Int64("epoch", int64(ep)))
		if nd.cf.FirstStart {
			nd.setStoreComplete(ep)
		}
		return
	}
	nd.log.Warn("store-epoch", slog.Int64("epoch", int64(ep)))
	nd.poison.due.Store(true)
	nd.cf.OnNewEpoch()
	select {
	case nd.reregister <- struct{}{}:
	default:
	}
	nd.wakeWatcher()
}

// storeComplete reports whether the store is known to have all accepted versions: it has not been
// restored from an older copy, or was seen to have them since.
func (nd *Node) storeComplete() bool {
	ep := nd.Board.KnownEpoch()
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return ep == 0 || nd.completeEpoch == ep
}

// checkEpoch determines whether the store has all versions in its current epoch. A daemon that has
// just started cannot tell whether the store has lost the version that its VM held. A daemon that
// follows the store and has links to all failure domains can, and records the epoch in the store
// for the others.
func (nd *Node) checkEpoch(ctx context.Context, version uint64) error {
	ep := nd.Board.KnownEpoch()
	if ep == 0 || nd.epochMarked(ep) {
		return nil
	}
	write, at := nd.isRelay(), store.Revision{}
	if !nd.storeComplete() {
		ent, err := nd.cf.Store.Get(ctx, epochKey)
		if err != nil {
			return err
		}
		known := nd.isNewestVersion(version)
		switch {
		case nd.readEpochMarker(ent, ep):
			return nil
		case ent.Revision.Exists() && !known:
			return nil
		}
		nd.setStoreComplete(ep)
		write, at = write || known, ent.Revision
	}
	if !write {
		return nil
	}
	ch := store.Change{Key: epochKey, Revision: at, Value: strconv.AppendInt(nil, int64(ep), 10)}
	_, cur, err := nd.cf.Store.Swap(ctx, ch)
	nd.readEpochMarker(cur, ep)
	return err
}

// readEpochMarker reports whether an entry of epochKey names the epoch, and if so remembers that
// the epoch is complete and marked.
func (nd *Node) readEpochMarker(ent store.Entry, ep store.Epoch) bool {
	if !ent.Revision.Exists() {
		return false
	}
	kept, err := strconv.ParseInt(string(ent.Value), 10, 64)
	if err != nil {
		nd.log.Warn("store-epoch-unreadable", slog.Any("error", err))
	}
	if err != nil || store.Epoch(kept) != ep {
		return false
	}
	nd.setStoreComplete(ep)
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.markedEpoch = max(nd.markedEpoch, ep)
	return true
}

// epochMarked reports whether the epoch is known to be recorded in the store.
func (nd *Node) epochMarked(ep store.Epoch) bool {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.markedEpoch == ep
}

// isNewestVersion reports whether a version read from the store is the newest one in all failure
// domains.
func (nd *Node) isNewestVersion(version uint64) bool {
	fl := nd.Board.Floor.Get()
	settled := fl != nil && fl.Settled && version >= fl.Version
	return settled && version > 0 && version >= nd.Board.LatestVersion() && len(nd.unlinkedDomains()) == 0
}

func (nd *Node) setStoreComplete(ep store.Epoch) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.completeEpoch = max(nd.completeEpoch, ep)
}

// restore rewrites the newest version to a store that lost it in a new epoch, if the source leaves
// this to the daemons.
func (nd *Node) restore(ctx context.Context, version uint64) {
	cfg := nd.Board.Latest.Get()
	if nd.cf.Source.Restore == nil || cfg == nil || version >= cfg.Version || nd.storeComplete() {
		return
	}
	if !nd.restoring.CompareAndSwap(false, true) {
		return
	}
	if !nd.background(func() { nd.restoreVersion(ctx, cfg) }) {
		nd.restoring.Store(false)
	}
}

func (nd *Node) restoreVersion(ctx context.Context, cfg *board.Config) {
	defer nd.restoring.Store(false)
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	err := nd.cf.Source.Restore(ctx, nd.cf.Store, cfg)
	nd.log.Warn("version-restored", slog.Uint64("version", cfg.Version), slog.Any("error", err))
}
