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
}

// heardTally is a message with when it came.
type heardTally struct {
	*wirepb.Tally
	at time.Time
}

// gives reports whether a sum takes the place of the one that is kept: a later one of the same
// relay, or that of another relay once the former has sent none for a while.
func (ht heardTally) gives(ta *wirepb.Tally, now time.Time) bool {
	if ht.Process == ta.Process {
		return ta.Stamp > ht.Stamp
	}
	return now.Sub(ht.at) > 3*tallyInterval
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

func (nd *Node) ownTally(cs *Counts) *wirepb.Tally {
	self := nd.Board.Self.Get()
	return &wirepb.Tally{
		Service: cs.Service, Vm: nd.cf.VM, Domain: nd.cf.Domain, Process: self.Process(), Stamp: nd.nextStamp(),
		Cohorts: link.TallyToWire(tally.Sum{cs.Software: &cs.Cohort}),
	}
}

// sendSum sends the sum of the own failure domain to the other relays.
func (nd *Node) sendSum(service string, now time.Time) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	sum := &wirepb.Tally{
		Service: service, Domain: nd.cf.Domain, Process: nd.Board.Self.Get().Process(), Stamp: nd.nextStamp(),
		Cohorts: link.TallyToWire(nd.domainSum(service, now)),
	}
	for pr := range nd.peers {
		if pr.Relay && pr.Record.Domain != nd.cf.Domain {
			pr.SendTally(sum)
		}
	}
}

// domainSum adds up the counts of the own failure domain; nd.mu is held.
func (nd *Node) domainSum(service string, now time.Time) tally.Sum {
	sum := tally.Sum{}
	for vm, ht := range nd.tallies.vms {
		switch {
		case now.Sub(ht.at) > tallyTTL:
			delete(nd.tallies.vms, vm)
		case ht.Service == service:
			for software, ch := range link.TallyFromWire(ht.Tally) {
				sum.Add(software, ch)
			}
		}
	}
	return sum
}

// tallySums returns the counts of all failure domains that are heard.
func (nd *Node) tallySums(service string, now time.Time) map[string]tally.Sum {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	sums := map[string]tally.Sum{}
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
		nd.tallies = tallies{vms: map[string]heardTally{}, domains: map[string]heardTally{}}
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
