package tally

import (
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestLog(t *testing.T) {
	for _, tc := range []struct {
		held time.Duration
		want uint64
	}{
		{-time.Second, 0}, {0, 0}, {500, 0}, {time.Microsecond, 0}, {2 * time.Microsecond, 16}, {3 * time.Microsecond, 25},
		{1024 * time.Microsecond, 160}, {1448 * time.Microsecond, 168}, {2048 * time.Microsecond, 176}, {time.Second, 319}, {time.Hour, 508},
	} {
		if got := Log(tc.held); got != tc.want {
			t.Errorf("Log(%v) = %d, want %d", tc.held, got, tc.want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(20*time.Second)).Draw(t, "a"))
		if x, y := Log(a), Log(2*a); y != x+PerDoubling && y != x+PerDoubling+1 {
			t.Fatalf("twice %v is %d units later", a, y-x)
		}
	})
}

func TestCounter(t *testing.T) {
	var co Counter
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := range 100 {
				co.Add("a", i%10 == 0, 3*time.Millisecond)
				co.Add("b", false, 0)
			}
		})
	}
	wg.Wait()
	rows := co.Snapshot()
	lg := Log(3 * time.Millisecond)
	if a, want := *rows["a"], (Counts{400, 40, 400, 400 * lg, 400 * lg * lg}); a != want {
		t.Errorf("a: %+v, want %+v", a, want)
	}
	if b, want := *rows["b"], (Counts{Requests: 400}); b != want {
		t.Errorf("b: %+v, want %+v", b, want)
	}
}

// TestSince guards against counts that seem to go back as a process is replaced.
func TestSince(t *testing.T) {
	one, two := Counts{5, 1, 5, 20, 80}, Counts{9, 1, 8, 32, 130}
	if got, ok := two.Since(&one); !ok || got != (Counts{4, 0, 3, 12, 50}) {
		t.Errorf("Since = %+v, %t", got, ok)
	}
	for _, before := range []Counts{{10, 1, 8, 32, 130}, {9, 2, 8, 32, 130}, {9, 1, 9, 32, 130}, {9, 1, 8, 33, 130}, {9, 1, 8, 32, 131}} {
		if _, ok := two.Since(&before); ok {
			t.Errorf("%+v counts as earlier", before)
		}
	}
}

func BenchmarkAdd(b *testing.B) {
	var co Counter
	b.ReportAllocs()
	for b.Loop() {
		co.Add("lookup", false, 30*time.Millisecond)
	}
}

func TestScaled(t *testing.T) {
	for _, tc := range []struct{ row, want Counts }{
		{Counts{}, Counts{}},
		{Counts{20, 3, 18, 180, 1800}, Counts{20, 3, 18, 180, 1800}},
		{Counts{2000, 100, 1000, 300_000, 90_000_000}, Counts{20, 1, 10, 3000, 900_000}},
		{Counts{2000, 1, 3, 900, 270_000}, Counts{20, 0, 0, 0, 0}},
	} {
		if got := tc.row.Scaled(20); got != tc.want {
			t.Errorf("%+v scaled is %+v, want %+v", tc.row, got, tc.want)
		}
	}
}
