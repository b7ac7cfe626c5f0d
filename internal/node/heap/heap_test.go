package heap

import (
	"context"
	"runtime/debug"
	"testing"
	"testing/synctest"
	"time"
)

// TestPercentFollowsLoad: callers of a busy VM with a sixth of a core waited a tenth of a second more
// every four seconds, since the heap was collected as often. A daemon that is
// pressed collects seldom, one that is not keeps its heap small, and one whose load has
// passed goes back to that.
func TestPercentFollowsLoad(t *testing.T) {
	const live = 10.0 // MB
	for _, tc := range []struct {
		name string
		// loads each last for two minutes.
		loads []load
		want  int
	}{
		{"idle", []load{{0.02, 0.01}}, MinPercent},
		{"much garbage, little to do", []load{{2.4, 0.1}}, MinPercent},
		{"much garbage, something to do", []load{{2.4, 0.2}}, MinPercent},
		{"pressed", []load{{1.2, 0.4}}, maxPercent},
		{"pressed by little garbage", []load{{0.3, 0.4}}, 2 * MinPercent},
		{"more than can be helped", []load{{30, 0.9}}, maxPercent},
		{"pressed, then idle", []load{{2.4, 0.4}, {0.02, 0.01}, {0.02, 0.01}, {0.02, 0.01}}, MinPercent},
		{"pressed, then less so", []load{{2.4, 0.4}, {1.2, 0.2}}, maxPercent},
		{"pressed, then little to do", []load{{2.4, 0.4}, {1.2, 0.05}}, MinPercent},
		{"idle, then pressed", []load{{0.02, 0.01}, {2.4, 0.4}}, maxPercent},
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
				t.Errorf("the heap grows by %d%%, want %d%%", percent, tc.want)
			}
			if changes > 3 {
				t.Errorf("the growth changed %d times at one load", changes)
			}
		})
	}
}

// load is MB of garbage a second and the part of the processor time that is used.
type load struct{ rate, utilization float64 }

// TestRun sets the growth of the process at its start and ends with its context.
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
			t.Errorf("the growth is %d", got)
		}
		cancel()
		<-done
	})
}
