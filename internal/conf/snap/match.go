package snap

import (
	"net/http"
	"slices"
	"strings"
)

// Match returns the route for a request, or nil if there is none. The host may include a port, which
// counts only where routes are declared for the host with it. Requests that match no declared route of
// their host go to the service whose name is the host, unless the Compiler leaves out such routes.
func (sn *Snapshot) Match(method, host, path string, hdr http.Header) *Route {
	host = strings.ToLower(host)
	routes, ok := sn.routesByHost[host]
	if !ok {
		host = withoutPort(host)
		routes = sn.routesByHost[host]
	}
	for _, rt := range routes {
		if rt.matches(method, path, hdr) {
			return rt
		}
	}
	if sv, ok := sn.Services[host]; ok {
		return sv.defaultRoute
	}
	return nil
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

func (rt *Route) matches(method, path string, hdr http.Header) bool {
	if rt.literal && !strings.HasPrefix(path, rt.prefix) || !rt.literal && !underPrefix(path, rt.prefix) {
		return false
	}
	if len(rt.methods) > 0 && !slices.Contains(rt.methods, method) {
		return false
	}
	for _, h := range rt.headers {
		if hdr.Get(h.name) != h.value {
			return false
		}
	}
	return true
}

// underPrefix reports whether path equals prefix or is below it, comparing whole segments.
func underPrefix(path, prefix string) bool {
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}
