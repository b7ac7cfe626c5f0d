package ctrl

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/accept"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// The times of the watcher.
const (
	// watchWait is how long one watch waits; each counts as a call.
	watchWait = 25 * time.Second
	// watchRetry bounds the wait after a failed call.
	watchRetry = time.Second
	roleCheck  = 500 * time.Millisecond
)

// runWatcher follows the platform's head while the daemon is a relay. Plain
// members never call the platform for configurations, so its load depends on
// the number of failure domains and not on that of VMs.
func (nd *Node) runWatcher(ctx context.Context) {
	var seen store.Revision
	for ctx.Err() == nil {
		links, changed := nd.Board.Links.Watch()
		if !links.Relay {
			select {
			case <-changed:
			case <-ctx.Done():
			case <-time.After(roleCheck):
			}
			continue
		}
		rev, err := nd.watchOnce(ctx, seen)
		if ctx.Err() != nil {
			return
		}
		nd.notePlatform(err)
		if err != nil {
			seen = 0
			_ = pause(ctx, rand.N(watchRetry))
			continue
		}
		seen = rev
	}
}

// watchOnce waits for another head and takes its version.
func (nd *Node) watchOnce(ctx context.Context, seen store.Revision) (store.Revision, error) {
	ent, err := nd.cf.Store.Watch(ctx, accept.HeadKey, seen, watchWait)
	if err != nil || ent.Revision == seen {
		return seen, err
	}
	hd, err := accept.ParseHead(ent.Value)
	if err != nil {
		return 0, err
	}
	nd.notePlatformVersion(hd.Last.Version)
	cfg := nd.Board.Latest.Get()
	if hd.Last.Version == 0 || cfg != nil && hd.Last.Version <= cfg.Version {
		return ent.Revision, nil
	}
	var base *pack.Content
	if cfg != nil {
		base = cfg.Content
	}
	co, err := accept.Step(ctx, nd.cf.Store, base, hd.Last)
	if err != nil {
		nd.log.Error("version-unreadable", slog.Uint64("version", hd.Last.Version), slog.Any("error", err))
		return 0, err
	}
	nd.take(hd.Last.Version, co)
	return ent.Revision, nil
}

func (nd *Node) notePlatform(err error) {
	nd.Board.Platform.Update(func(cur *board.Platform) *board.Platform {
		switch {
		case cur == nil:
			return &board.Platform{Err: err, Since: time.Now()}
		case (cur.Err == nil) == (err == nil):
			return cur
		}
		nd.log.Warn("platform-state", slog.Bool("answers", err == nil), slog.Any("error", err))
		return &board.Platform{Version: cur.Version, Behind: cur.Behind, Err: err, Since: time.Now()}
	})
}

// notePlatformVersion compares the platform's version with the newest known. A
// platform that was restored from a backup shows an older one; no daemon
// follows it, and the operators are told.
func (nd *Node) notePlatformVersion(version uint64) {
	latest := nd.Board.LatestVersion()
	behind := version < latest
	nd.Board.Platform.Update(func(cur *board.Platform) *board.Platform {
		if behind && (cur == nil || !cur.Behind) {
			nd.log.Error("platform-behind", slog.Uint64("platform", version), slog.Uint64("latest", latest))
		}
		return &board.Platform{Version: version, Behind: behind, Since: time.Now()}
	})
}

// runCompiler puts the newest version in force here once it compiles.
func (nd *Node) runCompiler(ctx context.Context) {
	var tried uint64
	for {
		cfg, newer := nd.Board.Latest.Watch()
		fl, raised := nd.Board.Floor.Watch()
		if cfg != nil && fl != nil && fl.Settled && cfg.Version >= fl.Version && cfg.Version > tried {
			tried = cfg.Version
			nd.compile(cfg)
		}
		select {
		case <-ctx.Done():
			return
		case <-newer:
		case <-raised:
		}
	}
}

// compile builds the whole snapshot before it swaps one pointer, so that no
// request sees a version in part. A version that this release cannot compile
// is refused whole, and the one held stays; it is passed on to others all the
// same, since another release may know it.
func (nd *Node) compile(cfg *board.Config) {
	start := time.Now()
	sn, err := nd.cf.Compile(cfg.Version, cfg.Content, nd.cf.Domain)
	if err != nil {
		nd.Board.Refused.Set(&board.Refusal{Version: cfg.Version, Reason: err.Error()})
		nd.log.Error("version-refused", slog.Uint64("version", cfg.Version), slog.Any("error", err))
	} else if nd.Board.Install(sn) {
		nd.log.Info("version-held", slog.Uint64("version", cfg.Version), slog.String("digest", sn.Digest.String()[:12]),
			slog.Duration("compile", time.Since(start)))
		nd.Board.Members.Update(nd.withoutUndeclared)
	}
	held := nd.ownHeld()
	nd.mu.Lock()
	nd.sumDirty = true
	nd.mu.Unlock()
	nd.eachPeer(func(pr *link.Peer) {
		if pr.Record.Domain == nd.cf.Domain && (pr.Relay || pr.Outgoing) {
			pr.SendHeld(held)
		}
	})
	nd.poke()
}

// withoutUndeclared drops the records of VMs that have gone and are no longer
// declared, so that what is kept is bounded by the inventory.
func (nd *Node) withoutUndeclared(vw *member.View) *member.View {
	sn := nd.Board.Held.Get()
	return vw.Without(func(vm string) bool {
		_, declared := sn.VMs[vm]
		return !declared
	})
}
