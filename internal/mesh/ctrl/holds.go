package ctrl

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/expire"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
)

// The times of housekeeping.
const (
	// summaryEvery bounds how often a summary is sent.
	summaryEvery = 200 * time.Millisecond
	// heardEvery is how often relays tell each other whom they hear. It goes
	// into expire.Timeout three times.
	heardEvery = 2 * time.Second
	// repairEvery is how often relays compare their records.
	repairEvery = 10 * time.Second
	// cutAfter is how long a failure domain may be without a link before it is
	// said to be cut off.
	cutAfter = 5 * time.Second
	// maxNamed bounds how many VMs a summary names.
	maxNamed = 20
)

func (hd hold) toWire(vm string) *wirepb.Held {
	return &wirepb.Held{Vm: vm, Version: hd.version, Refused: hd.refused, Reason: hd.reason}
}

// minVersionFor returns the lowest version that a new process of the VM may hold:
// what the VM said it held or, where that memory died with the relays of the
// VM's failure domain, the newest version that was known there. nd.mu is held.
func (nd *Node) minVersionFor(rc *member.Record) uint64 {
	floor := nd.holds[rc.VM].version
	if su := nd.summaries[rc.Domain]; su != nil && rc.Domain != nd.cf.Domain {
		floor = max(floor, su.Highest)
	}
	return floor
}

// handleHeld notes what a VM of the own failure domain holds. What a VM says of
// itself is passed on to the other relays, so that each can tell a new process
// of the VM what the one before held.
func (nd *Node) handleHeld(pr *link.Peer, hd *wirepb.Held) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if pr.Record.Domain != nd.cf.Domain || hd.Vm == nd.cf.VM {
		return
	}
	cur, had := nd.holds[hd.Vm]
	next := hold{version: max(cur.version, hd.Version)}
	if hd.Refused > next.version {
		next.refused, next.reason = hd.Refused, hd.Reason
	}
	if had && cur == next {
		return
	}
	nd.holds[hd.Vm] = next
	nd.sumDirty = true
	if hd.Vm == pr.Record.VM {
		nd.broadcastHeld(pr, next.toWire(hd.Vm))
	}
}

// broadcastHeld sends a statement to the other relays of the own failure domain;
// nd.mu is held.
func (nd *Node) broadcastHeld(from *link.Peer, hd *wirepb.Held) {
	for pr := range nd.peers {
		if pr != from && nd.isUpward(pr) {
			pr.SendHeld(hd)
		}
	}
}

// isUpward reports whether a peer is a relay of the own failure domain, or is
// used as one; nd.mu is held.
func (nd *Node) isUpward(pr *link.Peer) bool {
	return pr.Record.Domain == nd.cf.Domain && (pr.Relay || pr.Outgoing)
}

// handleLiveness notes which VMs a peer of the own failure domain has links to.
func (nd *Node) handleLiveness(pr *link.Peer, vms []string) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if pr.Record.Domain != nd.cf.Domain {
		return
	}
	now := time.Now()
	for _, vm := range vms {
		nd.expiry.Heard(vm, now)
		if !pr.Relay {
			// A daemon that is no relay, yet has members linked to it for the
			// moment, speaks to one relay only; that one passes it on.
			nd.through[vm] = now
		}
	}
}

// sendHeard tells the other relays of the own failure domain which VMs are
// heard here and which other failure domains are reached. It is sent anew each time, so that nothing has to be taken back
// when a link or a relay is lost.
func (nd *Node) sendHeard() {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	now := time.Now()
	set := map[string]bool{}
	domains := map[string]bool{}
	for pr := range nd.peers {
		if pr.Record.Domain != nd.cf.Domain {
			domains[pr.Record.Domain] = true
			continue
		}
		set[pr.Record.VM] = true
		nd.expiry.Heard(pr.Record.VM, now)
	}
	for vm, at := range nd.through {
		if now.Sub(at) > 2*heardEvery {
			delete(nd.through, vm)
			continue
		}
		set[vm] = true
	}
	list := slices.Sorted(maps.Keys(set))
	for pr := range nd.peers {
		if !nd.isUpward(pr) || len(list) <= 1 && len(domains) == 0 {
			continue
		}
		pr.UpdateNext(func(pk *wirepb.Packet) { pk.Heard = list })
		for dm := range domains {
			pr.SendReach(&wirepb.Reach{Domain: dm})
		}
	}
}

