package inlet

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// TestTrialInterval guards against trying a request that crashes servers again and again while the evidence
// of the last crash is not there yet, and against delaying other requests for it.
func TestTrialInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := New(proxy.Options{}, nil)
		admits := func(crashes int) bool {
			r := httptest.NewRequest("GET", "http://booking/", nil)
			r.Header.Set(result.CrashesHeader, strconv.Itoa(crashes))
			release, rf := in.isolate(r)
			if rf != nil {
				return false
			}
			release()
			return true
		}
		trial := httptest.NewRequest("GET", "http://booking/", nil)
		trial.Header.Set(result.CrashesHeader, "3")
		for _, st := range []struct {
			name    string
			do      func()
			suspect bool
			trial   bool
		}{
			{"no trial yet", func() {}, true, true},
			{"a trial is not answered", func() { in.beginTrial(trial) }, true, false},
			{"just before the interval has passed", func() { time.Sleep(trialInterval - 1) }, true, false},
			{"the interval has passed", func() { time.Sleep(time.Nanosecond) }, true, true},
			{"another trial", func() { in.beginTrial(trial) }, true, false},
			{"it is answered", func() { in.endTrial(trial) }, true, true},
			{"a request with too few crashes", func() { in.beginTrial(httptest.NewRequest("GET", "http://booking/", nil)) }, true, true},
		} {
			st.do()
			if got := admits(2); got != st.suspect {
				t.Errorf("%s: a suspect is admitted %t, want %t", st.name, got, st.suspect)
			}
			if got := admits(3); got != st.trial {
				t.Errorf("%s: a trial is admitted %t, want %t", st.name, got, st.trial)
			}
			if !admits(0) {
				t.Errorf("%s: a request without crashes is refused", st.name)
			}
		}
	})
}
