package again

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

const ms = time.Millisecond

// TestElapsed: callers of one route wait for 2.1 to 2.5 s, each for a time of its own.
// Who waits for less was taken to have come back after a refusal: seven in ten new
// requests got less of their objective than there was, and were refused or served late
// for it. A caller that comes back is known by what it asks for and when it stops
// waiting.
func TestElapsed(t *testing.T) {
	type came struct {
		at   time.Duration
		url  string
		left time.Duration
		// elapsed is what must be found, refused whether this try is given up on at
		// once.
		elapsed time.Duration
		refused bool
	}
	for _, tc := range []struct {
		name  string
		tries []came
	}{
		{"a patient and a hasty one", []came{{0, "/a", 2500 * ms, 0, true}, {200 * ms, "/b", 2100 * ms, 0, true}}},
		{"comes back", []came{{0, "/a", 2500 * ms, 0, true}, {200 * ms, "/a", 2298 * ms, 200 * ms, true}, {500 * ms, "/a", 2003 * ms, 500 * ms, true}}},
		{"another caller asks for the same", []came{{0, "/a", 2500 * ms, 0, true}, {200 * ms, "/a", 2500 * ms, 0, true}}},
		{"was answered", []came{{0, "/a", 2500 * ms, 0, false}, {200 * ms, "/a", 2300 * ms, 0, true}}},
		{"does not say how long it waits", []came{{0, "/a", 0, 0, true}, {200 * ms, "/a", 0, 0, true}}},
		{"another place of the same", []came{{0, "/a?x=1", 2500 * ms, 0, true}, {200 * ms, "/a?x=2", 2300 * ms, 0, true}}},
	} {
		synctest.Test(t, func(t *testing.T) {
			var me Tracker
			var ro RetryStats
			began := time.Now()
			for i, ca := range tc.tries {
				time.Sleep(ca.at - time.Since(began))
				now := time.Now()
				tr, further := me.Arrived(httptest.NewRequest("GET", ca.url, nil), now, ca.left, &ro)
				if got := now.Sub(tr.FirstAt); got != ca.elapsed || further != (ca.elapsed > 0) {
					t.Errorf("%s: try %d has been at it for %v (further %t), want %v", tc.name, i, got, further, ca.elapsed)
				}
				if ca.refused {
					me.Failed(tr, now.Add(ms), true, &ro)
				}
			}
		})
	}
}

// TestFinal: a backend server makes calls and does not repeat one that was refused,
// while callers mostly come back. Which is which is learned from a few refusals; a
// wave of them whose callers are still on their way back says nothing yet, and a
// change of habit shows.
func TestFinal(t *testing.T) {
	for _, tc := range []struct {
		name string
		// told are refused in each second, back come back 400 ms later.
		told, back []int
		want       bool
	}{
		{"nothing known", nil, nil, false},
		{"few", []int{5, 0, 0}, []int{0, 0, 0}, false},
		{"calls", []int{8, 0, 0}, []int{0, 0, 0}, true},
		{"calls, one a second", []int{1, 1, 1, 1, 1, 1, 1, 1, 1}, []int{0, 0, 0, 0, 0, 0, 0, 0, 0}, true},
		{"callers", []int{20, 0, 0}, []int{17, 0, 0}, false},
		{"half of the callers", []int{20, 0, 0}, []int{10, 0, 0}, false},
		{"a wave on its way", []int{100}, []int{100}, false},
		{"callers from now on", []int{30, 0, 0, 200, 0, 0}, []int{0, 0, 0, 150, 0, 0}, false},
		{"calls from now on", []int{200, 0, 0, 200, 200, 0, 0}, []int{200, 0, 0, 0, 0, 0, 0}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			var me Tracker
			var ro RetryStats
			n := 0
			for i, told := range tc.told {
				began := time.Now()
				var back []func()
				for j := range told {
					n++
					url := fmt.Sprint("/", n)
					tr, _ := me.Arrived(httptest.NewRequest("GET", url, nil), began, time.Second, &ro)
					me.Failed(tr, began, true, &ro)
					if j < tc.back[i] {
						back = append(back, func() {
							now := time.Now()
							if _, further := me.Arrived(httptest.NewRequest("GET", url, nil), now, time.Second-now.Sub(began), &ro); !further {
								t.Errorf("%s: a caller that came back is not known", tc.name)
							}
						})
					}
				}
				if got := ro.CountArrival(time.Now(), false, true); i == 0 && got {
					t.Errorf("%s: final at once", tc.name)
				}
				time.Sleep(400 * ms)
				for _, fn := range back {
					fn()
				}
				time.Sleep(600 * ms)
			}
			if got := ro.CountArrival(time.Now(), false, true); got != tc.want {
				t.Errorf("%s: final %t, want %t", tc.name, got, tc.want)
			}
		})
	}
}

func BenchmarkCame(b *testing.B) {
	var me Tracker
	var ro RetryStats
	r := httptest.NewRequest("GET", "/splits/12345?page=3", nil)
	b.ReportAllocs()
	for b.Loop() {
		me.Arrived(r, time.Now(), time.Second, &ro)
	}
}
