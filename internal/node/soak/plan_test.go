package soak

import (
	"slices"
	"testing"
	"time"
)

// TestDraw: one seed gives one plan, whose steps are in order and within the run.
func TestDraw(t *testing.T) {
	const length = 20 * time.Second
	for seed := range uint64(50) {
		plan := Draw(seed, 6, length)
		if !slices.Equal(plan, Draw(seed, 6, length)) {
			t.Fatalf("seed %d gives two plans", seed)
		}
		kinds := map[Kind]int{}
		for i, st := range plan {
			kinds[st.Kind]++
			if st.At < 0 || st.At >= length || i > 0 && st.At < plan[i-1].At || st.VM < 0 || st.VM >= 6 {
				t.Errorf("seed %d, step %d: %s", seed, i, st)
			}
		}
		if kinds[RollGood]+kinds[RollBad] != 1 || kinds[CopyPlatform] != 1 || kinds[OlderPlatform] != 1 {
			t.Errorf("seed %d: %v", seed, kinds)
		}
	}
}

// TestDrawPlanned guards against faults among what operators do, and against plans without
// stops that overlap.
func TestDrawPlanned(t *testing.T) {
	const length = 20 * time.Second
	overlaps := 0
	for seed := range uint64(50) {
		plan := DrawPlanned(seed, 9, length)
		if !slices.Equal(plan, DrawPlanned(seed, 9, length)) {
			t.Fatalf("seed %d gives two plans", seed)
		}
		var last time.Duration
		for i, st := range plan {
			if !slices.Contains(planned, st.Kind) || st.At >= length || i > 0 && st.At < plan[i-1].At || st.VM < 0 || st.VM >= 9 {
				t.Errorf("seed %d, step %d: %s", seed, i, st)
			}
			if st.Kind == StopDaemon {
				if last > 0 && st.At-last < seriesGap {
					overlaps++
				}
				last = st.At
			}
		}
	}
	if overlaps < 50 {
		t.Errorf("%d stops within %s of the one before, in 50 plans", overlaps, seriesGap)
	}
}

// TestBoard guards against a check that saw no case and passes.
func TestBoard(t *testing.T) {
	bo := newBoard(WholeAnswer, AtMostOnce)
	bo.note(WholeAnswer, "")
	bo.note(Exposure, "not part of the run")
	bo.add(NeverOlder)
	bo.note(NeverOlder, "vm-0 holds version 1 after version 2")
	var failed []Check
	for _, re := range bo.list() {
		if len(re.Failures) > 0 {
			failed = append(failed, re.Check)
		}
	}
	if want := []Check{AtMostOnce, NeverOlder}; !slices.Equal(failed, want) {
		t.Errorf("failed %v, want %v", failed, want)
	}
}

// TestLedger guards against checks of requests that overlook what they are for.
func TestLedger(t *testing.T) {
	var le ledger
	for _, id := range []string{"once", "twice", "twice", "refused"} {
		le.ran(id, false)
	}
	le.told("once", true, false)
	le.told("twice", true, false)
	le.told("refused", false, true)
	le.told("lost", true, true)
	bo := newBoard(AtMostOnce)
	le.check(bo)
	for _, re := range bo.list() {
		if len(re.Failures) != 1 || re.Cases != 2 {
			t.Errorf("%+v, want one failure of two cases", re)
		}
	}
}

// TestStops guards against a check of stops that counts what is no loss, or passes one over.
func TestStops(t *testing.T) {
	began := time.Now()
	at := func(s int) time.Time { return began.Add(time.Duration(s) * time.Second) }
	stopped, other := &vm{name: "stopped"}, &vm{name: "other"}
	for _, tc := range []struct {
		name   string
		as     asked
		faults []*span
		ran    bool
		cases  int
		failed bool
	}{
		{"answered", asked{vm: stopped, began: at(11), end: at(12)}, nil, true, 1, false},
		{"lost", asked{vm: stopped, began: at(11), end: at(12), failure: "EOF"}, nil, true, 1, true},
		{"lost and never run", asked{vm: stopped, began: at(11), end: at(12), failure: "EOF"}, nil, false, 0, false},
		{"lost when its time was over", asked{vm: stopped, began: at(11), end: at(11).Add(callTimeout), failure: "504"}, nil, true, 0, false},
		{"answered late", asked{vm: stopped, began: at(11), end: at(14)}, nil, true, 1, false},
		{"at another VM", asked{vm: other, began: at(11), end: at(12), failure: "EOF"}, nil, true, 0, false},
		{"before the stop", asked{vm: stopped, began: at(9), end: at(12), failure: "EOF"}, nil, true, 0, false},
		{"a fault beside", asked{vm: stopped, began: at(11), end: at(12), failure: "EOF"}, []*span{{from: at(11)}}, true, 0, false},
		{"a fault shortly before", asked{vm: stopped, began: at(11), end: at(12), failure: "EOF"}, []*span{{from: at(1), to: at(9)}}, true, 0, false},
		{"a fault long before", asked{vm: stopped, began: at(11), end: at(12), failure: "EOF"}, []*span{{from: at(1), to: at(7)}}, true, 1, true},
		{"a fault later", asked{vm: stopped, began: at(11), end: at(12), failure: "EOF"}, []*span{{from: at(13)}}, true, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ss := stops{spans: map[*vm][]*span{stopped: {{from: at(10), to: at(15)}}}, faults: tc.faults}
			ss.add(tc.as)
			bo := newBoard()
			ss.check(bo, func(string) bool { return tc.ran })
			cases, failed := 0, false
			for _, re := range bo.list() {
				cases, failed = re.Cases, len(re.Failures) > 0
			}
			if cases != tc.cases || failed != tc.failed {
				t.Errorf("%d cases, failed %t; want %d, %t", cases, failed, tc.cases, tc.failed)
			}
		})
	}
}
