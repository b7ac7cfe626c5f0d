package outlet

import (
	"net/http"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
)

// The first moments of an outlet.
const (
	// startTime is how long after its start an outlet waits for what it does not know
	// yet: the configuration, then the servers.
	startTime = time.Second
	// startWait is how long a request waits for that at most.
	startWait = 200 * time.Millisecond
)

// lookUp returns the table and the route of a request, nil where there is none.
//
// After a kill of all daemons their callers are there at once, while each daemon learns
// of the others. Refused for want of a server, they come back when their objective has
// passed, and none is in time; here they wait for the first servers instead.
func (ou *Outlet) lookUp(r *http.Request) (*routing, *snap.Route) {
	rt, route := ou.match(r)
	if rt.serves(route) || time.Since(ou.started) > startTime {
		return rt, route
	}
	late := time.NewTimer(startWait)
	defer late.Stop()
	for {
		_, changed := ou.routing.Watch()
		if rt, route = ou.match(r); rt.serves(route) {
			return rt, route
		}
		select {
		case <-changed:
		case <-late.C:
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

// serves reports whether enough is known to handle a request: that it has no route, or a
// server for it.
func (rt *routing) serves(route *snap.Route) bool {
	if rt == nil || route == nil {
		return rt != nil
	}
	return slices.ContainsFunc(route.Targets, func(tg snap.Target) bool { return rt.tb.Group(tg.Service).Len() > 0 })
}
