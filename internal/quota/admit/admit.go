package admit

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/mono"
)

const (
	// DirectiveTTL is how long a directive is followed. Relays send one every half second.
	DirectiveTTL = 1500 * time.Millisecond
	// assumedOutlets is the number of outlets that a process assumes until a directive tells it,
	// more than a large mesh has.
	assumedOutlets = 1000
	// dueDivisor and minDue give the number of admitted requests that are reported without waiting
	// for the next regular report: a part of the outlet's share of a second, and at least minDue.
	dueDivisor = 4
	minDue     = 4
)

// Limit is what all outlets together admit of a tenant: Rate requests per second and, after a
// pause, Burst more at once. A Rate of 0 means no limit.
type Limit struct {
	Rate, Burst float64
}

// Directive tells outlets which share of a tenant's requests to admit. It is immutable.
type Directive struct {
	// ReceivedAt is when this daemon learned it.
	ReceivedAt time.Time
	// Outlets is the number of outlets of the mesh, including those out of reach.
	Outlets int
	// Learning is set while the relay does not know yet what tenants use. Each outlet then admits
	// its own part.
	Learning bool
	// Shares holds the tenants that exceed their limit. The requests of all others are admitted.
	Shares map[string]Share
}

// Share is the part of a tenant's requests, 0 to 1, that outlets admit, and when the caller of a
// refused request should retry: at a time from RetryAfter on, within RetrySpread.
type Share struct {
	Admit float64
	// ByRank has the parts by rank, nil if the relay is of the previous release.
	ByRank                  *RankShares
	RetryAfter, RetrySpread time.Duration
}

// IsValid reports whether the directive, which may be nil, is to be followed at now.
func (di *Directive) IsValid(now time.Time) bool {
	return di != nil && now.Sub(di.ReceivedAt) <= DirectiveTTL
}

// Counts are the requests of a tenant at one outlet since its start: all, and those admitted and
// not returned.
type Counts struct {
	Offered, Admitted int64
}

// Sub returns the difference of two counts.
func (co Counts) Sub(other Counts) Counts {
	return Counts{Offered: co.Offered - other.Offered, Admitted: co.Admitted - other.Admitted}
}

// Usage holds the counts of a tenant, and those of the previous report.
type Usage struct {
	Tenant       string
	Counts       Counts
	LastReported Counts
	// Ranks and LastRanks are the offered requests by rank.
	Ranks, LastRanks RankCounts
}

// Gate admits the requests of tenants at one outlet. Its methods are safe for concurrent use.
type Gate struct {
	// Due receives a value when much was admitted since the last report.
	Due chan struct{}
	// Directive returns the newest directive, nil if there was none. It is set before use.
	Directive func() *Directive
	// Outlets returns the number of outlets of the mesh, 0 as long as it is unknown. It is used
	// before the first directive, and set before use.
	Outlets func() int
	// Tolerance is by how much limits may be exceeded. It is set before use.
	Tolerance Tolerance

	startedAt time.Time
	tenants   atomic.Pointer[map[string]*tenant]
}

// New returns a gate without tenants.
func New(directive func() *Directive) *Gate {
	return &Gate{Due: make(chan struct{}, 1), Directive: directive, Outlets: func() int { return 0 }, startedAt: time.Now()}
}

// tenant is the state of a tenant. The limit changes only by Update, which makes a new tenant that
// shares the counters.
type tenant struct {
	Limit
	*counters
}

type counters struct {
	admitted atomic.Int64
	// shared limits what this outlet admits of the whole limit, alone what it admits without a
	// directive.
	shared, alone bucket
	// start has what the outlet may admit in addition during startPeriod, until the first directive
	// that is not of a learning relay.
	start startCredit
	ranks [Ranks]rankCounters
	// reportedOffered and reportedAdmitted are the counts of the last report.
	reportedAdmitted atomic.Int64
	reportedOffered  [Ranks]atomic.Int64
}

const creditUnit = 1 << 32

// Update replaces the limits by tenant. Counts are kept.
func (ga *Gate) Update(limits map[string]Limit, now time.Time) {
	next := make(map[string]*tenant, len(limits))
	old := ga.tenants.Load()
	for name, li := range limits {
		if li.Rate <= 0 {
			continue
		}
		tn := &tenant{Limit: li}
		if old != nil && (*old)[name] != nil {
			was := (*old)[name]
			tn.counters = was.counters
			if was.Limit != li {
				outlets := ga.Directive().outlets()
				tn.shared.convert(was.Limit, li, now)
				tn.alone.convert(was.Limit.part(outlets), li.part(outlets), now)
			}
		} else {
			// The predecessor of this process may have used up the burst, and so may the other
			// outlets, which start with it after a failure of all.
			tn.counters = &counters{}
			for i := range tn.ranks {
				tn.ranks[i].credit.Store(rand.Uint64N(creditUnit))
			}
			tn.shared.setEmpty(li, now)
			tn.alone.setEmpty(li.part(assumedOutlets), now.Add(-rand.N(li.part(assumedOutlets).interval())))
		}
		next[name] = tn
	}
	ga.tenants.Store(&next)
}

