package ledger

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRetryTime guards against callers being told to return while more comes than the limit, and
// against all callers of a short burst being told the same time. The limit is 100 requests per second.
func TestRetryTime(t *testing.T) {
	for _, tc := range []struct {
		name string
		// usual is the demand of ten seconds, demand that of the time after it.
		usual, demand int64
		span          time.Duration
		// earliest and latest are when the last refused caller is asked to retry.
		earliest, latest time.Duration
	}{
		{"above the limit for long", 300, 300, 5 * time.Second, maxRetryAfter, maxRetryAfter},
		{"short burst, a fifth of the limit is used", 20, 300, time.Second, 4 * time.Second, 6 * time.Second},
		{"short burst, most of the limit is used", 90, 400, time.Second, maxRetryAfter, maxRetryAfter},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				le := Ledger{Since: time.Now()}
				var offered, admitted int64
				run := func(demand, allowed int64, span time.Duration) (last time.Duration) {
					for began := time.Now(); time.Since(began) < span; {
						time.Sleep(ReportInterval)
						offered, admitted = offered+demand/4, admitted+min(demand, allowed)/4
						le.Add(usage("a", offered, admitted), time.Now())
						if sh, ok := le.Shares(limitOf, 1, time.Now())["t"]; ok {
							if sh.RetrySpread <= 0 {
								t.Errorf("retry after %s, all at once", sh.RetryAfter)
							}
							if sh.RetryAfter < last && sh.RetryAfter < maxRetryAfter/2 {
								t.Errorf("retry after %s, those refused before %s", sh.RetryAfter, last)
							}
							last = sh.RetryAfter
						}
					}
					return last
				}
				run(tc.usual, 100, 10*time.Second)
				if got := run(tc.demand, 100, tc.span); got < tc.earliest || got > tc.latest {
					t.Errorf("retry after %s, want %s to %s", got, tc.earliest, tc.latest)
				}
			})
		})
	}
}
