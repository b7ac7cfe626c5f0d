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

// Timing and limits of housekeeping.
const (
	// summaryInterval is the shortest time between two summaries.
	summaryInterval = 200 * time.Millisecond
	// heardInterval is how often relays tell each other which VMs they hear. expire.Timeout spans
	// three of these intervals.
	heardInterval = 2 * time.Second
	// reportsPerHashes is the number of such reports after which relays compare hashes of their
	// records, every 10 s.
	reportsPerHashes = 5
	// unreachableAfter is how long a failure domain may be without a link before it counts as
	// unreachable.
	unreachableAfter = 5 * time.Second
	// maxListedVMs bounds how many VMs a summary lists.
	maxListedVMs = 20
)

func (hd heldVersion) toWire(vm string) *wirepb.Held {
	return &wirepb.Held{Vm: vm, Version: hd.version, Refused: hd.refused, Reason: hd.reason}
}

// minVersionFor returns the version floor of a new process of the VM: the version that the VM held
// or, where this record was lost together with the relays of the VM's failure domain, the newest
// version that was known there. nd.mu is held.
func (nd *Node) minVersionFor(rc *member.Record) uint64 {
	floor := nd.heldVersions[rc.VM].version
	if su := nd.summaries[rc.Domain]; su != nil && rc.Domain != nd.cf.Domain {
		floor = max(floor, su.Highest)
	}
	return floor
}

// handleHeld records the version held by a VM of the local failure domain. What a VM reports about
// itself is forwarded to the other relays, so that each of them can tell a new process of the VM
// what its predecessor held.
func (nd *Node) handleHeld(pr *link.Peer, hd *wirepb.Held) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if pr.Record.Domain != nd.cf.Domain || hd.Vm == nd.cf.VM {
		return
	}
	cur, had := nd.heldVersions[hd.Vm]
	next := heldVersion{version: max(cur.version, hd.Version)}
	if hd.Refused > next.version {
		next.refused, next.reason = hd.Refused, hd.Reason
	}
	if had && cur == next {
		return
	}
	nd.heldVersions[hd.Vm] = next
	nd.summaryDirty = true
	if hd.Vm == pr.Record.VM {
		nd.broadcastHeld(pr, next.toWire(hd.Vm))
	}
}

// broadcastHeld sends a held version to the other relays of the local failure domain; nd.mu is
// held.
func (nd *Node) broadcastHeld(from *link.Peer, hd *wirepb.Held) {
	for pr := range nd.peers {
		if pr != from && nd.isUpstream(pr) {
			pr.SendHeld(hd)
		}
	}
}

// isUpstream reports whether a peer is a relay of the local failure domain, or is used as one;
// nd.mu is held.
func (nd *Node) isUpstream(pr *link.Peer) bool {
	return pr.Record.Domain == nd.cf.Domain && (pr.Relay || pr.Outgoing)
}

// handleLiveness records which VMs a peer of the local failure domain has links to.
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
			// A daemon that is not a relay, but temporarily has members linked to it, has a link to
			// one relay only. That relay forwards what it hears.
			nd.heardIndirectly[vm] = now
		}
	}
}

// sendHeard sends the other relays of the local failure domain the VMs that are heard here and the
// other failure domains that are reachable. The full lists are sent each time, so that nothing has
// to be withdrawn when a link or a relay is lost.
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
	for vm, at := range nd.heardIndirectly {
		if now.Sub(at) > 2*heardInterval {
			delete(nd.heardIndirectly, vm)
			continue
		}
		set[vm] = true
	}
	list := slices.Sorted(maps.Keys(set))
	for pr := range nd.peers {
		if !nd.isUpstream(pr) || len(list) <= 1 && len(domains) == 0 {
			continue
		}
		pr.UpdateNext(func(pk *wirepb.Packet) { pk.Heard = list })
		for dm := range domains {
			pr.SendReach(&wirepb.Reach{Domain: dm})
		}
	}
}

