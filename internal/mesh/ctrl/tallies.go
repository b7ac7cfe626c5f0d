package ctrl

import (
	"context"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

const (
	// tallyInterval is how often counts are sent while a rollout is in progress.
	tallyInterval = 300 * time.Millisecond
	// tallyTTL is how long the counts of a VM or failure domain hold.
	tallyTTL = 3 * time.Second
	// sumServers is how many servers' counts a relay sends to those of other failure
	// domains in tallyInterval; it sends those of more servers less often, but at least
	// once in maxSumTicks intervals.
	sumServers  = 16
	maxSumTicks = 4
)

// Counts is what the VM's own backend server did.
type Counts struct {
	Service, Software string
	tally.Cohort
}

// tallies has the counts of the VMs of the own failure domain and the sums of the others.
// The node's mu guards it.
type tallies struct {
	vms     map[string]heardTally
	domains map[string]heardTally
	// sent is when the counts of a service were last sent to other failure domains.
	sent map[string]time.Time
}

// heardTally is a message with when it came.
type heardTally struct {
	*wirepb.Tally
	at time.Time
}

// gives reports whether counts take the place of those that are kept: later ones of the same
// relay, or those of another relay once the former has sent none for a while.
func (ht heardTally) gives(ta *wirepb.Tally, now time.Time) bool {
	if ht.Process == ta.Process {
		return ta.Stamp > ht.Stamp
	}
	return now.Sub(ht.at) > sumInterval(len(ht.Cohorts))+2*tallyInterval
}

// nextStamp returns a number that rises with each message of this process.
func (nd *Node) nextStamp() uint64 { return nd.stamps.Add(1) }

// runTallies sends counts while the rollout of any service is in progress: those of the own
// backend server to the relays of the failure domain, and their sum to all other relays.
func (nd *Node) runTallies(ctx context.Context) {
	tick := time.NewTicker(tallyInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		vw, changed := nd.Board.Rollouts.Watch()
		if !vw.Active() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			tick.Reset(tallyInterval)
			continue
		}
		select {
		case <-tick.C:
			nd.sendTallies()
		case <-ctx.Done():
		}
	}
}

func (nd *Node) sendTallies() {
	now := time.Now()
	for _, ro := range nd.Board.Rollouts.Get().All() {
		if ro.State.Final() {
			continue
		}
		service := ro.Order.Service
		if cs := nd.cf.Counts(); cs.Service == service {
			nd.handleTally(nil, nd.ownTally(&cs), now)
		}
		if nd.isRelay() {
			nd.sendSum(service, now)
		}
	}
}

// sumInterval returns how often the counts of some servers are sent to other failure domains.
func sumInterval(servers int) time.Duration {
	return tallyInterval * time.Duration(min(maxSumTicks, max(1, (servers+sumServers-1)/sumServers)))
}

func (nd *Node) ownTally(cs *Counts) *wirepb.Tally {
	self := nd.Board.Self.Get()
	return &wirepb.Tally{
		Service: cs.Service, Vm: nd.cf.VM, Domain: nd.cf.Domain, Process: self.Process(), Stamp: nd.nextStamp(),
		Cohorts: link.TallyToWire(tally.Cohorts{cs.Software: {&cs.Cohort}}),
	}
}

// sendSum sends the counts of the own failure domain to the relays of the others, unless it
// has done so lately.
func (nd *Node) sendSum(service string, now time.Time) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	cohorts := link.TallyToWire(nd.domainSum(service, now))
	if now.Sub(nd.tallies.sent[service]) < sumInterval(len(cohorts))-tallyInterval/2 {
		return
	}
	if nd.tallies.sent == nil {
		nd.tallies.sent = map[string]time.Time{}
	}
	nd.tallies.sent[service] = now
	sum := &wirepb.Tally{
		Service: service, Domain: nd.cf.Domain, Process: nd.Board.Self.Get().Process(), Stamp: nd.nextStamp(), Cohorts: cohorts,
	}
	for pr := range nd.peers {
		if pr.Relay && pr.Record.Domain != nd.cf.Domain {
			pr.SendTally(sum)
		}
	}
}

// domainSum gathers the counts of the own failure domain; nd.mu is held.
func (nd *Node) domainSum(service string, now time.Time) tally.Cohorts {
	sum := tally.Cohorts{}
	for vm, ht := range nd.tallies.vms {
		switch {
		case now.Sub(ht.at) > tallyTTL:
			delete(nd.tallies.vms, vm)
		case ht.Service == service:
			for software, list := range link.TallyFromWire(ht.Tally) {
				for _, ch := range list {
					ch.VM = vm
					sum.Add(software, ch)
				}
			}
		}
	}
	return sum
}

// tallySums returns the counts of all failure domains that are heard.
func (nd *Node) tallySums(service string, now time.Time) map[string]tally.Cohorts {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	sums := map[string]tally.Cohorts{}
	if own := nd.domainSum(service, now); len(own) > 0 {
		sums[nd.cf.Domain] = own
	}
	for _, ht := range nd.tallies.domains {
		if now.Sub(ht.at) <= tallyTTL && ht.Service == service {
			sums[ht.Domain] = link.TallyFromWire(ht.Tally)
		}
	}
	return sums
}

// handleTally takes counts of a VM or failure domain and passes them on within the own one.
func (nd *Node) handleTally(from *link.Peer, ta *wirepb.Tally, now time.Time) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.tallies.vms == nil {
		nd.tallies.vms, nd.tallies.domains = map[string]heardTally{}, map[string]heardTally{}
	}
	if ta.Vm == "" {
		key := ta.Domain + "/" + ta.Service
		if cur, ok := nd.tallies.domains[key]; ta.Domain == nd.cf.Domain || ok && !cur.gives(ta, now) {
			return
		}
		nd.tallies.domains[key] = heardTally{ta, now}
		for pr := range nd.peers {
			if from != nil && from.Record.Domain == ta.Domain && pr.Relay && pr.Record.Domain == nd.cf.Domain {
				pr.SendTally(ta)
			}
		}
		return
	}
	if ta.Domain != nd.cf.Domain || len(nd.tallies.vms) >= maxLeavers {
		return
	}
	if cur, ok := nd.tallies.vms[ta.Vm]; ok && cur.Process == ta.Process && cur.Stamp >= ta.Stamp {
		return
	}
	nd.tallies.vms[ta.Vm] = heardTally{ta, now}
	for pr := range nd.peers {
		if pr != from && nd.isUpward(pr) {
			pr.SendTally(ta)
		}
	}
}