// summary returns what the own failure domain holds; nd.mu is held.
func (nd *Node) summary() *wirepb.Summary {
	latest := nd.Board.LatestVersion()
	su := &wirepb.Summary{
		Domain: nd.cf.Domain, Reporter: nd.cf.VM, Stamp: uint64(time.Now().UnixMilli()), Highest: latest,
	}
	add := func(vm string, hd hold) {
		if su.Members == 0 || hd.version < su.Lowest {
			su.Lowest = hd.version
		}
		su.Members++
		if hd.version < latest && len(su.Behind) < maxNamed {
			su.Behind = append(su.Behind, vm)
		}
		if hd.refused > hd.version && len(su.Refused) < maxNamed {
			su.Refused = append(su.Refused, vm+": "+hd.reason)
		}
		su.Highest = max(su.Highest, hd.version)
	}
	for _, rc := range nd.Board.Members.Get().Live(nd.cf.Domain) {
		if rc.VM == nd.cf.VM {
			own := nd.ownHeld()
			add(rc.VM, hold{version: own.Version, refused: own.Refused, reason: own.Reason})
			continue
		}
		add(rc.VM, nd.holds[rc.VM])
	}
	return su
}

func (nd *Node) handleSummary(from *link.Peer, su *wirepb.Summary) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	cur := nd.summaries[su.Domain]
	if su.Domain == nd.cf.Domain || cur != nil && su.Stamp <= cur.Stamp {
		return
	}
	nd.summaries[su.Domain] = su
	if from.Record.Domain != su.Domain {
		return
	}
	for pr := range nd.peers {
		if pr.Relay && pr.Record.Domain == nd.cf.Domain {
			pr.SendSummary(su)
		}
	}
}