// Decision is the answer to a request. RetryAfter and RetrySpread are those of Share, set if the
// request is not admitted.
type Decision struct {
	Admitted                bool
	RetryAfter, RetrySpread time.Duration
}

// Admit decides on a request of a tenant that has a rank, 0 to Ranks-1. A tenant without a limit is
// always admitted.
func (ga *Gate) Admit(name string, rank int, now time.Time) Decision {
	tenants := ga.tenants.Load()
	if tenants == nil || (*tenants)[name] == nil {
		return Decision{Admitted: true}
	}
	tn := (*tenants)[name]
	tn.ranks[rank].offered.Add(1)
	di := ga.Directive()
	de := ga.decide(tn, name, rank, di, now)
	if !de.Admitted {
		return de
	}
	admitted := tn.admitted.Add(1)
	if admitted-tn.reportedAdmitted.Load() >= tn.due(di.outlets()) {
		select {
		case ga.Due <- struct{}{}:
		default:
		}
	}
	return de
}

// Return takes back the admission of a request that was not run, as if it had not come.
func (ga *Gate) Return(name string) {
	if tenants := ga.tenants.Load(); tenants != nil && (*tenants)[name] != nil {
		tn := (*tenants)[name]
		tn.admitted.Add(-1)
		tn.shared.give(tn.Limit)
	}
}

// IsLimited reports whether the newest directive refuses a part of a tenant's requests. A directive of
// a relay that learns does not tell.
func (ga *Gate) IsLimited(name string, now time.Time) bool {
	di := ga.Directive()
	if !di.IsValid(now) || di.Learning {
		return false
	}
	_, limited := di.Shares[name]
	return limited
}

// Share returns the part of a tenant's requests that the newest directive admits, or the outlet's own
// part of the limit if that is what it admits, and the age of the directive, or -1 without one that
// is valid.
func (ga *Gate) Share(name string, now time.Time) (share float64, age time.Duration) {
	di := ga.Directive()
	if !di.IsValid(now) {
		return 1 / float64(ga.outlets(di)), -1
	}
	age = now.Sub(di.ReceivedAt)
	if di.Learning {
		return 1 / float64(ga.outlets(di)), age
	}
	if sh, ok := di.Shares[name]; ok {
		return sh.Admit, age
	}
	return 1, age
}

// outlets returns how many outlets share a limit by the newest directive, which may be nil.
func (ga *Gate) outlets(di *Directive) int {
	if di == nil {
		if n := ga.Outlets(); n > 0 {
			return n
		}
	}
	return di.outlets()
}

func (di *Directive) outlets() int {
	if di == nil {
		return assumedOutlets
	}
	return max(1, di.Outlets)
}

func (ga *Gate) decide(tn *tenant, name string, rank int, di *Directive, now time.Time) Decision {
	if !di.IsValid(now) || di.Learning {
		return ga.decideAlone(tn, di, now)
	}
	tn.start.close()
	sh, limited := di.Shares[name]
	tn.alone.prepare(tn.Limit.part(di.outlets()), limited, now)
	if limited {
		step := uint64(min(1, max(0, sh.ForRank(rank))) * creditUnit)
		if sum := tn.ranks[rank].credit.Add(step); sum/creditUnit == (sum-step)/creditUnit {
			return Decision{RetryAfter: sh.RetryAfter, RetrySpread: sh.RetrySpread}
		}
	}
	return tn.shared.take(tn.Limit, now)
}

// decideAlone decides on a request without a directive, or with one of a relay that learns: the outlet
// admits its own part of the limit.
func (ga *Gate) decideAlone(tn *tenant, di *Directive, now time.Time) Decision {
	outlets := ga.outlets(di)
	part := tn.Limit.part(outlets)
	age := now.Sub(ga.startedAt)
	if outlets < assumedOutlets && age <= startPeriod && tn.start.open() {
		// As in a bucket, no more than the burst is saved up.
		credit := ga.Tolerance.StartCredit(tn.Limit)/float64(outlets) + min(part.Rate*age.Seconds(), part.Burst)
		whole := math.Floor(credit)
		// The fractions of all outlets add up, since each draws its own phase.
		level := credit - whole + rand.Float64()
		if level >= 1 {
			whole, level = whole+1, level-1
		}
		tn.start.left.Add(int64(whole))
		tn.alone.setLevel(part, level, now)
	}
	tn.alone.shorten(part, now)
	de := tn.alone.take(part, now)
	if !de.Admitted && age <= startPeriod && tn.start.take() {
		return Decision{Admitted: true}
	}
	// By then a directive may have come.
	de.RetryAfter = min(de.RetryAfter, DirectiveTTL)
	return de
}

