package retry

import (
	"testing"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

func TestAllowed(t *testing.T) {
	for _, tc := range []struct {
		oc     result.Outcome
		rp     decl.Repeat
		method string
		want   bool
	}{
		{result.NotRun, decl.RepeatNever, "POST", true},
		{result.NotRun, decl.RepeatSafe, "DELETE", true},
		{result.MayHaveRun, decl.RepeatSafe, "GET", true},
		{result.MayHaveRun, decl.RepeatSafe, "HEAD", true},
		{result.MayHaveRun, decl.RepeatSafe, "POST", false},
		{result.MayHaveRun, decl.RepeatSafe, "PUT", false},
		{result.MayHaveRun, decl.RepeatSafe, "get", false},
		{result.MayHaveRun, decl.RepeatNever, "GET", false},
		{result.MayHaveRun, decl.RepeatAlways, "POST", true},
		{result.Answered, decl.RepeatAlways, "GET", false},
		{result.Ended, decl.RepeatAlways, "GET", false},
	} {
		if got := Allowed(tc.oc, tc.rp, tc.method); got != tc.want {
			t.Errorf("Allowed(%s, %s, %s) = %t", tc.oc, tc.rp, tc.method, got)
		}
	}
}

// TestBudget: every request fails and wants to be sent again. Retries stay
// below a fifth of the requests once what was saved up is spent.
func TestBudget(t *testing.T) {
	bu := New()
	retries := 0
	const requests = 10_000
	for range requests {
		bu.Request()
		for bu.Take() {
			retries++
		}
	}
	if retries > requests/5 || retries < requests/10 {
		t.Errorf("%d retries of %d requests", retries, requests)
	}
	quiet := New()
	for range requests {
		quiet.Request()
	}
	burst := 0
	for quiet.Take() {
		burst++
	}
	if burst > most/perRetry {
		t.Errorf("a burst of %d after a quiet time, bound %d", burst, most/perRetry)
	}
}
