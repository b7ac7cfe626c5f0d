package pick

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// Fleet is the state from which a table is built, apart from the configuration.
type Fleet struct {
	Members *member.View
	// Unreachable holds the failure domains that have no links; nil if there are none.
	Unreachable *board.DomainSet
	// Self is the VM of the outlet.
	Self     string
	Rollouts *canary.View
	// Admission decides which software versions of a service get requests. If it is nil, all do
	// that no rollout excludes.
	Admission *canary.Admission
	Now       time.Time
}

// Build returns the table for a snapshot and the state of the fleet. Endpoints that are already in
// prev keep their counters, unless the backend server has restarted.
func Build(sn *snap.Snapshot, fl Fleet, prev *Table) *Table {
	known, meanUses := map[string]*Endpoint{}, map[string]*utilization{}
	if prev != nil {
		for i, gp := range prev.groups {
			meanUses[prev.Snap.ServiceList[i].Name] = gp.meanUse
			for ep := range gp.each {
				known[ep.VM] = ep
			}
		}
	}
	byService := make([][]*Endpoint, len(sn.ServiceList))
	for rc := range fl.Members.All {
		sv := sn.Services[rc.Service]
		if !rc.Serving() || sv == nil || !inInventory(sn, sv, rc) {
			continue
		}
		ep := endpointFor(rc, sv, known[rc.VM])
		ep.Suspect = rc.Mark != member.MarkNone || fl.Unreachable != nil && (*fl.Unreachable)[rc.Domain]
		byService[sv.Index] = append(byService[sv.Index], ep)
	}
	tb := &Table{Snap: sn, Outlets: fl.Members.LiveLen(), groups: make([]*Group, len(sn.ServiceList))}
	for i, sv := range sn.ServiceList {
		meanUse := meanUses[sv.Name]
		if meanUse == nil {
			meanUse = &utilization{}
		}
		gp, next := fl.group(sv, byService[i], meanUse)
		tb.groups[i] = gp
		if !next.IsZero() && (tb.RebuildAt.IsZero() || next.Before(tb.RebuildAt)) {
			tb.RebuildAt = next
		}
	}
	return tb
}

// inInventory reports whether the inventory lists the server with the service and failure domain
// that it claims. Servers of announced services are not in the inventory and always pass.
func inInventory(sn *snap.Snapshot, sv *snap.Service, rc *member.Record) bool {
	if sv.Announced {
		return true
	}
	vm, declared := sn.VMs[rc.VM]
	return declared && vm.Service == rc.Service && vm.Domain == rc.Domain
}

// endpointFor returns the endpoint for a record, with the counters of known if it is the same
// instance of the server.
func endpointFor(rc *member.Record, sv *snap.Service, known *Endpoint) *Endpoint {
	slots := rc.Slots
	if slots <= 0 {
		slots = sv.Slots
	}
	ep := Endpoint{
		VM: rc.VM, Domain: rc.Domain, Inlet: rc.Inlet, Process: Process(rc), Slots: slots,
		Since: rc.Since, SlowStart: time.Duration(sv.SlowStart), ColdUntil: rc.ColdUntil, Software: rc.Software,
	}
	// A restarted server does not inherit the counters of its predecessor, whose speed, load and
	// failures say nothing about it.
	if known != nil && known.Process == ep.Process && known.Since.Equal(ep.Since) {
		return known.WithFields(ep)
	}
	return NewEndpoint(ep)
}

// group divides the servers of a service by the cohort of their software version, and returns when
// the cohorts change next without any other event.
func (fl *Fleet) group(sv *snap.Service, list []*Endpoint, meanUse *utilization) (*Group, time.Time) {
	ro := fl.Rollouts.Get(sv.Name)
	counts := map[string]int{}
	for _, ep := range list {
		counts[ep.Software]++
	}
	var cohorts map[string]canary.Cohort
	var next time.Time
	if fl.Admission != nil {
		cohorts, next = fl.Admission.Assign(sv.Name, ro, counts, fl.Now)
	}
	var baseline, target, idle []*Endpoint
	for _, ep := range list {
		cohort := cohorts[ep.Software]
		if fl.Admission == nil {
			cohort = ro.CohortOf(ep.Software)
		}
		switch cohort {
		case canary.Target:
			target = append(target, ep)
		case canary.Idle:
			idle = append(idle, ep)
		default:
			baseline = append(baseline, ep)
		}
	}
	gp := newGroup(sv, baseline, fl.Self, meanUse)
	gp.idle = idle
	if len(target) > 0 && ro != nil {
		used, rest := firstServers(target, ro.Servers)
		gp.idle = append(gp.idle, rest...)
		gp.target, gp.rollout = newGroup(sv, used, fl.Self, meanUse), ro
	}
	return gp, next
}

// firstServers returns the first n servers and the rest, in an order that is the same at all
// outlets and alternates between failure domains.
func firstServers(list []*Endpoint, n int) (used, rest []*Endpoint) {
	slices.SortFunc(list, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	countByDomain := map[string]int{}
	position := make(map[*Endpoint]int, len(list))
	for _, ep := range list {
		position[ep] = countByDomain[ep.Domain]
		countByDomain[ep.Domain]++
	}
	slices.SortStableFunc(list, func(a, b *Endpoint) int { return cmp.Compare(position[a], position[b]) })
	n = min(n, len(list))
	return list[:n], list[n:]
}

// newGroup returns a group of servers, in tiers of equally preferred failure domains.
func newGroup(sv *snap.Service, list []*Endpoint, self string, meanUse *utilization) *Group {
	byDomain := map[string][]*Endpoint{}
	for _, ep := range list {
		byDomain[ep.Domain] = append(byDomain[ep.Domain], ep)
	}
	gp := &Group{spill: sv.Spill, meanUse: meanUse}
	for _, domains := range sv.Tiers {
		var reachable, suspect []*Endpoint
		for _, dm := range domains {
			for _, ep := range byDomain[dm] {
				gp.all = append(gp.all, ep)
				if ep.Suspect {
					suspect = append(suspect, ep)
				} else {
					reachable = append(reachable, ep)
				}
			}
		}
		if reachable != nil || suspect != nil {
			gp.tiers = append(gp.tiers, tier{reachable: newPool(reachable, self), suspect: newPool(suspect, self)})
		}
	}
	return gp
}

// each yields all servers of the group, including those that get no requests.
func (gp *Group) each(yield func(*Endpoint) bool) {
	lists := [][]*Endpoint{gp.all, gp.idle}
	if gp.target != nil {
		lists = append(lists, gp.target.all)
	}
	for _, list := range lists {
		for _, ep := range list {
			if !yield(ep) {
				return
			}
		}
	}
}

// ForRequest returns the servers for a request, given a random number in [0, 1): those of the
// version being rolled out for its share of the requests, otherwise those of the previous version.
func (gp *Group) ForRequest(now time.Time, draw float64) *Group {
	if gp.target == nil {
		return gp
	}
	if share := gp.rollout.ShareAt(now); share > 0 && draw < share || len(gp.all) == 0 && share > 0 {
		return gp.target
	}
	return gp
}

// Rollout returns the rollout that the group's requests take part in, or nil.
func (gp *Group) Rollout() *canary.Rollout { return gp.rollout }