// due returns after how many admitted requests a report is sent at once.
func (tn *tenant) due(outlets int) int64 {
	return max(minDue, int64((tn.Rate+tn.Burst)/float64(outlets)/dueDivisor))
}

// Usage returns the tenants whose counts have changed since the last call.
func (ga *Gate) Usage() []Usage {
	tenants := ga.tenants.Load()
	if tenants == nil {
		return nil
	}
	var list []Usage
	for name, tn := range *tenants {
		us := Usage{Tenant: name, Ranks: tn.offered(), LastRanks: tn.lastReported()}
		us.Counts = Counts{Offered: us.Ranks.Total(), Admitted: tn.admitted.Load()}
		us.LastReported = Counts{Offered: us.LastRanks.Total(), Admitted: tn.reportedAdmitted.Load()}
		if us.Counts == us.LastReported {
			continue
		}
		for i, n := range us.Ranks {
			tn.reportedOffered[i].Store(n)
		}
		tn.reportedAdmitted.Store(us.Counts.Admitted)
		list = append(list, us)
	}
	return list
}

// part returns the limit of one of several outlets.
func (li Limit) part(outlets int) Limit {
	return Limit{Rate: li.Rate / float64(outlets), Burst: li.Burst / float64(outlets)}
}

// maxRefill bounds the times of a bucket, so that those of very low rates do not overflow.
const maxRefill = 24 * time.Hour

// interval is the time in which one request becomes available.
func (li Limit) interval() time.Duration {
	return time.Duration(min(max(1, float64(time.Second)/li.Rate), float64(maxRefill)))
}

// capacity is how many requests are available after a pause, at least one.
func (li Limit) capacity() float64 { return max(1, li.Burst) }

// refill is the time in which an empty bucket becomes full.
func (li Limit) refill() time.Duration {
	return time.Duration(min(li.capacity()*float64(li.interval()), float64(maxRefill)))
}

// bucket is a token bucket in the form of the generic cell rate algorithm: it keeps the time at
// which the bucket will be full again, in nanoseconds of package mono. The zero value is full.
type bucket struct {
	fullAt atomic.Int64
}

func (bu *bucket) setEmpty(li Limit, now time.Time) {
	bu.fullAt.Store(mono.Nanos(now) + int64(li.refill()))
}

// setLevel sets how many requests are available, less than the capacity.
func (bu *bucket) setLevel(li Limit, level float64, now time.Time) {
	bu.fullAt.Store(mono.Nanos(now) + int64(float64(li.refill())-level*float64(li.interval())))
}

// convert changes the limit of the bucket. What was taken from it stays taken.
func (bu *bucket) convert(from, to Limit, now time.Time) {
	at := mono.Nanos(now)
	taken := max(0, float64(bu.fullAt.Load()-at)) / float64(from.interval())
	bu.fullAt.Store(at + int64(min(taken, to.capacity())*float64(to.interval())))
}

// shorten makes the bucket empty if it would stay empty for longer, having been filled less quickly
// before.
func (bu *bucket) shorten(li Limit, now time.Time) {
	if time.Duration(bu.fullAt.Load()-mono.Nanos(now)) > li.refill() {
		bu.setEmpty(li, now)
	}
}

// prepare makes the bucket empty or full, for the case that it will be used.
func (bu *bucket) prepare(li Limit, empty bool, now time.Time) {
	switch at, fullAt := mono.Nanos(now), bu.fullAt.Load(); {
	case empty && (fullAt <= at || time.Duration(fullAt-at) > li.refill()):
		bu.setEmpty(li, now)
	case !empty && fullAt > at:
		bu.fullAt.Store(at)
	}
}

func (bu *bucket) take(li Limit, now time.Time) Decision {
	at, interval, span := mono.Nanos(now), int64(li.interval()), int64(li.refill())
	for {
		old := bu.fullAt.Load()
		next := max(old, at) + interval
		if late := next - at - span; late > 0 {
			return Decision{RetryAfter: time.Duration(late)}
		}
		if bu.fullAt.CompareAndSwap(old, next) {
			return Decision{Admitted: true}
		}
	}
}

func (bu *bucket) give(li Limit) { bu.fullAt.Add(-int64(li.interval())) }
