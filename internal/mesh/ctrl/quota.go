package ctrl

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/relay"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
	"github.com/flamingomast/flamingomast/internal/quota/ledger"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

const (
	// directiveInterval is how often a relay sends its members a directive, even an empty one, so
	// that they know that their requests are counted.
	directiveInterval = 500 * time.Millisecond
	// coveredAfter is how recently a member must have been heard to count as covered: links carry a
	// packet a second.
	coveredAfter = link.HeartbeatInterval + directiveInterval
	// minShareInterval is the shortest time between two computations of shares.
	minShareInterval = 40 * time.Millisecond
	// learnTime is how long a new relay collects reports before its members rely on it, and
	// startLearnTime the same if most daemons have started together: then few of them follow a
	// directive of an earlier relay.
	learnTime      = time.Second
	startLearnTime = 300 * time.Millisecond
	// startPeriod is the age up to which a process counts as just started.
	startPeriod = 3 * time.Second
	// countAfter is how long a daemon must have been chosen as a relay before it counts for the
	// members that will be linked to it, earlier than it becomes a relay: after a restart of all
	// daemons, outlets that wait for relays would refuse most tenants for longer than a second.
	countAfter = 200 * time.Millisecond
	// startTick is how often a process that starts looks whether its number of outlets is settled,
	// that is, has not grown by more than outletsGrowth, a factor, for outletsSettleTime.
	startTick         = 20 * time.Millisecond
	outletsSettleTime = 120 * time.Millisecond
	outletsGrowth     = 1.05
	// goneRetention is how long the outlet of a VM that is gone is assumed to use its part of all
	// limits: the VM may be unreachable rather than dead.
	goneRetention = 30 * time.Second
)

// Quota connects the control plane to the VM's outlet, which counts the requests of tenants.
type Quota struct {
	// Usage returns the counts that have changed since the last call. Due receives a value when
	// they should be reported at once.
	Usage func() []admit.Usage
	Due   <-chan struct{}
	// Tolerance is by how much the limits of tenants may be exceeded.
	Tolerance admit.Tolerance
}

// quotaController reports the use of tenants' limits to the relays and, on a relay, decides what
// the outlets of its members admit. Only its run method uses it, but for
// received, directiveFrom and counting.
type quotaController struct {
	nd *Node
	// directiveFrom is the peer whose directive this daemon follows.
	directiveFrom atomic.Pointer[link.Peer]
	// outlets is the last population, which has not changed since outletsSince.
	outlets      int
	outletsSince time.Time
	// received has the messages of peers that wait to be processed.
	received chan receivedUsage

	// counts is whether this daemon counted for others when its role was last looked at.
	counts bool
	ledger ledger.Ledger
	// urgent fires when shares are to be computed before the next tick, nil if they are not.
	urgent <-chan time.Time
	// sums has the requests of this relay's members, reported those of its last report. They only
	// grow while the process runs, also if it is a relay again later.
	sums, reported map[string]admit.RankedCounts
	// goneSince is when a VM that counts as gone was first seen to be.
	goneSince map[string]time.Time
	// sentAt is when directives were last sent, and sentShares whether that one had shares.
	sentAt     time.Time
	sentShares bool
}

type receivedUsage struct {
	from *link.Peer
	us   *wirepb.Usage
}

// maxReceivedUsage bounds the messages that wait to be processed. Counts are cumulative, so a
// dropped message is made up for by the next one.
const maxReceivedUsage = 256

func newQuotaController(nd *Node) *quotaController {
	qc := &quotaController{
		nd: nd, received: make(chan receivedUsage, maxReceivedUsage), sums: map[string]admit.RankedCounts{}, reported: map[string]admit.RankedCounts{},
	}
	qc.reset()
	return qc
}

// counting reports whether this daemon counts the requests of others: it is a relay, or will be.
func (qc *quotaController) counting() bool { return qc.nd.isRelay() || qc.nd.linker.willRelay.Load() }

// updateRole discards what this daemon has learned when it begins to count, or no longer does.
func (qc *quotaController) updateRole() {
	if qc.counts == qc.counting() {
		return
	}
	qc.counts = qc.counting()
	qc.nd.log.Info(logs.TenantCounting, slog.Bool("counts", qc.counts), slog.Bool("relay", qc.nd.isRelay()))
	qc.reset()
}

