package ctrl

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/follow"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// The times of the watcher.
const (
	// firstRetry and mostRetry bound the wait after failed calls, which doubles
	// from the one to the other. The first is short since a watch that was cut
	// off costs a read at once; the most keeps a daemon that the platform turns
	// away at two calls a second, and mostStandInRetry one that only stands in for
	// others.
	firstRetry       = 50 * time.Millisecond
	mostRetry        = 500 * time.Millisecond
	mostStandInRetry = 2 * time.Second
	// soonLook is how often a daemon that does not follow the platform looks whether it is
	// its turn, while that may change from one moment to the next, and lateLook how often
	// otherwise; news of those who follow comes in between.
	soonLook = 50 * time.Millisecond
	lateLook = 500 * time.Millisecond
	// deaf is how long a daemon may hear no relay before it follows the platform
	// itself: a beat and a half, so that a version accepted while all its relays
	// are frozen is still in force within two seconds.
	deaf = link.HeartbeatInterval + link.HeartbeatInterval/2
)

// watcher follows the platform's store for the mesh while it is this daemon's turn.
type watcher struct {
	nd     *Node
	turn   follow.Candidate
	failed int
	// told is when the others were told last that it follows.
	told time.Time
	// order is that of the relays among the members orderOf.
	order   []string
	orderOf *member.View
}

// seen is what the store showed last, and the version of it, 0 for none.
type seen struct {
	revision store.Revision
	version  uint64
}

// runWatcher follows the platform while it is this daemon's turn. Two relays of the mesh
// do, so the platform's load depends neither on the number of VMs nor on that of failure
// domains.
func (nd *Node) runWatcher(ctx context.Context) {
	wt := &watcher{nd: nd}
	for ctx.Err() == nil {
		links, changed := nd.Board.Links.Watch()
		if !wt.mayFollow(links.Relay) {
			nd.setFollowing(false)
			select {
			case <-changed:
			case <-nd.lookAgain:
			case <-ctx.Done():
			case <-time.After(wt.nextLook(links.Relay)):
			}
			continue
		}
		err := wt.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		nd.setFollowing(err == nil)
		nd.recordPlatform(err)
		wt.announceFollow(err)
		if err == nil {
			wt.failed = 0
			nd.keeper.round(ctx)
			continue
		}
		bound := min(firstRetry<<min(wt.failed, 10), wt.mostRetry(links.Relay))
		wt.failed++
		if pause(ctx, bound/2+rand.N(bound/2)) != nil {
			return
		}
	}
}

func (nd *Node) setFollowing(follows bool) {
	nd.following.Update(func(cur *bool) *bool {
		if cur != nil && *cur == follows {
			return cur
		}
		return &follows
	})
}

// nextLook returns after which time it may be this daemon's turn.
func (wt *watcher) nextLook(isRelay bool) time.Duration {
	nd := wt.nd
	switch {
	case isRelay && wt.turn.HasVacancy(), !isRelay && time.Since(nd.started) < bootRelay:
		return soonLook
	case isRelay:
		return lateLook
	}
	return max(soonLook, deaf-time.Since(nd.relayHeard()))
}

// mostRetry returns how long the wait after failed calls may get. Those who follow the
// store as a rule find it back soon, and tell the others.
func (wt *watcher) mostRetry(isRelay bool) time.Duration {
	if isRelay && follow.Position(wt.nd.cf.VM, wt.relayOrder()) >= follow.FollowerCount {
		return mostStandInRetry
	}
	return mostRetry
}

// hearsRelay reports whether a relay sent something lately.
func (nd *Node) hearsRelay() bool { return time.Since(nd.relayHeard()) < deaf }

// relayHeard returns when a relay sent something last, the zero time for none.
func (nd *Node) relayHeard() (last time.Time) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	for pr := range nd.peers {
		if at := pr.LastHeard(); pr.Relay && at.After(last) {
			last = at
		}
	}
	return last
}

// watchOnce waits for another value of the source's key and takes its version.
func (wt *watcher) watchOnce(ctx context.Context) error {
	nd := wt.nd
	src := &nd.cf.Source
	last, version := nd.seenVersion()
	began := time.Now()
	ent, err := nd.cf.Store.Watch(ctx, src.Key, last, follow.WatchTimeout)
	if err != nil {
		return err
	}
	if ent.Revision == last {
		return nd.handleRead(ctx, began, version)
	}
	version, co, err := src.Read(ctx, nd.cf.Store, nd.Board.Latest.Get(), ent.Value)
	var se *store.Error
	switch {
	case errors.As(err, &se):
		return err
	case err != nil:
		// Reading it again would show the same; the version held stays.
		nd.log.Error("version-unreadable", slog.Uint64("version", version), slog.Any("error", err))
		nd.Board.Refused.Set(&board.Refusal{Version: version, Reason: err.Error()})
		nd.setSeen(ent.Revision, 0)
		return nil
	}
	nd.recordPlatformVersion(version)
	if co != nil {
		nd.take(version, co)
	}
	nd.setSeen(ent.Revision, version)
	return nd.handleRead(ctx, began, version)
}

// handleRead takes that a read of the store which began at a moment showed a version.
func (nd *Node) handleRead(ctx context.Context, began time.Time, version uint64) error {
	if err := nd.checkEpoch(ctx, version); err != nil {
		return err
	}
	nd.recordProof(began, version)
	nd.restore(ctx, version)
	return nil
}

func (nd *Node) setSeen(rev store.Revision, version uint64) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.seen = seen{revision: rev, version: version}
}

func (nd *Node) recordPlatform(err error) {
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

// recordPlatformVersion compares the platform's version with the newest known. A
// platform that was restored from a backup shows an older one; no daemon
// follows it, and the operators are told.
func (nd *Node) recordPlatformVersion(version uint64) {
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
		case <-time.After(keepCompiled):
			nd.compiler.Reset()
			select {
			case <-ctx.Done():
				return
			case <-newer:
			case <-raised:
			}
		}
	}
}

// keepCompiled is how long what speeds up the next version is kept: versions come in
// quick succession, and what is kept grows with the routes.
const keepCompiled = 10 * time.Second

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
// declared, so that what is kept is bounded by the inventory. Where no inventory
// lists the VMs, the number of the dead is bounded by that of the living.
func (nd *Node) withoutUndeclared(vw *member.View) *member.View {
	sn := nd.Board.Held.Get()
	if len(sn.VMs) == 0 {
		return vw.LimitDead(keepDead)
	}
	return vw.WithoutDead(func(vm string) bool {
		_, declared := sn.VMs[vm]
		return !declared
	})
}

// keepDead is how many records of VMs that have gone are kept beyond as many as
// there are live ones: a day's replacements at the size of the target.
const keepDead = 256
