package pick

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// Table is what a request is routed by: one version of the configuration and
// the backend servers that it allows. It never changes; a request keeps one
// for its whole life.
type Table struct {
	Snap *snap.Snapshot
	// Outlets is how many live daemons there are, each of which has an outlet.
	Outlets int
	// RebuildAt is when the table has to be built anew though nothing else changes, the zero
	// time for never.
	RebuildAt time.Time
	groups    []*Group // by the index of the service
}

// Group has the backend servers of one service.
type Group struct {
	tiers []tier
	all   []*Endpoint
	spill bool
	// typical is shared by all tables.
	typical *use
	// target has the servers of a version that is being rolled out, and rollout says which
	// part of the requests they get; nil for none.
	target  *Group
	rollout *canary.Rollout
	// idle has the servers that take no requests because of their version.
	idle []*Endpoint
}

// tier has the servers of failure domains that are equally preferred. Those
// that may be out of reach stand behind the others.
type tier struct {
	strong, weak pool
}

// pool is a list of servers of which the first near are used as long as one of
// them takes requests.
type pool struct {
	list []*Endpoint
	near int
}

// nearCount is how many servers of a pool an outlet uses. One that uses all
// of a large failure domain hears of each so seldom that its reports say nothing by then,
// and keeps a connection to each. With as many it hears of each in time, and some full
// ones still leave others.
const nearCount = 8

// newPool returns the pool of an outlet: the servers in an order of its own, so
// that outlets spread over servers, and one server more or less changes one place.
func newPool(list []*Endpoint, self string) pool {
	if len(list) > nearCount {
		score := make(map[*Endpoint]uint64, len(list))
		for _, ep := range list {
			score[ep] = xxhash.Sum64String(self + "\x00" + ep.VM)
		}
		slices.SortFunc(list, func(a, b *Endpoint) int { return cmp.Compare(score[b], score[a]) })
	}
	return pool{list: list, near: min(nearCount, len(list))}
}

// Group returns the servers of a service of the table's own snapshot.
func (tb *Table) Group(sv *snap.Service) *Group { return tb.groups[sv.Index] }

// Len returns how many backend servers the group has.
func (gp *Group) Len() int { return len(gp.all) }

// mayEject reports whether a server may be left out for its failures. At least
// half stay in use, and it must fail much more often than the others: when most
// fail alike, the cause is rather the requests or something that all servers
// share, such as a service that they call, and leaving out some would only load
// the rest.
func (gp *Group) mayEject(bad *Endpoint, now time.Time) bool {
	out, others, sum := 0, 0, 0.0
	for _, ep := range gp.all {
		if ep.live == bad.live {
			continue
		}
		others++
		if ep.Ejected(now) {
			out++
		} else {
			sum += ep.failShareNow()
		}
	}
	if (out+1)*2 > len(gp.all) {
		return false
	}
	return others == out || bad.failShareNow() > outlier*sum/float64(others-out)
}

// outlier is how many times the others' mean share of failures a server must
// have to be left out.
const outlier = 2

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

// The price of a failure domain's border, which is paid by the byte, put as
// time: a request waits so much rather than cross it.
const (
	// borderHop is what the way there and back takes.
	borderHop = 3 * time.Millisecond
	// borderByte is for each byte of the answer. At it, a request for a
	// small answer rather waits a little, and one for a large answer stays in its
	// failure domain as long as any server there takes it. When all failure domains are
	// busy, nobody gains by crossing.
	borderByte = 30 * time.Microsecond
	// borderPart is the part of the time for which a slot is held that is added,
	// so that requests stay as long as there is room, whatever the speed of the
	// servers there.
	borderPart = 0.5
)

// Criteria is what a request asks of a server.
type Criteria struct {
	// Size is how many bytes its answer is expected to have.
	Size int64
	// StayInDomain keeps a large answer in the failure domain as long as a server there is
	// alive. It is for narrow links: those behind the border are as busy, so that
	// a large answer which finds no room here takes it from others there.
	StayInDomain bool
	// Rank is the request's among those that wait, Held for how long those of its
	// route hold a slot as a rule.
	Rank        int
	ServiceTime time.Duration
	// FoundFull says that a server within reach had no room for it. It is not sent to one
	// that may be out of reach then: the answer that there is no room is known.
	FoundFull bool
}

