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

// Timing of the watcher.
const (
	// minRetry and maxRetry bound the wait after failed calls, which doubles between them. The
	// first wait is short, since a watch that is interrupted needs a new read at once. The upper
	// bound limits a daemon whose calls the platform rejects to two calls a second; maxStandbyRetry
	// is the bound for one that only follows in place of others.
	minRetry        = 50 * time.Millisecond
	maxRetry        = 500 * time.Millisecond
	maxStandbyRetry = 2 * time.Second
	// turnPollFast is how often a daemon that does not follow the store checks whether it should
	// while that can change at any moment, and turnPollSlow how often otherwise. Messages about the
	// current followers trigger the check in between.
	turnPollFast = 50 * time.Millisecond
	turnPollSlow = 500 * time.Millisecond
	// relaySilence is how long a daemon may hear no relay before it follows the store itself: one
	// and a half times link.HeartbeatInterval, so that a version accepted while all its relays are
	// suspended is still in force within two seconds.
	relaySilence = link.HeartbeatInterval + link.HeartbeatInterval/2
)

// watcher follows the platform's store for the mesh while it is this daemon's turn.
type watcher struct {
	nd       *Node
	turn     follow.Candidate
	failures int
	// lastAnnounced is when the other relays were last told that this daemon follows the store.
	lastAnnounced time.Time
	// order is the order of the relays among the members of orderView.
	order     []string
	orderView *member.View
}

// storeObservation is the last revision that the store showed, and the version in it, 0 for none.
type storeObservation struct {
	revision store.Revision
	version  uint64
}

// runWatcher follows the store while it is this daemon's turn. Only two relays of the mesh do so,
// and hence the platform's load does not depend on the number of VMs or failure domains.
func (nd *Node) runWatcher(ctx context.Context) {
	wt := &watcher{nd: nd}
	for ctx.Err() == nil {
		links, changed := nd.Board.Links.Watch()
		if !wt.shouldFollow(links.Relay) {
			nd.setFollowing(false)
			select {
			case <-changed:
			case <-nd.watcherWake:
			case <-ctx.Done():
			case <-time.After(wt.turnPollInterval(links.Relay)):
			}
			continue
		}
		err := wt.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		nd.setFollowing(err == nil)
		nd.recordPlatformState(err)
		wt.announceFollow(err)
		if err == nil {
			wt.failures = 0
			nd.poison.syncIfDue(ctx)
			continue
		}
		bound := min(minRetry<<min(wt.failures, 10), wt.maxRetry(links.Relay))
		wt.failures++
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

// turnPollInterval returns the time after which to check again whether it is this daemon's turn.
func (wt *watcher) turnPollInterval(isRelay bool) time.Duration {
	nd := wt.nd
	switch {
	case isRelay && wt.turn.HasVacancy(), !isRelay && time.Since(nd.started) < startRelayWait:
		return turnPollFast
	case isRelay:
		nd.mu.Lock()
		defer nd.mu.Unlock()
		_, next := nd.silentRelays(time.Now())
		return min(turnPollSlow, max(turnPollFast, next))
	}
	return max(turnPollFast, relaySilence-time.Since(nd.relayLastHeard()))
}

// maxRetry returns the upper bound of the wait after failed calls. The regular followers use the
// shorter one, so that they soon notice when the store answers again, and tell the others.
func (wt *watcher) maxRetry(isRelay bool) time.Duration {
	if isRelay && follow.Position(wt.nd.cf.VM, wt.relayOrder()) >= follow.FollowerCount {
		return maxStandbyRetry
	}
	return maxRetry
}

// hearsRelay reports whether a relay has sent anything within relaySilence.
func (nd *Node) hearsRelay() bool { return time.Since(nd.relayLastHeard()) < relaySilence }

// relayLastHeard returns when a relay last sent anything, the zero time if none has.
func (nd *Node) relayLastHeard() (last time.Time) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	for pr := range nd.peers {
		if at := pr.LastHeard(); pr.Relay && at.After(last) {
			last = at
		}
	}
	return last
}

// watchOnce waits for the source's key to change and adopts its version.
func (wt *watcher) watchOnce(ctx context.Context) error {
	nd := wt.nd
	last, version := nd.lastObserved()
	began := time.Now()
	ent, err := nd.cf.Store.Watch(ctx, nd.cf.Source.Key, last, follow.WatchTimeout)
	if err != nil {
		return err
	}
	if ent.Revision == last {
		return nd.handleRead(ctx, began, version)
	}
	return nd.handleEntry(ctx, began, ent)
}

// handleEntry adopts the version in an entry of the source's key, which was read from the store by a
// call that began at the given time.
func (nd *Node) handleEntry(ctx context.Context, began time.Time, ent store.Entry) error {
	version, co, err := nd.cf.Source.Read(ctx, nd.cf.Store, nd.Board.Latest.Get(), ent.Value)
	var se *store.Error
	switch {
	case errors.As(err, &se):
		return err
	case err != nil:
		// Reading the value again would give the same error; the held version stays in force.
		nd.log.Error("version-unreadable", slog.Uint64("version", version), slog.Any("error", err))
		// A value without a readable version is one after those that are known.
		nd.Board.Refuse(&board.Refusal{Version: max(version, nd.Board.LatestVersion()+1), Reason: err.Error()})
		nd.publishHeld()
		nd.setObserved(ent.Revision, 0)
		return nil
	}
	nd.recordPlatformVersion(version)
	if co != nil {
		nd.adoptVersion(version, co)
	}
	nd.setObserved(ent.Revision, version)
	return nd.handleRead(ctx, began, version)
}

// handleRead handles the version returned by a read of the store that began at the given time.
func (nd *Node) handleRead(ctx context.Context, began time.Time, version uint64) error {
	if err := nd.checkEpoch(ctx, version); err != nil {
		return err
	}
	nd.recordFreshRead(began, version)
	nd.restore(ctx, version)
	return nil
}

func (nd *Node) setObserved(rev store.Revision, version uint64) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.observed = storeObservation{revision: rev, version: version}
}

