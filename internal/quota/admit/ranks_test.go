package admit

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRank: which rank a request has.
func TestRank(t *testing.T) {
	for _, tc := range []struct {
		priority int
		late     bool
		want     int
	}{{0, false, 0}, {2, false, 2}, {3, false, 3}, {9, false, 3}, {-1, false, 0}, {0, true, 3}} {
		if got := Rank(tc.priority, tc.late); got != tc.want {
			t.Errorf("priority %d, late %t: rank %d, want %d", tc.priority, tc.late, got, tc.want)
		}
	}
}

// TestAdmitByRank guards against a rank getting another one's share, also if ranks alternate, and
// against ranks that are refused because a relay of the previous release names only the mean.
func TestAdmitByRank(t *testing.T) {
	for _, tc := range []struct {
		name  string
		share Share
		want  RankShares
	}{
		{"by rank", Share{Admit: 0.5, ByRank: &RankShares{1, 0.5, 0.5, 0.1}}, RankShares{1, 0.5, 0.5, 0.1}},
		{"relay of the previous release", Share{Admit: 0.3}, RankShares{0.3, 0.3, 0.3, 0.3}},
		{"invalid shares", Share{Admit: 0.3, ByRank: &RankShares{2, -1, 0.3, 0.3}}, RankShares{1, 0, 0.3, 0.3}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ga, di := newTestGate(Limit{Rate: 1e6, Burst: 1e6})
				di.Store(&Directive{Outlets: 10, ReceivedAt: time.Now(), Shares: map[string]Share{tenantName: tc.share}})
				time.Sleep(time.Second)
				const each = 200
				var admitted RankCounts
				for i := range each * Ranks {
					if ga.Admit(tenantName, i%Ranks, time.Now()).Admitted {
						admitted[i%Ranks]++
					}
				}
				for rank, n := range admitted {
					if want := tc.want[rank] * each; float64(n) < want-1 || float64(n) > want+1 {
						t.Errorf("rank %d: %d of %d admitted, want %.0f", rank, n, each, want)
					}
				}
				us := ga.Usage()
				if len(us) != 1 || us[0].Ranks != (RankCounts{each, each, each, each}) || us[0].Counts.Offered != each*Ranks || us[0].LastRanks != (RankCounts{}) {
					t.Errorf("usage %+v", us)
				}
			})
		})
	}
}

// TestDelay guards against callers that are told to retry when it is too late for an answer in time,
// and against all of them returning at once.
func TestDelay(t *testing.T) {
	const s = time.Second
	for _, tc := range []struct {
		name   string
		de     Decision
		left   time.Duration
		random float64
		want   time.Duration
	}{
		{"first of those refused", Decision{RetryAfter: s, RetrySpread: 3 * s}, 5 * s, 0, s},
		{"last of those refused", Decision{RetryAfter: s, RetrySpread: 3 * s}, 5 * s, 1, 4 * s},
		{"too late for it", Decision{RetryAfter: s, RetrySpread: 3 * s}, 3 * s, 1, 0},
		{"relay of the previous release", Decision{RetryAfter: s}, 5 * s, 0.5, 5 * s / 4},
		{"too late already", Decision{RetryAfter: s}, -s, 0, 0},
	} {
		if got := tc.de.Delay(tc.left, tc.random); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
	}
}

// TestAdmitAllocatesNothing guards against memory allocated for each request.
func TestAdmitAllocatesNothing(t *testing.T) {
	ga, di := newTestGate(Limit{Rate: 1e6, Burst: 1e6})
	now := time.Now()
	di.Store(&Directive{Outlets: 10, ReceivedAt: now, Shares: map[string]Share{tenantName: {Admit: 0.5, ByRank: &RankShares{1, 0.5, 0.1, 0}}}})
	rank := 0
	if n := testing.AllocsPerRun(1000, func() {
		ga.Admit(tenantName, rank%Ranks, now)
		rank++
	}); n > 0 {
		t.Errorf("%g allocations for each request", n)
	}
}
