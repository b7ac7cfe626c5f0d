package decl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/flamingomast/flamingomast/internal/conf/strict"
)

// validBase declares one region, failure domain, class, service and VM, and is valid.
const validBase = `regions: [{name: vale-sul}]
failure-domains: [{name: centro, region: vale-sul}]
classes: [{name: lookup, share: 60}]
services: [{name: booking, port: 9001, slots: 10}]
vms: [{name: centro-1, failure-domain: centro, service: booking}]
`

func TestBadDeclarations(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       []string
	}{
		{"invalid YAML", "regions: [", []string{`m.yaml:1: not YAML: did not find expected node content; fix the syntax on that line`}},
		{"unknown key", "servics: []", []string{`m.yaml:1:1: unknown key "servics"; did you mean "services"?`}},
		{"unknown inner key", "regions: [{name: a, zone: b}]", []string{`m.yaml:1:21: unknown key "zone"; known are name`}},
		{"repeated key", "regions: []\nregions: []", []string{`m.yaml:2:1: key "regions" is already on line 1; remove one of the two`}},
		{"not a list", "regions: x", []string{`m.yaml:1:10: regions must be a list, not "x"; start each entry with "- "`}},
		{"repeated list", validBase + "#\nservices: []", []string{`m.yaml:7:1: key "services" is already on line 4; remove one of the two`}},
		{"number as text", strings.Replace(validBase, "slots: 10", "slots: ten", 1), []string{
			`m.yaml:4:47: slots must be a whole number, not "ten"`,
			`m.yaml:4:12: service "booking" has slots 0; set it from 1 to 10000`,
		}},
		{"alias", "regions: [&a {name: x}, *a]", []string{
			`m.yaml:1:11: an entry of regions must be written out, not a mapping; anchors and aliases are not read`,
			`m.yaml:1:25: an entry of regions must be written out, not an alias; anchors and aliases are not read`,
		}},
		{"second document", validBase + "---\nregions: []", []string{`m.yaml:6:1: a second document; keep one document in a file`}},
		{"bad name", "regions: [{name: Vale Sul}]", []string{
			`m.yaml:1:11: region name "Vale Sul" is not allowed; set "name" to 1 to 63 of a-z, 0-9, "-" and ".", with a letter or digit at both ends`,
		}},
		{"declared twice", validBase + "routes: []\n" + "placements: [{service: booking, order: [own], spill: true}, {service: booking, order: [own], spill: true}]", []string{
			`m.yaml:7:61: the placement of "booking" is already declared at m.yaml:7:14; remove one of the two`,
		}},
		{"dangling region", strings.Replace(validBase, "region: vale-sul}", "region: vale-su}", 1), []string{
			`m.yaml:2:19: failure domain "centro" names the region "vale-su", which is not declared; did you mean "vale-sul"?`,
		}},
		{"dangling service", validBase + "routes: [{name: r, match: {host: h}, to: [{service: orders, weight: 1}]}]", []string{
			`m.yaml:6:43: route "r" names the service "orders", which is not declared; known are booking`,
		}},
		{"dangling class", validBase + "routes: [{name: r, match: {host: h}, class: x, to: [{service: booking, weight: 1}]}]", []string{
			`m.yaml:6:10: route "r" names the class "x", which is not declared; known are lookup`,
		}},
		{"shares above 100", strings.Replace(validBase, "share: 60}", "share: 60}, {name: confirm, share: 50}", 1), []string{
			`m.yaml:3:38: with class "confirm" the shares add up to 110 percent; lower the shares until they add up to 100 or less`,
		}},
		{"no weight", validBase + "routes: [{name: r, match: {host: h}, to: [{service: booking, weight: 0}]}]", []string{
			`m.yaml:6:10: route "r" has weights that add up to 0; give one target a weight of 1 or more`,
		}},
		{"no targets", validBase + "routes: [{name: r, match: {host: h}, to: []}]", []string{
			`m.yaml:6:10: route "r" has no targets; list one service or more in "to"`,
		}},
		{"shadowed route", validBase + `routes:
- {name: a, match: {host: h, path-prefix: /x, methods: [GET, POST]}, to: [{service: booking, weight: 1}]}
- {name: b, match: {host: h, path-prefix: /x, methods: [POST]}, to: [{service: booking, weight: 1}]}`, []string{
			`m.yaml:8:3: route "b" is shadowed in whole or in part: route "a" at m.yaml:7:3 matches the same requests; remove one of the two, or make them differ in path-prefix, methods or headers`,
		}},
		{"bad match", validBase + "routes: [{name: r, match: {host: \"H:80\", path-prefix: x, methods: [get], headers: {Host: y}}, to: [{service: booking, weight: 1}]}]", []string{
			`m.yaml:6:27: route "r" matches the host "H:80"; set match.host to the host name that callers use, in lower case and without a port`,
			`m.yaml:6:27: route "r" has the path prefix "x"; begin it with "/"`,
			`m.yaml:6:27: route "r" matches the method "get"; write methods in upper case, such as GET or POST; CONNECT is not supported`,
			`m.yaml:6:27: route "r" matches the header "Host"; name a header other than Host, without spaces`,
		}},
		{"shared key", validBase + "tenants:\n- {name: a, keys: [0123456789abcdef-key]}\n- {name: b, keys: [0123456789abcdef-other, 0123456789abcdef-key]}", []string{
			`m.yaml:8:3: key 2 of tenant "b" is already declared for tenant "a" at m.yaml:7:3; give each key to one tenant, once`,
		}},
		{"key twice", validBase + "tenants: [{name: a, keys: [0123456789abcdef-key, 0123456789abcdef-key]}]", []string{
			`m.yaml:6:11: key 2 of tenant "a" is already declared for tenant "a" at m.yaml:6:11; give each key to one tenant, once`,
		}},
		{"key and its digest", validBase + "tenants: [{name: a, keys: [0123456789abcdef-key, \"" + HashKey("0123456789abcdef-key").String() + "\"]}]", []string{
			`m.yaml:6:11: key 2 of tenant "a" is already declared for tenant "a" at m.yaml:6:11; give each key to one tenant, once`,
		}},
		{"short key", validBase + "tenants: [{name: a, keys: [SECRET]}]", []string{
			`m.yaml:6:28: an entry of keys: an API key has 6 bytes; use 16 to 256`,
		}},
		{"key with a space", validBase + "tenants: [{name: a, keys: [SECRET SECRET SECRET]}]", []string{
			`m.yaml:6:28: an entry of keys: an API key contains a space or another character that a header cannot carry`,
		}},
		{"bad digest", validBase + "tenants: [{name: a, keys: [\"sha256:SECRET\"]}]", []string{
			`m.yaml:6:28: an entry of keys: "sha256:" must be followed by the 64 hexadecimal digits of a digest`,
		}},
		{"key in place of a list", validBase + "tenants: [{name: a, keys: SECRET}]", []string{
			`m.yaml:6:27: keys must be a list, not a single value; start each entry with "- "`,
		}},
		{"key in place of a tenant", validBase + "tenants: [SECRET]", []string{
			`m.yaml:6:11: an entry of tenants must be a mapping, not a single value; write it as "key: value"`,
		}},
		{"negative rate", validBase + "tenants: [{name: a, rate: -1}]", []string{
			`m.yaml:6:11: tenant "a" has rate -1; set it from 0 to 10000000`,
		}},
		{"rate without a number", validBase + "tenants: [{name: a, rate: .nan}]", []string{
			`m.yaml:6:27: rate must be a number, not ".nan"`,
		}},
		{"burst without a rate", validBase + "tenants: [{name: a, burst: 10}]", []string{
			`m.yaml:6:11: tenant "a" has a burst without a rate; set a rate, or leave out the burst`,
		}},
		{"bad priority", validBase + "tenants: [{name: a, priority: 101}]", []string{
			`m.yaml:6:11: tenant "a" has priority 101; set it from 0 to 100`,
		}},
		{"bad repeat", validBase + "routes: [{name: r, match: {host: h}, repeat: maybe, to: [{service: booking, weight: 1}]}]", []string{
			`m.yaml:6:10: route "r" has repeat "maybe"; set it to safe, never or always`,
		}},
		{"bad duration", validBase + "routes: [{name: r, match: {host: h}, deadline: 2 s, to: [{service: booking, weight: 1}]}]", []string{
			`m.yaml:6:48: deadline: "2 s" is not a duration; write it as 500ms, 2s or 1m`,
		}},
		{"long deadline", validBase + "routes: [{name: r, match: {host: h}, deadline: 1h, to: [{service: booking, weight: 1}]}]", []string{
			`m.yaml:6:10: route "r" has a deadline of 1h0m0s; set it to 10m0s at most`,
		}},
		{"few connections", strings.Replace(validBase, "slots: 10", "slots: 10, connections: 5", 1), []string{
			`m.yaml:4:12: service "booking" has 5 connections for 10 slots; give it as many connections as slots or more`,
		}},
		{"bad order", validBase + "placements: [{service: booking, order: [own, norte, own], spill: true}]", []string{
			`m.yaml:6:14: the placement of "booking" names the failure domain "norte", which is not declared; known are centro`,
			`m.yaml:6:14: the placement of "booking" names "own" twice; remove one of the two`,
		}},
		{"reserved name", strings.Replace(validBase, "{name: centro,", "{name: own, region: vale-sul}, {name: centro,", 1), []string{
			`m.yaml:2:19: failure domain "own" has a name that is a keyword of placement orders; rename it`,
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, prs := Parse(map[string][]byte{"m.yaml": []byte(tc.text)})
			var got []string
			for _, pr := range prs {
				got = append(got, pr.Error())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLargeFile: a file above the size limit is rejected before it is read, and the others are
// still checked.
func TestLargeFile(t *testing.T) {
	dir := t.TempDir()
	large, small := filepath.Join(dir, "large.yaml"), filepath.Join(dir, "small.yaml")
	if err := os.WriteFile(large, make([]byte, MaxFileSize+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(small, []byte("regoins: []"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Read(dir)
	want := large + ": the file has 1048577 bytes, more than 1048576; make it readable, or split it\n" +
		small + `:1:1: unknown key "regoins"; did you mean "regions"?`
	if err == nil || err.Error() != want {
		t.Errorf("Read: %v\nwant %s", err, want)
	}
}

// TestExamples reads the declarations of both example deployments.
func TestExamples(t *testing.T) {
	for _, dir := range []string{"vale-sul", "apuseni"} {
		ms, err := Read(filepath.Join("..", "..", "..", "examples", dir))
		if err != nil {
			t.Errorf("%s: %v", dir, err)
			continue
		}
		if len(ms.Domains) != 3 || len(ms.Services) != 2 {
			t.Errorf("%s: %d failure domains, %d services", dir, len(ms.Domains), len(ms.Services))
		}
	}
}

func drawMesh(t *rapid.T) *Mesh {
	name := rapid.StringMatching(`[a-z][a-z0-9-]{0,8}[a-z0-9]`)
	ms := &Mesh{Regions: []Region{{Name: "true"}}, Domains: []Domain{{Name: "d", Region: "true"}}}
	ms.Services = []Service{{
		Name: name.Draw(t, "service"), Port: rapid.IntRange(1, 65535).Draw(t, "port"), Slots: rapid.IntRange(1, 100).Draw(t, "slots"),
		Deadline: Duration(rapid.IntRange(0, 1000).Draw(t, "deadline")) * Duration(time.Millisecond),
	}}
	for _, n := range rapid.SliceOfNDistinct(name, 0, 5, rapid.ID).Draw(t, "vms") {
		ms.VMs = append(ms.VMs, VM{Name: n, Domain: "d", Service: ms.Services[0].Name})
	}
	for _, n := range rapid.SliceOfNDistinct(name, 0, 5, rapid.ID).Draw(t, "routes") {
		ms.Routes = append(ms.Routes, Route{
			Name: n, Match: Match{Host: n, Headers: map[string]string{"X-A": rapid.StringMatching(`[ -~]{0,9}`).Draw(t, "value")}},
			To: []Target{{Service: ms.Services[0].Name, Weight: rapid.IntRange(1, 9).Draw(t, "weight")}},
		})
	}
	return ms
}

// TestCanonicalForm: the output of Print is parsed as the same mesh, and printing that mesh gives
// the same output.
func TestCanonicalForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := drawMesh(t)
		text, err := Print(ms)
		if err != nil {
			t.Fatal(err)
		}
		back, prs := Parse(map[string][]byte{"m.yaml": text})
		if len(prs) > 0 {
			t.Fatalf("%v\n%s", prs, text)
		}
		ms.Sort()
		if diff := cmp.Diff(ms, back, cmpopts.IgnoreTypes(strict.Pos{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("(-want +got):\n%s\n%s", diff, text)
		}
		if again, _ := Print(back); string(again) != string(text) {
			t.Fatalf("printed\n%s\nthen\n%s", text, again)
		}
	})
}

// FuzzParse: for any input, Parse returns problems or a mesh that passes Check, and never panics.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validBase))
	f.Add([]byte("vms: [{name: [}]"))
	f.Add([]byte("a: &x [*x]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ms, prs := Parse(map[string][]byte{"f.yaml": data})
		if len(prs) == 0 && len(Check(ms)) > 0 {
			t.Error("parsed without a problem, but fails the check")
		}
	})
}
