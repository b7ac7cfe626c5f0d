package ctrl

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// maxInline is the largest body in bytes of a version within a packet. The peer fetches a
// larger one: a packet that takes longer than link.PeerTimeout would end the link each time.
const maxInline = 32 << 10

// offer makes the packet that brings a peer with the content base up to date.
func (nd *Node) offer(_ *link.Peer, base pack.Digest) *wirepb.Version {
	cfg := nd.Board.Latest.Get()
	if cfg == nil {
		return nil
	}
	dg := cfg.Content.Digest
	vn := &wirepb.Version{Number: cfg.Version, Digest: dg[:]}
	if body, ok := nd.history.EncodedDelta(base, dg); ok && !base.IsZero() && len(body) <= maxInline {
		vn.Base, vn.Body = base[:], body
	}
	return vn
}

// sendHello queues a Hello for a peer.
func (nd *Node) sendHello(pr *link.Peer) {
	hello := &wirepb.Hello{
		Protocol: Protocol, Record: nd.Board.Self.Get().ToWire(), Relay: nd.isRelay(),
		AgeMs: uint64(time.Since(nd.started).Milliseconds()),
	}
	if cfg := nd.Board.Latest.Get(); cfg != nil {
		hello.Latest, hello.Digest = cfg.Version, cfg.Content.Digest[:]
	}
	hello.Hashes = nd.hashes()
	held := nd.ownHeld()
	epoch := int64(nd.Board.KnownEpoch())
	pr.UpdateNext(func(pk *wirepb.Packet) { pk.Hello, pk.Epoch = hello, epoch })
	pr.SendHeld(held)
}

func (nd *Node) hashes() []*wirepb.DomainHash {
	var list []*wirepb.DomainHash
	for dm, h := range nd.Board.Members.Get().Hashes {
		list = append(list, &wirepb.DomainHash{Domain: dm, Hash: h})
	}
	return list
}

func (nd *Node) ownHeld() *wirepb.Held {
	hd := &wirepb.Held{Vm: nd.cf.VM, Version: nd.Board.HeldVersion()}
	if rf := nd.Board.Refused.Get(); rf != nil && rf.Version > hd.Version {
		hd.Refused, hd.Reason = rf.Version, rf.Reason
	}
	return hd
}

// handle takes one packet of a peer. All it holds may come late, twice or out
// of order: versions and records only replace older ones.
func (nd *Node) handle(pr *link.Peer, pk *wirepb.Packet) {
	if pk.Hello != nil {
		nd.handleHello(pr, pk.Hello)
	}
	if !pr.Ready {
		return
	}
	if pk.Welcome != nil {
		nd.handleWelcome(pr, pk.Welcome)
	}
	if recs := link.Records(pk); len(recs) > 0 {
		nd.handleRecords(pr, recs)
	}
	if pk.Hashes != nil {
		nd.repair(pr, pk.Hashes)
	}
	for _, hd := range pk.Held {
		nd.handleHeld(pr, hd)
	}
	if pk.Heard != nil {
		nd.handleLiveness(pr, pk.Heard)
	}
	for _, su := range pk.Summaries {
		nd.handleSummary(pr, su)
	}
	for _, re := range pk.Reach {
		nd.handleReach(pr, re)
	}
	for _, fo := range pk.Follows {
		nd.handleFollow(pr, fromWireFollow(fo, time.Now()))
	}
	if len(pk.Ends) > 0 {
		nd.handleCrashReports(pr, link.CrashReports(pk, time.Now()))
	}
	if pk.Newest > 0 && nd.cf.Source.Linearizable {
		nd.Board.RaiseFloor(pk.Newest, true)
	}
	if pk.Version != nil {
		nd.handleVersion(pr, pk.Version)
	}
	nd.enterEpoch(store.Epoch(pk.Epoch))
	now := time.Now()
	for _, ro := range link.Rollouts(pk, now) {
		nd.mergeRollout(pr, ro)
	}
	for _, ta := range pk.Tallies {
		nd.handleTally(pr, ta, now)
	}
}

