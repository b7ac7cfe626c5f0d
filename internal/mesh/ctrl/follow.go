package ctrl

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/follow"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/relay"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// How long a process that starts leaves it to other daemons to read the store.
const (
	// startDirectoryWait is how long it waits for its first directory look-up. While the store does
	// not answer, there is nothing to follow either.
	startDirectoryWait = time.Second
	// startLinkWait is how long it waits for a link to a daemon that may supply the configuration,
	// and startConfigWait how long it then waits for the configuration: the first daemons of a
	// failure domain have read it by then. If every one of many daemons starting together read it
	// from the store, the store would be busy for seconds. A daemon that has read the configuration
	// itself leaves the store to the relays for startConfigWait as well.
	startLinkWait   = 1200 * time.Millisecond
	startConfigWait = 2 * time.Second
	// startRelayWait is how long a daemon that holds a configuration waits for its failure domain
	// to have relays.
	startRelayWait = 4 * time.Second
)

// startRole says whether a process that starts reads the store itself, according to its first
// directory look-up.
type startRole int

// The start roles.
const (
	// startUndecided means that the directory has not been read yet.
	startUndecided startRole = iota
	// startReader means that no other daemon of the failure domain is registered, or that the VM
	// itself was, before its process was replaced. The process reads the store for the others.
	startReader
	// startWaiter means that others are registered, which may supply the configuration.
	startWaiter
)

// startRoleFor returns the start role of a daemon that found the given other daemons of its failure
// domain in the directory; own says whether it also found its own VM.
func startRoleFor(others []string, own bool) startRole {
	if own || len(others) == 0 {
		return startReader
	}
	return startWaiter
}

// shouldFollow reports whether this daemon should follow the store now: a relay when it is its
// turn, any other daemon while it hears no relay.
func (wt *watcher) shouldFollow(isRelay bool) bool {
	nd, now := wt.nd, time.Now()
	if isRelay {
		order := wt.relayOrder()
		nd.mu.Lock()
		defer nd.mu.Unlock()
		silent, _ := nd.silentRelays(now)
		return wt.turn.ShouldFollow(nd.cf.VM, order, silent, &nd.followers, now)
	}
	wt.turn = follow.Candidate{}
	return !nd.hearsRelay() && !nd.defersToOthers(now.Sub(nd.started))
}

// silentRelays returns the relays that have a link to this daemon and have sent nothing for
// relaySilence, and the time until the next one has; nd.mu is held.
func (nd *Node) silentRelays(now time.Time) (silent []string, next time.Duration) {
	lastHeard := map[string]time.Time{}
	for pr := range nd.peers {
		if at := pr.LastHeard(); pr.Relay && at.After(lastHeard[pr.Record.VM]) {
			lastHeard[pr.Record.VM] = at
		}
	}
	next = relaySilence
	for vm, at := range lastHeard {
		if left := relaySilence - now.Sub(at); left > 0 {
			next = min(next, left)
		} else {
			silent = append(silent, vm)
		}
	}
	return silent, next
}

// defersToOthers reports whether a process of the given age leaves it to others of its failure
// domain to read the store.
func (nd *Node) defersToOthers(age time.Duration) bool {
	nd.mu.Lock()
	st, linked := nd.startRole, len(nd.peers) > 0
	nd.mu.Unlock()
	switch {
	case st == startReader:
		// It has read the store for the others. The relays that follow it from now on are known soon.
		return linked && nd.Board.Held.Get() != nil && age < startConfigWait
	case st == startUndecided && !linked:
		return age < startDirectoryWait
	case !linked:
		return age < startLinkWait
	case nd.Board.Held.Get() == nil:
		return age < startConfigWait
	}
	return age < startRelayWait
}

