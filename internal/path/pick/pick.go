package pick

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// Table holds the data used to route a request: one version of the configuration and the backend
// servers that it allows. It is immutable, and a request uses the same table until it ends.
type Table struct {
	Snap *snap.Snapshot
	// Outlets is the number of live daemons, each of which runs an outlet.
	Outlets int
	// RebuildAt is when the table must be rebuilt even if nothing else changes, zero for never.
	RebuildAt time.Time
	groups    []*Group // indexed by snap.Service.Index
}

// Group holds the backend servers of one service.
type Group struct {
	tiers []tier
	all   []*Endpoint
	spill bool
	// meanUse is shared by all tables.
	meanUse *utilization
	// target holds the servers of the version being rolled out, and rollout determines the share of
	// requests that they get; nil if there is none.
	target  *Group
	rollout *canary.Rollout
	// idle holds the servers that get no requests because of their software version.
	idle []*Endpoint
}

// tier holds the servers of equally preferred failure domains. Servers that may be unreachable are
// kept apart and rank behind the others.
type tier struct {
	reachable, suspect pool
}

// pool is a list of servers, of which only the first subset ones are used as long as one of them is
// available.
type pool struct {
	list   []*Endpoint
	subset int
}

// subsetSize is the number of servers of a pool that an outlet uses. An outlet that used all
// servers of a large failure domain would get a load report from each so rarely that it is
// outdated, and would keep a connection to each. With eight, reports are recent enough, and there
// are other servers left if some are full.
const subsetSize = 8

// newPool returns the pool of an outlet. The servers are ordered by rendezvous hashing with the
// outlet's name, so that outlets spread over the servers, and adding or removing a server changes
// at most one of the subset.
func newPool(list []*Endpoint, self string) pool {
	if len(list) > subsetSize {
		score := make(map[*Endpoint]uint64, len(list))
		for _, ep := range list {
			score[ep] = xxhash.Sum64String(self + "\x00" + ep.VM)
		}
		slices.SortFunc(list, func(a, b *Endpoint) int { return cmp.Compare(score[b], score[a]) })
	}
	return pool{list: list, subset: min(subsetSize, len(list))}
}

// Group returns the servers of a service, which must be from the table's own snapshot.
func (tb *Table) Group(sv *snap.Service) *Group { return tb.groups[sv.Index] }

// Len returns the number of backend servers in the group.
func (gp *Group) Len() int { return len(gp.all) }

// Designated returns the server that all outlets with the same servers choose for a key, by rendezvous
// hashing, or nil if there is none. The result does not depend on the state of the servers.
func (gp *Group) Designated(key string) (best *Endpoint) {
	highest := uint64(0)
	for _, ep := range gp.all {
		if score := xxhash.Sum64String(key + "\x00" + ep.VM); best == nil || score > highest {
			best, highest = ep, score
		}
	}
	return best
}

// mayEject reports whether a failing server may be ejected. At least half of the servers stay in
// use, and the server must fail much more often than the others. If most servers fail alike, the
// likely cause is the requests or something that the servers share, such as a service that they
// call, and ejecting some would only put more load on the rest.
func (gp *Group) mayEject(candidate *Endpoint, now time.Time) bool {
	ejected, others, sum := 0, 0, 0.0
	for _, ep := range gp.all {
		if ep.live == candidate.live {
			continue
		}
		others++
		if ep.Ejected(now) {
			ejected++
		} else {
			sum += ep.failureRate()
		}
	}
	if (ejected+1)*2 > len(gp.all) {
		return false
	}
	return others == ejected || candidate.failureRate() > outlierFactor*sum/float64(others-ejected)
}

// outlierFactor is how many times the mean failure rate of the others a server must have to be
// ejected.
const outlierFactor = 2

// Tried holds the servers that a request has been sent to. Beyond eight, none is added.
type Tried struct {
	list [8]*Endpoint
	n    int
}

// Add marks a server as tried.
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

// Random returns a random number in [0, n).
type Random func(n int) int

// The cost of sending a request to another failure domain, expressed as the additional wait at a
// closer server that is accepted instead. Traffic between failure domains is charged by the byte.
const (
	// crossDomainLatency is the additional network round trip.
	crossDomainLatency = 3 * time.Millisecond
	// crossDomainPerByte is the cost per byte of the response. At this value, a request with a
	// small response accepts a short additional wait, and one with a large response stays in its
	// failure domain as long as any server there accepts it. If all failure domains are busy,
	// crossing gains nothing.
	crossDomainPerByte = 30 * time.Microsecond
	// crossDomainServiceShare is the fraction of the expected service time that is added, so that
	// requests stay while there are free slots, regardless of how fast the servers there are.
	crossDomainServiceShare = 0.5
)

// Criteria describes a request for the selection of its server.
type Criteria struct {
	// Size is the expected size of the response in bytes.
	Size int64
	// StayInDomain keeps a request with a large response in the failure domain as long as a server
	// there is reachable. It is set where links are narrow: those of the other failure domains are
	// equally busy, so a large response that finds no capacity here would take it from others
	// there.
	StayInDomain bool
	// Rank is the request's rank in the queue of an inlet (result.Rank), ServiceTime how long
	// requests of its route usually hold a slot.
	Rank        int
	ServiceTime time.Duration
	// FoundFull is set if a reachable server has refused the request for lack of capacity. The
	// request is then not sent to a server that may be unreachable: it already has a definite
	// outcome, the refusal.
	FoundFull bool
}

