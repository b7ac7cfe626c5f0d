package poison

import (
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingomast/flamingomast/internal/path/ident"
)

// TestCrashCount checks sequences of crashes and answers. A lookup that many callers make runs
// on every server that crashes, but its answers clear it. The request that causes the crashes is
// never answered.
func TestCrashCount(t *testing.T) {
	const suspect, other ident.Key = 1, 2
	start := time.Unix(1_000_000, 0)
	lookup := httptest.NewRequest("GET", "http://booking/visits/7", nil)
	heads := map[ident.Key]uint64{suspect: ident.HeaderHash(lookup), other: 2}
	crash := func(key ident.Key, id CrashID, after time.Duration) Report {
		return Report{Head: heads[key], Key: key, Crash: id, At: start.Add(after)}
	}
	answered := func(re Report) Report { re.Answered = true; return re }
	for _, tc := range []struct {
		name    string
		reports []Report
		after   time.Duration
		crashes int
		refused bool
	}{
		{"no reports", nil, 0, 0, false},
		{"two servers", []Report{crash(suspect, 1, 0), crash(suspect, 2, 0)}, 0, 2, false},
		{"three servers", []Report{crash(suspect, 1, 0), crash(suspect, 2, 0), crash(suspect, 3, 0)}, 0, 3, true},
		{"one crash, reported three times", []Report{crash(suspect, 1, 0), crash(suspect, 1, 0), crash(suspect, 1, time.Second)}, 0, 1, false},
		{"three servers with two requests", []Report{crash(suspect, 1, 0), crash(other, 2, 0), crash(suspect, 3, 0)}, 0, 2, false},
		{"answered after two crashes", []Report{crash(suspect, 1, 0), crash(suspect, 2, 0), answered(crash(suspect, 1, 0)), answered(crash(suspect, 2, 0)), crash(suspect, 3, 0)}, 0, 1, false},
		{"answer arrives before the crash", []Report{answered(crash(suspect, 1, 0)), crash(suspect, 1, 0), crash(suspect, 2, 0), crash(suspect, 3, 0)}, 0, 2, false},
		{"one of three crashes answered", []Report{crash(suspect, 1, 0), crash(suspect, 2, 0), crash(suspect, 3, 0), answered(crash(suspect, 1, 0))}, 0, 2, false},
		{"retried after refusePeriod", []Report{crash(suspect, 1, 0), crash(suspect, 2, 0), crash(suspect, 3, 0)}, refusePeriod, 3, false},
		{"retry crashes another server", []Report{crash(suspect, 1, 0), crash(suspect, 2, 0), crash(suspect, 3, 0), crash(suspect, 4, refusePeriod)}, refusePeriod, 4, true},
		{"expired", []Report{crash(suspect, 1, 0), crash(suspect, 2, 0), crash(suspect, 3, 0), crash(other, 4, retention)}, retention, 0, false},
		{"reported too late", []Report{crash(suspect, 1, -retention), crash(suspect, 2, 0)}, 0, 1, false},
		{"clock ahead", []Report{crash(suspect, 1, time.Hour), crash(suspect, 2, time.Hour), crash(suspect, 3, time.Hour)}, refusePeriod, 3, false},
	} {
		var vw *View
		for _, re := range tc.reports {
			now := re.At
			if tc.name == "clock ahead" || now.Before(start) {
				now = start
			}
			vw, _ = vw.Merge([]Report{re}, now)
		}
		now := start.Add(tc.after)
		if got := vw.CrashCount(suspect); got != tc.crashes || vw.Refuses(suspect, now, 0) != tc.refused || vw.Suspects(lookup) != (tc.crashes > 0) {
			t.Errorf("%s: %d crashes, refused %t, suspected %t; want %d and %t", tc.name, got, vw.Refuses(suspect, now, 0), vw.Suspects(lookup), tc.crashes, tc.refused)
		}
	}
}