// relayOrder returns the relays of all failure domains in the order in which they take turns
// following the store.
func (wt *watcher) relayOrder() []string {
	vw := wt.nd.Board.Members.Get()
	if wt.orderView == vw {
		return wt.order
	}
	var domains []string
	for dm := range vw.LiveByDomain {
		domains = append(domains, dm)
	}
	slices.Sort(domains)
	var relays [][]string
	for _, dm := range domains {
		var own []string
		for _, rc := range relay.Choose(vw.Live(dm)) {
			own = append(own, rc.VM)
		}
		relays = append(relays, own)
	}
	wt.order, wt.orderView = follow.Order(relays), vw
	return wt.order
}

// announceFollow tells the other relays that the store answers this daemon, about every
// follow.AnnounceInterval, or at once that it no longer does.
func (wt *watcher) announceFollow(err error) {
	nd, now := wt.nd, time.Now()
	fo := link.Follow{VM: nd.cf.VM, At: now, Lost: err != nil}
	if !fo.Lost && now.Sub(wt.lastAnnounced) < follow.AnnounceInterval-follow.WatchTimeout/2 {
		return
	}
	wt.lastAnnounced = now
	if fo.Lost {
		wt.lastAnnounced = time.Time{}
	}
	if pl := nd.Board.Platform.Get(); pl != nil {
		fo.Version, fo.Behind = pl.Version, pl.Behind
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.recordFollow(fo) {
		nd.forwardFollow(fo, nil)
	}
}

// forwardFollow sends the state of a daemon that follows the store to the other relays. State from
// another failure domain is forwarded only within the local one: each relay has links to the other
// relays of its own failure domain and one to each other failure domain. nd.mu is held.
func (nd *Node) forwardFollow(fo link.Follow, from *link.Peer) {
	for pr := range nd.peers {
		if !pr.Relay || pr == from {
			continue
		}
		if from == nil || from.Record.Domain != nd.cf.Domain && pr.Record.Domain == nd.cf.Domain {
			pr.SendFollow(fo)
		}
	}
}

// recordFollow records the state of a daemon that follows the store, and reports whether it is new;
// nd.mu is held.
func (nd *Node) recordFollow(fo link.Follow) bool {
	if fo.Lost {
		nd.wakeWatcher()
		return nd.followers.RecordLoss(fo.VM, fo.At)
	}
	return nd.followers.RecordAnswer(fo.VM, fo.At)
}

// handleFollow handles a message that a daemon follows the store, or no longer does.
func (nd *Node) handleFollow(from *link.Peer, fo link.Follow) {
	if !nd.isRelay() || fo.VM == nd.cf.VM {
		return
	}
	nd.mu.Lock()
	changed := nd.recordFollow(fo)
	if changed {
		nd.forwardFollow(fo, from)
	}
	nd.mu.Unlock()
	if changed && !fo.Lost && fo.Version > 0 {
		nd.recordRemotePlatform(fo)
	}
}

// recordRemotePlatform records what another daemon saw in the store, on a daemon that does not read
// it itself.
func (nd *Node) recordRemotePlatform(fo link.Follow) {
	nd.Board.Platform.Update(func(cur *board.Platform) *board.Platform {
		if cur != nil && cur.Err == nil && cur.Version == fo.Version && cur.Behind == fo.Behind {
			return cur
		}
		return &board.Platform{Version: fo.Version, Behind: fo.Behind, Since: time.Now()}
	})
}

// handleRelayLoss handles the loss of the last link to a relay. If the relay followed the store it
// may be gone, and its replacements must not wait until its last message has expired. The first
// replacements in order have links to the followers themselves, so nobody else is told.
func (nd *Node) handleRelayLoss(pr *link.Peer) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if pr.Relay && !nd.linkedToVM(pr.Record.VM) {
		nd.followers.RecordLoss(pr.Record.VM, time.Now())
		nd.wakeWatcher()
	}
}

// linkedToVM reports whether there is a link to a VM; nd.mu is held.
func (nd *Node) linkedToVM(vm string) bool {
	for pr := range nd.peers {
		if pr.Record.VM == vm {
			return true
		}
	}
	return false
}

// freshRead is the last read of the store that confirmed the operators' newest version, for sources
// whose reads are linearizable.
type freshRead struct {
	at      time.Time
	version uint64
}

