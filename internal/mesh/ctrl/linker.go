package ctrl

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/relay"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
)

// The times of the linker.
const (
	// linkTick is how often links are looked at while any is not as it should
	// be, idleTick how often otherwise; news of members comes in between.
	linkTick = 250 * time.Millisecond
	idleTick = 5 * time.Second
	// firstBackoff and mostBackoff bound the wait before an address is tried
	// again; the wait is drawn from the whole range below the bound, so that
	// daemons which lost one relay together do not come back together.
	firstBackoff = 200 * time.Millisecond
	mostBackoff  = 5 * time.Second
	// failingFor is how long failed attempts count against an address.
	failingFor = 10 * time.Second
	// stable is how long a link must last for its backoff to start anew.
	stable = 5 * time.Second
	// grace is how long a choice must have changed before a working link or
	// the role of a relay is given up.
	grace = 3 * time.Second
	// promoteAfter is how long a daemon must have been chosen before it becomes
	// a relay. One that has just started knows few members and is nearly always
	// among the first three of them.
	promoteAfter = time.Second
	// bootTime is how long a daemon without links looks for others before it
	// takes itself for the first of its failure domain.
	bootTime = 1500 * time.Millisecond
)

// linker keeps the links that this daemon opens.
type linker struct {
	nd      *Node
	open    map[string]*outLink
	backoff map[string]*backoff
	// chosenNow is whether this daemon is among the relays by its own choice,
	// chosenAt since when.
	chosenNow bool
	chosenAt  time.Time
	ended     chan *outLink
	dirs      directory
	// chosen is the choice of relays among the members chosenOf.
	chosen   []*member.Record
	chosenOf *member.View
}

type outLink struct {
	addr     string
	cancel   context.CancelFunc
	since    time.Time
	unwanted time.Time
	// failed is set at the end of a link that never came up or fell silent.
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
		if lk.look(ctx) {
			wait = linkTick
		}
		select {
		case <-ctx.Done():
			lk.drain()
			return
		case ol := <-lk.ended:
			lk.closed(ol)
		case <-time.After(wait):
		case <-lk.nd.kick:
		}
	}
}

// drain waits for the links to end after their context has.
func (lk *linker) drain() {
	for len(lk.open) > 0 {
		ol := <-lk.ended
		delete(lk.open, ol.addr)
	}
}

func (lk *linker) closed(ol *outLink) {
	delete(lk.open, ol.addr)
	bo := lk.backoff[ol.addr]
	if bo == nil || time.Since(ol.since) > stable {
		bo = &backoff{bound: firstBackoff}
	} else {
		bo = &backoff{bound: min(2*bo.bound, mostBackoff)}
	}
	bo.failed = ol.failed
	bo.until = time.Now().Add(rand.N(bo.bound))
	lk.backoff[ol.addr] = bo
}

// look compares the links that should be open with those that are, and tells
// whether anything is waiting for its time.
func (lk *linker) look(ctx context.Context) (waiting bool) {
	if ctx.Err() != nil {
		return false
	}
	now := time.Now()
	lk.forget(now)
	lk.setRole()
	want := lk.wanted()
	for _, addr := range want {
		if lk.open[addr] != nil {
			continue
		}
		waiting = true
		if lk.ready(addr) {
			lk.dial(ctx, addr)
		}
	}
	for _, ol := range lk.open {
		switch {
		case slices.Contains(want, ol.addr):
			ol.unwanted = time.Time{}
		case ol.unwanted.IsZero():
			ol.unwanted = now
			waiting = true
		case now.Sub(ol.unwanted) > grace:
			ol.cancel()
		default:
			waiting = true
		}
	}
	return waiting || !lk.settled() || lk.chosenNow != lk.nd.isRelay()
}

// forget drops the failures that no longer count.
func (lk *linker) forget(now time.Time) {
	for addr, bo := range lk.backoff {
		if now.Sub(bo.until) > failingFor {
			delete(lk.backoff, addr)
		}
	}
}

func (lk *linker) ready(addr string) bool {
	bo := lk.backoff[addr]
	return bo == nil || time.Now().After(bo.until)
}

// failing reports whether the last link to an address failed.
func (lk *linker) failing(addr string) bool {
	bo := lk.backoff[addr]
	return bo != nil && bo.failed && time.Since(bo.until) < failingFor
}

// relaysOf returns the relays of a failure domain as far as this daemon can
// reach them. Only relays mark members as gone: when all relays of a failure
// domain die together nobody does, and the others would wait for them for ever.
// So each daemon leaves out those that it cannot reach itself.
func (lk *linker) relaysOf(domain string) []*member.Record {
	live := lk.nd.Board.Members.Get().Live(domain)
	failing := func(rc *member.Record) bool { return lk.failing(rc.Control) }
	if slices.ContainsFunc(live, failing) {
		live = slices.DeleteFunc(slices.Clone(live), failing)
	}
	return relay.Choose(live)
}