func (qc *quotaController) reset() {
	qc.ledger = ledger.Ledger{Tolerance: qc.nd.cf.Quota.Tolerance, Since: time.Now()}
	qc.goneSince = map[string]time.Time{}
	qc.sentAt, qc.sentShares = time.Time{}, false
	qc.nd.Board.TenantUse.Set(nil)
}

// run reports and decides while any tenant has a limit.
func (qc *quotaController) run(ctx context.Context) {
	if qc.nd.cf.Quota.Usage == nil {
		return
	}
	// The ticker keeps running when the configuration changes: versions may follow each other more
	// quickly than it ticks.
	tick := time.NewTicker(ledger.ReportInterval)
	defer tick.Stop()
	start := time.NewTicker(startTick)
	defer start.Stop()
	limited := true
	for ctx.Err() == nil {
		sn, changed := qc.nd.Board.Held.Watch()
		wasLimited := limited
		limited = sn != nil && sn.Tenants.Limited
		if limited {
			if !wasLimited {
				tick.Reset(ledger.ReportInterval)
			}
			if qc.nd.Board.Outlets.Get() != nil {
				start.Stop()
			}
			qc.handleNext(ctx, changed, tick.C, start.C)
			continue
		}
		tick.Stop()
		select {
		case <-changed:
		case <-qc.received:
		case <-ctx.Done():
		}
	}
}

// handleNext waits for the next event and handles it.
func (qc *quotaController) handleNext(ctx context.Context, changed <-chan struct{}, tick, start <-chan time.Time) {
	qc.updateRole()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-qc.nd.cf.Quota.Due:
		qc.reportOwn(true)
	case ru := <-qc.received:
		qc.handle(ru)
	case <-qc.urgent:
		qc.urgent = nil
		qc.decide(true)
		return
	case <-start:
		qc.countOutlets()
	case <-tick:
		qc.countOutlets()
		qc.reportOwn(false)
		qc.decide(false)
		return
	}
	if qc.counts && qc.urgent == nil && qc.ledger.Urgent(qc.limit, time.Now()) {
		qc.urgent = time.After(minShareInterval)
	}
}

// limit returns the limit of a tenant in the configuration in force.
func (qc *quotaController) limit(tenant string) admit.Limit {
	return qc.nd.Board.Held.Get().Tenants.Limit(tenant)
}

// reportOwn reports the counts of the VM's own outlet: a relay to itself, any other daemon to its
// relay.
func (qc *quotaController) reportOwn(urgent bool) {
	nd := qc.nd
	rl := qc.linkedRelay()
	if !qc.counts && rl == nil {
		return
	}
	usage := nd.cf.Quota.Usage()
	if len(usage) == 0 {
		return
	}
	re := ledger.Report{Source: nd.Board.Self.Get().Process(), Usage: usage}
	if qc.counts {
		qc.addMember(re)
		return
	}
	rl.SendUsage(link.UsageToWire(re, re.Source, nd.cf.Domain, nd.nextStamp()), urgent)
}

// linkedRelay returns the peer of the failure domain that this daemon has opened a link to and that
// counts its requests, or nil if there is none.
func (qc *quotaController) linkedRelay() (rl *link.Peer) {
	if rl = qc.nd.ownRelay(); rl != nil || !qc.nd.Board.Directive.Get().IsValid(time.Now()) {
		return rl
	}
	from := qc.directiveFrom.Load()
	// Counts given to a link that has ended would be marked as reported, and be lost.
	qc.nd.eachPeer(func(pr *link.Peer) {
		if pr == from {
			rl = pr
		}
	})
	return rl
}

// ownRelay returns the relay of the failure domain that this daemon has opened a link to, or nil if
// there is none. Of several it is always the same one: counts reported to two would be added up.
func (nd *Node) ownRelay() (rl *link.Peer) {
	nd.eachPeer(func(pr *link.Peer) {
		if pr.Outgoing && pr.Relay && pr.Record.Domain == nd.cf.Domain && (rl == nil || pr.Record.VM < rl.Record.VM) {
			rl = pr
		}
	})
	return rl
}

// futureRelay returns the VM that counts for a member of the failure domain before there are relays,
// given the records of the daemons that will be relays.
func futureRelay(chosen []*member.Record, vm string) string {
	for _, rc := range relay.Order(chosen, vm) {
		if rc.VM != vm {
			return rc.VM
		}
	}
	return ""
}

