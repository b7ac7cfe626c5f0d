package snap

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/sample"
)

const testConfig = `
regions: [{name: north}, {name: south}]
failure-domains: [{name: a, region: north}, {name: b, region: north}, {name: c, region: south}]
classes: [{name: confirm, share: 50}, {name: lookup, share: 20}]
services:
- {name: booking, port: 1, slots: 1, class: lookup, deadline: 3s}
- {name: canary, port: 1, slots: 1}
- {name: portal, port: 1, slots: 1}
routes:
- {name: all, match: {host: x.example}, to: [{service: booking, weight: 90}, {service: canary, weight: 10}]}
- {name: visits, match: {host: x.example, path-prefix: /visits/}, to: [{service: booking, weight: 1}], class: confirm, deadline: 1s}
- {name: visits-post, match: {host: x.example, path-prefix: /visits, methods: [POST]}, to: [{service: booking, weight: 1}], repeat: never}
- {name: beta, match: {host: x.example, headers: {x-beta: "1"}}, to: [{service: canary, weight: 1}]}
placements:
- {service: booking, order: [own, b, any], spill: true}
- {service: canary, order: [c], spill: false}
`

func compile(t testing.TB, text, domain string) *Snapshot {
	t.Helper()
	ms, prs := decl.Parse(map[string][]byte{"t.yaml": []byte(text)})
	if len(prs) > 0 {
		t.Fatal(prs)
	}
	co, err := pack.Encode(ms)
	if err != nil {
		t.Fatal(err)
	}
	sn, err := Compile(1, co, domain)
	if err != nil {
		t.Fatal(err)
	}
	return sn
}

func TestMatch(t *testing.T) {
	sn := compile(t, testConfig, "a")
	for _, tc := range []struct {
		method, host, path, beta, want string
	}{
		{"GET", "x.example", "/", "", "all"},
		{"GET", "X.Example:8080", "/", "", "all"},
		{"GET", "x.example", "/visits", "", "visits"},
		{"GET", "x.example", "/visits/7", "", "visits"},
		{"GET", "x.example", "/visitsx", "", "all"},
		{"POST", "x.example", "/visits/7", "", "visits-post"},
		{"POST", "x.example", "/visits/7", "1", "visits-post"},
		{"GET", "x.example", "/menu", "1", "beta"},
		{"GET", "x.example", "/menu", "2", "all"},
		{"GET", "portal", "/anything", "", "service portal"},
		{"GET", "portal:1", "/", "", "service portal"},
		{"GET", "y.example", "/", "", ""},
		{"GET", "", "/", "", ""},
		{"GET", "[::1]:80", "/", "", ""},
	} {
		hdr := http.Header{}
		if tc.beta != "" {
			hdr.Set("X-Beta", tc.beta)
		}
		got := ""
		if rt := sn.Match(tc.method, tc.host, tc.path, hdr); rt != nil {
			got = rt.Name
		}
		if got != tc.want {
			t.Errorf("%s %s%s beta=%q: route %q, want %q", tc.method, tc.host, tc.path, tc.beta, got, tc.want)
		}
	}
}

func TestCompile(t *testing.T) {
	sn := compile(t, testConfig, "a")
	for name, want := range map[string][][]string{"booking": {{"a"}, {"b"}, {"c"}}, "canary": {{"c"}}, "portal": {{"a"}, {"b"}, {"c"}}} {
		if diff := cmp.Diff(want, sn.Services[name].Tiers); diff != "" {
			t.Errorf("tiers of %s (-want +got):\n%s", name, diff)
		}
	}
	rt := sn.Match("GET", "x.example", "/", nil)
	counts := map[string]int{}
	for draw := range rt.TotalWeight() {
		counts[rt.Target(draw).Name]++
	}
	if diff := cmp.Diff(map[string]int{"booking": 90, "canary": 10}, counts); diff != "" {
		t.Errorf("shares (-want +got):\n%s", diff)
	}
	if rt.Class.Name != "lookup" || rt.Deadline.String() != "3s" || rt.Repeat != decl.RepeatSafe {
		t.Errorf("route %+v does not inherit the defaults of its service", rt)
	}
}

// TestRefusedWhole: a version with a dangling route must be rejected entirely, even if another
// release accepted it.
func TestRefusedWhole(t *testing.T) {
	ms := &decl.Mesh{Routes: []decl.Route{{Name: "r", Match: decl.Match{Host: "h"}, To: []decl.Target{{Service: "gone", Weight: 1}}}}}
	co, err := pack.Encode(ms)
	if err != nil {
		t.Fatal(err)
	}
	sn, err := Compile(7, co, "a")
	if sn != nil || err == nil || !strings.Contains(err.Error(), `version 7 cannot be compiled: route/r: route "r" names the service "gone"`) {
		t.Errorf("Compile: %v, %v", sn, err)
	}
}

// compileSample compiles a sample of the given size.
func compileSample(t testing.TB, vms, services int) *Snapshot {
	t.Helper()
	co, err := pack.Encode(sample.Mesh(vms, 5, services))
	if err != nil {
		t.Fatal(err)
	}
	sn, err := Compile(1, co, "d0")
	if err != nil {
		t.Fatal(err)
	}
	return sn
}

// TestMatchAllocations: Match runs for each request, so it must not allocate.
func TestMatchAllocations(t *testing.T) {
	sn := compileSample(t, 10, 73)
	hdr := http.Header{}
	if n := testing.AllocsPerRun(100, func() { sn.Match("POST", "service-7.example:80", "/confirm/1", hdr) }); n > 0 {
		t.Errorf("%v allocations per match, want 0", n)
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, services := range []int{2, 73, 730} {
		sn := compileSample(b, 10, services)
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				sn.Match("POST", "service-1.example:80", "/confirm/1", nil)
			}
		})
	}
}

func BenchmarkCompile(b *testing.B) {
	co, err := pack.Encode(sample.Mesh(790, 5, 73))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Compile(1, co, "d0"); err != nil {
			b.Fatal(err)
		}
	}
}
