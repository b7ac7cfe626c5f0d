package outlet

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/path/apikey"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/hist"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// authenticate returns the tenant of a request, nil if it has none, or refuses the request. It
// replaces the API key in the request's headers by the name of the tenant, so that the key leaves
// the daemon neither in the request nor as part of its identity.
//
// A call of the VM's backend server carries no key. It is recognized by its source or, where callers
// share that address, allowed by a public route.
func (ou *Outlet) authenticate(r *http.Request, sn *snap.Snapshot, route *snap.Route) (*snap.Tenant, *result.Refusal) {
	if len(sn.Tenants.ByName) == 0 {
		return nil, nil
	}
	key, present := apikey.FromHeader(r.Header)
	if !present {
		if route.Public || ou.fromServer(r.RemoteAddr) {
			return nil, nil
		}
		return nil, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonNoKey, Detail: "the route needs an API key in the Authorization header"}
	}
	delete(r.Header, "Authorization")
	tn := sn.Tenants.ByKey(key)
	if tn == nil {
		return nil, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonNoKey, Detail: "no tenant holds the API key"}
	}
	r.Header[result.TenantHeader] = tn.Header
	return tn, nil
}

// checkLimit refuses a request beyond the limit of its tenant, which may be nil. Calls of backend
// servers have no tenant: the request that they are made for was counted.
func (ou *Outlet) checkLimit(tn *snap.Tenant, now time.Time) *result.Refusal {
	if tn == nil {
		return nil
	}
	de := ou.quota.Admit(tn.Name, now)
	if de.Admitted {
		return nil
	}
	// The jitter keeps callers that were refused together from returning together.
	retry := de.RetryAfter + rand.N(max(1, de.RetryAfter/2))
	return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonOverLimit, RetryAfter: retry, Detail: "the tenant sends more requests than its limit"}
}

// The metrics by tenant.
const (
	// maxTenantSeries is how many tenants have metrics of their own, maxSeriesEver how many may have
	// had some since the start of the process.
	maxTenantSeries = 32
	maxSeriesEver   = 4 * maxTenantSeries
	// tenantSeries is the name before that of a tenant, otherTenants stands for all tenants without
	// metrics of their own.
	tenantSeries = "tenant"
	otherTenants = "other"
)

// seriesOfTenants returns the metrics by tenant. Those with the highest limits have their own.
func (ou *Outlet) seriesOfTenants(ts *snap.TenantSet) map[string]*hist.Series {
	list := slices.SortedFunc(maps.Values(ts.ByName), func(a, b *snap.Tenant) int {
		unlimited := func(tn *snap.Tenant) int {
			if tn.Rate == 0 {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(unlimited(b), unlimited(a)), cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	series := make(map[string]*hist.Series, len(list))
	for i, tn := range list {
		name := tn.Name
		if i >= maxTenantSeries || !ou.TenantStats.Has(tenantSeries, name) && ou.TenantStats.Len() >= maxSeriesEver {
			name = otherTenants
		}
		series[tn.Name] = ou.TenantStats.For(tenantSeries, name)
	}
	return series
}

// logTenantRefusal logs a request that was refused for its key or its tenant's limit.
func (ou *Outlet) logTenantRefusal(r *http.Request, sn *snap.Snapshot, route *snap.Route, tn *snap.Tenant, rf *result.Refusal) {
	attrs := []slog.Attr{
		slog.String(logs.ID, ou.requestID(r)), slog.String("route", route.Name), slog.Uint64(logs.Version, sn.Version),
		slog.String("method", r.Method), slog.String(logs.Outcome, rf.Outcome.String()), slog.String(logs.Reason, string(rf.Reason)),
	}
	if tn != nil {
		share, age := ou.quota.Share(tn.Name, time.Now())
		attrs = append(attrs, slog.String(logs.Tenant, tn.Name), slog.Float64(logs.TenantRate, tn.Rate), slog.Float64(logs.TenantBurst, tn.Burst),
			slog.Float64(logs.TenantShare, share), slog.Duration(logs.DirectiveAge, age), slog.Duration(logs.RetryAfter, rf.RetryAfter))
	}
	ou.log.LogAttrs(context.Background(), slog.LevelWarn, logs.TenantRefused, attrs...)
}
