package pick

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
)

// Table is what a request is routed by: one version of the configuration and
// the backend servers that it allows. It never changes; a request keeps one
// for its whole life.
type Table struct {
	Snap   *snap.Snapshot
	groups []*Group // by the index of the service
}

// Group has the backend servers of one service.
type Group struct {
	tiers []tier
	all   []*Endpoint
	spill bool
}

// tier has the servers of failure domains that are equally preferred. Those
// that may be out of reach stand behind the others.
type tier struct {
	strong, weak []*Endpoint
}

// Build returns the table for a snapshot and the members. Endpoints that prev
// knows keep their counters, as long as the same process serves.
func Build(sn *snap.Snapshot, vw *member.View, cut *board.CutSet, prev *Table) *Table {
	known := map[string]*Endpoint{}
	if prev != nil {
		for _, gp := range prev.groups {
			for _, ep := range gp.all {
				known[ep.VM] = ep
			}
		}
	}
	byService := make([]map[string][]*Endpoint, len(sn.ServiceList))
	for rc := range vw.All {
		sv := sn.Services[rc.Service]
		if !rc.Serving() || sv == nil || !listed(sn, sv, rc) {
			continue
		}
		if byService[sv.Index] == nil {
			byService[sv.Index] = map[string][]*Endpoint{}
		}
		ep := endpoint(rc, sv, known[rc.VM])
		ep.Weak = rc.Mark != member.MarkNone || cut != nil && (*cut)[rc.Domain]
		byService[sv.Index][rc.Domain] = append(byService[sv.Index][rc.Domain], ep)
	}
	tb := &Table{Snap: sn, groups: make([]*Group, len(sn.ServiceList))}
	for i, sv := range sn.ServiceList {
		tb.groups[i] = group(sv, byService[i])
	}
	return tb
}

// listed tells whether the inventory has the server where it says that it is;
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
		Since: rc.Since, SlowStart: time.Duration(sv.SlowStart),
	}
	if known != nil && known.Process == ep.Process {
		return known.With(ep)
	}
	return NewEndpoint(ep)
}

func group(sv *snap.Service, byDomain map[string][]*Endpoint) *Group {
	gp := &Group{spill: sv.Spill}
	for _, domains := range sv.Tiers {
		var tr tier
		for _, dm := range domains {
			for _, ep := range byDomain[dm] {
				gp.all = append(gp.all, ep)
				if ep.Weak {
					tr.weak = append(tr.weak, ep)
				} else {
					tr.strong = append(tr.strong, ep)
				}
			}
		}
		if tr.strong != nil || tr.weak != nil {
			gp.tiers = append(gp.tiers, tr)
		}
	}
	return gp
}

// Group returns the servers of a service of the table's own snapshot.
func (tb *Table) Group(sv *snap.Service) *Group { return tb.groups[sv.Index] }

// Len returns how many backend servers the group has.
func (gp *Group) Len() int { return len(gp.all) }

// mayEject tells whether another server may be left out for its failures. At
// least half stay in use: when most fail at once, the cause is rather the
// requests or something that all servers share, and leaving out more would
// only load the rest.
func (gp *Group) mayEject(now time.Time) bool {
	out := 0
	for _, ep := range gp.all {
		if ep.Out(now) {
			out++
		}
	}
	return (out+1)*2 <= len(gp.all)
}

// Tried holds the servers that a request has been sent to.
type Tried struct {
	list [8]*Endpoint
	n    int
}

// Add notes a server as tried.
func (tr *Tried) Add(ep *Endpoint) {
	if tr.n < len(tr.list) {
		tr.list[tr.n] = ep
		tr.n++
	}
}

func (tr *Tried) has(ep *Endpoint) bool {
	for _, t := range tr.list[:tr.n] {
		if t.live == ep.live {
			return true
		}
	}
	return false
}

// Random returns a number from 0 to n-1.
type Random func(n int) int

// Pick returns the server for a request, or nil when the group has none that
// was not tried. It goes through the tiers in order and takes the better of
// two drawn at random. A tier without room is passed over where the rules let
// requests spill; if no tier has room, the best server seen is taken, and its
// inlet decides.
func (gp *Group) Pick(now time.Time, tried *Tried, rnd Random) *Endpoint {
	var best *Endpoint
	bestScore := 0.0
	for i := range gp.tiers {
		for _, list := range [2][]*Endpoint{gp.tiers[i].strong, gp.tiers[i].weak} {
			ep, sc := better(list, now, tried, rnd)
			if ep == nil {
				continue
			}
			if sc <= 1 {
				return ep
			}
			if best == nil || sc < bestScore {
				best, bestScore = ep, sc
			}
		}
		if !gp.spill && best != nil {
			return best
		}
	}
	if best != nil {
		return best
	}
	return gp.lastResort(now, tried, rnd)
}

// draws is how often a server that cannot be used is drawn again before the
// list is searched.
const draws = 4

// better returns the better of two servers of a list, and its score.
func better(list []*Endpoint, now time.Time, tried *Tried, rnd Random) (*Endpoint, float64) {
	a := usable(list, nil, now, tried, rnd)
	if a == nil {
		return nil, 0
	}
	sa := a.score(now)
	b := usable(list, a, now, tried, rnd)
	if b == nil {
		return a, sa
	}
	sb := b.score(now)
	la, lb := a.expectedLatency(now), b.expectedLatency(now)
	if la == 0 || lb == 0 {
		la, lb = 1, 1
	}
	// Of two with the same load the one that answers sooner is better: a
	// server may be slow and say that it has room.
	if sb*lb < sa*la {
		return b, sb
	}
	return a, sa
}

// usable draws a server other than not that was neither tried nor left out.
func usable(list []*Endpoint, not *Endpoint, now time.Time, tried *Tried, rnd Random) *Endpoint {
	if len(list) == 0 {
		return nil
	}
	ok := func(ep *Endpoint) bool { return ep != not && !ep.Out(now) && !tried.has(ep) }
	for range draws {
		if ep := list[rnd(len(list))]; ok(ep) {
			return ep
		}
	}
	start := rnd(len(list))
	for i := range list {
		if ep := list[(start+i)%len(list)]; ok(ep) {
			return ep
		}
	}
	return nil
}

// lastResort returns a server that is left out, when there is no other: an
// attempt may succeed, and a refusal without one certainly helps nobody.
func (gp *Group) lastResort(_ time.Time, tried *Tried, rnd Random) *Endpoint {
	if len(gp.all) == 0 {
		return nil
	}
	start := rnd(len(gp.all))
	for i := range gp.all {
		if ep := gp.all[(start+i)%len(gp.all)]; !tried.has(ep) {
			return ep
		}
	}
	return nil
}