// isAmong reports whether a VM is one of those that records describe.
func isAmong(list []*member.Record, vm string) bool {
	return slices.ContainsFunc(list, func(rc *member.Record) bool { return rc.VM == vm })
}

// countsFor returns a function that reports whether this daemon counts for a peer.
func (qc *quotaController) countsFor() func(pr *link.Peer) bool {
	nd := qc.nd
	isMember := func(pr *link.Peer) bool { return !pr.Relay && pr.Record.Domain == nd.cf.Domain }
	if nd.isRelay() {
		return isMember
	}
	chosen := nd.linker.chosenRelays()
	return func(pr *link.Peer) bool {
		return isMember(pr) && !pr.Outgoing && !isAmong(chosen, pr.Record.VM) && futureRelay(chosen, pr.Record.VM) == nd.cf.VM
	}
}

// addMember records the report of a member and adds it to this relay's sums.
func (qc *quotaController) addMember(re ledger.Report) {
	for _, us := range qc.ledger.Add(re, time.Now()) {
		sum := qc.sums[us.Tenant]
		qc.sums[us.Tenant] = sum.Add(us)
	}
}

// handleUsage passes a message of a peer to the controller.
func (nd *Node) handleUsage(from *link.Peer, us *wirepb.Usage) {
	select {
	case nd.quota.received <- receivedUsage{from, us}:
	default:
	}
}

// handle processes a message of a peer: the counts of a member, or the sums of another relay, which
// are forwarded within the local failure domain.
func (qc *quotaController) handle(ru receivedUsage) {
	nd := qc.nd
	if !qc.counts || ru.us.Process == nd.Board.Self.Get().Process() {
		return
	}
	re := link.UsageFromWire(ru.us)
	if re.Outlets == 0 {
		qc.addMember(re)
		return
	}
	qc.ledger.Add(re, time.Now())
	nd.eachPeer(func(pr *link.Peer) {
		if ru.from.Record.Domain == ru.us.Domain && ru.us.Domain != nd.cf.Domain && pr.Relay && pr.Record.Domain == nd.cf.Domain {
			pr.SendUsage(ru.us, false)
		}
	})
}

// decide sends this relay's sums to the other relays, computes the shares, and sends them to the
// members.
func (qc *quotaController) decide(urgent bool) {
	nd, now := qc.nd, time.Now()
	if !qc.counts {
		return
	}
	countsFor := qc.countsFor()
	process := nd.Board.Self.Get().Process()
	re := ledger.Report{Source: link.SumSource(process), Outlets: qc.covered(countsFor, now)}
	for tenant, sum := range qc.sums {
		if last := qc.reported[tenant]; sum != last {
			re.Usage = append(re.Usage, admit.Usage{Tenant: tenant, Counts: sum.Counts, LastReported: last.Counts, Ranks: sum.Ranks, LastRanks: last.Ranks})
			qc.reported[tenant] = sum
		}
	}
	// Before there are relays, each daemon that counts keeps its members within their own part of a
	// limit, and what they used of it does not concern the others.
	us := link.UsageToWire(re, process, nd.cf.Domain, nd.nextStamp())
	nd.eachPeer(func(pr *link.Peer) {
		if pr.Relay && nd.isRelay() {
			pr.SendUsage(us, urgent)
		}
	})
	// Its members' counts are in the ledger already.
	qc.ledger.Add(ledger.Report{Source: re.Source, Outlets: re.Outlets}, now)
	outlets := qc.population(now)
	covered := min(1, float64(qc.ledger.Outlets(now))/float64(outlets))
	di := &admit.Directive{ReceivedAt: now, Outlets: outlets, Learning: now.Sub(qc.ledger.Since) < qc.learnTime(), Shares: qc.ledger.Shares(qc.limit, covered, now)}
	nd.Board.Directive.Set(di)
	nd.Board.TenantUse.Set(&board.TenantUse{Outlets: outlets, Reporting: qc.ledger.Outlets(now), Uses: qc.ledger.Uses(qc.limit, di.Shares, now)})
	if len(di.Shares) == 0 && !qc.sentShares && now.Sub(qc.sentAt) < directiveInterval-ledger.ReportInterval/2 {
		return
	}
	qc.sentAt, qc.sentShares = now, len(di.Shares) > 0
	pb := link.DirectiveToWire(di)
	nd.eachPeer(func(pr *link.Peer) {
		if countsFor(pr) {
			pr.UpdateNext(func(pk *wirepb.Packet) { pk.Directive = pb })
		}
	})
}

