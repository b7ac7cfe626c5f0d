package heap

import (
	"context"
	"runtime/debug"
	"testing"
	"testing/synctest"
	"time"
)

// TestPercentFollowsLoad guards against frequent collections in a busy daemon: callers of a VM with
// a sixth of a core wait a tenth of a second more at each collection, which may be every four
// seconds. A busy daemon must collect seldom, an idle one keep its heap small, and one whose load
// has passed return to that.
func TestPercentFollowsLoad(t *testing.T) {
	const live = 10.0 // MB
	for _, tc := range []struct {
		name string
		// Each of loads lasts for two minutes.
		loads []load
		want  int
	}{
		{"idle", []load{{0.02, 0.01}}, MinPercent},
		{"much garbage, low utilization", []load{{2.4, 0.1}}, MinPercent},
		{"much garbage, medium utilization", []load{{2.4, 0.2}}, MinPercent},
		{"busy", []load{{1.2, 0.4}}, maxPercent},
		{"busy with little garbage", []load{{0.3, 0.4}}, 2 * MinPercent},
		{"overloaded with garbage", []load{{30, 0.9}}, maxPercent},
		{"busy, then idle", []load{{2.4, 0.4}, {0.02, 0.01}, {0.02, 0.01}, {0.02, 0.01}}, MinPercent},
		{"busy, then less busy", []load{{2.4, 0.4}, {1.2, 0.2}}, maxPercent},
		{"busy, then low utilization", []load{{2.4, 0.4}, {1.2, 0.05}}, MinPercent},
		{"idle, then busy", []load{{0.02, 0.01}, {2.4, 0.4}}, maxPercent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var tu Tuner
			var se Stats
			now, garbage := time.Unix(1000, 0), 0.0
			percent, _ := tu.Observe(se, now)
			changes := 0
			for _, ld := range tc.loads {
				changes = 0
				for range 120 {
					now = now.Add(pollInterval)
					for range 100 {
						garbage += ld.rate * pollInterval.Seconds() / 100
						if garbage >= live*float64(percent)/100 {
							garbage = 0
							se.Collections++
						}
					}
					se.Total += pollInterval.Seconds()
					se.Idle += (1 - ld.utilization) * pollInterval.Seconds()
					var changed bool
					if percent, changed = tu.Observe(se, now); changed {
						changes++
					}
				}
			}
			if percent != tc.want {
				t.Errorf("GC percentage is %d%%, want %d%%", percent, tc.want)
			}
			if changes > 3 {
				t.Errorf("GC percentage changed %d times under one load", changes)
			}
		})
	}
}

// load is the garbage in MB per second and the fraction of the CPU time that is used.
type load struct{ rate, utilization float64 }

// TestRun checks that Run sets the GC percentage at its start and returns when its context ends.
func TestRun(t *testing.T) {
	old := debug.SetGCPercent(100)
	defer debug.SetGCPercent(old)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			Run(ctx)
		}()
		synctest.Wait()
		if got := debug.SetGCPercent(100); got != MinPercent {
			t.Errorf("GC percentage is %d", got)
		}
		cancel()
		<-done
	})
}
