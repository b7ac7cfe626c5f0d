package outlet

import (
	"net/http"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
)

// The first moments of an outlet.
const (
	// startupPeriod is how long after its start an outlet waits for what it does not know
	// yet: the configuration, then the servers.
	startupPeriod = time.Second
	// startupWait is how long a request waits for that at most.
	startupWait = 200 * time.Millisecond
)

// findRoute returns the table and the route of a request, nil where there is none.
//
// After a kill of all daemons their callers are there at once, while each daemon learns
// of the others. Refused for want of a server, they come back when their objective has
// passed, and none is in time; here they wait for the first servers instead.
func (ou *Outlet) findRoute(r *http.Request) (*routing, *snap.Route) {
	rt, route := ou.match(r)
	if rt.canServe(route) || time.Since(ou.started) > startupPeriod {
		return rt, route
	}
	timer := time.NewTimer(startupWait)
	defer timer.Stop()
	for {
		_, changed := ou.routing.Watch()
		if rt, route = ou.match(r); rt.canServe(route) {
			return rt, route
		}
		select {
		case <-changed:
		case <-timer.C:
			return rt, route
		case <-r.Context().Done():
			return rt, route
		}
	}
}

// match returns the present table and the route of a request by it.
func (ou *Outlet) match(r *http.Request) (*routing, *snap.Route) {
	rt := ou.routing.Get()
	if rt == nil {
		return nil, nil
	}
	return rt, rt.tb.Snap.Match(r.Method, r.Host, r.URL.Path, r.Header)
}

// canServe reports whether enough is known to handle a request: that it has no route, or a
// server for it.
func (rt *routing) canServe(route *snap.Route) bool {
	if rt == nil || route == nil {
		return rt != nil
	}
	return slices.ContainsFunc(route.Targets, func(tg snap.Target) bool { return rt.tb.Group(tg.Service).Len() > 0 })
}
