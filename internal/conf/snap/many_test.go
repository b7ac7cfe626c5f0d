package snap

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/sample"
)

// manyRoutes declares as many routes as the users' largest configuration, where most routes
// receive no requests and a version changes one of them. The first changed routes have another
// deadline.
func manyRoutes(tb testing.TB, changed int) *pack.Content {
	tb.Helper()
	const routes = 1600
	ms := &decl.Mesh{Regions: []decl.Region{{Name: "r"}}, Domains: []decl.Domain{{Name: "d0", Region: "r"}, {Name: "d1", Region: "r"}}}
	for i := range 2 {
		ms.Services = append(ms.Services, decl.Service{Name: fmt.Sprint("s", i), Announced: true, Connections: 1800, Health: "/healthz"})
	}
	for i := range routes {
		rt := decl.Route{
			Name: fmt.Sprintf("r-%d", i), Match: decl.Match{Host: "portal.example", PathPrefix: fmt.Sprintf("/gono%d/x/", i), Literal: true},
			Deadline: decl.Duration(time.Second), Objective: decl.Duration(300 * time.Millisecond), Priority: 1,
			Repeat: decl.RepeatAlways, Attempts: 2, To: []decl.Target{{Service: "s1", Weight: 1}},
		}
		if i < changed {
			rt.Deadline = decl.Duration(2 * time.Second)
		}
		ms.Routes = append(ms.Routes, rt)
	}
	co, err := pack.Encode(ms)
	if err != nil {
		tb.Fatal(err)
	}
	return co
}

// BenchmarkManyRoutes compiles two versions with 1,600 routes that differ in one route.
func BenchmarkManyRoutes(b *testing.B) {
	one := manyRoutes(b, 0)
	two, err := pack.ApplyEncoded(one, pack.Marshal(pack.Diff(one, manyRoutes(b, 1))), manyRoutes(b, 1).Digest)
	if err != nil {
		b.Fatal(err)
	}
	for name, compile := range map[string]func() func(uint64, *pack.Content, string) (*Snapshot, error){
		"alone":   func() func(uint64, *pack.Content, string) (*Snapshot, error) { return Compile },
		"in turn": func() func(uint64, *pack.Content, string) (*Snapshot, error) { return new(Compiler).Compile },
	} {
		b.Run(name, func(b *testing.B) {
			fn := compile()
			b.ReportAllocs()
			for b.Loop() {
				for v, co := range []*pack.Content{one, two} {
					if _, err := fn(uint64(v), co, "d0"); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// TestInTurn: one Compiler must return the same snapshots for successive versions as separate
// calls of Compile, whatever is added, changed or removed between them, also after a version that
// cannot be compiled.
func TestInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cp Compiler
		for v := range rapid.IntRange(2, 6).Draw(t, "versions") {
			ms := sample.Mesh(rapid.IntRange(1, 9).Draw(t, "vms"), 3, rapid.IntRange(1, 5).Draw(t, "services"))
			ms = sample.Change(ms, rapid.IntRange(0, 9).Draw(t, "change"))
			if rapid.IntRange(0, 4).Draw(t, "bad") == 0 {
				ms.Routes = append(ms.Routes, decl.Route{Name: "a-dangling", Match: decl.Match{Host: "h"}, To: []decl.Target{{Service: "gone", Weight: 1}}})
			}
			co, err := pack.Encode(ms)
			if err != nil {
				t.Fatal(err)
			}
			want, werr := Compile(uint64(v), co, "d0")
			got, gerr := cp.Compile(uint64(v), co, "d0")
			if fmt.Sprint(werr) != fmt.Sprint(gerr) {
				t.Fatalf("version %d: error %v, want %v", v, gerr, werr)
			}
			if diff := cmp.Diff(want, got, cmp.AllowUnexported(Snapshot{}, TenantSet{}, Service{}, Route{}, header{})); diff != "" {
				t.Fatalf("version %d (-separate +successive):\n%s", v, diff)
			}
		}
	})
}

// TestCompileAllocates: a version that changes one of 1,600 routes must not decode all of them
// again. Doing so made 4.6 MB of garbage at every daemon for each of 25 versions in five seconds.
func TestCompileAllocates(t *testing.T) {
	one, two := manyRoutes(t, 0), manyRoutes(t, 1)
	var cp Compiler
	n := testing.AllocsPerRun(5, func() {
		for v, co := range []*pack.Content{one, two} {
			if _, err := cp.Compile(uint64(v), co, "d0"); err != nil {
				t.Fatal(err)
			}
		}
	})
	const maxAllocs = 2 * 1600 * 4
	if n > maxAllocs {
		t.Errorf("%v allocations for two versions, want at most %d", n, maxAllocs)
	}
}
