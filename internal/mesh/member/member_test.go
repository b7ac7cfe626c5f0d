package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func drawRecord(t *rapid.T) *Record {
	rc := &Record{
		VM: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm"), Domain: "d",
		Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), Sequence: uint64(rapid.IntRange(1, 3).Draw(t, "sequence")),
		Nonce: uint64(rapid.IntRange(1, 2).Draw(t, "nonce")), Mark: Mark(rapid.IntRange(0, 2).Draw(t, "mark")),
	}
	// What the owner says follows from the numbers of its statement.
	rc.State = State(1 + (rc.Incarnation+rc.Sequence+rc.Nonce)%4)
	return rc
}

func records(vw *View) map[string]Record {
	m := map[string]Record{}
	for rc := range vw.All {
		m[rc.VM] = *rc
	}
	return m
}

// TestMergeOrder: whatever the order in which records come, and however often,
// all observers end with the same ones, and none ever goes back.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 12).Draw(t, "records")
		a, b := &View{}, &View{}
		for _, rc := range list {
			before := a.Get(rc.VM)
			a, _ = a.Merge([]*Record{rc})
			if before != nil && a.Get(rc.VM).Compare(before) < 0 {
				t.Fatalf("%+v gave way to %+v", before, a.Get(rc.VM))
			}
		}
		for _, i := range rapid.Permutation(indexes(len(list))).Draw(t, "order") {
			b, _ = b.Merge([]*Record{list[i], list[i]})
		}
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(list)-1)).Draw(t, "again") {
			b, _ = b.Merge([]*Record{list[i]})
		}
		if diff := cmp.Diff(records(a), records(b)); diff != "" {
			t.Fatalf("two observers differ:\n%s", diff)
		}
		if a.Hashes["d"] != b.Hashes["d"] {
			t.Fatal("equal views with different hashes")
		}
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// TestHash: views that differ in one record have different hashes, or repair
// would not see it.
func TestHash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rc, other := drawRecord(t), drawRecord(t)
		a, _ := (&View{}).Merge([]*Record{rc})
		b, _ := (&View{}).Merge([]*Record{other})
		if (a.Hashes["d"] == b.Hashes["d"]) != (cmp.Diff(records(a), records(b)) == "") {
			t.Fatalf("%+v and %+v have hashes %x and %x", rc, other, a.Hashes["d"], b.Hashes["d"])
		}
	})
}

func TestWire(t *testing.T) {
	rc := &Record{
		VM: "a", Domain: "d", Incarnation: 1, Sequence: 2, Nonce: 3, Mark: MarkSilent, State: StateServing, Service: "s",
		Slots: 4, Inlet: "i", Control: "c", Since: time.UnixMilli(5),
	}
	if diff := cmp.Diff(rc, FromWire(rc.ToWire())); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(&Record{}, FromWire(nil)); diff != "" {
		t.Errorf("a missing record (-want +got):\n%s", diff)
	}
}

func TestWithout(t *testing.T) {
	vw, _ := (&View{}).Merge([]*Record{
		{VM: "live", State: StateServing}, {VM: "gone", State: StateServing, Mark: MarkGone}, {VM: "kept", State: StateLeft},
	})
	next := vw.WithoutDead(func(vm string) bool { return vm != "kept" })
	if next.Get("live") == nil || next.Get("gone") != nil || next.Get("kept") == nil {
		t.Errorf("left are %v", records(next))
	}
}

func fleet(n int) []*Record {
	var list []*Record
	for i := range n {
		list = append(list, &Record{VM: fmt.Sprintf("vm-%03d", i), Domain: fmt.Sprint("d", i%5), Incarnation: 1, Sequence: 1, State: StateServing})
	}
	return list
}

func BenchmarkMerge(b *testing.B) {
	vw, _ := (&View{}).Merge(fleet(790))
	b.Run("one-of-790", func(b *testing.B) {
		b.ReportAllocs()
		for i := uint64(2); b.Loop(); i++ {
			vw.Merge([]*Record{{VM: "vm-007", Domain: "d2", Incarnation: 1, Sequence: i}})
		}
	})
	b.Run("790-at-once", func(b *testing.B) {
		list := fleet(790)
		b.ReportAllocs()
		for b.Loop() {
			(&View{}).Merge(list)
		}
	})
}