func (nd *Node) handleHello(pr *link.Peer, hello *wirepb.Hello) {
	rc := member.FromWire(hello.Record)
	first := !pr.Ready
	known := nd.Board.Members.Get().Get(rc.VM)
	nd.mu.Lock()
	// A peer that becomes a relay later has to be told what a new one is told.
	greet := first || hello.Relay && !pr.Relay
	pr.Record, pr.Relay, pr.Ready = rc, hello.Relay, true
	nd.peers[pr] = true
	if pr.RunningSince.IsZero() && hello.AgeMs > 0 {
		pr.RunningSince = time.Now().Add(-time.Duration(hello.AgeMs) * time.Millisecond)
		nd.proveTo(pr)
	}
	proven := pr.SentNewest
	floor := nd.minVersionFor(rc)
	leaving := nd.leavers[rc.VM]
	nd.mu.Unlock()
	if len(hello.Digest) == len(pack.Digest{}) {
		pr.RecordVersion(hello.Latest, pack.Digest(hello.Digest))
	}
	// The peer can bring the version that it knows, so it is safe to take none
	// below that, whatever the platform shows.
	nd.Board.RaiseFloor(hello.Latest, false)
	if first {
		wc := &wirepb.Welcome{Floor: floor}
		if known != nil {
			wc.Incarnation, wc.Nonce = known.Incarnation, known.Nonce
		}
		wc.Leaving, wc.LeavingStartedMs, wc.LeftAt = leaving.Lifetime, leaving.StartedMs, leaving.Number
		if !pr.Outgoing {
			nd.sendHello(pr)
		}
		pr.UpdateNext(func(pk *wirepb.Packet) { pk.Welcome = wc })
	}
	nd.handleRecords(pr, []*member.Record{rc})
	nd.repair(pr, hello.Hashes)
	if first {
		nd.log.Debug("link-up", slog.String("peer", rc.VM), slog.Bool("outgoing", pr.Outgoing))
		nd.showLinks()
	}
	if greet {
		nd.greet(pr)
	}
	pr.Offer(nd.Board.LatestVersion())
	if first {
		pr.SendCrashReports(nd.Board.Poison.Get().Reports(toldFirst))
		for _, ro := range nd.Board.Rollouts.Get().All() {
			pr.SendRollout(ro)
		}
	}
	if first && !proven && !nd.isRelay() && nd.cf.Source.Linearizable {
		nd.wantProof()
	}
	nd.poke()
}

// greet sends what a new peer in the own failure domain needs to know.
func (nd *Node) greet(pr *link.Peer) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if pr.Relay {
		// One that has just become a relay would stand in for those it has not heard of.
		nd.followers.Each(time.Now(), func(vm string, at time.Time) { pr.SendFollow(link.Follow{VM: vm, At: at}) })
	}
	if pr.Record.Domain != nd.cf.Domain {
		if pr.Relay {
			pr.SendSummary(nd.summary())
		}
		return
	}
	if pr.Relay {
		for vm, hd := range nd.holds {
			pr.SendHeld(hd.toWire(vm))
		}
	}
	cut := nd.Board.Unreachable.Get()
	for _, dm := range nd.otherDomains() {
		pr.SendReach(&wirepb.Reach{Domain: dm, Cut: cut != nil && (*cut)[dm]})
	}
}

// drop takes a peer out once its link has ended.
func (nd *Node) drop(pr *link.Peer, err error) {
	nd.mu.Lock()
	known := nd.peers[pr]
	delete(nd.peers, pr)
	nd.mu.Unlock()
	if known {
		nd.loseFollower(pr)
		nd.log.Debug("link-down", slog.String("peer", pr.Record.VM), slog.Any("cause", err))
		nd.showLinks()
	}
	nd.poke()
}

func (nd *Node) showLinks() {
	nd.mu.Lock()
	var names []string
	for pr := range nd.peers {
		names = append(names, pr.Record.VM)
	}
	nd.mu.Unlock()
	nd.Board.Links.Update(func(cur *board.Links) *board.Links {
		return &board.Links{Relay: cur.Relay, Peers: names}
	})
}

// eachPeer calls fn for every ready peer.
func (nd *Node) eachPeer(fn func(*link.Peer)) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	for pr := range nd.peers {
		fn(pr)
	}
}

