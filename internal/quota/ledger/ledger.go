package ledger

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/quota/admit"
)

const (
	// SourceTTL is how long a relay's last report is valid. Relays report every ReportInterval.
	SourceTTL = 750 * time.Millisecond
	// ReportInterval is how often relays report.
	ReportInterval = 250 * time.Millisecond
	// demandWindow is the time over which the rate of offered requests is averaged.
	demandWindow = 500 * time.Millisecond
	// settleTime is the time within which a surplus is handed out and a deficit made up.
	settleTime = time.Second
	// maxDeficit bounds how long a tenant is refused for what it had too much.
	maxDeficit = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound when refused callers are asked to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// spareDivisor gives the part of the spare, as one in so many, by which the burst of a tenant is
	// exceeded. The remainder is for what outlets admit before reports arrive.
	spareDivisor = 2
	// forgetAfter is how long a tenant without requests is remembered.
	forgetAfter = 30 * time.Second
	// Use is urgent, that is, not left to the next regular report, if it exceeds urgentFactor times
	// the expected one by urgentPart of a second's allotment and burst, and by minUrgent requests.
	urgentFactor = 1.5
	urgentPart   = 0.05
	minUrgent    = 4
)

// Ledger holds what is known of the tenants' use and of the relays that report it. The zero value
// is empty. It is not safe for concurrent use.
type Ledger struct {
	// Tolerance is by how much limits may be exceeded. A part of its Spare is added to each burst.
	Tolerance admit.Tolerance
	// Since is the time from which the reports are complete. What was used before is unknown.
	Since time.Time

	accounts map[string]*account
	sources  map[string]*source
}

// account is the state of one tenant.
type account struct {
	// level is how many requests may be admitted at once, negative after too many were. It was
	// updated at updatedAt.
	level     float64
	updatedAt time.Time
	// demand is the rate of offered requests per second at demandAt, an exponential average.
	demand   float64
	demandAt time.Time
	// ranks is the part of demand whose rank is known, by rank.
	ranks [admit.Ranks]float64
	// usual is the rate of offered requests per second, averaged over a longer time.
	usual float64
	// retriesFrom is the earliest time at which callers refused since the last call of Shares were
	// asked to retry.
	retriesFrom time.Time
	// pending is what was admitted since the last call of Shares, expected the rate at which that
	// call expected requests to be admitted.
	pending  int64
	expected float64
	// refused is what was refused since then.
	refused int64
}

// source is a relay or a member that reports.
type source struct {
	at      time.Time
	outlets int
	counts  map[string]admit.RankedCounts
}

// Report holds the counts of one daemon process, or the sums of a relay.
type Report struct {
	// Source identifies the process.
	Source string
	// Outlets is how many outlets the report covers; 0 for one whose relay counts it.
	Outlets int
	Usage   []admit.Usage
}

// Add records a report and returns what each tenant has used since the last one of the source. Of
// an unknown source, or one that was silent for longer than SourceTTL while others assumed its
// part, only what it says it has not reported before counts.
func (le *Ledger) Add(re Report, now time.Time) []admit.Usage {
	if le.sources == nil {
		le.sources, le.accounts = map[string]*source{}, map[string]*account{}
	}
	sr := le.sources[re.Source]
	lapsed := sr != nil && sr.outlets > 0 && now.Sub(sr.at) > SourceTTL
	if sr == nil || lapsed {
		sr = &source{counts: map[string]admit.RankedCounts{}}
		le.sources[re.Source] = sr
	}
	sr.at, sr.outlets = now, re.Outlets
	var deltas []admit.Usage
	for _, us := range re.Usage {
		last, known := sr.counts[us.Tenant]
		// A member may have reported to another relay since its last report here. A relay reports to
		// all others, so what is missing was lost.
		if !known || re.Outlets == 0 && us.LastReported.Offered > last.Offered {
			last = admit.RankedCounts{Counts: us.LastReported, Ranks: us.LastRanks}
		}
		delta, ranks := us.Counts.Sub(last.Counts), rankDelta(us.Ranks, last.Ranks)
		if delta.Offered < 0 || delta == (admit.Counts{}) {
			// A message that was overtaken by a later one.
			continue
		}
		sr.counts[us.Tenant] = admit.RankedCounts{Counts: us.Counts, Ranks: us.Ranks}
		le.account(us.Tenant, now).add(delta, ranks, now)
		deltas = append(deltas, admit.Usage{Tenant: us.Tenant, Counts: delta, Ranks: ranks})
	}
	return deltas
}

