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
