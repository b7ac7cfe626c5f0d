package guard

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/stand"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// TestOutage: the platform is out for a minute and a daemon keeps asking. The
// breaker holds nearly all calls back, and lets them through again soon after
// the platform is back, also when the first call after it is a long watch.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := stand.New()
		gd := New(st.Store())
		kv := gd.Store()
		st.SetFaults(stand.Faults{Down: true})
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			_, _ = kv.Get(t.Context(), "a")
		}
		if n := st.Calls.Total(); n > 60/2+failureThreshold+1 {
			t.Errorf("%d calls in a minute of outage, bound %d", n, 60/2+failureThreshold+1)
		}
		st.SetFaults(stand.Faults{})
		time.Sleep(openTimeout)
		watchErr := make(chan error, 1)
		go func() {
			_, err := kv.Watch(t.Context(), "a", store.Revision{}, 25*time.Second)
			watchErr <- err
		}()
		synctest.Wait()
		if _, err := kv.Get(t.Context(), "a"); err != nil {
			t.Errorf("the first call beside the watch: %v", err)
		}
		if err := <-watchErr; err != nil {
			t.Errorf("the first watch: %v", err)
		}
	})
}

// TestRate: a daemon that asks in a loop is held to the local rate.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := stand.New()
		kv := New(st.Store()).Store()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			_, _ = kv.Get(t.Context(), "a")
		}
		if n := st.Calls.Total(); n > callBurst+10*callRate+1 {
			t.Errorf("%d calls in 10 s, bound %d", n, callBurst+10*callRate+1)
		}
	})
}
