package outlet

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/path/apikey"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
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

// checkLimit refuses a request beyond the limit of its tenant, which may be nil, and returns the rank
// of the request. left is the time within which it can still be sent to a server. Calls of backend
// servers have no tenant: the request that they are made for was counted.
func (ou *Outlet) checkLimit(tn *snap.Tenant, route *snap.Route, left time.Duration, isRetry bool, now time.Time) (rank int, rf *result.Refusal) {
	if tn == nil {
		return 0, nil
	}
	priority := route.Priority
	if tn.HasPriority {
		priority = tn.Priority
	}
	rank = admit.Rank(priority, isRetry && left < 0)
	de := ou.quota.Admit(tn.Name, rank, now)
	if de.Admitted {
		return rank, nil
	}
	retry := de.Delay(left, rand.Float64())
	if !ou.names.FractionalRetryAfter && (retry+time.Second-1).Truncate(time.Second) > left {
		// It is rounded up to whole seconds.
		retry = 0
	}
	return rank, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonOverLimit, RetryAfter: retry, Detail: "the tenant sends more requests than its limit"}
}

// timeLeft returns the time within which a request must be sent to a server to be answered within its
// objective and the timeout of its caller, negative if it is too late. timeout is 0 if the caller named
// none.
func timeLeft(route *snap.Route, rs *routeStats, elapsed, timeout time.Duration) time.Duration {
	left := time.Duration(math.MaxInt64)
	if route.Objective > 0 {
		left = route.Objective - elapsed
	}
	if timeout > 0 {
		left = min(left, timeout)
	}
	return left - time.Duration(rs.held.Load())
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

// logTenantRefusal logs a request that was refused for its key or, unless tn is nil, its tenant's
// limit.
func (ou *Outlet) logTenantRefusal(r *http.Request, sn *snap.Snapshot, route *snap.Route, tn *snap.Tenant, rank int, rf *result.Refusal) {
	attrs := []slog.Attr{
		slog.String(logs.ID, ou.requestID(r)), slog.String("route", route.Name), slog.Uint64(logs.Version, sn.Version),
		slog.String("method", r.Method), slog.String(logs.Outcome, rf.Outcome.String()), slog.String(logs.Reason, string(rf.Reason)),
	}
	if tn != nil {
		now := time.Now()
		share, age := ou.quota.Share(tn.Name, now)
		attrs = append(attrs, slog.String(logs.Tenant, tn.Name), slog.Float64(logs.TenantRate, tn.Rate), slog.Float64(logs.TenantBurst, tn.Burst),
			slog.Float64(logs.TenantShare, share), slog.Duration(logs.DirectiveAge, age), slog.Duration(logs.RetryAfter, rf.RetryAfter),
			slog.Int(logs.TenantRank, rank), slog.Float64(logs.RankShare, ou.quota.RankShare(tn.Name, rank, now)))
	}
	ou.log.LogAttrs(context.Background(), slog.LevelWarn, logs.TenantRefused, attrs...)
}
