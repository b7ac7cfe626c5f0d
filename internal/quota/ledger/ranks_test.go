package ledger

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingomast/flamingomast/internal/quota/admit"
)

// TestRankShares guards against ranks that get less than a quarter of the mean, against urgent
// requests being refused for less urgent ones, and against admitting more or less than the mean.
func TestRankShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mean := rapid.Float64Range(0, 1).Draw(t, "mean")
		most := rapid.Float64Range(mean, 1).Draw(t, "most")
		var demand [admit.Ranks]float64
		sum, admitted := 0.0, 0.0
		for i := range demand {
			if rapid.Bool().Draw(t, "sent") {
				demand[i] = rapid.Float64Range(1e-6, 1e6).Draw(t, "demand")
			}
			sum += demand[i]
		}
		shares := rankShares(mean, most, demand)
		last := most
		for i, share := range shares {
			if share < mean/4 || share > most+1e-9 {
				t.Errorf("rank %d: share %g of a mean of %g", i, share, mean)
			}
			if demand[i] > 0 {
				if share > last+1e-9 {
					t.Errorf("rank %d: share %g, more urgent ones %g", i, share, last)
				}
				last = share
			}
			admitted += share * demand[i]
		}
		if math.Abs(admitted-mean*sum) > 1e-6*sum {
			t.Errorf("%g of %g admitted, want %g", admitted, sum, mean*sum)
		}
	})
}

// rankedUsage returns a report of a tenant's cumulative counts by rank. Those of unranked requests are
// missing in it, as in the reports of the previous release.
func rankedUsage(source string, ranks admit.RankCounts, unranked, admitted int64) Report {
	return Report{Source: source, Usage: []admit.Usage{{
		Tenant: "t", Counts: admit.Counts{Offered: ranks.Total() + unranked, Admitted: admitted}, Ranks: ranks,
	}}}
}

// urgentHalf returns the shares if rank 0 is half of all requests and would take up more than all of
// the limit.
func urgentHalf(mean float64) admit.RankShares {
	return admit.RankShares{1.7 * mean, 0.3 * mean, 0.3 * mean, 0.3 * mean}
}

// TestSharesByRank: what each rank gets of less than a third of the demand, without and with daemons of the
// previous release, whose requests count with the mean share.
func TestSharesByRank(t *testing.T) {
	for _, tc := range []struct {
		name string
		// ranks and unranked are requests per second.
		ranks    admit.RankCounts
		unranked int64
		want     func(mean float64) admit.RankShares
	}{
		{"all ranks", admit.RankCounts{160, 80, 40, 40}, 0, urgentHalf},
		{"few urgent ones", admit.RankCounts{40, 80, 100, 100}, 0, func(mean float64) admit.RankShares {
			// If all 406.6 requests per second become urgent, 300 of them may exceed the limit.
			most := mean + 300/406.6
			return admit.RankShares{most, 0.3*mean + 4*(0.7*mean-(most-0.3*mean)/8), 0.3 * mean, 0.3 * mean}
		}},
		{"half of the daemons of the previous release", admit.RankCounts{80, 40, 20, 20}, 160, urgentHalf},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				le := Ledger{Since: time.Now()}
				var sh admit.Share
				for i := range int64(20) {
					var ranks admit.RankCounts
					for j, n := range tc.ranks {
						ranks[j] = (i + 1) * n / 4
					}
					le.Add(rankedUsage("a", ranks, (i+1)*tc.unranked/4, (i+1)*25), time.Now())
					sh = le.Shares(limitOf, 1, time.Now())["t"]
					time.Sleep(ReportInterval)
				}
				if sh.ByRank == nil {
					t.Fatal("no shares by rank")
				}
				for i, want := range tc.want(sh.Admit) {
					if math.Abs(sh.ByRank[i]-want) > 0.005 {
						t.Errorf("rank %d: %.3f, want %.3f (mean %.3f)", i, sh.ByRank[i], want, sh.Admit)
					}
				}
			})
		})
	}
}

// TestRanksElsewhere guards against counting requests by rank twice that a member has reported to
// another relay, or to this one before.
func TestRanksElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		le := Ledger{Since: time.Now()}
		le.Add(rankedUsage("a", admit.RankCounts{4, 2}, 0, 0), time.Now())
		re := rankedUsage("a", admit.RankCounts{14, 8}, 0, 0)
		re.Usage[0].LastReported, re.Usage[0].LastRanks = admit.Counts{Offered: 18}, admit.RankCounts{12, 6}
		got := le.Add(re, time.Now())
		if len(got) != 1 || got[0].Ranks != (admit.RankCounts{2, 2}) || got[0].Counts.Offered != 4 {
			t.Errorf("back from elsewhere: %+v", got)
		}
		if got := le.Add(re, time.Now()); len(got) != 0 {
			t.Errorf("again: %+v", got)
		}
	})
}
