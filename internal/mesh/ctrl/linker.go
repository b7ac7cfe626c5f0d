package ctrl

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/relay"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
)

// Timing of the linker.
const (
	// linkTick is how often links are reconciled while any of them needs a change, and idleTick how
	// often otherwise. Changes of members trigger it in between.
	linkTick = 250 * time.Millisecond
	idleTick = 5 * time.Second
	// minBackoff and maxBackoff bound the wait before an address is tried again. The wait is drawn
	// from the whole range below the bound, so that daemons that lost the same relay do not all
	// reconnect at once.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// failureTTL is how long failed attempts count against an address.
	failureTTL = 10 * time.Second
	// stableAfter is how long a link must last for its backoff to be reset.
	stableAfter = 5 * time.Second
	// gracePeriod is how long a choice must stay changed before a working link or the role of relay
	// is given up.
	gracePeriod = 3 * time.Second
	// promoteAfter is how long a daemon must have been chosen before it becomes a relay. A daemon
	// that has just started knows few members and is nearly always among the first three of them.
	promoteAfter = time.Second
	// discoveryTime is how long a daemon without links searches for others before it assumes that
	// it is the first one of its failure domain.
	discoveryTime = 1500 * time.Millisecond
)

// linker maintains the links that this daemon opens.
type linker struct {
	nd      *Node
	open    map[string]*outLink
	backoff map[string]*backoff
	// isChosen says whether this daemon counts itself among the relays, chosenSince since when.
	isChosen    bool
	chosenSince time.Time
	ended       chan *outLink
	directory   directory
	// ownRelayCache has the relays chosen among the members of ownRelayView.
	ownRelayCache []*member.Record
	ownRelayView  *member.View
	// chosen has the relays last chosen for the local failure domain.
	chosen atomic.Pointer[[]*member.Record]
	// willRelay is set once this daemon has been chosen as a relay for countAfter.
	willRelay atomic.Bool
}

type outLink struct {
	addr          string
	cancel        context.CancelFunc
	since         time.Time
	unwantedSince time.Time
	// failed is set when a link ends that was never established or whose peer timed out.
	failed bool
}

type backoff struct {
	bound  time.Duration
	until  time.Time
	failed bool
}

func newLinker(nd *Node) *linker {
	return &linker{
		nd: nd, open: map[string]*outLink{}, backoff: map[string]*backoff{},
		ended: make(chan *outLink),
	}
}

func (lk *linker) run(ctx context.Context) {
	for {
		wait := idleTick
		if lk.reconcile(ctx) {
			wait = linkTick
		}
		select {
		case <-ctx.Done():
			lk.waitClosed()
			return
		case ol := <-lk.ended:
			lk.handleClosed(ol)
		case <-time.After(wait):
		case <-lk.nd.linkerWake:
		}
	}
}

// waitClosed waits for the links to end after their context was cancelled.
func (lk *linker) waitClosed() {
	for len(lk.open) > 0 {
		ol := <-lk.ended
		delete(lk.open, ol.addr)
	}
}

func (lk *linker) handleClosed(ol *outLink) {
	delete(lk.open, ol.addr)
	bo := lk.backoff[ol.addr]
	if bo == nil || time.Since(ol.since) > stableAfter {
		bo = &backoff{bound: minBackoff}
	} else {
		bo = &backoff{bound: min(2*bo.bound, maxBackoff)}
	}
	bo.failed = ol.failed
	bo.until = time.Now().Add(rand.N(bo.bound))
	lk.backoff[ol.addr] = bo
}

// reconcile opens the links that are missing and closes those no longer wanted. It reports whether
// any change is pending.
func (lk *linker) reconcile(ctx context.Context) (waiting bool) {
	if ctx.Err() != nil {
		return false
	}
	now := time.Now()
	lk.pruneBackoff(now)
	lk.setRole()
	want := lk.wanted()
	for _, addr := range want {
		if lk.open[addr] != nil {
			continue
		}
		waiting = true
		if lk.mayDial(addr) {
			lk.dial(ctx, addr)
		}
	}
	for _, ol := range lk.open {
		switch {
		case slices.Contains(want, ol.addr):
			ol.unwantedSince = time.Time{}
		case ol.unwantedSince.IsZero():
			ol.unwantedSince = now
			waiting = true
		case now.Sub(ol.unwantedSince) > gracePeriod:
			ol.cancel()
		default:
			waiting = true
		}
	}
	return waiting || !lk.membersKnown() || lk.isChosen != lk.nd.isRelay()
}