// TestMayTry guards against refusing a harmless request for long since several servers crashed together
// while each ran it, and against trying one again and again that crashes servers.
func TestMayTry(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	lookup := httptest.NewRequest("GET", "http://booking/visits/7", nil)
	for _, tc := range []struct {
		name    string
		crashes []time.Duration
		// answered is the number of crashes that an answer has cleared.
		answered int
		after    time.Duration
		want     bool
	}{
		{"no crash", nil, 0, time.Minute, false},
		{"not refused", []time.Duration{0, 0}, 0, time.Minute, false},
		{"together, too early", []time.Duration{0, 0, 0}, 0, trialDelay - 1, false},
		{"together", []time.Duration{0, 0, 0}, 0, trialDelay, true},
		{"almost together", []time.Duration{0, crashSpan / 2, crashSpan}, 0, crashSpan + trialDelay, true},
		{"many together", []time.Duration{0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, 0, trialDelay, true},
		{"one by one", []time.Duration{0, crashSpan + 1, 2 * (crashSpan + 1)}, 0, time.Minute, false},
		{"a wave that lasts", []time.Duration{0, crashSpan * 3 / 4, crashSpan * 3 / 2, crashSpan * 9 / 4}, 0, time.Minute, true},
		{"a trial crashed its server, too early", []time.Duration{0, 0, 0, trialDelay}, 0, 2 * trialDelay, false},
		{"a trial crashed its server", []time.Duration{0, 0, 0, trialDelay}, 0, trialDelay + trialDelay*trialBackoff, true},
		{"two trials crashed their servers", []time.Duration{0, 0, 0, trialDelay, trialDelay * 7}, 0, 9 * time.Minute, false},
		{"answered", []time.Duration{0, 0, 0}, 3, trialDelay, false},
	} {
		var vw *View
		for i, at := range tc.crashes {
			re := Report{Head: ident.HeaderHash(lookup), Key: 1, Crash: CrashID(i), At: start.Add(at), Answered: i < tc.answered}
			vw, _ = vw.Merge([]Report{re}, start.Add(at))
		}
		now := start.Add(tc.after)
		if got := vw.MayTry(1, now); got != tc.want {
			t.Errorf("%s: may be tried %t, want %t", tc.name, got, tc.want)
		}
		if vw.MayTry(1, now) && !vw.Refuses(1, now, 0) {
			t.Errorf("%s: tried although it is not refused", tc.name)
		}
	}
}

// TestMergeOrder checks that all daemons refuse the same requests, in whatever order and however
// often the reports reach them, and that a known report is not returned as new. A daemon forwards
// new reports, so it would circulate forever.
func TestMergeOrder(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
			key := rapid.Uint64Range(1, 4).Draw(t, "key")
			id := rapid.Uint64Range(1, maxCrashes).Draw(t, "end")
			return Report{Head: key, Key: ident.Key(key), Crash: CrashID(id), At: start.Add(time.Duration(id) * time.Second), Answered: rapid.Bool().Draw(t, "answered")}
		}), 0, 40).Draw(t, "reports")
		now := start.Add(time.Minute)
		one, _ := (*View)(nil).Merge(list, now)
		var two *View
		for _, re := range rapid.Permutation(list).Draw(t, "order") {
			two, _ = two.Merge([]Report{re, re}, now)
		}
		for key := range ident.Key(5) {
			if one.CrashCount(key) != two.CrashCount(key) {
				t.Fatalf("request %d: %d and %d crashes, want the same", key, one.CrashCount(key), two.CrashCount(key))
			}
		}
		if _, added := two.Merge(one.Reports(maxRequests), now); len(added) > 0 {
			t.Fatalf("known reports were returned as new: %v", added)
		}
	})
}

// TestBounds checks that memory stays bounded while all servers crash repeatedly, each time with
// other requests, and that the request with the most crashes is not displaced.
func TestBounds(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var vw *View
	for id := range CrashID(2 * maxCrashes) {
		vw, _ = vw.Merge([]Report{{Head: 1, Key: 1, Crash: id, At: start.Add(time.Duration(id) * time.Second)}}, start.Add(time.Hour/2))
	}
	for i := range 4 * maxRequests {
		vw, _ = vw.Merge([]Report{{Head: 2, Key: ident.Key(i + 2), Crash: 1, At: start.Add(time.Hour / 2)}}, start.Add(time.Hour/2))
	}
	if got := vw.CrashCount(1); got != maxCrashes {
		t.Errorf("%d crashes are kept of the worst request, want %d", got, maxCrashes)
	}
	if suspected, refused := vw.Counts(); suspected != maxRequests || refused != 1 {
		t.Errorf("%d requests are kept and %d refused, want %d and 1", suspected, refused, maxRequests)
	}
	reports := vw.Reports(10)
	if n := len(slices.CompactFunc(reports, func(a, b Report) bool { return a.Key == b.Key })); n != 10 || reports[0].Key != 1 {
		t.Errorf("reports of %d requests, the first %v; want 10, the one with the most crashes first", n, reports[0].Key)
	}
}

// BenchmarkMerge measures merging one report into a view with maxRequests requests.
func BenchmarkMerge(b *testing.B) {
	now := time.Now()
	var vw *View
	var list []Report
	for i := range maxRequests {
		list = append(list, Report{Head: uint64(i), Key: ident.Key(i), Crash: 1, At: now})
	}
	vw, _ = vw.Merge(list, now)
	b.ReportAllocs()
	for b.Loop() {
		vw.Merge([]Report{{Head: 1, Key: 1, Crash: 2, At: now}}, now)
	}
}
