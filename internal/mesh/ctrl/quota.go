package ctrl

import (
	"context"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
	"github.com/flamingomast/flamingomast/internal/quota/ledger"
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
	// learnTime is how long a new relay collects reports before its members rely on it.
	learnTime = time.Second
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
	// Spare is how many requests beyond its burst a tenant may send after a pause.
	Spare float64
}

// quotaController reports the use of tenants' limits to the relays and, on a relay, decides what
// the outlets of its members admit. Only its run method uses it, but for received.
type quotaController struct {
	nd *Node
	// received has the messages of peers that wait to be processed.
	received chan receivedUsage

	// relay is whether this daemon was a relay when its role was last looked at.
	relay  bool
	ledger ledger.Ledger
	// urgent fires when shares are to be computed before the next tick, nil if they are not.
	urgent <-chan time.Time
	// sums has the requests of this relay's members, reported those of its last report. They only
	// grow while the process runs, also if it is a relay again later.
	sums, reported map[string]admit.Counts
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
		nd: nd, received: make(chan receivedUsage, maxReceivedUsage), sums: map[string]admit.Counts{}, reported: map[string]admit.Counts{},
	}
	qc.reset()
	return qc
}

// updateRole discards what this daemon has learned as a relay when it becomes one, or no longer is.
func (qc *quotaController) updateRole() {
	if qc.relay == qc.nd.isRelay() {
		return
	}
	qc.relay = qc.nd.isRelay()
	qc.reset()
}

func (qc *quotaController) reset() {
	qc.ledger = ledger.Ledger{Spare: qc.nd.cf.Quota.Spare, Since: time.Now()}
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
	limited := true
	for ctx.Err() == nil {
		sn, changed := qc.nd.Board.Held.Watch()
		wasLimited := limited
		limited = sn != nil && sn.Tenants.Limited
		if limited {
			if !wasLimited {
				tick.Reset(ledger.ReportInterval)
			}
			qc.handleNext(ctx, changed, tick.C)
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
func (qc *quotaController) handleNext(ctx context.Context, changed <-chan struct{}, tick <-chan time.Time) {
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
	case <-tick:
		qc.reportOwn(false)
		qc.decide(false)
		return
	}
	if qc.relay && qc.urgent == nil && qc.ledger.Urgent(qc.limit, time.Now()) {
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
	rl := nd.linkedRelay()
	if !nd.isRelay() && rl == nil {
		return
	}
	usage := nd.cf.Quota.Usage()
	if len(usage) == 0 {
		return
	}
	re := ledger.Report{Source: nd.Board.Self.Get().Process(), Usage: usage}
	if nd.isRelay() {
		qc.addMember(re)
		return
	}
	rl.SendUsage(link.UsageToWire(re, re.Source, nd.cf.Domain, nd.nextStamp()), urgent)
}

// linkedRelay returns the peer of the failure domain that this daemon has opened a link to, or nil if
// there is none. Of several it is always the same one, a relay if possible: counts reported to two
// relays would be added up.
func (nd *Node) linkedRelay() (rl *link.Peer) {
	better := func(a, b *link.Peer) bool {
		return b == nil || a.Relay && !b.Relay || a.Relay == b.Relay && a.Record.VM < b.Record.VM
	}
	nd.eachPeer(func(pr *link.Peer) {
		if pr.Outgoing && pr.Record.Domain == nd.cf.Domain && better(pr, rl) {
			rl = pr
		}
	})
	return rl
}

// addMember records the report of a member and adds it to this relay's sums.
func (qc *quotaController) addMember(re ledger.Report) {
	for _, us := range qc.ledger.Add(re, time.Now()) {
		sum := qc.sums[us.Tenant]
		qc.sums[us.Tenant] = admit.Counts{Offered: sum.Offered + us.Counts.Offered, Admitted: sum.Admitted + us.Counts.Admitted}
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
	if !nd.isRelay() || ru.us.Process == nd.Board.Self.Get().Process() {
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
	if !nd.isRelay() {
		return
	}
	process := nd.Board.Self.Get().Process()
	re := ledger.Report{Source: link.SumSource(process), Outlets: qc.covered(now)}
	for tenant, sum := range qc.sums {
		if last := qc.reported[tenant]; sum != last {
			re.Usage = append(re.Usage, admit.Usage{Tenant: tenant, Counts: sum, LastReported: last})
			qc.reported[tenant] = sum
		}
	}
	us := link.UsageToWire(re, process, nd.cf.Domain, nd.nextStamp())
	nd.eachPeer(func(pr *link.Peer) {
		if pr.Relay {
			pr.SendUsage(us, urgent)
		}
	})
	// Its members' counts are in the ledger already.
	qc.ledger.Add(ledger.Report{Source: re.Source, Outlets: re.Outlets}, now)
	outlets := qc.population(now)
	covered := min(1, float64(qc.ledger.Outlets(now))/float64(outlets))
	di := &admit.Directive{ReceivedAt: now, Outlets: outlets, Learning: now.Sub(qc.ledger.Since) < learnTime, Shares: qc.ledger.Shares(qc.limit, covered, now)}
	nd.Board.Directive.Set(di)
	nd.Board.TenantUse.Set(&board.TenantUse{Outlets: outlets, Reporting: qc.ledger.Outlets(now), Uses: qc.ledger.Uses(qc.limit, di.Shares, now)})
	if len(di.Shares) == 0 && !qc.sentShares && now.Sub(qc.sentAt) < directiveInterval-ledger.ReportInterval/2 {
		return
	}
	qc.sentAt, qc.sentShares = now, len(di.Shares) > 0
	pb := link.DirectiveToWire(di)
	nd.eachPeer(func(pr *link.Peer) {
		if !pr.Relay && pr.Record.Domain == nd.cf.Domain {
			pr.UpdateNext(func(pk *wirepb.Packet) { pk.Directive = pb })
		}
	})
}

// covered returns how many outlets report to this relay, its own included.
func (qc *quotaController) covered(now time.Time) int {
	n := 1
	qc.nd.eachPeer(func(pr *link.Peer) {
		if !pr.Relay && !pr.Outgoing && pr.Record.Domain == qc.nd.cf.Domain && now.Sub(pr.LastHeard()) <= coveredAfter {
			n++
		}
	})
	return n
}

// population returns how many outlets the mesh has, including those that may only be unreachable. A
// declared failure domain without known members is assumed to have as many as the local one.
func (qc *quotaController) population(now time.Time) int {
	count := map[string]int{}
	for rc := range qc.nd.Board.Members.Get().All {
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

// handleDirective follows the directive of this daemon's relay.
func (nd *Node) handleDirective(from *link.Peer, pb *wirepb.Directive, now time.Time) {
	if from.Outgoing && from.Record.Domain == nd.cf.Domain && !nd.isRelay() {
		nd.Board.Directive.Set(link.DirectiveFromWire(pb, now))
	}
}
