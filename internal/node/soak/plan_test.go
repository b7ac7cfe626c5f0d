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