// Pick returns the server for a request, or nil when the group has none that was
// not tried. Each tier stands for the best of some drawn at random. The cheapest one
// wins, where a server behind more borders costs more. Where the rules do not let requests spill,
// only the first tier with a server counts.
func (gp *Group) Pick(now time.Time, wa Criteria, tried *Tried, rnd Random) *Endpoint {
	if wa.ServiceTime <= 0 {
		wa.ServiceTime = guessHeld
	}
	var best *Endpoint
	var bestCost time.Duration
	for i := range gp.tiers {
		for j, pl := range [2]*pool{&gp.tiers[i].strong, &gp.tiers[i].weak} {
			if j > 0 && wa.FoundFull {
				break
			}
			ep, cost := pl.cheapest(now, &wa, gp.typical.share(), tried, rnd)
			if ep == nil {
				continue
			}
			border := borderHop + time.Duration(wa.Size)*borderByte + time.Duration(borderPart*float64(wa.ServiceTime))
			cost += time.Duration(i)*border + time.Duration(j)*weakCost
			if best == nil || cost < bestCost {
				best, bestCost = ep, cost
			}
		}
		if !gp.spill && best != nil {
			return best
		}
		if wa.StayInDomain && Large(wa.Size) && gp.tiers[i].takes(now) {
			return best
		}
	}
	if best != nil || wa.FoundFull {
		return best
	}
	return gp.lastResort(now, tried, rnd)
}

// takes reports whether a server of the tier is within reach and not left out.
func (tr *tier) takes(now time.Time) bool {
	for _, ep := range tr.strong.list {
		if !ep.Ejected(now) {
			return true
		}
	}
	return false
}

// weakCost ranks servers that may be out of reach behind those that are not.
const weakCost = 10 * time.Second

// draws is how many servers of a list are compared. With two, a list of which
// one in ten has room would rarely show it; with all, every outlet would send to
// the one that reported last.
const draws = 5

// cheapest returns the server of a pool that costs least among some drawn, and its
// cost.
func (pl *pool) cheapest(now time.Time, wa *Criteria, use float64, tried *Tried, rnd Random) (*Endpoint, time.Duration) {
	if len(pl.list) == 0 {
		return nil, 0
	}
	var drawn [draws]*Endpoint
	n := draw(&drawn, pl.list[:pl.near], now, tried, rnd)
	if n == 0 && pl.near < len(pl.list) {
		n = draw(&drawn, pl.list[pl.near:], now, tried, rnd)
	}
	var best *Endpoint
	var bestCost, bestNoisy time.Duration
	for _, ep := range drawn[:n] {
		cost := ep.cost(now, wa, use) + ep.linkWait(now, wa.Size)
		noisy := cost + cost*time.Duration(rnd(costNoise))/100
		if best == nil || noisy < bestNoisy {
			best, bestCost, bestNoisy = ep, cost, noisy
		}
	}
	return best, bestCost
}

// costNoise is the most, in percent, that is added to a cost by chance. Without it
// a server whose time is measured one millisecond longer than the others' would
// get nothing as long as they have room, and its measure would never change.
const costNoise = 15

// draw takes servers that were neither tried nor left out, beginning at a random
// one, and returns how many. One in its slow start is passed over for others.
func draw(drawn *[draws]*Endpoint, list []*Endpoint, now time.Time, tried *Tried, rnd Random) int {
	start := rnd(len(list))
	n := 0
	var starting *Endpoint
	for i := range list {
		ep := list[(start+i)%len(list)]
		switch {
		case ep.Ejected(now) || tried.has(ep):
			continue
		case ep.starting(now, rnd):
			starting = ep
			continue
		}
		drawn[n] = ep
		if n++; n == draws {
			break
		}
	}
	if n == 0 && starting != nil {
		drawn[0], n = starting, 1
	}
	return n
}

// lastResort returns a server that is left out, when there is no other: an
// attempt may succeed, and a refusal without one certainly helps nobody. One that no
// connection can be made to is tried beside requests: each that went there would hang,
// and the slot of its parent with it.
func (gp *Group) lastResort(now time.Time, tried *Tried, rnd Random) *Endpoint {
	if len(gp.all) == 0 {
		return nil
	}
	start := rnd(len(gp.all))
	for i := range gp.all {
		ep := gp.all[(start+i)%len(gp.all)]
		if !tried.has(ep) && !(ep.live.cut.Load() && ep.Ejected(now)) {
			return ep
		}
	}
	return nil
}