// summary returns the held versions of the local failure domain; nd.mu is held.
func (nd *Node) summary() *wirepb.Summary {
	latest := nd.Board.LatestVersion()
	su := &wirepb.Summary{
		Domain: nd.cf.Domain, Reporter: nd.cf.VM, Stamp: uint64(time.Now().UnixMilli()), Highest: latest,
	}
	if nd.Board.RefusedVersion() == latest {
		// A VM of which nothing else is known has refused it as well.
		su.Highest = nd.Board.HeldVersion()
	}
	add := func(vm string, hd heldVersion) {
		if su.Members == 0 || hd.version < su.Lowest {
			su.Lowest = hd.version
		}
		su.Members++
		if hd.version < latest && len(su.Behind) < maxListedVMs {
			su.Behind = append(su.Behind, vm)
		}
		if hd.refused > hd.version && len(su.Refused) < maxListedVMs {
			su.Refused = append(su.Refused, vm+": "+hd.reason)
		}
		su.Highest = max(su.Highest, hd.version)
	}
	for _, rc := range nd.Board.Members.Get().Live(nd.cf.Domain) {
		if rc.VM == nd.cf.VM {
			own := nd.ownHeld()
			add(rc.VM, heldVersion{version: own.Version, refused: own.Refused, reason: own.Reason})
			continue
		}
		add(rc.VM, nd.heldVersions[rc.VM])
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

// handleReach records which failure domains a relay of the local one reaches. A member adopts its
// relay's report; relays combine those of all relays.
func (nd *Node) handleReach(pr *link.Peer, re *wirepb.Reach) {
	if pr.Record.Domain != nd.cf.Domain {
		return
	}
	if !nd.isRelay() {
		nd.setUnreachable(re.Domain, re.Cut)
		return
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if pr.Relay && !re.Cut {
		nd.lastReached[re.Domain] = time.Now()
	}
}

func (nd *Node) setUnreachable(domain string, unreachable bool) {
	nd.Board.Unreachable.Update(func(cur *board.DomainSet) *board.DomainSet {
		if cur != nil && (*cur)[domain] == unreachable || cur == nil && !unreachable {
			return cur
		}
		next := board.DomainSet{}
		if cur != nil {
			for dm := range *cur {
				next[dm] = true
			}
		}
		delete(next, domain)
		if unreachable {
			next[domain] = true
		}
		return &next
	})
}

// runHousekeeping runs the periodic tasks. A daemon that is no relay only sends the VMs that it
// hears: the timers of a relay would wake it eight times a second needlessly.
func (nd *Node) runHousekeeping(ctx context.Context) {
	heardTick := time.NewTicker(heardInterval)
	defer heardTick.Stop()
	for ctx.Err() == nil {
		links, changed := nd.Board.Links.Watch()
		if links.Relay {
			nd.runMaintenance(ctx, heardTick.C)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-heardTick.C:
			nd.sendHeard()
		}
	}
}

// runMaintenance runs the periodic tasks of a relay until the daemon is no longer one.
func (nd *Node) runMaintenance(ctx context.Context, heard <-chan time.Time) {
	summaryTick := time.NewTicker(summaryInterval)
	defer summaryTick.Stop()
	checkTick := time.NewTicker(expire.CheckInterval)
	defer checkTick.Stop()
	for reports := 1; nd.isRelay(); {
		select {
		case <-ctx.Done():
			return
		case <-summaryTick.C:
			nd.sendSummary()
		case <-checkTick.C:
			nd.expireMembers()
			nd.checkReachability()
		case <-heard:
			nd.sendHeard()
			// In one packet with the report, which costs less than one of its own.
			if reports++; reports%reportsPerHashes == 0 {
				nd.sendHashes()
			}
		}
	}
}

func (nd *Node) sendSummary() {
	if !nd.isRelay() {
		return
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if !nd.summaryDirty {
		return
	}
	nd.summaryDirty = false
	su := nd.summary()
	for pr := range nd.peers {
		if pr.Relay && pr.Record.Domain != nd.cf.Domain {
			pr.SendSummary(su)
		}
	}
}

// sendHashes makes the other relays send the records that this one lacks. Records are sent as they
// change; this repairs what a lost link or a fault left out.
func (nd *Node) sendHashes() {
	hashes := nd.hashes()
	nd.eachPeer(func(pr *link.Peer) {
		if pr.Relay {
			pr.UpdateNext(func(pk *wirepb.Packet) { pk.Hashes = hashes })
		}
	})
}

// expireMembers marks the members that have not been heard in time.
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
		nd.summaryDirty = true
		nd.mu.Unlock()
	}
}

// checkReachability determines which failure domains are reachable, by this relay or by another one
// of the local failure domain, and notifies the members.
func (nd *Node) checkReachability() {
	now := time.Now()
	domains := nd.otherDomains()
	nd.mu.Lock()
	defer nd.mu.Unlock()
	for pr := range nd.peers {
		nd.lastReached[pr.Record.Domain] = now
	}
	for _, dm := range domains {
		if nd.lastReached[dm].IsZero() {
			nd.lastReached[dm] = now
		}
		unreachable := now.Sub(nd.lastReached[dm]) > unreachableAfter
		if cs := nd.Board.Unreachable.Get(); unreachable == (cs != nil && (*cs)[dm]) {
			continue
		}
		nd.log.Warn("failure-domain-reach", slog.String("failure-domain", dm), slog.Bool("cut", unreachable))
		nd.setUnreachable(dm, unreachable)
		for pr := range nd.peers {
			if pr.Record.Domain == nd.cf.Domain && !pr.Relay {
				pr.SendReach(&wirepb.Reach{Domain: dm, Cut: unreachable})
			}
		}
	}
}

// otherDomains returns the other failure domains that are declared or have members.
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
