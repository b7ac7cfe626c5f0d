package canary

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingomast/flamingomast/internal/plat/store"
)

func at(epoch store.Epoch, number int64) store.Revision {
	return store.Revision{Epoch: epoch, Number: number}
}

// TestMerge guards against a decision that is undone by an older one that comes late, from
// another daemon that decides, or from before the store lost its order.
func TestMerge(t *testing.T) {
	base := func(fn func(*Rollout)) *Rollout {
		ro := &Rollout{Order: Order{Service: "s", Target: "v2", Revision: at(1, 7)}, State: InProgress, Seq: 100}
		fn(ro)
		return ro
	}
	for _, tc := range []struct {
		name       string
		older, now func(*Rollout)
	}{
		{"a later decision", func(*Rollout) {}, func(ro *Rollout) { ro.Seq = 101 }},
		{"the end", func(ro *Rollout) { ro.Seq = 900 }, func(ro *Rollout) { ro.State = RolledBack }},
		{"the end that the store has", func(ro *Rollout) { ro.State, ro.Seq = RolledBack, 900 }, func(ro *Rollout) { ro.State, ro.Stored = Complete, true }},
		{"another order", func(ro *Rollout) { ro.State, ro.Stored = Complete, true }, func(ro *Rollout) { ro.Order.Revision = at(1, 8) }},
		{"another epoch", func(ro *Rollout) { ro.State, ro.Stored = Complete, true }, func(ro *Rollout) { ro.Order.Revision = at(2, 3) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			older, now := base(tc.older), base(tc.now)
			for _, order := range [][]*Rollout{{older, now}, {now, older}, {now, now, older}} {
				var vw *View
				for _, ro := range order {
					vw, _ = vw.Merge(ro)
				}
				if vw.Get("s") != now {
					t.Errorf("kept %+v, want %+v", vw.Get("s"), now)
				}
			}
		})
	}
}

// TestMergeOrder: whatever the order in which statements come, all end with the same.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *Rollout {
			return &Rollout{
				Order: Order{Service: "s", Revision: at(store.Epoch(rapid.IntRange(1, 2).Draw(t, "epoch")), rapid.Int64Range(1, 2).Draw(t, "number"))},
				State: State(rapid.IntRange(1, 3).Draw(t, "state")), Stored: rapid.Bool().Draw(t, "stored"), Seq: rapid.Uint64Range(1, 3).Draw(t, "seq"),
			}
		}), 1, 6).Draw(t, "list")
		merge := func(list []*Rollout) *Rollout {
			var vw *View
			for _, ro := range list {
				vw, _ = vw.Merge(ro)
			}
			return vw.Get("s")
		}
		if a, b := merge(list), merge(rapid.Permutation(list).Draw(t, "permutation")); compare(a, b) != 0 {
			t.Fatalf("%+v and %+v", a, b)
		}
	})
}

func TestShareAt(t *testing.T) {
	now := time.Now()
	ro := Rollout{State: InProgress, Share: 0.2, ValidUntil: now.Add(TTL)}
	if got := ro.ShareAt(now); got != 0.2 {
		t.Errorf("share %v", got)
	}
	if got := ro.ShareAt(now.Add(TTL)); got != 0 {
		t.Errorf("share %v once the decision no longer holds", got)
	}
	ro.State = RolledBack
	if got := ro.ShareAt(now); got != 0 {
		t.Errorf("share %v after the end", got)
	}
}

func TestCohortOf(t *testing.T) {
	rollout := func(st State) *Rollout {
		return &Rollout{Order: Order{Service: "s", Target: "v2"}, State: st, Baseline: []string{"v1"}}
	}
	for _, tc := range []struct {
		ro   *Rollout
		want string
	}{
		{nil, "v1 0, v2 0, v3 0,  0"},
		{rollout(InProgress), "v1 0, v2 1, v3 2,  0"},
		{rollout(Complete), "v1 2, v2 0, v3 2,  0"},
		{rollout(RolledBack), "v1 0, v2 2, v3 2,  0"},
		// All servers had the version already: were they idle or got a share, none would serve.
		{&Rollout{Order: Order{Target: "v2"}, State: InProgress}, "v1 0, v2 0, v3 0,  0"},
		{&Rollout{Order: Order{Target: "v2"}, State: RolledBack}, "v1 0, v2 0, v3 0,  0"},
	} {
		got := ""
		for i, software := range []string{"v1", "v2", "v3", ""} {
			if i > 0 {
				got += ", "
			}
			got += fmt.Sprint(software, " ", int(tc.ro.CohortOf(software)))
		}
		if got != tc.want {
			t.Errorf("%+v: %s, want %s", tc.ro, got, tc.want)
		}
	}
}

