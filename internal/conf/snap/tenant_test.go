package snap

import (
	"fmt"
	"strings"
	"testing"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/sample"
)

func testKeyOf(tenant, n int) string { return fmt.Sprintf("key-%d-of-tenant-%06d", n, tenant) }

// withTenants declares tenants with two keys each; the second key of the first changed ones differs.
func withTenants(tb testing.TB, tenants, changed int) *pack.Content {
	tb.Helper()
	ms := sample.Mesh(9, 3, 3)
	for i := range tenants {
		second := testKeyOf(i, 1)
		if i < changed {
			second = testKeyOf(i, 2)
		}
		ms.Tenants = append(ms.Tenants, decl.Tenant{
			Name: fmt.Sprintf("tenant-%06d", i), Rate: 10, Burst: 5, Keys: []decl.KeyDigest{decl.HashKey(testKeyOf(i, 0)), decl.HashKey(second)},
		})
	}
	co, err := pack.Encode(ms)
	if err != nil {
		tb.Fatal(err)
	}
	return co
}

func TestTenantByKey(t *testing.T) {
	var cp Compiler
	for _, tc := range []struct {
		name           string
		tenants        int
		changed        int
		key, want      string
		limited, exist bool
	}{
		{"no tenants", 0, 0, testKeyOf(0, 0), "", false, false},
		{"first key", 3, 0, testKeyOf(1, 0), "tenant-000001", true, true},
		{"second key", 3, 0, testKeyOf(2, 1), "tenant-000002", true, true},
		{"unchanged tenants", 3, 0, testKeyOf(2, 1), "tenant-000002", true, true},
		{"removed key", 3, 3, testKeyOf(2, 1), "", true, true},
		{"new key", 3, 3, testKeyOf(2, 2), "tenant-000002", true, true},
		{"removed tenant", 2, 0, testKeyOf(2, 0), "", true, true},
		{"empty key", 3, 0, "", "", true, true},
		{"longest key", 3, 0, strings.Repeat("x", decl.MaxKeyLen), "", true, true},
		{"too long", 3, 0, strings.Repeat("x", decl.MaxKeyLen+1), "", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sn, err := cp.Compile(1, withTenants(t, tc.tenants, tc.changed), "d0")
			if err != nil {
				t.Fatal(err)
			}
			got := ""
			if tn := sn.Tenants.ByKey(tc.key); tn != nil {
				got = tn.Name
			}
			if got != tc.want || sn.Tenants.Limited != tc.limited || (len(sn.Tenants.ByName) > 0) != tc.exist {
				t.Errorf("tenant %q, limits %t, tenants %d", got, sn.Tenants.Limited, len(sn.Tenants.ByName))
			}
		})
	}
}

// TestTenantByKeyAllocates guards against garbage for each request.
func TestTenantByKeyAllocates(t *testing.T) {
	sn, err := Compile(1, withTenants(t, 10, 0), "d0")
	if err != nil {
		t.Fatal(err)
	}
	key := testKeyOf(7, 1)
	if n := testing.AllocsPerRun(100, func() { sn.Tenants.ByKey(key) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkTenantByKey(b *testing.B) {
	sn, err := Compile(1, withTenants(b, 1000, 0), "d0")
	if err != nil {
		b.Fatal(err)
	}
	key := testKeyOf(700, 1)
	b.ReportAllocs()
	for b.Loop() {
		sn.Tenants.ByKey(key)
	}
}

// BenchmarkTenants compiles two versions that differ in one key, and reports the size of the delta
// between them and of the whole content.
func BenchmarkTenants(b *testing.B) {
	for _, n := range []int{76, 1_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			one, two := withTenants(b, n, 0), withTenants(b, n, 1)
			delta := pack.Marshal(pack.Diff(one, two))
			shared, err := pack.ApplyEncoded(one, delta, two.Digest)
			if err != nil {
				b.Fatal(err)
			}
			var cp Compiler
			b.ReportAllocs()
			for b.Loop() {
				for v, co := range []*pack.Content{one, shared} {
					if _, err := cp.Compile(uint64(v), co, "d0"); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(len(delta)), "delta-bytes")
			b.ReportMetric(float64(len(pack.Marshal(pack.Diff(nil, one)))), "whole-bytes")
		})
	}
}
