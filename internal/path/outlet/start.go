package outlet

import (
	"net/http"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
)

// Waiting during the startup of an outlet.
const (
	// startupPeriod is how long after its start an outlet makes requests wait for what it does not
	// know yet: first the configuration, then the servers.
	startupPeriod = time.Second
	// startupWait is the longest that one request waits.
	startupWait = 200 * time.Millisecond
)

// findRoute returns the table and the route of a request, nil if there is none.
//
// After all daemons were killed, callers reconnect immediately, while the daemons are still
// discovering each other. If their requests were refused for lack of a server, the callers would
// retry after their objective has passed, and no request would be in time. During startup, requests
// therefore wait for the first servers.
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

// match returns the current table and the route it has for a request.
func (ou *Outlet) match(r *http.Request) (*routing, *snap.Route) {
	rt := ou.routing.Get()
	if rt == nil {
		return nil, nil
	}
	return rt, rt.tb.Snap.Match(r.Method, r.Host, r.URL.Path, r.Header)
}

// canServe reports whether enough is known to handle a request: either it has no route, or its
// route has a server.
func (rt *routing) canServe(route *snap.Route) bool {
	if rt == nil || route == nil {
		return rt != nil
	}
	return slices.ContainsFunc(route.Targets, func(tg snap.Target) bool { return rt.tb.Group(tg.Service).Len() > 0 })
}
