package admit

import (
	"sync/atomic"
	"time"
)

// Ranks is the number of ranks of a tenant's requests. Rank 0 is the most urgent.
const Ranks = 4

// RankCounts are the requests of a tenant at one outlet since its start, by rank.
type RankCounts [Ranks]int64

// Sub returns the difference of two counts.
func (rc RankCounts) Sub(other RankCounts) RankCounts {
	for i, n := range other {
		rc[i] -= n
	}
	return rc
}

// Add returns the sum of two counts.
func (rc RankCounts) Add(other RankCounts) RankCounts {
	for i, n := range other {
		rc[i] += n
	}
	return rc
}

// Total returns the sum over all ranks.
func (rc RankCounts) Total() (n int64) {
	for _, v := range rc {
		n += v
	}
	return n
}

// RankedCounts are the requests of a tenant, and how many of those offered have which rank. Outlets of
// the previous release report no ranks, so these may be fewer.
type RankedCounts struct {
	Counts
	Ranks RankCounts
}

// Add returns the counts with those of a usage added.
func (rc RankedCounts) Add(us Usage) RankedCounts {
	return RankedCounts{
		Counts: Counts{Offered: rc.Offered + us.Counts.Offered, Admitted: rc.Admitted + us.Counts.Admitted},
		Ranks:  rc.Ranks.Add(us.Ranks),
	}
}

// RankShares is the part of a tenant's requests, 0 to 1, that outlets admit, by rank.
type RankShares [Ranks]float64

// Rank returns the rank of a request of a priority. late is set if it can no longer be answered
// within its objective: it then has the last rank, so that it takes nothing that another one needs.
func Rank(priority int, late bool) int {
	if late {
		return Ranks - 1
	}
	return min(max(0, priority), Ranks-1)
}

// ForRank returns the part of the requests of a rank that is admitted: that of all requests if the
// relay, of the previous release, has told no more.
func (sh Share) ForRank(rank int) float64 {
	if sh.ByRank == nil {
		return sh.Admit
	}
	return sh.ByRank[rank]
}

// RankShare returns the part of a tenant's requests of a rank that the newest directive admits, that of
// all its requests without one that is valid.
func (ga *Gate) RankShare(name string, rank int, now time.Time) float64 {
	di := ga.Directive()
	if di.IsValid(now) {
		if sh, ok := di.Shares[name]; ok {
			return sh.ForRank(rank)
		}
	}
	share, _ := ga.Share(name, now)
	return share
}

// Delay returns when the caller of a refused request should retry, 0 if it could not be answered in
// time by then. left is the time until which a retry must arrive for that. random, 0 to 1, spreads
// callers that were refused together.
func (de Decision) Delay(left time.Duration, random float64) time.Duration {
	spread := de.RetrySpread
	if spread <= 0 {
		// Without a spread, the jitter still keeps callers from returning together.
		spread = de.RetryAfter / 2
	}
	delay := de.RetryAfter + time.Duration(random*float64(spread))
	if delay > left {
		return 0
	}
	return delay
}

// rankCounters counts the requests of a rank.
type rankCounters struct {
	offered atomic.Int64
	// credit accumulates the admitted share in units of 1/creditUnit: each time it passes a whole
	// number, one request is admitted.
	credit atomic.Uint64
}

// offered returns the requests that came, by rank.
func (co *counters) offered() (rc RankCounts) {
	for i := range co.ranks {
		rc[i] = co.ranks[i].offered.Load()
	}
	return rc
}

// lastReported returns the requests by rank of the last report.
func (co *counters) lastReported() (rc RankCounts) {
	for i := range co.reportedOffered {
		rc[i] = co.reportedOffered[i].Load()
	}
	return rc
}