// recordFreshRead records that a read of the store which began at the given time returned the
// newest version, and tells the peers whose processes were running by then. They may install that
// version, since no predecessor can have held a newer one.
func (nd *Node) recordFreshRead(began time.Time, version uint64) {
	if !nd.cf.Source.Linearizable || version == 0 || version < nd.Board.LatestVersion() || !nd.storeComplete() {
		return
	}
	nd.Board.RaiseFloor(version, true)
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.freshRead = freshRead{at: began, version: version}
	for pr := range nd.peers {
		nd.sendNewest(pr)
	}
}

// sendNewest tells a peer the newest version, once per link, if it was read after the peer's
// process started; nd.mu is held.
func (nd *Node) sendNewest(pr *link.Peer) {
	if pr.SentNewest || nd.freshRead.version == 0 || pr.RunningSince.IsZero() || mayPrecede(nd.freshRead.at, pr.RunningSince) {
		return
	}
	pr.SentNewest = true
	version := nd.freshRead.version
	pr.UpdateNext(func(pk *wirepb.Packet) { pk.Newest = version })
}

// mayPrecede reports whether time a may be before time b. If the process was suspended between
// them, the monotonic clock shows a smaller difference than the wall clock, so both are compared.
func mayPrecede(a, b time.Time) bool { return a.Before(b) || a.Round(0).Before(b.Round(0)) }

// runFreshReads reads the store on behalf of peers that start while there is no relay to tell them
// which version they may install. A read that finds no change transfers no value.
func (nd *Node) runFreshReads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-nd.freshReadWanted:
		}
		if pause(ctx, freshReadBatchTime) != nil {
			return
		}
		rev, version := nd.lastObserved()
		if version == 0 && (nd.Board.Latest.Get() == nil || !nd.isStartReader()) {
			// The first read is in progress, or is made by another daemon.
			continue
		}
		began := time.Now()
		ent, err := nd.cf.Store.Watch(ctx, nd.cf.Source.Key, rev, 0)
		switch {
		case err != nil:
		case ent.Revision == rev:
			nd.recordFreshRead(began, version)
		case version == 0:
			// Another daemon has read the version for this one, which its peers do not know.
			err = nd.handleEntry(ctx, began, ent)
		}
		if err != nil && ctx.Err() == nil {
			nd.log.Debug("fresh-read-failed", slog.Any("error", err))
		}
	}
}

// freshReadBatchTime is how long a read on behalf of starting peers is delayed so that it serves
// more of them.
const freshReadBatchTime = 50 * time.Millisecond

// requestFreshRead requests a read of the store on behalf of a peer that starts.
func (nd *Node) requestFreshRead() {
	select {
	case nd.freshReadWanted <- struct{}{}:
	default:
	}
}

// lastObserved returns the revision that the store showed last, and the version in it.
func (nd *Node) lastObserved() (store.Revision, uint64) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.observed.revision, nd.observed.version
}

// setStartRole records the result of the first directory look-up.
func (nd *Node) setStartRole(st startRole) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.startRole != startUndecided {
		return
	}
	nd.startRole = st
	if st == startReader {
		// Peers may have asked before.
		nd.requestFreshRead()
	}
}

// isStartReader reports whether this daemon reads the store for others that start: they find its
// address in the directory, and may have links to no other daemon that has read the store.
func (nd *Node) isStartReader() bool {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.startRole == startReader || nd.registered.Load()
}

// wakeWatcher makes the watcher check whether it should follow the store.
func (nd *Node) wakeWatcher() {
	select {
	case nd.watcherWake <- struct{}{}:
	default:
	}
}

// fromWireFollow decodes the state of a daemon that follows the store.
func fromWireFollow(pb *wirepb.Follow, now time.Time) link.Follow {
	age := time.Duration(min(pb.GetAgeMs(), uint64(time.Hour.Milliseconds()))) * time.Millisecond
	return link.Follow{VM: pb.GetVm(), At: now.Add(-age), Lost: pb.GetLost(), Version: pb.GetVersion(), Behind: pb.GetBehind()}
}
