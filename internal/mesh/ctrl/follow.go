package ctrl

import (
	"context"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/follow"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/relay"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// The times of a process that starts.
const (
	// lookTime is how long it waits for its first look at the directory. While the
	// store does not answer there is nothing to follow either.
	lookTime = time.Second
	// bootPatience is how long it waits for a link to others that may bring the
	// configuration, and bootLonger for the configuration once it has one: the first
	// ones of a failure domain have read it by then. When each daemon of a herd
	// reads it by itself, the store is busy for seconds. One that has read it leaves the
	// store to the relays for as long.
	bootPatience = 1200 * time.Millisecond
	bootLonger   = 2 * time.Second
	// bootRelay is how long one that holds a configuration waits for its failure
	// domain to have relays.
	bootRelay = 4 * time.Second
)

// stance is what a process that starts has seen in the directory.
type stance int

// The stances of a process that starts.
const (
	// looking: it has not seen the directory yet.
	looking stance = iota
	// leading: its failure domain has nobody else there, or its VM was there before the
	// process was replaced. It reads the store for the others.
	leading
	// waiting: others are there, who may bring the configuration.
	waiting
)

// stanceOf returns the stance of a daemon that found the others of its failure domain,
// and maybe its own VM, in the directory.
func stanceOf(others []string, own bool) stance {
	if own || len(others) == 0 {
		return leading
	}
	return waiting
}

// mayFollow reports whether this daemon follows the store now: a relay when it is its
// turn, another one while it hears no relay.
func (wt *watcher) mayFollow(isRelay bool) bool {
	nd, now := wt.nd, time.Now()
	if isRelay {
		order := wt.relayOrder()
		nd.mu.Lock()
		defer nd.mu.Unlock()
		return wt.turn.ShouldFollow(nd.cf.VM, order, &nd.followers, now)
	}
	wt.turn = follow.Candidate{}
	return !nd.hearsRelay() && !nd.waitsForOthers(now.Sub(nd.started))
}

// waitsForOthers reports whether a process of an age leaves it to others of its failure
// domain to read the store.
func (nd *Node) waitsForOthers(age time.Duration) bool {
	nd.mu.Lock()
	st, linked := nd.starting, len(nd.peers) > 0
	nd.mu.Unlock()
	switch {
	case st == leading:
		// It has read the store for the others. Who follows it for good is soon known.
		return linked && nd.Board.Held.Get() != nil && age < bootLonger
	case st == looking && !linked:
		return age < lookTime
	case !linked:
		return age < bootPatience
	case nd.Board.Held.Get() == nil:
		return age < bootLonger
	}
	return age < bootRelay
}

// relayOrder returns the relays of all failure domains in the order in which they
// follow the store.
func (wt *watcher) relayOrder() []string {
	vw := wt.nd.Board.Members.Get()
	if wt.orderOf == vw {
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
	wt.order, wt.orderOf = follow.Order(relays), vw
	return wt.order
}

// announceFollow tells the other relays that the store answered this daemon, now and then
// while it does, or that it no longer does.
func (wt *watcher) announceFollow(err error) {
	nd, now := wt.nd, time.Now()
	fo := link.Follow{VM: nd.cf.VM, At: now, Lost: err != nil}
	if !fo.Lost && now.Sub(wt.told) < follow.AnnounceInterval-follow.WatchTimeout/2 {
		return
	}
	wt.told = now
	if fo.Lost {
		wt.told = time.Time{}
	}
	if pl := nd.Board.Platform.Get(); pl != nil {
		fo.Version, fo.Behind = pl.Version, pl.Behind
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.recordFollow(fo) {
		nd.passFollow(fo, nil)
	}
}

// passFollow sends news of a daemon that follows to the other relays. What came from
// another failure domain is passed on within the own one, and no further: each relay has
// a link to the others of its own, and one to each other failure domain. nd.mu is held.
func (nd *Node) passFollow(fo link.Follow, from *link.Peer) {
	for pr := range nd.peers {
		if !pr.Relay || pr == from {
			continue
		}
		if from == nil || from.Record.Domain != nd.cf.Domain && pr.Record.Domain == nd.cf.Domain {
			pr.SendFollow(fo)
		}
	}
}

// recordFollow keeps news of a daemon that follows, and reports whether it is any; nd.mu is
// held.
func (nd *Node) recordFollow(fo link.Follow) bool {
	if fo.Lost {
		nd.lookSoon()
		return nd.followers.RecordLoss(fo.VM, fo.At)
	}
	return nd.followers.RecordAnswer(fo.VM, fo.At)
}

// handleFollow notes that a daemon follows the store, or no longer does.
func (nd *Node) handleFollow(from *link.Peer, fo link.Follow) {
	if !nd.isRelay() || fo.VM == nd.cf.VM {
		return
	}
	nd.mu.Lock()
	news := nd.recordFollow(fo)
	if news {
		nd.passFollow(fo, from)
	}
	nd.mu.Unlock()
	if news && !fo.Lost && fo.Version > 0 {
		nd.recordStore(fo)
	}
}

// recordStore keeps what another daemon saw in the store, where this one does not look.
func (nd *Node) recordStore(fo link.Follow) {
	nd.Board.Platform.Update(func(cur *board.Platform) *board.Platform {
		if cur != nil && cur.Err == nil && cur.Version == fo.Version && cur.Behind == fo.Behind {
			return cur
		}
		return &board.Platform{Version: fo.Version, Behind: fo.Behind, Since: time.Now()}
	})
}

// loseFollower notes that the last link to a relay broke: if it followed the store, it
// may be gone, and those who stand in must not wait until its word is too old. The first
// ones to stand in have links to those who follow, so nobody else is told.
func (nd *Node) loseFollower(pr *link.Peer) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if pr.Relay && !nd.linkedToVM(pr.Record.VM) {
		nd.followers.RecordLoss(pr.Record.VM, time.Now())
		nd.lookSoon()
	}
}

// linkedToVM reports whether a link leads to a VM; nd.mu is held.
func (nd *Node) linkedToVM(vm string) bool {
	for pr := range nd.peers {
		if pr.Record.VM == vm {
			return true
		}
	}
	return false
}

// proof is when the store was asked last for the operators' newest version and gave
// it, for a platform whose store is never set back.
type proof struct {
	at      time.Time
	version uint64
}

// recordProof keeps that a read of the store which began at a moment showed the newest
// version, and tells the peers whose processes ran by then: they may hold that version,
// since none that a former process of their VM held can be newer.
func (nd *Node) recordProof(began time.Time, version uint64) {
	if !nd.cf.Source.Linearizable || version == 0 || version < nd.Board.LatestVersion() || !nd.complete() {
		return
	}
	nd.Board.RaiseFloor(version, true)
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.proof = proof{at: began, version: version}
	for pr := range nd.peers {
		nd.proveTo(pr)
	}
}

// proveTo tells a peer the newest version, once on each link, if it was read after the
// peer's process started; nd.mu is held.
func (nd *Node) proveTo(pr *link.Peer) {
	if pr.SentNewest || nd.proof.version == 0 || pr.RunningSince.IsZero() || earlier(nd.proof.at, pr.RunningSince) {
		return
	}
	pr.SentNewest = true
	version := nd.proof.version
	pr.UpdateNext(func(pk *wirepb.Packet) { pk.Newest = version })
}

// earlier reports whether a time may be before another one. A process that was suspended
// between the two takes them for closer than they are by its steady clock, which the
// clock of the wall shows.
func earlier(a, b time.Time) bool { return a.Before(b) || a.Round(0).Before(b.Round(0)) }

// runProofs reads the store for peers that start while there is no relay to tell them
// what they may hold. A read that finds nothing new carries no value.
func (nd *Node) runProofs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-nd.unproven:
		}
		if pause(ctx, proofGather) != nil {
			return
		}
		seen, version := nd.seenVersion()
		if version == 0 {
			// The first read is under way, and will be told to them.
			continue
		}
		began := time.Now()
		ent, err := nd.cf.Store.Watch(ctx, nd.cf.Source.Key, seen, 0)
		if err == nil && ent.Revision == seen {
			nd.recordProof(began, version)
		}
	}
}

// proofGather is how long a read for peers that start waits for more of them.
const proofGather = 50 * time.Millisecond

// wantProof asks for a read for a peer that starts.
func (nd *Node) wantProof() {
	select {
	case nd.unproven <- struct{}{}:
	default:
	}
}

// seenVersion returns the revision that the store showed last, and its version.
func (nd *Node) seenVersion() (store.Revision, uint64) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.seen.revision, nd.seen.version
}

// setStance notes what the first look at the directory showed.
func (nd *Node) setStance(st stance) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.starting == looking {
		nd.starting = st
	}
}

// lookSoon lets the watcher look whether it is this daemon's turn.
func (nd *Node) lookSoon() {
	select {
	case nd.lookAgain <- struct{}{}:
	default:
	}
}

// fromWireFollow reads when the store answered a daemon.
func fromWireFollow(pb *wirepb.Follow, now time.Time) link.Follow {
	age := time.Duration(min(pb.GetAgeMs(), uint64(time.Hour.Milliseconds()))) * time.Millisecond
	return link.Follow{VM: pb.GetVm(), At: now.Add(-age), Lost: pb.GetLost(), Version: pb.GetVersion(), Behind: pb.GetBehind()}
}