func (nd *Node) recordPlatformState(err error) {
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

// recordPlatformVersion compares the platform's version with the newest known one. A platform that
// was restored from a backup shows an older version; daemons do not adopt it, log an error, and
// report the platform as behind in their status.
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

// runCompiler installs the newest version once it compiles, and the fallback if it is refused.
func (nd *Node) runCompiler(ctx context.Context) {
	var tried, triedFallback uint64
	for {
		cfg, newer := nd.Board.Latest.Watch()
		_, raised := nd.Board.Floor.Watch()
		fb, found := nd.Board.Fallback.Watch()
		if cfg != nil && cfg.Version > tried && nd.Board.MayInstall(cfg.Version) {
			tried = cfg.Version
			nd.compile(cfg)
		}
		if fb != nil && fb.Version > triedFallback && tried > fb.Version && nd.Board.MayInstall(fb.Version) {
			triedFallback = fb.Version
			nd.compile(fb)
		}
		select {
		case <-ctx.Done():
			return
		case <-newer:
		case <-raised:
		case <-found:
		case <-time.After(compilerCacheTTL):
			nd.compiler.Reset()
			select {
			case <-ctx.Done():
				return
			case <-newer:
			case <-raised:
			case <-found:
			}
		}
	}
}

// compilerCacheTTL is how long the compiler keeps data that speeds up the next version. Versions
// tend to come in quick succession, and the data grows with the number of routes.
const compilerCacheTTL = 10 * time.Second

// compile builds the complete snapshot before it swaps a single pointer, so that no request sees
// part of a version. A version that this release cannot compile is refused as a whole, and the held
// one stays in force. The refused version is still forwarded, since another release may support it.
func (nd *Node) compile(cfg *board.Config) {
	start := time.Now()
	sn, err := nd.cf.Compile(cfg.Version, cfg.Content, nd.cf.Domain)
	if err != nil {
		nd.Board.Refuse(&board.Refusal{Version: cfg.Version, Reason: err.Error()})
		nd.log.Error("version-refused", slog.Uint64("version", cfg.Version), slog.Any("error", err))
	} else if nd.Board.Install(sn) {
		nd.Board.InForce.Set(cfg)
		nd.log.Info("version-held", slog.Uint64("version", cfg.Version), slog.String("digest", sn.Digest.String()[:12]),
			slog.Duration("compile", time.Since(start)))
		nd.Board.Members.Update(nd.pruneMembers)
	}
	nd.publishHeld()
}

// publishHeld tells the relays of the failure domain which version is held and which one refused.
func (nd *Node) publishHeld() {
	held := nd.ownHeld()
	nd.mu.Lock()
	nd.summaryDirty = true
	nd.mu.Unlock()
	nd.eachPeer(func(pr *link.Peer) {
		if pr.Record.Domain == nd.cf.Domain && (pr.Relay || pr.Outgoing) {
			pr.SendHeld(held)
		}
	})
	nd.wakeLinker()
}

// pruneMembers drops the records of VMs that are not live and no longer declared, so that the
// inventory bounds the number of records. If no inventory lists the VMs, the number of live members
// bounds that of dead ones.
func (nd *Node) pruneMembers(vw *member.View) *member.View {
	sn := nd.Board.Held.Get()
	if len(sn.VMs) == 0 {
		return vw.LimitDead(maxDeadRecords)
	}
	return vw.WithoutDead(func(vm string) bool {
		_, declared := sn.VMs[vm]
		return !declared
	})
}

// maxDeadRecords is how many records of dead VMs are kept in addition to the number of live ones:
// about a day's replacements in the largest planned mesh.
const maxDeadRecords = 256