// ownRelays returns the relays of the own failure domain. While no link fails
// the choice depends on the members alone, and is kept. One that leaves out an address
// which failed is not: a daemon that started before its relays kept to a plain member
// for good, heard no relay, and followed the store by itself.
func (lk *linker) ownRelays() []*member.Record {
	vw := lk.nd.Board.Members.Get()
	if len(lk.backoff) > 0 {
		lk.chosenOf = nil
		return lk.relaysOf(lk.nd.cf.Domain)
	}
	if lk.chosenOf != vw || vw == nil {
		lk.chosenOf, lk.chosen = vw, lk.relaysOf(lk.nd.cf.Domain)
	}
	return lk.chosen
}

// setRole makes the daemon a relay once it is chosen, and takes the role away
// when it has not been chosen for some time.
func (lk *linker) setRole() {
	nd := lk.nd
	chosen := slices.ContainsFunc(lk.ownRelays(), func(rc *member.Record) bool { return rc.VM == nd.cf.VM })
	if chosen && !lk.settled() {
		chosen = false
	}
	now := time.Now()
	if chosen != lk.chosenNow || lk.chosenAt.IsZero() {
		lk.chosenNow, lk.chosenAt = chosen, now
	}
	after := grace
	if chosen {
		after = promoteAfter
	}
	if chosen == nd.isRelay() || now.Sub(lk.chosenAt) < after {
		return
	}
	nd.Board.Links.Update(func(cur *board.Links) *board.Links {
		return &board.Links{Relay: chosen, Peers: cur.Peers}
	})
	nd.mu.Lock()
	nd.sumDirty = true
	nd.mu.Unlock()
	nd.eachPeer(func(pr *link.Peer) {
		nd.sendHello(pr)
		if chosen {
			floor := nd.minVersionFor(pr.Record)
			pr.UpdateNext(func(pk *wirepb.Packet) { pk.Welcome = &wirepb.Welcome{Floor: floor} })
		}
	})
}

// settled reports whether the daemon knows its failure domain well enough to
// choose: it has a link, or has looked for one long enough.
func (lk *linker) settled() bool {
	lk.nd.mu.Lock()
	linked := len(lk.nd.peers) > 0
	lk.nd.mu.Unlock()
	return linked || time.Since(lk.nd.started) > bootTime
}

// wanted returns the addresses that links should be open to.
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
		lk.acrossDomains(own, add)
	} else {
		lk.upward(own, add)
	}
	lk.strangers(add)
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

// upward adds the relay that a plain member is linked to, the first of its own
// order.
func (lk *linker) upward(own []*member.Record, add func(string)) {
	for _, rc := range relay.Order(own, lk.nd.cf.VM) {
		if rc.VM != lk.nd.cf.VM {
			add(rc.Control)
			return
		}
	}
}

// acrossDomains adds relays of other failure domains. Of two failure domains
// the relays of the one first by name open the links, each to those whose rank
// goes with its own, so that every relay has one.
func (lk *linker) acrossDomains(own []*member.Record, add func(string)) {
	nd := lk.nd
	rank := slices.IndexFunc(own, func(rc *member.Record) bool { return rc.VM == nd.cf.VM })
	if rank < 0 {
		return
	}
	for _, dm := range nd.otherDomains() {
		theirs := lk.relaysOf(dm)
		if dm < nd.cf.Domain {
			// They open the link; after a cut that may take them a while, and
			// a relay without any goes ahead.
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

// The links to addresses that the directory gave and whose daemons are not known yet.
const (
	// ownStrangers is how many a daemon opens at a time in its own failure domain.
	// Whom they lead to makes the others known, so that no more are needed: links of
	// a herd to every address would each carry every record. Two, so that one may be
	// to an address where nobody answers.
	ownStrangers = 2
	// farStrangers is how many a daemon opens to another failure domain, if it stands
	// for its own: as a relay, or among the first ones.
	farStrangers = 1
)

// strangers adds addresses that the directory gave and whose daemons are not known as
// members yet, a few at a time and in an order of this daemon's own.
func (lk *linker) strangers(add func(string)) {
	known := lk.nd.Board.Members.Get()
	stands := lk.nd.isRelay() || lk.nd.registered.Load()
	for domain, addrs := range lk.dirs.addresses {
		most := ownStrangers
		if domain != lk.nd.cf.Domain {
			if !stands {
				continue
			}
			most = farStrangers
		}
		for _, addr := range relay.OrderAddresses(addrs, lk.nd.cf.VM) {
			if most == 0 {
				break
			}
			if !known.LiveControls[addr] && !lk.failing(addr) {
				add(addr)
				most--
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

// runLink opens a link and keeps it until it ends. It reports whether the peer
// failed: the link never came up, or fell silent.
func (nd *Node) runLink(ctx context.Context, addr string) (failed bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bs := nd.Client(addr).Link(ctx)
	pr := link.New(link.Stream{
		Send:    bs.Send,
		Receive: bs.Receive,
		Abort: func() {
			cancel()
			// Closing waits for the peer's answer; the context ends that.
			if err := errors.Join(bs.CloseRequest(), bs.CloseResponse()); err != nil {
				nd.log.Debug("link-closed", slog.String("address", addr), slog.Any("error", err))
			}
		},
	}, nd.offer)
	pr.Outgoing, pr.Addr, pr.OnSent = true, addr, nd.countSent
	nd.sendHello(pr)
	err := pr.Run(ctx, nd.handle)
	nd.drop(pr, err)
	return !pr.Ready || errors.Is(err, link.ErrPeerTimeout)
}