// handleWelcome learns from a peer what the VM's former process was and held.
// Only relays keep what members hold, so only their word settles the floor.
func (nd *Node) handleWelcome(pr *link.Peer, wc *wirepb.Welcome) {
	self := nd.Board.Self.Get()
	nd.learnForerunner(pr.Record.VM, member.Departure{Lifetime: wc.Leaving, StartedMs: wc.LeavingStartedMs, Number: wc.LeftAt})
	if wc.Nonce != self.Nonce && wc.Incarnation >= self.Incarnation {
		nd.handleRival(&member.Record{VM: self.VM, Incarnation: wc.Incarnation, Nonce: wc.Nonce})
	}
	nd.Board.RaiseFloor(wc.Floor, pr.Relay)
}

// learnForerunner puts on the board what a peer keeps of the VM's former
// process; a peer that knows of nothing says so too.
func (nd *Node) learnForerunner(peer string, lv member.Departure) {
	nd.Board.Predecessor.Update(func(cur *board.Predecessor) *board.Predecessor {
		next := &board.Predecessor{Departure: lv, Peers: []string{peer}}
		if cur == nil {
			return next
		}
		if lv.Lifetime == "" {
			next.Departure = cur.Departure
		}
		next.Peers = cur.Peers
		if !slices.Contains(cur.Peers, peer) {
			next.Peers = append(slices.Clone(cur.Peers), peer)
		}
		return next
	})
}

// recordLeavers keeps which lifetimes leave, apart from the records. A new
// process's own record replaces the one that said so as soon as its first Hello
// is read; were the answer to that Hello lost, the next one would find nothing,
// and the new process could take a late announcement of the lifetime.
func (nd *Node) recordLeavers(recs []*member.Record) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	for _, rc := range recs {
		if rc.Leaving.Lifetime != "" {
			nd.leavers[rc.VM] = rc.Leaving
		}
	}
	if len(nd.leavers) > maxLeavers {
		nd.leavers = map[string]member.Departure{}
	}
}

// maxLeavers bounds the VMs of which a leaving lifetime is remembered; beyond it
// all are forgotten. A lifetime is of use for some seconds, and the target has
// 230 replaced VMs a day.
const maxLeavers = 4096

// The bounds of what a new process takes for its forerunner's.
const (
	youth    = 20 * time.Second
	maxBumps = 3
)

// handleRival answers a record of another process under this VM's name with a
// higher incarnation. For a new process that is what its forerunner left
// behind, started by a clock that was ahead: it goes above it. For one that has
// run for a time, or that was outbid again and again, the other one is newer,
// and only one of the two may serve.
func (nd *Node) handleRival(rc *member.Record) {
	nd.mu.Lock()
	young := time.Since(nd.started) < youth && nd.bumped < maxBumps
	if young {
		nd.bumped++
	}
	nd.mu.Unlock()
	if young {
		nd.Announce(func(me *member.Record) { me.Incarnation = rc.Incarnation + 1 })
		return
	}
	nd.log.Error("replaced", slog.Uint64("incarnation", rc.Incarnation))
	nd.Board.Replaced.Set(rc)
}

// handleRecords merges records of a peer and passes on what is new.
func (nd *Node) handleRecords(from *link.Peer, recs []*member.Record) {
	var others []*member.Record
	for _, rc := range recs {
		if rc.VM == nd.cf.VM {
			nd.handleOwnRecord(rc)
			continue
		}
		others = append(others, rc)
	}
	news := nd.merge(others)
	if len(news) == 0 {
		return
	}
	nd.eachPeer(func(pr *link.Peer) {
		if pr != from {
			pr.SendRecords(news)
		}
	})
	nd.poke()
}

// handleOwnRecord answers a record that others keep of this VM.
func (nd *Node) handleOwnRecord(rc *member.Record) {
	self := nd.Board.Self.Get()
	switch {
	case rc.SameProcess(self):
		// Others took this daemon for silent or dead. A newer statement takes
		// the mark away.
		if rc.Mark != member.MarkNone && rc.Sequence >= self.Sequence {
			nd.Announce(func(me *member.Record) { me.Sequence = rc.Sequence })
		}
	case rc.Compare(self) > 0:
		nd.handleRival(rc)
	}
}

// merge puts records on the board and returns those that were new.
func (nd *Node) merge(recs []*member.Record) (news []*member.Record) {
	nd.Board.Members.Update(func(vw *member.View) *member.View {
		var next *member.View
		next, news = vw.Merge(recs)
		return next
	})
	nd.recordLeavers(news)
	return news
}