// pruneBackoff deletes failures older than failureTTL.
func (lk *linker) pruneBackoff(now time.Time) {
	for addr, bo := range lk.backoff {
		if now.Sub(bo.until) > failureTTL {
			delete(lk.backoff, addr)
		}
	}
}

func (lk *linker) mayDial(addr string) bool {
	bo := lk.backoff[addr]
	return bo == nil || time.Now().After(bo.until)
}

// failing reports whether the last link to an address failed recently.
func (lk *linker) failing(addr string) bool {
	bo := lk.backoff[addr]
	return bo != nil && bo.failed && time.Since(bo.until) < failureTTL
}

// relaysOf returns the relays of a failure domain among the members that this daemon can reach.
// Only relays mark members as gone: if all relays of a failure domain fail together, they
// are not marked, and other daemons would try to reach them forever. So each daemon leaves out those
// that it fails to reach.
func (lk *linker) relaysOf(domain string) []*member.Record {
	live := lk.nd.Board.Members.Get().Live(domain)
	failing := func(rc *member.Record) bool { return lk.failing(rc.Control) }
	if slices.ContainsFunc(live, failing) {
		live = slices.DeleteFunc(slices.Clone(live), failing)
	}
	return relay.Choose(live)
}

// ownRelays returns the relays of the local failure domain. While no address has failed the choice
// depends on the members alone, and is cached. A choice that leaves out a failed address must not
// be cached: with it, a daemon that starts before its relays would stay linked to a member that is
// no relay, hear no relay, and follow the store itself permanently.
func (lk *linker) ownRelays() []*member.Record {
	vw := lk.nd.Board.Members.Get()
	if len(lk.backoff) > 0 {
		lk.ownRelayView = nil
		return lk.relaysOf(lk.nd.cf.Domain)
	}
	if lk.ownRelayView != vw || vw == nil {
		lk.ownRelayView, lk.ownRelayCache = vw, lk.relaysOf(lk.nd.cf.Domain)
	}
	return lk.ownRelayCache
}

// chosenRelays returns the daemons that are relays of the local failure domain, or will be. It may be
// called by any goroutine.
func (lk *linker) chosenRelays() []*member.Record {
	if list := lk.chosen.Load(); list != nil {
		return *list
	}
	return nil
}

// setRole makes the daemon a relay once it has been chosen for promoteAfter, and removes the role
// once it has not been chosen for gracePeriod.
func (lk *linker) setRole() {
	nd := lk.nd
	own := lk.ownRelays()
	lk.chosen.Store(&own)
	chosen := slices.ContainsFunc(own, func(rc *member.Record) bool { return rc.VM == nd.cf.VM })
	if chosen && !lk.membersKnown() {
		chosen = false
	}
	now := time.Now()
	if chosen != lk.isChosen || lk.chosenSince.IsZero() {
		lk.isChosen, lk.chosenSince = chosen, now
	}
	lk.willRelay.Store(chosen && now.Sub(lk.chosenSince) >= countAfter)
	after := gracePeriod
	if chosen {
		after = promoteAfter
	}
	if chosen == nd.isRelay() || now.Sub(lk.chosenSince) < after {
		return
	}
	nd.Board.Links.Update(func(cur *board.Links) *board.Links {
		return &board.Links{Relay: chosen, Peers: cur.Peers}
	})
	nd.mu.Lock()
	nd.summaryDirty = true
	nd.mu.Unlock()
	nd.eachPeer(func(pr *link.Peer) {
		nd.sendHello(pr)
		if chosen {
			floor := nd.minVersionFor(pr.Record)
			pr.UpdateNext(func(pk *wirepb.Packet) { pk.Welcome = &wirepb.Welcome{Floor: floor} })
		}
	})
}

// membersKnown reports whether the daemon knows enough of its failure domain's members to choose
// relays: it has a link, or has searched for one for discoveryTime.
func (lk *linker) membersKnown() bool {
	lk.nd.mu.Lock()
	linked := len(lk.nd.peers) > 0
	lk.nd.mu.Unlock()
	return linked || time.Since(lk.nd.started) > discoveryTime
}

// wanted returns the addresses to which links should be open.
func (lk *linker) wanted() []string {
	nd := lk.nd
	set := map[string]bool{}
	add := func(addr string) {
		if addr != "" && addr != nd.cf.Control {
			set[addr] = true
		}
	}
	own := lk.ownRelays()
	if nd.isRelay() {
		for _, rc := range own {
			if rc.VM > nd.cf.VM {
				add(rc.Control)
			}
		}
		lk.addRemoteRelays(own, add)
	} else {
		lk.addUpstream(own, add)
	}
	lk.addUndiscovered(add)
	if len(set) == 0 && lk.alone() {
		for _, addr := range nd.cf.Seeds {
			add(addr)
		}
	}
	var list []string
	for addr := range set {
		list = append(list, addr)
	}
	slices.Sort(list)
	return list
}