func (le *Ledger) account(tenant string, now time.Time) *account {
	ac := le.accounts[tenant]
	if ac == nil {
		// Nothing was used since Since. Before it, the burst may have been used up.
		ac = &account{updatedAt: le.Since, demandAt: now}
		le.accounts[tenant] = ac
	}
	return ac
}

func (ac *account) add(delta admit.Counts, ranks admit.RankCounts, now time.Time) {
	ac.pending += delta.Admitted
	ac.addRanks(ranks, now)
	ac.addUsual(delta.Offered, now)
	ac.refused += delta.Offered - delta.Admitted
	ac.demand = ac.demandRate(now) + float64(max(0, delta.Offered))/demandWindow.Seconds()
	ac.demandAt = now
}

func (ac *account) demandRate(now time.Time) float64 {
	return ac.demand * math.Exp(-float64(now.Sub(ac.demandAt))/float64(demandWindow))
}

// Outlets returns how many outlets the valid reports of relays cover.
func (le *Ledger) Outlets(now time.Time) (n int) {
	for name, sr := range le.sources {
		switch age := now.Sub(sr.at); {
		case age > forgetAfter:
			delete(le.sources, name)
		case age <= SourceTTL:
			n += sr.outlets
		}
	}
	return n
}

// Urgent reports whether much more was used of a limit than the last call of Shares expected.
func (le *Ledger) Urgent(limit func(tenant string) admit.Limit, now time.Time) bool {
	for name, ac := range le.accounts {
		li := limit(name)
		surplus := float64(ac.pending) - urgentFactor*ac.expected*now.Sub(ac.updatedAt).Seconds()
		if li.Rate > 0 && surplus >= max(minUrgent, urgentPart*(li.Rate+li.Burst)) {
			return true
		}
	}
	return false
}

// Shares returns the tenants whose requests are to be refused in part. covered, 0 to 1, is the part
// of all outlets that the valid reports cover: the others are assumed to use their part of the
// limit.
func (le *Ledger) Shares(limit func(tenant string) admit.Limit, covered float64, now time.Time) map[string]admit.Share {
	shares := map[string]admit.Share{}
	for name, ac := range le.accounts {
		li := limit(name)
		demand := ac.demandRate(now)
		if li.Rate <= 0 || now.Sub(ac.demandAt) > forgetAfter {
			delete(le.accounts, name)
			continue
		}
		rate := li.Rate * covered
		ac.settle(rate, (li.Burst+le.Tolerance.Spare/spareDivisor)*covered, now)
		allowed := max(0, rate+ac.level/settleTime.Seconds())
		ac.expected = min(demand, allowed)
		if demand <= allowed {
			continue
		}
		sh := admit.Share{Admit: allowed / demand, ByRank: rankShares(allowed/demand, maxRankShare(allowed, rate, demand), ac.rankRates(now))}
		sh.RetryAfter, sh.RetrySpread = ac.retryTime(rate, demand, demand-allowed, now)
		shares[name] = sh
	}
	return shares
}

// Use is what a tenant uses of its limit.
type Use struct {
	Tenant string
	Limit  admit.Limit
	// Demand is the number of requests per second that come, Admit the part of them that outlets
	// admit. ByRank is the part by rank, nil if all are admitted.
	Demand, Admit float64
	ByRank        *admit.RankShares
}

// Uses returns the tenants that sent requests lately, the one with the most first. shares is the
// result of Shares.
func (le *Ledger) Uses(limit func(tenant string) admit.Limit, shares map[string]admit.Share, now time.Time) []Use {
	var list []Use
	for name, ac := range le.accounts {
		us := Use{Tenant: name, Limit: limit(name), Demand: ac.demandRate(now), Admit: 1}
		if sh, ok := shares[name]; ok {
			us.Admit, us.ByRank = sh.Admit, sh.ByRank
		}
		list = append(list, us)
	}
	slices.SortFunc(list, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Tenant, b.Tenant))
	})
	return list
}

// settle updates the level.
func (ac *account) settle(rate, burst float64, now time.Time) {
	// What was admitted meanwhile is deducted from a level that the burst has bounded already.
	ac.level = min(ac.level+rate*now.Sub(ac.updatedAt).Seconds(), burst) - float64(ac.pending)
	ac.level = max(ac.level, -rate*maxDeficit.Seconds())
	ac.updatedAt, ac.pending = now, 0
}
