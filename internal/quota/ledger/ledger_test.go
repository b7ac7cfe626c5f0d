package ledger

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/quota/admit"
)

var testLimit = admit.Limit{Rate: 100, Burst: 50}

func limitOf(string) admit.Limit { return testLimit }

// usage returns a report of a tenant's cumulative counts.
func usage(source string, offered, admitted int64) Report {
	return Report{Source: source, Usage: []admit.Usage{{Tenant: "t", Counts: admit.Counts{Offered: offered, Admitted: admitted}}}}
}

// TestAdd: what each report adds, in the order in which they arrive.
func TestAdd(t *testing.T) {
	known := func(re Report, offered, admitted int64) Report {
		re.Usage[0].LastReported = admit.Counts{Offered: offered, Admitted: admitted}
		return re
	}
	sum := func(re Report) Report {
		re.Outlets = 3
		return re
	}
	type step struct {
		name  string
		after time.Duration
		re    Report
		want  admit.Counts
	}
	for name, steps := range map[string][]step{
		"increasing":                {{"first", 0, usage("a", 4, 2), admit.Counts{Offered: 4, Admitted: 2}}, {"second", 0, usage("a", 7, 3), admit.Counts{Offered: 3, Admitted: 1}}},
		"twice":                     {{"first", 0, usage("a", 4, 2), admit.Counts{Offered: 4, Admitted: 2}}, {"again", 0, usage("a", 4, 2), admit.Counts{}}},
		"crossed":                   {{"later", 0, usage("a", 7, 3), admit.Counts{Offered: 7, Admitted: 3}}, {"earlier", 0, usage("a", 4, 2), admit.Counts{}}, {"next", 0, usage("a", 8, 4), admit.Counts{Offered: 1, Admitted: 1}}},
		"one of a relay was lost":   {{"first", 0, sum(usage("a", 4, 2)), admit.Counts{Offered: 4, Admitted: 2}}, {"third", 0, sum(known(usage("a", 20, 12), 10, 6)), admit.Counts{Offered: 16, Admitted: 10}}},
		"member that was elsewhere": {{"first", 0, usage("a", 4, 2), admit.Counts{Offered: 4, Admitted: 2}}, {"back", 0, known(usage("a", 20, 12), 10, 6), admit.Counts{Offered: 10, Admitted: 6}}},
		"returned":                  {{"first", 0, usage("a", 4, 4), admit.Counts{Offered: 4, Admitted: 4}}, {"fewer", 0, usage("a", 4, 3), admit.Counts{Admitted: -1}}},
		"from elsewhere":            {{"reported to another relay before", 0, known(usage("a", 1000, 900), 990, 895), admit.Counts{Offered: 10, Admitted: 5}}},
		"member silent":             {{"first", 0, usage("a", 4, 2), admit.Counts{Offered: 4, Admitted: 2}}, {"later", 5 * time.Second, usage("a", 7, 3), admit.Counts{Offered: 3, Admitted: 1}}},
		"relay silent":              {{"first", 0, sum(usage("a", 4, 2)), admit.Counts{Offered: 4, Admitted: 2}}, {"after its part was assumed", 2 * SourceTTL, sum(known(usage("a", 500, 300), 490, 295)), admit.Counts{Offered: 10, Admitted: 5}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				le := Ledger{Since: time.Now()}
				for _, st := range steps {
					time.Sleep(st.after)
					var got admit.Counts
					for _, us := range le.Add(st.re, time.Now()) {
						got = us.Counts
					}
					if got != st.want {
						t.Errorf("%s: %+v, want %+v", st.name, got, st.want)
					}
				}
			})
		})
	}
}

// TestShares: the part that is admitted after a second of some demand, by what was known before.
func TestShares(t *testing.T) {
	for _, tc := range []struct {
		name string
		// idle is the time from the start of the ledger to the first request.
		idle time.Duration
		// demand and admitted are requests per second.
		demand, admitted int64
		covered          float64
		low, high        float64
	}{
		{"below the limit", time.Minute, 60, 60, 1, 1, 1},
		{"above the rate, within the burst", time.Minute, 130, 130, 1, 0.5, 1},
		{"far above", time.Minute, 800, 800, 1, 0, 0},
		{"refused already", time.Minute, 800, 100, 1, 0.1, 0.25},
		{"right after the start", 0, 800, 100, 1, 0.05, 0.16},
		{"half of the outlets out of reach", time.Minute, 400, 50, 0.5, 0.1, 0.25},
		{"below the limit, half of the outlets out of reach", time.Minute, 30, 30, 0.5, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				le := Ledger{Since: time.Now()}
				time.Sleep(tc.idle)
				var shares map[string]admit.Share
				for i := range int64(5) {
					le.Add(usage("a", (i+1)*tc.demand/4, (i+1)*tc.admitted/4), time.Now())
					shares = le.Shares(limitOf, tc.covered, time.Now())
					time.Sleep(ReportInterval)
				}
				got := 1.0
				if sh, ok := shares["t"]; ok {
					got = sh.Admit
					if sh.RetryAfter < minRetryAfter || sh.RetryAfter > maxRetryAfter {
						t.Errorf("retry after %s", sh.RetryAfter)
					}
				}
				if got < tc.low || got > tc.high {
					t.Errorf("share %.3f, want %.2f to %.2f", got, tc.low, tc.high)
				}
			})
		})
	}
}