func (lk *linker) alone() bool {
	lk.nd.mu.Lock()
	defer lk.nd.mu.Unlock()
	return len(lk.nd.peers) == 0
}

// addUpstream adds the relay that a daemon which is no relay links to, the first in an order
// specific to its VM.
func (lk *linker) addUpstream(own []*member.Record, add func(string)) {
	for _, rc := range relay.Order(own, lk.nd.cf.VM) {
		if rc.VM != lk.nd.cf.VM {
			add(rc.Control)
			return
		}
	}
}

// addRemoteRelays adds relays of other failure domains. For each pair of failure domains, the
// relays of the one whose name sorts first open the links, each to the relays whose rank matches
// its own, so that every relay has one.
func (lk *linker) addRemoteRelays(own []*member.Record, add func(string)) {
	nd := lk.nd
	rank := slices.IndexFunc(own, func(rc *member.Record) bool { return rc.VM == nd.cf.VM })
	if rank < 0 {
		return
	}
	for _, dm := range nd.otherDomains() {
		theirs := lk.relaysOf(dm)
		if dm < nd.cf.Domain {
			// The other side opens the link. After a partition that may take a while, so a relay
			// without a link opens one itself.
			if lk.linkedTo(dm) || len(theirs) == 0 {
				continue
			}
		}
		for i, rc := range theirs {
			if i%len(own) == rank || rank%len(theirs) == i {
				add(rc.Control)
			}
		}
	}
}

func (lk *linker) linkedTo(domain string) bool {
	lk.nd.mu.Lock()
	defer lk.nd.mu.Unlock()
	for pr := range lk.nd.peers {
		if pr.Record.Domain == domain {
			return true
		}
	}
	return false
}

// Limits on links to addresses from the directory whose daemons are not known as members yet.
const (
	// maxUndiscoveredLocal bounds such links within the local failure domain. The first daemon
	// reached makes the others known, so more are not needed: if many daemons starting together
	// linked to every address, each link would carry every record. Two allow for one address that
	// does not answer.
	maxUndiscoveredLocal = 2
	// maxUndiscoveredRemote bounds such links to each other failure domain. Only a relay or a
	// registered daemon opens them.
	maxUndiscoveredRemote = 1
)

// addUndiscovered adds directory addresses whose daemons are not known as members yet, a few at a
// time and in an order specific to this VM.
func (lk *linker) addUndiscovered(add func(string)) {
	known := lk.nd.Board.Members.Get()
	represents := lk.nd.isRelay() || lk.nd.registered.Load()
	for domain, addrs := range lk.directory.addresses {
		limit := maxUndiscoveredLocal
		if domain != lk.nd.cf.Domain {
			if !represents {
				continue
			}
			limit = maxUndiscoveredRemote
		}
		for _, addr := range relay.OrderAddresses(addrs, lk.nd.cf.VM) {
			if limit == 0 {
				break
			}
			if !known.LiveControls[addr] && !lk.failing(addr) {
				add(addr)
				limit--
			}
		}
	}
}

func (lk *linker) dial(ctx context.Context, addr string) {
	ctx, cancel := context.WithCancel(ctx)
	ol := &outLink{addr: addr, cancel: cancel, since: time.Now()}
	started := lk.nd.background(func() {
		defer cancel()
		ol.failed = lk.nd.runLink(ctx, addr)
		lk.ended <- ol
	})
	if !started {
		cancel()
		return
	}
	lk.open[addr] = ol
}

// runLink opens a link and keeps it until it ends. It reports whether the peer failed: the link
// was never established, or the peer timed out.
func (nd *Node) runLink(ctx context.Context, addr string) (failed bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bs := nd.linkClient(addr).Link(ctx)
	pr := link.New(link.Stream{
		Send:    bs.Send,
		Receive: bs.Receive,
		Abort: func() {
			cancel()
			// Closing waits for the peer's response, and cancelling the context ends that wait.
			if err := errors.Join(bs.CloseRequest(), bs.CloseResponse()); err != nil {
				nd.log.Debug("link-closed", slog.String("address", addr), slog.Any("error", err))
			}
		},
	}, nd.offer)
	pr.Outgoing, pr.Addr, pr.OnSent = true, addr, nd.countSent
	nd.sendHello(pr)
	err := pr.Run(ctx, nd.handlePacket)
	nd.removePeer(pr, err)
	return !pr.Ready || errors.Is(err, link.ErrPeerTimeout)
}
