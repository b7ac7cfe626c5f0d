package poison

import (
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingomast/flamingomast/internal/path/ident"
)

// TestCases plays orders of ends and answers. A lookup that many callers make is at
// every server that ends, and its answers show that it is not the cause; the request that
// is the cause is never answered.
func TestCases(t *testing.T) {
	const same, other ident.Key = 1, 2
	began := time.Unix(1_000_000, 0)
	asks := httptest.NewRequest("GET", "http://booking/visits/7", nil)
	heads := map[ident.Key]uint64{same: ident.HeaderHash(asks), other: 2}
	end := func(key ident.Key, en CrashID, after time.Duration) Report {
		return Report{Head: heads[key], Key: key, Crash: en, At: began.Add(after)}
	}
	answered := func(re Report) Report { re.Answered = true; return re }
	for _, tc := range []struct {
		name    string
		reports []Report
		after   time.Duration
		ends    int
		refused bool
	}{
		{"nothing known", nil, 0, 0, false},
		{"two servers", []Report{end(same, 1, 0), end(same, 2, 0)}, 0, 2, false},
		{"three servers", []Report{end(same, 1, 0), end(same, 2, 0), end(same, 3, 0)}, 0, 3, true},
		{"one server, told three times", []Report{end(same, 1, 0), end(same, 1, 0), end(same, 1, time.Second)}, 0, 1, false},
		{"three servers under two requests", []Report{end(same, 1, 0), end(other, 2, 0), end(same, 3, 0)}, 0, 2, false},
		{"answered between", []Report{end(same, 1, 0), end(same, 2, 0), answered(end(same, 1, 0)), answered(end(same, 2, 0)), end(same, 3, 0)}, 0, 1, false},
		{"an answer that comes before the end", []Report{answered(end(same, 1, 0)), end(same, 1, 0), end(same, 2, 0), end(same, 3, 0)}, 0, 2, false},
		{"answered after three", []Report{end(same, 1, 0), end(same, 2, 0), end(same, 3, 0), answered(end(same, 1, 0))}, 0, 2, false},
		{"tried again after a time", []Report{end(same, 1, 0), end(same, 2, 0), end(same, 3, 0)}, refuseFor, 3, false},
		{"and ends another one", []Report{end(same, 1, 0), end(same, 2, 0), end(same, 3, 0), end(same, 4, refuseFor)}, refuseFor, 4, true},
		{"forgotten", []Report{end(same, 1, 0), end(same, 2, 0), end(same, 3, 0), end(other, 4, keepFor)}, keepFor, 0, false},
		{"told too late", []Report{end(same, 1, -keepFor), end(same, 2, 0)}, 0, 1, false},
		{"a clock ahead", []Report{end(same, 1, time.Hour), end(same, 2, time.Hour), end(same, 3, time.Hour)}, refuseFor, 3, false},
	} {
		var vw *View
		for _, re := range tc.reports {
			now := re.At
			if tc.name == "a clock ahead" || now.Before(began) {
				now = began
			}
			vw, _ = vw.Merge([]Report{re}, now)
		}
		now := began.Add(tc.after)
		if got := vw.CrashCount(same); got != tc.ends || vw.Refuses(same, now, 0) != tc.refused || vw.Suspects(asks) != (tc.ends > 0) {
			t.Errorf("%s: %d ends, refused %t, suspected %t; want %d and %t", tc.name, got, vw.Refuses(same, now, 0), vw.Suspects(asks), tc.ends, tc.refused)
		}
	}
}

// TestAnyOrder: reports cross each other on the way between daemons. Whatever the order
// in which they come, and how often, all daemons refuse the same requests, and what is no
// news is not passed on again, for otherwise it would go round for ever.
func TestAnyOrder(t *testing.T) {
	began := time.Unix(1_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
			key := rapid.Uint64Range(1, 4).Draw(t, "key")
			en := rapid.Uint64Range(1, maxEnds).Draw(t, "end")
			return Report{Head: key, Key: ident.Key(key), Crash: CrashID(en), At: began.Add(time.Duration(en) * time.Second), Answered: rapid.Bool().Draw(t, "answered")}
		}), 0, 40).Draw(t, "reports")
		now := began.Add(time.Minute)
		one, _ := (*View)(nil).Merge(list, now)
		var two *View
		for _, re := range rapid.Permutation(list).Draw(t, "order") {
			two, _ = two.Merge([]Report{re, re}, now)
		}
		for key := range ident.Key(5) {
			if one.CrashCount(key) != two.CrashCount(key) {
				t.Fatalf("request %d: %d and %d ends", key, one.CrashCount(key), two.CrashCount(key))
			}
		}
		if _, news := two.Merge(one.Reports(maxCases), now); len(news) > 0 {
			t.Fatalf("news to the one that heard the same: %v", news)
		}
	})
}

// TestBounds: every server ends again and again, each time under other requests. What is
// kept stays bounded, and the request that ended most servers is not displaced.
func TestBounds(t *testing.T) {
	began := time.Unix(1_000_000, 0)
	var vw *View
	for en := range CrashID(2 * maxEnds) {
		vw, _ = vw.Merge([]Report{{Head: 1, Key: 1, Crash: en, At: began.Add(time.Duration(en) * time.Second)}}, began.Add(time.Hour/2))
	}
	for i := range 4 * maxCases {
		vw, _ = vw.Merge([]Report{{Head: 2, Key: ident.Key(i + 2), Crash: 1, At: began.Add(time.Hour / 2)}}, began.Add(time.Hour/2))
	}
	if got := vw.CrashCount(1); got != maxEnds {
		t.Errorf("%d ends are kept of the worst request, want %d", got, maxEnds)
	}
	if suspected, refused := vw.Counts(); suspected != maxCases || refused != 1 {
		t.Errorf("%d requests are kept and %d refused, want %d and 1", suspected, refused, maxCases)
	}
	told := vw.Reports(10)
	if n := len(slices.CompactFunc(told, func(a, b Report) bool { return a.Key == b.Key })); n != 10 || told[0].Key != 1 {
		t.Errorf("one that starts is told of %d requests, the first %v; want 10, the worst first", n, told[0].Key)
	}
}

// BenchmarkMerge is the price of one end that a daemon hears of, with as much in mind as
// there may be.
func BenchmarkMerge(b *testing.B) {
	now := time.Now()
	var vw *View
	var list []Report
	for i := range maxCases {
		list = append(list, Report{Head: uint64(i), Key: ident.Key(i), Crash: 1, At: now})
	}
	vw, _ = vw.Merge(list, now)
	b.ReportAllocs()
	for b.Loop() {
		vw.Merge([]Report{{Head: 1, Key: 1, Crash: 2, At: now}}, now)
	}
}