// mergeRecords puts own statements on the board and sends them to all peers.
func (nd *Node) mergeRecords(recs []*member.Record) {
	news := nd.merge(recs)
	if len(news) == 0 {
		return
	}
	nd.eachPeer(func(pr *link.Peer) { pr.SendRecords(news) })
	nd.poke()
}

// repair sends all records of the failure domains in which the peer's differ,
// the peer's own among them: it may bear a mark that the peer must answer.
func (nd *Node) repair(pr *link.Peer, hashes []*wirepb.DomainHash) {
	vw := nd.Board.Members.Get()
	theirs := make(map[string]uint64, len(hashes))
	for _, dh := range hashes {
		theirs[dh.Domain] = dh.Hash
	}
	var recs []*member.Record
	for rc := range vw.All {
		if theirs[rc.Domain] != vw.Hashes[rc.Domain] {
			recs = append(recs, rc)
		}
	}
	pr.SendRecords(recs)
}

// handleVersion takes an offered configuration.
func (nd *Node) handleVersion(pr *link.Peer, vn *wirepb.Version) {
	if len(vn.Digest) != len(pack.Digest{}) {
		return
	}
	dg := pack.Digest(vn.Digest)
	pr.RecordVersion(vn.Number, dg)
	cur := nd.Board.Latest.Get()
	if cur != nil && vn.Number <= cur.Version {
		if vn.Number == cur.Version && dg != cur.Content.Digest {
			nd.log.Error("version-fork", slog.Uint64("version", vn.Number), slog.String("peer", pr.Record.VM))
		}
		return
	}
	if cur != nil && len(vn.Body) > 0 {
		if co, err := pack.ApplyEncoded(cur.Content, vn.Body, dg); err == nil {
			nd.take(vn.Number, co)
			return
		}
	}
	nd.background(func() { nd.fetch(pr, vn.Number) })
}

// take puts a configuration on the board and offers it to all peers.
func (nd *Node) take(version uint64, co *pack.Content) {
	if !nd.Board.Offer(&board.Config{Version: version, Content: co}) {
		return
	}
	nd.history.Add(co)
	nd.eachPeer(func(pr *link.Peer) { pr.Offer(version) })
}

// The times of fetching.
const (
	// fetchTimeout bounds the time in which nothing of an answer comes.
	fetchTimeout = 3 * time.Second
	fetchRetry   = 500 * time.Millisecond
)

// fetch asks a peer for the version that it offered, until some peer has
// brought it or the link is gone. One fetch runs at a time, so that offers of
// many peers bring one transfer.
func (nd *Node) fetch(pr *link.Peer, version uint64) {
	select {
	case nd.fetching <- struct{}{}:
		defer func() { <-nd.fetching }()
	case <-nd.life.Done():
		return
	}
	for nd.Board.LatestVersion() < version && nd.hasPeer(pr) {
		wait, err := nd.fetchOnce(pr)
		if err != nil {
			nd.log.Warn("fetch-failed", slog.String("address", nd.addressOf(pr)), slog.Any("error", err))
			wait = rand.N(fetchRetry)
		}
		if pause(nd.life, wait) != nil {
			return
		}
	}
}

func (nd *Node) hasPeer(pr *link.Peer) bool {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.peers[pr]
}

// addressOf returns where a peer is reached. Its record changes with its next Hello.
func (nd *Node) addressOf(pr *link.Peer) string {
	if pr.Outgoing {
		return pr.Addr
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return pr.Record.Control
}

func (nd *Node) fetchOnce(pr *link.Peer) (wait time.Duration, err error) {
	req := &wirepb.FetchRequest{Vm: nd.cf.VM}
	var base *pack.Content
	if cfg := nd.Board.Latest.Get(); cfg != nil {
		base = cfg.Content
		req.Have = base.Digest[:]
	}
	res, err := nd.fetchClient(pr).Fetch(nd.life, connect.NewRequest(req))
	if err != nil {
		return 0, err
	}
	ms := res.Msg
	if ms.LaterMs > 0 {
		return time.Duration(ms.LaterMs) * time.Millisecond, nil
	}
	if len(ms.Digest) != len(pack.Digest{}) {
		return 0, &pack.MismatchError{}
	}
	co, err := pack.ApplyEncoded(base, ms.Body, pack.Digest(ms.Digest))
	if err != nil {
		return 0, err
	}
	nd.take(ms.Number, co)
	return 0, nil
}
