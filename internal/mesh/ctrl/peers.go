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

// maxInline is the largest version body in bytes that is sent within a packet. The peer fetches a
// larger one: a packet that takes longer than link.PeerTimeout to send would end the link each time.
const maxInline = 32 << 10

// offer builds the message that updates a peer from the content base to the newest version.
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

// handlePacket processes a packet of a peer. Its contents may arrive late, twice or out of order:
// versions and records only ever replace older ones.
func (nd *Node) handlePacket(pr *link.Peer, pk *wirepb.Packet) {
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
		nd.sendDifferingRecords(pr, pk.Hashes)
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
	for _, us := range pk.Usages {
		nd.handleUsage(pr, us)
	}
	if pk.Directive != nil {
		nd.handleDirective(pr, pk.Directive, now)
	}
}

func (nd *Node) handleHello(pr *link.Peer, hello *wirepb.Hello) {
	rc := member.FromWire(hello.Record)
	first := !pr.Ready
	known := nd.Board.Members.Get().Get(rc.VM)
	nd.mu.Lock()
	// A peer that becomes a relay later needs the same initial state as a new one.
	initial := first || hello.Relay && !pr.Relay
	pr.Record, pr.Relay, pr.Ready = rc, hello.Relay, true
	nd.peers[pr] = true
	if pr.RunningSince.IsZero() && hello.AgeMs > 0 {
		pr.RunningSince = time.Now().Add(-time.Duration(hello.AgeMs) * time.Millisecond)
		nd.sendNewest(pr)
	}
	sentNewest := pr.SentNewest
	floor := nd.minVersionFor(rc)
	leaving := nd.leaving[rc.VM]
	nd.mu.Unlock()
	if len(hello.Digest) == len(pack.Digest{}) {
		pr.RecordVersion(hello.Latest, pack.Digest(hello.Digest))
	}
	// The peer can supply the version that it knows, so no older one need be installed, whatever
	// the platform shows.
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
	nd.sendDifferingRecords(pr, hello.Hashes)
	if first {
		nd.log.Debug("link-up", slog.String("peer", rc.VM), slog.Bool("outgoing", pr.Outgoing))
		nd.publishLinks()
	}
	if initial {
		nd.sendInitialState(pr)
	}
	pr.Offer(nd.Board.LatestVersion())
	if first {
		pr.SendCrashReports(nd.Board.Poison.Get().Reports(maxInitialReports))
		for _, ro := range nd.Board.Rollouts.Get().All() {
			pr.SendRollout(ro)
		}
	}
	if first && !sentNewest && !nd.isRelay() && nd.cf.Source.Linearizable {
		nd.requestFreshRead()
	}
	nd.wakeLinker()
}

// sendInitialState sends a new peer, or one that has become a relay, the state that it needs: the
// followers of the store and the summary to a relay, the held versions and reachable failure
// domains within the local failure domain.
func (nd *Node) sendInitialState(pr *link.Peer) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if pr.Relay {
		// Without it, a new relay would follow the store in place of the followers that it has not
		// heard of.
		nd.followers.Each(time.Now(), func(vm string, at time.Time) { pr.SendFollow(link.Follow{VM: vm, At: at}) })
	}
	if pr.Record.Domain != nd.cf.Domain {
		if pr.Relay {
			pr.SendSummary(nd.summary())
		}
		return
	}
	if pr.Relay {
		for vm, hd := range nd.heldVersions {
			pr.SendHeld(hd.toWire(vm))
		}
	}
	unreachable := nd.Board.Unreachable.Get()
	for _, dm := range nd.otherDomains() {
		pr.SendReach(&wirepb.Reach{Domain: dm, Cut: unreachable != nil && (*unreachable)[dm]})
	}
}

// removePeer removes a peer whose link has ended.
func (nd *Node) removePeer(pr *link.Peer, err error) {
	nd.mu.Lock()
	known := nd.peers[pr]
	delete(nd.peers, pr)
	nd.mu.Unlock()
	if known {
		nd.handleRelayLoss(pr)
		nd.log.Debug("link-down", slog.String("peer", pr.Record.VM), slog.Any("cause", err))
		nd.publishLinks()
	}
	nd.wakeLinker()
}