// Pick returns the server for a request, or nil if the group has no suitable server left. It
// samples each tier at random, takes the cheapest server of the sample, and adds a cost for each
// more preferred tier that is passed over. The cheapest server over all tiers wins. If the
// configuration does not let requests spill over, only the first tier with a server is used.
func (gp *Group) Pick(now time.Time, cr Criteria, tried *Tried, rnd Random) *Endpoint {
	if cr.ServiceTime <= 0 {
		cr.ServiceTime = defaultServiceTime
	}
	var best *Endpoint
	var bestCost time.Duration
	for i := range gp.tiers {
		for j, pl := range [2]*pool{&gp.tiers[i].reachable, &gp.tiers[i].suspect} {
			if j > 0 && cr.FoundFull {
				break
			}
			ep, cost := pl.cheapest(now, &cr, gp.meanUse.mean(), tried, rnd)
			if ep == nil {
				continue
			}
			crossDomainCost := crossDomainLatency + time.Duration(cr.Size)*crossDomainPerByte + time.Duration(crossDomainServiceShare*float64(cr.ServiceTime))
			cost += time.Duration(i)*crossDomainCost + time.Duration(j)*suspectCost
			if best == nil || cost < bestCost {
				best, bestCost = ep, cost
			}
		}
		if !gp.spill && best != nil {
			return best
		}
		if cr.StayInDomain && Large(cr.Size) && gp.tiers[i].hasAvailable(now, cr.Rank) {
			return best
		}
	}
	if best != nil || cr.FoundFull {
		return best
	}
	return gp.lastResort(now, cr.Rank, tried, rnd)
}

// hasAvailable reports whether the tier has a reachable server that is not ejected and accepts
// requests of the rank.
func (tr *tier) hasAvailable(now time.Time, rank int) bool {
	for _, ep := range tr.reachable.list {
		if !ep.Ejected(now) && ep.accepts(now, rank) {
			return true
		}
	}
	return false
}

// suspectCost ranks servers that may be unreachable behind the others.
const suspectCost = 10 * time.Second

// sampleSize is how many servers of a list are compared. With two, a list in which one server in
// ten has free slots would rarely offer it. If all were compared, every outlet would send to the
// server that reported last.
const sampleSize = 5

// cheapest returns the cheapest of a sample of the pool's servers, and its cost. It samples the
// servers outside the subset only if none within it is available.
func (pl *pool) cheapest(now time.Time, cr *Criteria, meanUse float64, tried *Tried, rnd Random) (*Endpoint, time.Duration) {
	if len(pl.list) == 0 {
		return nil, 0
	}
	var sampled [sampleSize]*Endpoint
	n := sample(&sampled, pl.list[:pl.subset], now, cr.Rank, tried, rnd)
	if n == 0 && pl.subset < len(pl.list) {
		n = sample(&sampled, pl.list[pl.subset:], now, cr.Rank, tried, rnd)
	}
	var best *Endpoint
	var bestCost, bestNoisy time.Duration
	for _, ep := range sampled[:n] {
		cost := ep.cost(now, cr, meanUse) + ep.linkWait(now, cr.Size)
		noisy := cost + cost*time.Duration(rnd(costNoise))/100
		if best == nil || noisy < bestNoisy {
			best, bestCost, bestNoisy = ep, cost, noisy
		}
	}
	return best, bestCost
}

// costNoise is the maximum random increase of a cost, in percent. Without it, a server measured as
// one millisecond slower than the others would get no requests while they have free slots, and so
// its measurement would never be updated.
const costNoise = 15

// sample collects servers that are not tried, not ejected and accept the rank, starting at a random one, and
// returns how many there are. A server passed over because of its slow start is used only if there is no
// other.
func sample(sampled *[sampleSize]*Endpoint, list []*Endpoint, now time.Time, rank int, tried *Tried, rnd Random) int {
	start := rnd(len(list))
	n := 0
	var skipped *Endpoint
	for i := range list {
		ep := list[(start+i)%len(list)]
		switch {
		case ep.Ejected(now) || !ep.accepts(now, rank) || tried.has(ep):
			continue
		case ep.skipInSlowStart(now, rnd):
			skipped = ep
			continue
		}
		sampled[n] = ep
		if n++; n == sampleSize {
			break
		}
	}
	if n == 0 && skipped != nil {
		sampled[0], n = skipped, 1
	}
	return n
}

// lastResort returns an ejected server if there is no other: an attempt may succeed, while a
// refusal certainly does not help. Ejected servers that cannot be connected to are excluded and
// probed separately. A request sent there would hang and keep the slot of its parent request
// occupied.
func (gp *Group) lastResort(now time.Time, rank int, tried *Tried, rnd Random) *Endpoint {
	if len(gp.all) == 0 {
		return nil
	}
	start := rnd(len(gp.all))
	for i := range gp.all {
		ep := gp.all[(start+i)%len(gp.all)]
		if !tried.has(ep) && ep.accepts(now, rank) && !(ep.live.unreachable.Load() && ep.Ejected(now)) {
			return ep
		}
	}
	return nil
}
