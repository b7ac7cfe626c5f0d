package ledger

import (
	"math"
	"time"

	"github.com/flamingomast/flamingomast/internal/quota/admit"
)

// minRankPart is the part of the mean share that each rank keeps. A quarter has to be served; with just
// that, chance leaves a class of few requests below it.
const minRankPart = 0.3

// rankShares divides what is admitted of a tenant's requests between their ranks: each gets a part of
// the mean share, and the rest goes to the most urgent ranks. demand is by rank; the sum over all
// ranks of demand times share is the mean times the sum of demand. No share exceeds most, which is at
// least the mean.
func rankShares(mean, most float64, demand [admit.Ranks]float64) *admit.RankShares {
	var shares admit.RankShares
	least, left := minRankPart*mean, 0.0
	for _, d := range demand {
		left += (mean - least) * d
	}
	for i, d := range demand {
		extra := min((most-least)*d, left)
		left -= extra
		switch {
		case d > 0:
			shares[i] = least + extra/d
		case left > 0:
			shares[i] = most
		default:
			shares[i] = least
		}
	}
	return &shares
}

// maxRankExcess bounds, in multiples of the limit's rate, what is admitted beyond it until the relays
// have noticed that all requests of a tenant have come to be of its most urgent rank. That takes up to
// 0.2 s. Without it, 1.06 of what the limit allows in 5 s was admitted at eight times the rate.
const maxRankExcess = 3.0

// maxRankShare returns the largest share of any rank. allowed is the rate that may be admitted, rate
// that of the limit, demand that of all requests.
func maxRankShare(allowed, rate, demand float64) float64 {
	return min(1, (allowed+maxRankExcess*rate)/demand)
}

// rankDelta returns how many of the requests that came have which rank. Requests that a report has no
// ranks for are missing in it.
func rankDelta(ranks, last admit.RankCounts) admit.RankCounts {
	delta := ranks.Sub(last)
	for i := range delta {
		delta[i] = max(0, delta[i])
	}
	return delta
}

// addRanks adds requests that came to the demand by rank. demandAt is still that of earlier ones.
func (ac *account) addRanks(delta admit.RankCounts, now time.Time) {
	ac.ranks = ac.rankRates(now)
	for i, n := range delta {
		ac.ranks[i] += float64(n) / demandWindow.Seconds()
	}
}

// rankRates returns the rates of offered requests per second by rank.
func (ac *account) rankRates(now time.Time) (rates [admit.Ranks]float64) {
	decay := math.Exp(-float64(now.Sub(ac.demandAt)) / float64(demandWindow))
	for i, rate := range ac.ranks {
		rates[i] = rate * decay
	}
	return rates
}
