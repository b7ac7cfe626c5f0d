package resend

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

const ms = time.Millisecond

// TestElapsed checks how retries are detected. Callers of one route use timeouts between 2.1 and
// 2.5 s. The caller with the shorter timeout was taken to be retrying, so seven in ten new requests
// were given less time than their objective, and were therefore refused or answered late. A retry
// is detected by the request itself and its deadline.
func TestElapsed(t *testing.T) {
	type arrival struct {
		at   time.Duration
		url  string
		left time.Duration
		// elapsed is the expected time since the first try, refused whether this try fails at once.
		elapsed time.Duration
		refused bool
	}
	for _, tc := range []struct {
		name  string
		tries []arrival
	}{
		{"two callers with different timeouts", []arrival{{0, "/a", 2500 * ms, 0, true}, {200 * ms, "/b", 2100 * ms, 0, true}}},
		{"a retry", []arrival{{0, "/a", 2500 * ms, 0, true}, {200 * ms, "/a", 2298 * ms, 200 * ms, true}, {500 * ms, "/a", 2003 * ms, 500 * ms, true}}},
		{"the same request of another caller", []arrival{{0, "/a", 2500 * ms, 0, true}, {200 * ms, "/a", 2500 * ms, 0, true}}},
		{"the same request after an answer", []arrival{{0, "/a", 2500 * ms, 0, false}, {200 * ms, "/a", 2300 * ms, 0, true}}},
		{"no timeout given", []arrival{{0, "/a", 0, 0, true}, {200 * ms, "/a", 0, 0, true}}},
		{"another URI with the same deadline", []arrival{{0, "/a?x=1", 2500 * ms, 0, true}, {200 * ms, "/a?x=2", 2300 * ms, 0, true}}},
	} {
		synctest.Test(t, func(t *testing.T) {
			var tk Tracker
			var rs RetryStats
			began := time.Now()
			for i, ca := range tc.tries {
				time.Sleep(ca.at - time.Since(began))
				now := time.Now()
				tr, further := tk.Arrived(httptest.NewRequest("GET", ca.url, nil), now, ca.left, &rs)
				if got := now.Sub(tr.FirstAt); got != ca.elapsed || further != (ca.elapsed > 0) {
					t.Errorf("%s: try %d is %v after the first (further %t), want %v", tc.name, i, got, further, ca.elapsed)
				}
				if ca.refused {
					tk.Failed(tr, now.Add(ms), true, &rs)
				}
			}
		})
	}
}

// TestFinal checks how the callers of a route are classified. Backend servers do not retry a
// refused call, while external callers mostly do. A few refusals must suffice to tell them apart; a
// burst of refusals whose callers have not had time to retry must not count yet; and a change in
// behavior must show.
func TestFinal(t *testing.T) {
	for _, tc := range []struct {
		name string
		// advised is the number of callers refused in each second, retried how many of them retry
		// 400 ms later.
		advised, retried []int
		want             bool
	}{
		{"no refusals", nil, nil, false},
		{"too few refusals", []int{5, 0, 0}, []int{0, 0, 0}, false},
		{"calls", []int{8, 0, 0}, []int{0, 0, 0}, true},
		{"calls, one a second", []int{1, 1, 1, 1, 1, 1, 1, 1, 1}, []int{0, 0, 0, 0, 0, 0, 0, 0, 0}, true},
		{"callers", []int{20, 0, 0}, []int{17, 0, 0}, false},
		{"half of the callers", []int{20, 0, 0}, []int{10, 0, 0}, false},
		{"a burst that has not been retried yet", []int{100}, []int{100}, false},
		{"calls, then callers", []int{30, 0, 0, 200, 0, 0}, []int{0, 0, 0, 150, 0, 0}, false},
		{"callers, then calls", []int{200, 0, 0, 200, 200, 0, 0}, []int{200, 0, 0, 0, 0, 0, 0}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			var tk Tracker
			var rs RetryStats
			n := 0
			for i, advised := range tc.advised {
				began := time.Now()
				var retries []func()
				for j := range advised {
					n++
					url := fmt.Sprint("/", n)
					tr, _ := tk.Arrived(httptest.NewRequest("GET", url, nil), began, time.Second, &rs)
					tk.Failed(tr, began, true, &rs)
					if j < tc.retried[i] {
						retries = append(retries, func() {
							now := time.Now()
							if _, further := tk.Arrived(httptest.NewRequest("GET", url, nil), now, time.Second-now.Sub(began), &rs); !further {
								t.Errorf("%s: a retry was not detected", tc.name)
							}
						})
					}
				}
				if got := rs.CountArrival(time.Now(), false, true); i == 0 && got {
					t.Errorf("%s: final in the first period", tc.name)
				}
				time.Sleep(400 * ms)
				for _, fn := range retries {
					fn()
				}
				time.Sleep(600 * ms)
			}
			if got := rs.CountArrival(time.Now(), false, true); got != tc.want {
				t.Errorf("%s: final %t, want %t", tc.name, got, tc.want)
			}
		})
	}
}

func BenchmarkArrived(b *testing.B) {
	var tk Tracker
	var rs RetryStats
	r := httptest.NewRequest("GET", "/splits/12345?page=3", nil)
	b.ReportAllocs()
	for b.Loop() {
		tk.Arrived(r, time.Now(), time.Second, &rs)
	}
}

// TestMayReturn guards against callers that have no time for the wait that they are told being expected
// to return after it.
func TestMayReturn(t *testing.T) {
	var tk Tracker
	var rs RetryStats
	began := time.Now()
	tr, _ := tk.Arrived(httptest.NewRequest("GET", "/", nil), began, 900*ms, &rs)
	for _, tc := range []struct {
		after, wait time.Duration
		want        bool
	}{{0, 0, true}, {0, 300 * ms, true}, {0, 301 * ms, false}, {600 * ms, 100 * ms, true}, {600 * ms, 101 * ms, false}, {900 * ms, ms, false}} {
		if got := tr.MayReturn(began.Add(tc.after), tc.wait); got != tc.want {
			t.Errorf("told after %v to return in %v: %v, want %v", tc.after, tc.wait, got, tc.want)
		}
	}
	if tr, _ = tk.Arrived(httptest.NewRequest("GET", "/", nil), began, 0, &rs); !tr.MayReturn(began, time.Hour) {
		t.Error("a caller without a deadline may return at any time")
	}
}

// TestReturnedCallers guards against callers being taken for backend servers although some of them have
// returned, because too few refusals are known.
func TestReturnedCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tk Tracker
		var rs RetryStats
		first := httptest.NewRequest("GET", "/1", nil)
		tr, _ := tk.Arrived(first, time.Now(), time.Second, &rs)
		tk.Failed(tr, time.Now(), true, &rs)
		if !rs.CountArrival(time.Now(), true, true) {
			t.Error("a request that is made while the VM's own server is busy is not taken for a call")
		}
		time.Sleep(200 * ms)
		if _, again := tk.Arrived(first, time.Now(), 800*ms, &rs); !again {
			t.Error("a retry was not detected")
		}
		if rs.CountArrival(time.Now(), true, true) {
			t.Error("a request is taken for a call although a caller of its route has returned")
		}
	})
}
