package snap

import (
	"crypto/sha256"
	"slices"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
)

// Tenant is a declared tenant.
type Tenant struct {
	Name string
	// Header is the name as the value list of a header. It is shared and must not be modified.
	Header []string
	// Limit is what all outlets together admit.
	admit.Limit
	// Priority replaces the priority of routes if HasPriority is set.
	Priority    int
	HasPriority bool
}

// TenantSet holds the tenants of a version. It is immutable, and versions with the same tenants
// share it.
type TenantSet struct {
	ByName map[string]*Tenant
	// Limited is set if any tenant has a limit.
	Limited bool
	byKey   map[decl.KeyDigest]*Tenant
}

// ByKey returns the tenant that holds an API key, or nil if there is none.
func (ts *TenantSet) ByKey(key string) *Tenant {
	if len(key) > decl.MaxKeyLen {
		return nil
	}
	var buf [decl.MaxKeyLen]byte
	return ts.byKey[sha256.Sum256(buf[:copy(buf[:], key)])]
}

// Limit returns what all outlets together admit of a tenant; the zero value if it has no limit or is
// not declared.
func (ts *TenantSet) Limit(tenant string) admit.Limit {
	if tn := ts.ByName[tenant]; tn != nil {
		return tn.Limit
	}
	return admit.Limit{}
}

// Limits returns the limits of all tenants.
func (ts *TenantSet) Limits() map[string]admit.Limit {
	limits := make(map[string]admit.Limit, len(ts.ByName))
	for name, tn := range ts.ByName {
		limits[name] = tn.Limit
	}
	return limits
}

// tenantCompiler compiles the tenants of successive versions. Most versions leave them unchanged.
type tenantCompiler struct {
	declared []decl.Tenant
	set      *TenantSet
}

func (tc *tenantCompiler) compile(declared []decl.Tenant) *TenantSet {
	if tc.set != nil && slices.EqualFunc(tc.declared, declared, sameTenant) {
		return tc.set
	}
	ts := &TenantSet{ByName: make(map[string]*Tenant, len(declared)), byKey: make(map[decl.KeyDigest]*Tenant, 2*len(declared))}
	for i := range declared {
		dtn := &declared[i]
		tn := &Tenant{Name: dtn.Name, Header: []string{dtn.Name}, Limit: limitOf(dtn)}
		if dtn.Priority != nil {
			tn.Priority, tn.HasPriority = clampPriority(*dtn.Priority), true
		}
		ts.ByName[tn.Name] = tn
		ts.Limited = ts.Limited || tn.Rate > 0
		for _, kd := range dtn.Keys {
			// A key of two tenants stands for the first one, at all daemons alike.
			if ts.byKey[kd] == nil {
				ts.byKey[kd] = tn
			}
		}
	}
	tc.declared, tc.set = declared, ts
	return ts
}

// limitOf returns the limit of a tenant, the zero value if it has none.
func limitOf(dtn *decl.Tenant) admit.Limit {
	if !(dtn.Rate > 0) {
		return admit.Limit{}
	}
	return admit.Limit{Rate: dtn.Rate, Burst: max(0, dtn.Burst)}
}

// sameTenant reports whether two declarations are one that was decoded once. A pack.Decoder shares
// the lists of declarations that have not changed.
func sameTenant(a, b decl.Tenant) bool {
	return a.Name == b.Name && a.Rate == b.Rate && a.Burst == b.Burst && a.Priority == b.Priority &&
		len(a.Keys) == len(b.Keys) && (len(a.Keys) == 0 || &a.Keys[0] == &b.Keys[0])
}
