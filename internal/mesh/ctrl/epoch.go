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
	// epochKey is where the store keeps the last epoch in which it was seen to have all
	// versions that the daemons knew.
	epochKey = "store-epoch"
	// restoreTimeout bounds the rewriting of a version that the store lost.
	restoreTimeout = 10 * time.Second
)

// watchEpochs returns kv with a look at the epoch after each call.
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

// enterEpoch records an epoch that the store or a peer showed. A new one may lack what
// daemons had written, so each rewrites its own keys: relays their directory entries and
// leases, the daemon beside a draining server its drain, followers the shared keys.
func (nd *Node) enterEpoch(ep store.Epoch) {
	entered, again := nd.Board.AdvanceEpoch(ep)
	if !entered {
		return
	}
	nd.eachPeer(func(pr *link.Peer) {
		pr.UpdateNext(func(pk *wirepb.Packet) { pk.Epoch = int64(ep) })
	})
	if !again {
		nd.log.Info("store-epoch", slog.Int64("epoch", int64(ep)))
		if nd.cf.FirstStart {
			nd.setComplete(ep)
		}
		return
	}
	nd.log.Warn("store-epoch", slog.Int64("epoch", int64(ep)))
	nd.keeper.due.Store(true)
	nd.cf.OnNewEpoch()
	select {
	case nd.reregister <- struct{}{}:
	default:
	}
	nd.lookSoon()
}

// complete reports whether the store is known to have all accepted versions: it has not
// come back from an older copy, or was seen to have them since.
func (nd *Node) complete() bool {
	ep := nd.Board.KnownEpoch()
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return ep == 0 || nd.completeIn == ep
}

// checkEpoch finds out whether the store has all versions in its present epoch. A daemon
// that has just started cannot tell by itself whether the store lost the version that its
// VM held; one that follows the store with links to all failure domains can, and keeps the
// epoch in the store for the others.
func (nd *Node) checkEpoch(ctx context.Context, version uint64) error {
	ep := nd.Board.KnownEpoch()
	if ep == 0 || nd.marked(ep) {
		return nil
	}
	write, at := nd.isRelay(), store.Revision{}
	if !nd.complete() {
		ent, err := nd.cf.Store.Get(ctx, epochKey)
		if err != nil {
			return err
		}
		known := nd.knowsAll(version)
		switch {
		case nd.isMarked(ent, ep):
			return nil
		case ent.Revision.Exists() && !known:
			return nil
		}
		nd.setComplete(ep)
		write, at = write || known, ent.Revision
	}
	if !write {
		return nil
	}
	ch := store.Change{Key: epochKey, Revision: at, Value: strconv.AppendInt(nil, int64(ep), 10)}
	_, cur, err := nd.cf.Store.Swap(ctx, ch)
	nd.isMarked(cur, ep)
	return err
}

// isMarked reports whether an entry of epochKey names an epoch, and remembers that.
func (nd *Node) isMarked(ent store.Entry, ep store.Epoch) bool {
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
	nd.setComplete(ep)
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.markedIn = max(nd.markedIn, ep)
	return true
}

// marked reports whether the store keeps an epoch.
func (nd *Node) marked(ep store.Epoch) bool {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.markedIn == ep
}

// knowsAll reports whether a version of the store is the newest of all failure domains.
func (nd *Node) knowsAll(version uint64) bool {
	fl := nd.Board.Floor.Get()
	settled := fl != nil && fl.Settled && version >= fl.Version
	return settled && version > 0 && version >= nd.Board.LatestVersion() && len(nd.missing()) == 0
}

func (nd *Node) setComplete(ep store.Epoch) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.completeIn = max(nd.completeIn, ep)
}

// restore writes the newest version to a store that lost it in a new epoch, where that is
// for the daemons to do.
func (nd *Node) restore(ctx context.Context, version uint64) {
	cfg := nd.Board.Latest.Get()
	if nd.cf.Source.Restore == nil || cfg == nil || version >= cfg.Version || nd.complete() {
		return
	}
	if !nd.restoring.CompareAndSwap(false, true) {
		return
	}
	if !nd.background(func() { nd.restoreOnce(ctx, cfg) }) {
		nd.restoring.Store(false)
	}
}

func (nd *Node) restoreOnce(ctx context.Context, cfg *board.Config) {
	defer nd.restoring.Store(false)
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	err := nd.cf.Source.Restore(ctx, nd.cf.Store, cfg)
	nd.log.Warn("version-restored", slog.Uint64("version", cfg.Version), slog.Any("error", err))
}