func (nd *Node) publishLinks() {
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

// handleWelcome learns from a peer the identity of the predecessor and the version that it held.
// Only relays record what members hold, so only their Welcome settles the version floor.
func (nd *Node) handleWelcome(pr *link.Peer, wc *wirepb.Welcome) {
	self := nd.Board.Self.Get()
	nd.recordPredecessor(pr.Record.VM, member.Departure{Lifetime: wc.Leaving, StartedMs: wc.LeavingStartedMs, Number: wc.LeftAt})
	if wc.Nonce != self.Nonce && wc.Incarnation >= self.Incarnation {
		nd.handleConflict(&member.Record{VM: self.VM, Incarnation: wc.Incarnation, Nonce: wc.Nonce})
	}
	nd.Board.RaiseHeldFloor(wc.Floor, pr.Relay)
}

// recordPredecessor records what a peer knows of the predecessor. A peer that knows nothing of one
// is recorded as well.
func (nd *Node) recordPredecessor(peer string, lv member.Departure) {
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

// recordLeaving keeps departing lifetimes separately from the member records. The record of a new
// process replaces the one with the departure as soon as its first Hello is read. If the Welcome
// that answers it were lost, the next one would name no departure, and the new process could accept
// a late announcement of the departed lifetime.
func (nd *Node) recordLeaving(recs []*member.Record) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	for _, rc := range recs {
		if rc.Leaving.Lifetime != "" {
			nd.leaving[rc.VM] = rc.Leaving
		}
	}
	if len(nd.leaving) > maxLeaving {
		nd.leaving = map[string]member.Departure{}
	}
}

// maxLeaving bounds the VMs whose departing lifetime is remembered; beyond it all are forgotten. A
// lifetime is only needed for some seconds, and the largest planned mesh replaces 230 VMs a day.
const maxLeaving = 4096

// Within startupPeriod and up to maxIncarnationRaises, a conflicting record is taken for one
// of a predecessor.
const (
	startupPeriod        = 20 * time.Second
	maxIncarnationRaises = 3
)

// handleConflict handles a record of another process under this VM's name with a higher
// incarnation. For a new process it is usually one left by the predecessor, whose clock was ahead,
// so the new process raises its incarnation above it. If this process has run for a while, or has
// raised its incarnation several times, the other one is newer, and only one of the two may serve.
func (nd *Node) handleConflict(rc *member.Record) {
	nd.mu.Lock()
	recent := time.Since(nd.started) < startupPeriod && nd.incarnationRaises < maxIncarnationRaises
	if recent {
		nd.incarnationRaises++
	}
	nd.mu.Unlock()
	if recent {
		nd.Announce(func(me *member.Record) { me.Incarnation = rc.Incarnation + 1 })
		return
	}
	nd.log.Error("replaced", slog.Uint64("incarnation", rc.Incarnation))
	nd.Board.Replaced.Set(rc)
}

// handleRecords merges records of a peer and forwards the new ones.
func (nd *Node) handleRecords(from *link.Peer, recs []*member.Record) {
	var others []*member.Record
	for _, rc := range recs {
		if rc.VM == nd.cf.VM {
			nd.handleOwnRecord(rc)
			continue
		}
		others = append(others, rc)
	}
	added := nd.merge(others)
	if len(added) == 0 {
		return
	}
	nd.eachPeer(func(pr *link.Peer) {
		if pr != from {
			pr.SendRecords(added)
		}
	})
	nd.wakeLinker()
}

// handleOwnRecord handles a record of this VM that another daemon keeps.
func (nd *Node) handleOwnRecord(rc *member.Record) {
	self := nd.Board.Self.Get()
	switch {
	case rc.SameProcess(self):
		// Others have marked this daemon as silent or gone. A record with a higher sequence number
		// clears the mark.
		if rc.Mark != member.MarkNone && rc.Sequence >= self.Sequence {
			nd.Announce(func(me *member.Record) { me.Sequence = rc.Sequence })
		}
	case rc.Compare(self) > 0:
		nd.handleConflict(rc)
	}
}

// merge adds records to the board and returns the new ones.
func (nd *Node) merge(recs []*member.Record) (added []*member.Record) {
	nd.Board.Members.Update(func(vw *member.View) *member.View {
		var next *member.View
		next, added = vw.Merge(recs)
		return next
	})
	nd.recordLeaving(added)
	return added
}

// mergeRecords adds this daemon's own records and marks to the board and sends them to all peers.
func (nd *Node) mergeRecords(recs []*member.Record) {
	added := nd.merge(recs)
	if len(added) == 0 {
		return
	}
	nd.eachPeer(func(pr *link.Peer) { pr.SendRecords(added) })
	nd.wakeLinker()
}

// sendDifferingRecords sends all records of the failure domains whose hashes differ from the
// peer's. The peer's own record is included, as it may bear a mark that the peer must clear.
func (nd *Node) sendDifferingRecords(pr *link.Peer, hashes []*wirepb.DomainHash) {
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

// handleVersion handles a configuration offered by a peer.
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
			nd.adoptVersion(vn.Number, co)
			return
		}
	}
	nd.background(func() { nd.fetch(pr, vn.Number) })
}

// adoptVersion makes a configuration the newest one known and offers it to all peers.
func (nd *Node) adoptVersion(version uint64, co *pack.Content) {
	if !nd.Board.Offer(&board.Config{Version: version, Content: co}) {
		return
	}
	nd.history.Add(co)
	nd.eachPeer(func(pr *link.Peer) { pr.Offer(version) })
}

// Timing of fetches.
const (
	// fetchTimeout bounds the time during which no data of a response arrives.
	fetchTimeout = 3 * time.Second
	fetchRetry   = 500 * time.Millisecond
)

// fetch requests the version that a peer offered, until it has arrived from any peer or the link
// has ended. Only one fetch runs at a time, so that offers from many peers cause one transfer.
func (nd *Node) fetch(pr *link.Peer, version uint64) {
	select {
	case nd.fetchLock <- struct{}{}:
		defer func() { <-nd.fetchLock }()
	case <-nd.ctx.Done():
		return
	}
	for nd.Board.LatestVersion() < version && nd.hasPeer(pr) {
		wait, err := nd.fetchOnce(pr)
		if err != nil {
			nd.log.Warn("fetch-failed", slog.String("address", nd.addressOf(pr)), slog.Any("error", err))
			wait = rand.N(fetchRetry)
		}
		if pause(nd.ctx, wait) != nil {
			return
		}
	}
}

func (nd *Node) hasPeer(pr *link.Peer) bool {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.peers[pr]
}

// addressOf returns the address of a peer. The record of an incoming peer changes with its Hello.
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
	res, err := nd.fetchClient(pr).Fetch(nd.ctx, connect.NewRequest(req))
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
	nd.adoptVersion(ms.Number, co)
	return 0, nil
}