// handleReach notes which failure domains a relay of the own one reaches. A
// member takes its relay's word; relays put theirs together.
func (nd *Node) handleReach(pr *link.Peer, re *wirepb.Reach) {
	if pr.Record.Domain != nd.cf.Domain {
		return
	}
	if !nd.isRelay() {
		nd.setCut(re.Domain, re.Cut)
		return
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if pr.Relay && !re.Cut {
		nd.reached[re.Domain] = time.Now()
	}
}

func (nd *Node) setCut(domain string, cut bool) {
	nd.Board.Unreachable.Update(func(cur *board.DomainSet) *board.DomainSet {
		if cur != nil && (*cur)[domain] == cut || cur == nil && !cut {
			return cur
		}
		next := board.DomainSet{}
		if cur != nil {
			for dm := range *cur {
				next[dm] = true
			}
		}
		delete(next, domain)
		if cut {
			next[domain] = true
		}
		return &next
	})
}

// runHousekeeping does what is done at intervals. A daemon that is no relay only tells
// whom it hears: what relays do would wake it eight times a second for nothing.
func (nd *Node) runHousekeeping(ctx context.Context) {
	hrd := time.NewTicker(heardEvery)
	defer hrd.Stop()
	for ctx.Err() == nil {
		links, changed := nd.Board.Links.Watch()
		if links.Relay {
			nd.runMaintenance(ctx, hrd.C)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-hrd.C:
			nd.sendHeard()
		}
	}
}

// runMaintenance does what a relay does at intervals, until the daemon is none any more.
func (nd *Node) runMaintenance(ctx context.Context, heard <-chan time.Time) {
	sum := time.NewTicker(summaryEvery)
	defer sum.Stop()
	tick := time.NewTicker(expire.CheckInterval)
	defer tick.Stop()
	rep := time.NewTicker(repairEvery)
	defer rep.Stop()
	for nd.isRelay() {
		select {
		case <-ctx.Done():
			return
		case <-sum.C:
			nd.sendSummary()
		case <-tick.C:
			nd.expireMembers()
			nd.checkReach()
		case <-heard:
			nd.sendHeard()
		case <-rep.C:
			nd.sendHashes()
		}
	}
}

func (nd *Node) sendSummary() {
	if !nd.isRelay() {
		return
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if !nd.sumDirty {
		return
	}
	nd.sumDirty = false
	su := nd.summary()
	for pr := range nd.peers {
		if pr.Relay && pr.Record.Domain != nd.cf.Domain {
			pr.SendSummary(su)
		}
	}
}

// sendHashes lets the other relays send what this one lacks. Records flow as
// they change; this mends what a lost link or a fault left out.
func (nd *Node) sendHashes() {
	hashes := nd.hashes()
	nd.eachPeer(func(pr *link.Peer) {
		if pr.Relay {
			pr.UpdateNext(func(pk *wirepb.Packet) { pk.Hashes = hashes })
		}
	})
}

// expireMembers marks the members whose time has run out.
func (nd *Node) expireMembers() {
	vw := nd.Board.Members.Get()
	var vms []string
	for _, rc := range vw.Live(nd.cf.Domain) {
		if rc.VM != nd.cf.VM {
			vms = append(vms, rc.VM)
		}
	}
	now := time.Now()
	nd.mu.Lock()
	nd.expiry.SetMembers(vms, now)
	for pr := range nd.peers {
		if pr.Record.Domain == nd.cf.Domain {
			nd.expiry.Heard(pr.Record.VM, now)
		}
	}
	due := nd.expiry.Check(now)
	nd.mu.Unlock()
	var marked []*member.Record
	mark := func(names []string, mk member.Mark) {
		for _, vm := range names {
			rc := vw.Get(vm)
			if rc == nil || !rc.Live() || rc.Mark >= mk {
				continue
			}
			cp := *rc
			cp.Mark = mk
			marked = append(marked, &cp)
			nd.log.Warn("member-unheard", slog.String("peer", vm), slog.Bool("gone", mk == member.MarkGone))
		}
	}
	mark(due.Gone, member.MarkGone)
	mark(due.Silent, member.MarkSilent)
	if marked != nil {
		nd.mergeRecords(marked)
		nd.mu.Lock()
		nd.sumDirty = true
		nd.mu.Unlock()
	}
}

// checkReach works out which failure domains can be reached, by this relay or
// by another one of its own failure domain, and tells the members.
func (nd *Node) checkReach() {
	now := time.Now()
	domains := nd.otherDomains()
	nd.mu.Lock()
	defer nd.mu.Unlock()
	for pr := range nd.peers {
		nd.reached[pr.Record.Domain] = now
	}
	for _, dm := range domains {
		if nd.reached[dm].IsZero() {
			nd.reached[dm] = now
		}
		cut := now.Sub(nd.reached[dm]) > cutAfter
		if cs := nd.Board.Unreachable.Get(); cut == (cs != nil && (*cs)[dm]) {
			continue
		}
		nd.log.Warn("failure-domain-reach", slog.String("failure-domain", dm), slog.Bool("cut", cut))
		nd.setCut(dm, cut)
		for pr := range nd.peers {
			if pr.Record.Domain == nd.cf.Domain && !pr.Relay {
				pr.SendReach(&wirepb.Reach{Domain: dm, Cut: cut})
			}
		}
	}
}

// otherDomains returns the failure domains that are declared or have members.
func (nd *Node) otherDomains() []string {
	set := map[string]bool{}
	if sn := nd.Board.Held.Get(); sn != nil {
		for _, dm := range sn.Domains {
			set[dm] = true
		}
	}
	if vw := nd.Board.Members.Get(); vw != nil {
		for dm, live := range vw.LiveByDomain {
			if len(live) > 0 {
				set[dm] = true
			}
		}
	}
	delete(set, nd.cf.Domain)
	var list []string
	for dm := range set {
		list = append(list, dm)
	}
	slices.Sort(list)
	return list
}
