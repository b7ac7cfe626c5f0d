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

// Fleet is what a table is built from besides the configuration.
type Fleet struct {
	Members *member.View
	Cut     *board.DomainSet
	// Self is the outlet's VM.
	Self     string
	Rollouts *canary.View
	// Admission decides which versions of a service's software take requests; nil admits
	// all that no rollout excludes.
	Admission *canary.Admission
	Now       time.Time
}

// Build returns the table for a snapshot and a fleet. Endpoints that prev knows keep their
// counters, as long as the same start of them serves.
func Build(sn *snap.Snapshot, fl Fleet, prev *Table) *Table {
	known, uses := map[string]*Endpoint{}, map[string]*use{}
	if prev != nil {
		for i, gp := range prev.groups {
			uses[prev.Snap.ServiceList[i].Name] = gp.typical
			for ep := range gp.each {
				known[ep.VM] = ep
			}
		}
	}
	byService := make([][]*Endpoint, len(sn.ServiceList))
	for rc := range fl.Members.All {
		sv := sn.Services[rc.Service]
		if !rc.Serving() || sv == nil || !listed(sn, sv, rc) {
			continue
		}
		ep := endpoint(rc, sv, known[rc.VM])
		ep.Weak = rc.Mark != member.MarkNone || fl.Cut != nil && (*fl.Cut)[rc.Domain]
		byService[sv.Index] = append(byService[sv.Index], ep)
	}
	tb := &Table{Snap: sn, Outlets: fl.Members.LiveLen(), groups: make([]*Group, len(sn.ServiceList))}
	for i, sv := range sn.ServiceList {
		typical := uses[sv.Name]
		if typical == nil {
			typical = &use{}
		}
		gp, next := fl.group(sv, byService[i], typical)
		tb.groups[i] = gp
		if !next.IsZero() && (tb.RebuildAt.IsZero() || next.Before(tb.RebuildAt)) {
			tb.RebuildAt = next
		}
	}
	return tb
}

// listed reports whether the inventory has the server where it says that it is;
// those of an announced service are in no inventory.
func listed(sn *snap.Snapshot, sv *snap.Service, rc *member.Record) bool {
	if sv.Announced {
		return true
	}
	vm, declared := sn.VMs[rc.VM]
	return declared && vm.Service == rc.Service && vm.Domain == rc.Domain
}

func endpoint(rc *member.Record, sv *snap.Service, known *Endpoint) *Endpoint {
	slots := rc.Slots
	if slots <= 0 {
		slots = sv.Slots
	}
	ep := Endpoint{
		VM: rc.VM, Domain: rc.Domain, Inlet: rc.Inlet, Process: Process(rc), Slots: slots,
		Since: rc.Since, SlowStart: time.Duration(sv.SlowStart), ColdUntil: rc.ColdUntil, Software: rc.Software,
	}
	// A server that starts anew has nothing of what is known of the one before: its
	// speed and load are its own, and it was not the one that failed.
	if known != nil && known.Process == ep.Process && known.Since.Equal(ep.Since) {
		return known.With(ep)
	}
	return NewEndpoint(ep)
}

// group returns the servers of a service by the versions of their software, and when that
// changes by itself.
func (fl *Fleet) group(sv *snap.Service, list []*Endpoint, typical *use) (*Group, time.Time) {
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
	gp := tiered(sv, baseline, fl.Self, typical)
	gp.idle = idle
	if len(target) > 0 && ro != nil {
		used, rest := firstServers(target, ro.Servers)
		gp.idle = append(gp.idle, rest...)
		gp.target, gp.rollout = tiered(sv, used, fl.Self, typical), ro
	}
	return gp, next
}

// firstServers returns the first n servers in an order that all outlets share and that takes
// the failure domains in turn, and the others.
func firstServers(list []*Endpoint, n int) (used, rest []*Endpoint) {
	slices.SortFunc(list, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	rank := map[string]int{}
	places := make(map[*Endpoint]int, len(list))
	for _, ep := range list {
		places[ep] = rank[ep.Domain]
		rank[ep.Domain]++
	}
	slices.SortStableFunc(list, func(a, b *Endpoint) int { return cmp.Compare(places[a], places[b]) })
	n = min(n, len(list))
	return list[:n], list[n:]
}

// tiered returns a group of servers by how much their failure domains are preferred.
func tiered(sv *snap.Service, list []*Endpoint, self string, typical *use) *Group {
	byDomain := map[string][]*Endpoint{}
	for _, ep := range list {
		byDomain[ep.Domain] = append(byDomain[ep.Domain], ep)
	}
	gp := &Group{spill: sv.Spill, typical: typical}
	for _, domains := range sv.Tiers {
		var strong, weak []*Endpoint
		for _, dm := range domains {
			for _, ep := range byDomain[dm] {
				gp.all = append(gp.all, ep)
				if ep.Weak {
					weak = append(weak, ep)
				} else {
					strong = append(strong, ep)
				}
			}
		}
		if strong != nil || weak != nil {
			gp.tiers = append(gp.tiers, tier{strong: newPool(strong, self), weak: newPool(weak, self)})
		}
	}
	return gp
}

// each calls yield for each server of the group, also those that take no requests.
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

// ForRequest returns the servers for a request, which draws a number from 0 to 1: those of the
// version that is being rolled out for its share of the requests, else those of before.
func (gp *Group) ForRequest(now time.Time, draw float64) *Group {
	if gp.target == nil {
		return gp
	}
	if share := gp.rollout.ShareAt(now); share > 0 && draw < share || len(gp.all) == 0 && share > 0 {
		return gp.target
	}
	return gp
}

// Rollout returns the rollout that the group's requests take part in, nil for none.
func (gp *Group) Rollout() *canary.Rollout { return gp.rollout }
