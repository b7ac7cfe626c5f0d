package decay

import (
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestHalfLife checks the sums after multiples of the half-life.
func TestHalfLife(t *testing.T) {
	start := time.Unix(1000, 0)
	var pa Pair
	pa.Add(start, time.Second, 8, 4)
	for i, want := range []float64{8, 4, 2, 1} {
		first, second := pa.Read(start.Add(time.Duration(i)*time.Second), time.Second)
		if math.Abs(first-want) > 0.1 || math.Abs(second-want/2) > 0.1 {
			t.Errorf("after %d half-lives: %.2f and %.2f, want %.2f and %.2f", i, first, second, want, want/2)
		}
	}
}

// TestSteadyRate guards against a drift of the ratio of two sums that rise at steady rates.
func TestSteadyRate(t *testing.T) {
	now := time.Unix(1000, 0)
	var pa Pair
	for i := range 20000 {
		now = now.Add(10 * time.Millisecond)
		second := 0.0
		if i%4 == 0 {
			second = 1
		}
		pa.Add(now, 5*time.Second, 1, second)
	}
	first, second := pa.Read(now, 5*time.Second)
	if ratio := second / first; math.Abs(ratio-0.25) > 0.03 {
		t.Errorf("ratio %.3f of %.1f and %.1f, want 0.25", ratio, second, first)
	}
}

// TestAddNothing guards against a sum that frequent additions of nothing change.
func TestAddNothing(t *testing.T) {
	const plays = 200
	sum := 0.0
	for range plays {
		now := time.Unix(1000, 0)
		var pa Pair
		pa.Add(now, time.Second, 0, 4)
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			pa.Add(now, time.Second, 0, 0)
		}
		_, second := pa.Read(now, time.Second)
		sum += second
	}
	if mean := sum / plays; math.Abs(mean-2) > 0.1 {
		t.Errorf("%.3f after a half-life, want 2", mean)
	}
}

// TestConcurrentAdds checks that no addition is lost.
func TestConcurrentAdds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pa Pair
		now := time.Now()
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 1000 {
					pa.Add(now, time.Second, 1, 0.5)
				}
			})
		}
		wg.Wait()
		if first, second := pa.Read(now, time.Second); first != 8000 || second != 4000 {
			t.Errorf("%v and %v, want 8000 and 4000", first, second)
		}
	})
}