// learnTime returns how long this daemon collects reports before its members rely on it. Ages are
// those at which it began to count, so that the time does not change while it passes.
func (qc *quotaController) learnTime() time.Duration {
	since := qc.ledger.Since
	young, old := 0, 0
	qc.nd.eachPeer(func(pr *link.Peer) {
		if since.Sub(pr.RunningSince) <= startPeriod {
			young++
		} else {
			old++
		}
	})
	if since.Sub(qc.nd.started) <= startPeriod && young > old {
		return startLearnTime
	}
	return learnTime
}

// covered returns how many outlets report to this daemon, its own included.
func (qc *quotaController) covered(countsFor func(*link.Peer) bool, now time.Time) int {
	n := 1
	// Those that become relays count their own requests already, and do not report them.
	chosen := qc.nd.linker.chosenRelays()
	qc.nd.eachPeer(func(pr *link.Peer) {
		if countsFor(pr) && !isAmong(chosen, pr.Record.VM) && !pr.Outgoing && now.Sub(pr.LastHeard()) <= coveredAfter {
			n++
		}
	})
	return n
}

// population returns how many outlets the mesh has, including those that may only be unreachable: in
// the first goneRetention of this process, all declared VMs that are not known to have left. A
// declared failure domain without known members is assumed to have as many as the local one.
func (qc *quotaController) population(now time.Time) int {
	count := map[string]int{}
	members := qc.nd.Board.Members.Get()
	for rc := range members.All {
		if rc.State == member.StateLeft {
			continue
		}
		if rc.Live() {
			delete(qc.goneSince, rc.VM)
		} else {
			since, ok := qc.goneSince[rc.VM]
			if !ok {
				since = now
				qc.goneSince[rc.VM] = now
			}
			if now.Sub(since) > goneRetention {
				continue
			}
		}
		count[rc.Domain]++
	}
	if sn := qc.nd.Board.Held.Get(); sn != nil && now.Sub(qc.nd.started) <= goneRetention {
		// This process cannot know yet whether the declared VMs that it has not heard of are gone.
		for name, vm := range sn.VMs {
			if members.Get(name) == nil {
				count[vm.Domain]++
			}
		}
	}
	sum := 0
	for _, n := range count {
		sum += n
	}
	for _, dm := range qc.nd.otherDomains() {
		if count[dm] == 0 {
			sum += count[qc.nd.cf.Domain]
		}
	}
	return max(1, sum)
}

// countOutlets publishes how many outlets the mesh has, once that is settled. A process that starts
// knows none of the others at first, and would take the whole of each limit for its own.
func (qc *quotaController) countOutlets() {
	nd, now := qc.nd, time.Now()
	n := qc.population(now)
	if float64(n) > outletsGrowth*float64(qc.outlets) || !nd.linker.membersKnown() {
		qc.outlets, qc.outletsSince = n, now
		return
	}
	if cur := nd.Board.Outlets.Get(); now.Sub(qc.outletsSince) >= outletsSettleTime && (cur == nil || *cur != n) {
		if cur == nil {
			nd.log.Info(logs.TenantOutlets, slog.Int("outlets", n), slog.Duration("age", now.Sub(nd.started)))
		}
		nd.Board.Outlets.Set(&n)
	}
}

// handleDirective follows the directive of this daemon's relay.
func (nd *Node) handleDirective(from *link.Peer, pb *wirepb.Directive, now time.Time) {
	if !from.Outgoing || from.Record.Domain != nd.cf.Domain || nd.quota.counting() {
		return
	}
	// A future relay knows nothing of requests that are reported to a relay, and would let them pass.
	if !from.Relay && (nd.ownRelay() != nil || futureRelay(nd.linker.chosenRelays(), nd.cf.VM) != from.Record.VM) {
		return
	}
	nd.quota.directiveFrom.Store(from)
	nd.Board.Directive.Set(link.DirectiveFromWire(pb, now))
}
