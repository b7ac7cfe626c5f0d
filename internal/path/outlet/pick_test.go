package outlet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/sample"
	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/path/pick"
)

// sized is a compiled sample with a record for each of its VMs.
func sized(tb testing.TB, vms, services int) (*snap.Snapshot, *member.View) {
	tb.Helper()
	ms := sample.Mesh(vms, 5, services)
	co, err := pack.Encode(ms)
	if err != nil {
		tb.Fatal(err)
	}
	sn, err := snap.Compile(1, co, "d0")
	if err != nil {
		tb.Fatal(err)
	}
	var recs []*member.Record
	for _, vm := range ms.VMs {
		recs = append(recs, &member.Record{
			VM: vm.Name, Domain: vm.Domain, Service: vm.Service, State: member.StateServing,
			Incarnation: 1, Sequence: 1, Inlet: "10.0.0.1:1", Slots: 10,
		})
	}
	vw, _ := (&member.View{}).Merge(recs)
	return sn, vw
}

func pickTable(tb testing.TB, vms, services int) (*pick.Table, *snap.Service) {
	sn, vw := sized(tb, vms, services)
	return pick.Build(sn, pick.Fleet{Members: vw, Self: "outlet"}, nil), sn.Services["service-1"]
}

// TestPickAllocates: picking is on the path of each request.
func TestPickAllocates(t *testing.T) {
	table, sv := pickTable(t, 790, 73)
	now := time.Now()
	var tried pick.Tried
	if n := testing.AllocsPerRun(100, func() { table.Group(sv).Pick(now, pick.Criteria{Size: 1000}, &tried, fixed) }); n > 0 {
		t.Errorf("%v allocations a pick", n)
	}
}

func fixed(n int) int { return n / 2 }

func BenchmarkPick(b *testing.B) {
	for _, services := range []int{2, 73, 700} {
		table, sv := pickTable(b, 790, services)
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			b.ReportAllocs()
			now := time.Now()
			i := 0
			next := func(n int) int { i++; return i % n }
			for b.Loop() {
				var tried pick.Tried
				if table.Group(sv).Pick(now, pick.Criteria{Size: 1000}, &tried, next) == nil {
					b.Fatal("no server")
				}
			}
		})
	}
}

func BenchmarkBuild(b *testing.B) {
	sn, vw := sized(b, 790, 73)
	var tb *pick.Table
	b.ReportAllocs()
	for b.Loop() {
		tb = pick.Build(sn, pick.Fleet{Members: vw, Self: "outlet"}, tb)
	}
}
