package guard

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// TestOutage guards against a daemon that keeps calling the platform during an outage of a
// minute, and against a breaker that stays half-open after it: a long watch as the first call
// must not block concurrent calls.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakekv.New()
		gd := New(st.Store())
		kv := gd.Store()
		st.SetFaults(fakekv.Faults{Down: true})
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			_, _ = kv.Get(t.Context(), "a")
		}
		if n := st.Calls.Total(); n > 60/2+failureThreshold+1 {
			t.Errorf("%d calls during an outage of 1 min, want at most %d", n, 60/2+failureThreshold+1)
		}
		st.SetFaults(fakekv.Faults{})
		time.Sleep(openTimeout)
		watchErr := make(chan error, 1)
		go func() {
			_, err := kv.Watch(t.Context(), "a", store.Revision{}, 25*time.Second)
			watchErr <- err
		}()
		synctest.Wait()
		if _, err := kv.Get(t.Context(), "a"); err != nil {
			t.Errorf("Get during the first watch after the outage: %v", err)
		}
		if err := <-watchErr; err != nil {
			t.Errorf("first watch after the outage: %v", err)
		}
	})
}

// TestRate checks that a daemon which calls in a tight loop is limited to callRate.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakekv.New()
		kv := New(st.Store()).Store()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			_, _ = kv.Get(t.Context(), "a")
		}
		if n := st.Calls.Total(); n > callBurst+10*callRate+1 {
			t.Errorf("%d calls in 10 s, want at most %d", n, callBurst+10*callRate+1)
		}
	})
}