// TestDeficitIsMadeUp: what was admitted too much before the first report must be deducted, whatever
// it was, so that the sum of some seconds stays within the limit.
func TestDeficitIsMadeUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = 5 * time.Second
		le := Ledger{Since: time.Now()}
		time.Sleep(time.Minute)
		demand, share, credit := 8*testLimit.Rate, 1.0, 0.0
		var offered, admitted, total int64
		for elapsed := time.Duration(0); elapsed < window; elapsed += ReportInterval {
			n := demand * ReportInterval.Seconds()
			credit += n * share
			offered, admitted = offered+int64(n), int64(credit)
			total = admitted
			time.Sleep(ReportInterval)
			le.Add(usage("a", offered, admitted), time.Now())
			share = 1
			if sh, ok := le.Shares(limitOf, 1, time.Now())["t"]; ok {
				share = sh.Admit
			}
		}
		want := testLimit.Rate*window.Seconds() + testLimit.Burst
		if float64(total) > 1.1*want || float64(total) < 0.9*want {
			t.Errorf("%d requests in %s, want about %.0f", total, window, want)
		}
	})
}

// TestOutlets: reports of relays cover their outlets while they are valid, those of members none.
func TestOutlets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var le Ledger
		le.Add(Report{Source: "a", Outlets: 3}, time.Now())
		le.Add(Report{Source: "b", Outlets: 4}, time.Now())
		le.Add(usage("c", 1, 1), time.Now())
		time.Sleep(SourceTTL)
		if got := le.Outlets(time.Now()); got != 7 {
			t.Errorf("%d outlets", got)
		}
		le.Add(Report{Source: "b", Outlets: 5}, time.Now())
		time.Sleep(time.Millisecond)
		if got := le.Outlets(time.Now()); got != 5 {
			t.Errorf("%d outlets after one relay fell silent", got)
		}
	})
}

// TestUrgent: a surge must be told at once, use as expected must not be.
func TestUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		le := Ledger{Since: time.Now()}
		time.Sleep(time.Minute)
		le.Add(usage("a", 3, 3), time.Now())
		if le.Urgent(limitOf, time.Now()) {
			t.Error("three requests are urgent")
		}
		for i := range int64(8) {
			le.Add(usage("a", 3+i*20, 3+i*20), time.Now())
			le.Shares(limitOf, 1, time.Now())
			time.Sleep(ReportInterval)
		}
		le.Add(usage("a", 163, 163), time.Now())
		if le.Urgent(limitOf, time.Now()) {
			t.Error("use as before is urgent")
		}
		le.Add(usage("a", 263, 263), time.Now())
		if !le.Urgent(limitOf, time.Now()) {
			t.Error("a surge is not urgent")
		}
	})
}

// TestForgottenTenant: a tenant that was idle has its whole burst again, and takes no memory.
func TestForgottenTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		le := Ledger{Since: time.Now()}
		le.Add(usage("a", 1000, 1000), time.Now())
		le.Shares(limitOf, 1, time.Now())
		time.Sleep(2 * forgetAfter)
		le.Shares(limitOf, 1, time.Now())
		if len(le.accounts) != 0 {
			t.Errorf("%d accounts", len(le.accounts))
		}
		le.Add(usage("a", 1010, 1010), time.Now())
		if shares := le.Shares(limitOf, 1, time.Now()); len(shares) != 0 {
			t.Errorf("shares %v", shares)
		}
		if got := le.Uses(limitOf, nil, time.Now()); len(got) != 1 || math.Abs(got[0].Demand-20) > 0.1 || got[0].Admit != 1 {
			t.Errorf("use %+v", got)
		}
	})
}
