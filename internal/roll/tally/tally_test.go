package tally

import (
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestBucket(t *testing.T) {
	for _, tc := range []struct {
		held time.Duration
		want int
	}{
		{0, 0}, {500 * time.Microsecond, 0}, {1023 * time.Microsecond, 0}, {1024 * time.Microsecond, 1},
		{1449 * time.Microsecond, 2}, {2048 * time.Microsecond, 3}, {time.Second, 20}, {time.Hour, Buckets - 1}, {-time.Second, 0},
	} {
		if got := Bucket(tc.held); got != tc.want {
			t.Errorf("Bucket(%v) = %d, want %d", tc.held, got, tc.want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "a"))
		if x, y := Bucket(a), Bucket(2*a); y < x || y > x+3 {
			t.Fatalf("twice %v is %d buckets later", a, y-x)
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
	rows := co.Rows()
	if a := rows["a"]; a.Requests != 400 || a.Failures != 40 || a.Held[Bucket(3*time.Millisecond)] != 400 {
		t.Errorf("a: %+v", a)
	}
	if b := rows["b"]; b.Requests != 400 || b.Failures != 0 || b.Held != [Buckets]uint64{} {
		t.Errorf("b: %+v", b)
	}
}

// TestSince guards against counts that seem to go back as a process is replaced.
func TestSince(t *testing.T) {
	one, two := Row{Requests: 5, Failures: 1}, Row{Requests: 9, Failures: 1}
	if got, ok := two.Since(&one); !ok || got.Requests != 4 || got.Failures != 0 {
		t.Errorf("Since = %+v, %t", got, ok)
	}
	if _, ok := one.Since(&two); ok {
		t.Error("an earlier row counts as later")
	}
}

func BenchmarkAdd(b *testing.B) {
	var co Counter
	b.ReportAllocs()
	for b.Loop() {
		co.Add("lookup", false, 30*time.Millisecond)
	}
}