// TestAdmission guards against requests to servers of a version that nobody ordered yet, and
// against a release without a rollout that never gets any.
func TestAdmission(t *testing.T) {
	start := time.Now()
	type look struct {
		after   time.Duration
		servers map[string]int
		ro      *Rollout
		want    map[string]Cohort
		next    time.Duration
	}
	ordered := func(st State) *Rollout {
		return &Rollout{Order: Order{Service: "s", Target: "v2"}, State: st, Baseline: []string{"v1"}}
	}
	for _, tc := range []struct {
		name  string
		looks []look
	}{
		{"one version", []look{{0, map[string]int{"v1": 3}, nil, nil, 0}}},
		{"a newer one without an order", []look{
			{0, map[string]int{"v1": 3}, nil, nil, 0},
			{time.Second, map[string]int{"v1": 3, "v2": 1}, nil, map[string]Cohort{"v2": Idle}, 6 * time.Second},
			{6 * time.Second, map[string]int{"v1": 3, "v2": 2}, nil, nil, 0},
		}},
		{"the older one goes meanwhile", []look{
			{0, map[string]int{"v1": 1}, nil, nil, 0},
			{time.Second, map[string]int{"v1": 1, "v2": 1}, nil, map[string]Cohort{"v2": Idle}, 6 * time.Second},
			{2 * time.Second, map[string]int{"v2": 1}, nil, nil, 0},
		}},
		{"the order follows", []look{
			{0, map[string]int{"v1": 3}, nil, nil, 0},
			{time.Second, map[string]int{"v1": 3, "v2": 3}, nil, map[string]Cohort{"v2": Idle}, 6 * time.Second},
			{2 * time.Second, map[string]int{"v1": 3, "v2": 3}, ordered(InProgress), map[string]Cohort{"v1": Baseline, "v2": Target}, 0},
			{9 * time.Second, map[string]int{"v1": 3, "v2": 3}, ordered(RolledBack), map[string]Cohort{"v1": Baseline, "v2": Idle}, 0},
		}},
		{"a release without a rollout, after one", []look{
			{0, map[string]int{"v2": 3}, ordered(Complete), map[string]Cohort{"v2": Baseline}, 0},
			{time.Second, map[string]int{"v2": 3, "v3": 1}, ordered(Complete), map[string]Cohort{"v2": Baseline, "v3": Idle}, 6 * time.Second},
			{6 * time.Second, map[string]int{"v2": 2, "v3": 2}, ordered(Complete), map[string]Cohort{"v2": Baseline, "v3": Baseline}, 0},
			{7 * time.Second, map[string]int{"v3": 3}, ordered(Complete), map[string]Cohort{"v3": Baseline}, 0},
		}},
		{"the version that was rolled back comes again", []look{
			{0, map[string]int{"v1": 3}, ordered(RolledBack), map[string]Cohort{"v1": Baseline}, 0},
			{time.Second, map[string]int{"v1": 3, "v2": 1}, ordered(RolledBack), map[string]Cohort{"v1": Baseline, "v2": Idle}, 0},
			{time.Minute, map[string]int{"v1": 3, "v2": 1}, ordered(RolledBack), map[string]Cohort{"v1": Baseline, "v2": Idle}, 0},
		}},
		{"a process that starts while both serve", []look{
			{0, map[string]int{"v1": 3, "v2": 3}, nil, map[string]Cohort{"v2": Idle}, 5 * time.Second},
		}},
		{"servers that do not tell", []look{
			{0, map[string]int{"v1": 3}, nil, nil, 0},
			{time.Second, map[string]int{"v1": 3, "": 1}, nil, nil, 0},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var ad Admission
			for i, lk := range tc.looks {
				got, next := ad.Assign("s", lk.ro, lk.servers, start.Add(lk.after))
				wantNext := time.Time{}
				if lk.next > 0 {
					wantNext = start.Add(lk.next)
				}
				if !maps.Equal(got, lk.want) || !next.Equal(wantNext) {
					t.Errorf("look %d: %v until %v, want %v until %v", i, got, next.Sub(start), lk.want, lk.next)
				}
			}
		})
	}
}
