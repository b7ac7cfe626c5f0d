package outlet

import (
	"cmp"
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/path/floor"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/path/shed"
	"github.com/flamingomast/flamingomast/internal/plat/mono"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// kinds holds the served shares of a route's requests by priority. Requests of one route have several
// priorities if they are calls, or if tenants have priorities of their own.
type kinds [shed.Priorities]atomic.Pointer[floor.Kind]

// of returns the kind of a priority.
func (ks *kinds) of(priority int) *floor.Kind {
	ptr := &ks[min(max(priority, 0), len(ks)-1)]
	if ki := ptr.Load(); ki != nil {
		return ki
	}
	ptr.CompareAndSwap(nil, &floor.Kind{})
	return ptr.Load()
}

// kindCheckInterval is how often an outlet compares its kinds with their floors.
const kindCheckInterval = time.Second

// recordShare counts a request in the served shares if it was answered, with whatever status, or refused
// for lack of capacity. Precedence does not help a request that fails for another reason.
func (rq *request) recordShare(oc result.Outcome, re result.Reason) {
	served := oc == result.Answered
	refused := re.NoCapacity() || re == result.ReasonServerLimit || re == result.ReasonDeadlinePassed && oc == result.NotRun
	if !served && !refused {
		return
	}
	now := time.Now()
	rq.ou.allKinds.Record(now, !rq.callerRetry, served)
	rq.kind.Record(now, !rq.callerRetry, served)
	rq.ou.checkKinds(now)
}

// requestFloor decides whether the request goes ahead of others because its kind is below its floor. done
// must be called when it has ended.
func (rq *request) requestFloor() (done func()) {
	now := time.Now()
	mean := max(rq.ou.allKinds.Mean(now), rq.kind.Reported())
	if rq.floor = rq.kind.Grant(now, mean, !rq.callerRetry, rand.Float64()); rq.floor {
		return rq.kind.Done
	}
	return func() {}
}

// checkKinds logs which kinds have fallen below their floors or have come back.
func (ou *Outlet) checkKinds(now time.Time) {
	at, next := mono.Nanos(now), ou.nextKindCheck.Load()
	if at < next || !ou.nextKindCheck.CompareAndSwap(next, at+int64(kindCheckInterval)) {
		return
	}
	rt := ou.routing.Get()
	for _, st := range ou.kindsOf(rt) {
		if !st.kind.Check(now, &ou.allKinds) {
			continue
		}
		event, level := logs.KindRecovered, slog.LevelInfo
		if st.kind.Below() {
			event, level = logs.KindStarved, slog.LevelWarn
		}
		offered, served := ou.allKinds.Recent(now)
		recent, got := st.kind.Recent(now)
		ou.log.LogAttrs(context.Background(), level, event, slog.String(logs.Service, st.Service), slog.String("route", st.Route),
			slog.Int("priority", st.Priority), slog.Float64("offered", recent), slog.Float64("served-share", got/max(1, recent)),
			slog.Float64("served-share-of-all", served/max(1, offered)))
	}
}

// KindStatus is the served share of one kind of request at an outlet.
type KindStatus struct {
	Service  string `json:"service"`
	Route    string `json:"route"`
	Priority int    `json:"priority"`
	// Offered is the number of recent requests that were answered or refused for lack of capacity, Served
	// the answered part of them. A request counts half after five seconds.
	Offered float64 `json:"offered"`
	Served  float64 `json:"served"`
	// Below is set if the kind is below its floor.
	Below bool `json:"below-floor,omitempty"`

	kind *floor.Kind
}

// kindsOf returns the kinds of all routes that have had requests.
func (ou *Outlet) kindsOf(rt *routing) (list []KindStatus) {
	if rt == nil {
		return nil
	}
	for i, route := range rt.tb.Snap.RouteList {
		for priority := range rt.routeStats[i].kinds {
			if ki := rt.routeStats[i].kinds[priority].Load(); ki != nil {
				list = append(list, KindStatus{Service: serviceOf(route), Route: route.Name, Priority: priority, kind: ki})
			}
		}
	}
	return list
}

// serviceOf returns the name of the first service that a route leads to.
func serviceOf(route *snap.Route) string {
	if sv := route.Target(0); sv != nil {
		return sv.Name
	}
	return ""
}

// Kinds returns the kinds that had requests recently, those of which the smallest part was served first.
func (ou *Outlet) Kinds(now time.Time) []KindStatus {
	var list []KindStatus
	for _, st := range ou.kindsOf(ou.routing.Get()) {
		offered, served := st.kind.Recent(now)
		if offered < 1 {
			continue
		}
		st.Offered, st.Served, st.Below = offered, min(1, served/offered), st.kind.Below()
		list = append(list, st)
	}
	slices.SortStableFunc(list, func(a, b KindStatus) int { return cmp.Compare(a.Served, b.Served) })
	return list
}

// kindCounts are the metrics of a kind.
type kindCounts struct {
	Offered int64 `json:"offered"`
	Served  int64 `json:"served"`
	Granted int64 `json:"granted"`
	Below   bool  `json:"below-floor"`
}

// KindsVar returns the counts of all kinds as an expvar variable, by service, route and priority.
func (ou *Outlet) KindsVar() expvar.Var {
	return expvar.Func(func() any {
		vars := map[string]kindCounts{}
		for _, st := range ou.kindsOf(ou.routing.Get()) {
			offered, served := st.kind.Totals()
			vars[st.Service+"/"+st.Route+"/"+strconv.Itoa(st.Priority)] = kindCounts{offered, served, st.kind.Granted(), st.kind.Below()}
		}
		return vars
	})
}
