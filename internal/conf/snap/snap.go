package snap

import (
	"fmt"
	"math/bits"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
)

// DefaultDeadline is the deadline of requests for which no other is declared.
const DefaultDeadline = 10 * time.Second

// Snapshot is one version of the configuration, compiled for one failure domain. It is immutable,
// and its pointers refer only to parts of itself.
type Snapshot struct {
	Version uint64
	Digest  pack.Digest
	// Domain is the failure domain of the daemon.
	Domain   string
	Domains  []string
	Services map[string]*Service
	// ServiceList lists the services in the order of their Index.
	ServiceList []*Service
	VMs         map[string]VM
	// Tenants holds the tenants; without any, requests need no API key.
	Tenants *TenantSet
	// Limits holds the limits for callers; a zero field stands for the daemon's own limit.
	Limits decl.CallerLimits
	// Classes lists the classes in the order of their Index; the first one is for requests
	// without a class.
	Classes []*Class
	// RouteList lists all routes in the order of their Index.
	RouteList    []*Route
	routesByHost map[string][]*Route
}

// Service is a declared service with its placement.
type Service struct {
	decl.Service
	Index int
	// Tiers are the failure domains to which requests may be sent, in order of preference.
	Tiers [][]string
	Spill bool
	// defaultRoute is for requests whose host is the name of the service; nil if there is none.
	defaultRoute *Route
}

// VM holds the failure domain and the service of a declared VM.
type VM struct {
	Domain, Service string
}

// Class is a declared class.
type Class struct {
	decl.Class
	Index int
}

// Route is a declared route.
type Route struct {
	Name string
	// Index numbers the routes, including the default routes of services.
	Index    int
	Targets  []Target
	Class    *Class
	Deadline time.Duration
	// Objective is the time within which a response has its full value, 0 if none is declared.
	Objective time.Duration
	// Priority ranks waiting requests; 0 goes first.
	Priority int
	Repeat   decl.Repeat
	// Attempts is the maximum number of backend servers that a request is sent to, 0 for the
	// daemon's own limit.
	Attempts int
	// Public is set if requests need no API key.
	Public  bool
	prefix  string
	literal bool
	methods []string
	headers []header
}

// Target is a service of a route and the sum of the weights of the targets up to and including
// this one.
type Target struct {
	Service          *Service
	CumulativeWeight int
}

// TotalWeight returns the sum of the weights of the route's targets.
func (rt *Route) TotalWeight() int { return rt.Targets[len(rt.Targets)-1].CumulativeWeight }

// Target returns the service for a random draw from 0 to TotalWeight-1.
func (rt *Route) Target(draw int) *Service {
	for i := range rt.Targets {
		if draw < rt.Targets[i].CumulativeWeight {
			return rt.Targets[i].Service
		}
	}
	return rt.Targets[len(rt.Targets)-1].Service
}

type header struct {
	name, value string
}

// DefaultClass is the name of the class of requests that declare none.
const DefaultClass = "default"

// defaultQueue is how many requests of a class may wait at one backend server if the class
// declares no queue.
const defaultQueue = 16

// CompileError reports why this release cannot compile a version.
type CompileError struct {
	Version uint64
	Err     error
}

// Error returns the version and the cause.
func (er *CompileError) Error() string {
	return fmt.Sprintf("version %d cannot be compiled: %v", er.Version, er.Err)
}

// Unwrap returns the cause.
func (er *CompileError) Unwrap() error { return er.Err }

// Compile returns the snapshot of a content for a failure domain, or a *CompileError. Operators have
// accepted the content, so it is refused only if a part of it would be missing: a kind or field that
// this release does not know, or a reference to nothing. Values beyond the limits of decl.Check are
// brought into the range that the data path can handle.
func Compile(version uint64, co *pack.Content, domain string) (*Snapshot, error) {
	var cp Compiler
	return cp.Compile(version, co, domain)
}

// Compiler compiles successive versions. It reuses what has not changed, which is cheaper than
// separate calls of Compile. The zero value is ready for use; it is not safe for concurrent use.
type Compiler struct {
	// RoutesOnly leaves out the routes by which requests whose host is the name of a service reach it.
	// It is set before use.
	RoutesOnly bool
	de         pack.Decoder
	tenants    tenantCompiler
}

// Reset discards what the compiler keeps of the last version.
func (cp *Compiler) Reset() {
	cp.de.Reset()
	cp.tenants = tenantCompiler{}
}

// Compile is like the function Compile.
func (cp *Compiler) Compile(version uint64, co *pack.Content, domain string) (*Snapshot, error) {
	ms, err := cp.de.Decode(co)
	if err != nil {
		return nil, &CompileError{Version: version, Err: err}
	}
	if prs := decl.CheckReferences(ms); len(prs) > 0 {
		return nil, &CompileError{Version: version, Err: prs.Err()}
	}
	sn := &Snapshot{
		Version:      version,
		Digest:       co.Digest,
		Domain:       domain,
		Services:     make(map[string]*Service, len(ms.Services)),
		VMs:          make(map[string]VM, len(ms.VMs)),
		routesByHost: map[string][]*Route{},
	}
	for _, vm := range ms.VMs {
		sn.VMs[vm.Name] = VM{Domain: vm.Domain, Service: vm.Service}
	}
	for _, dm := range ms.Domains {
		sn.Domains = append(sn.Domains, dm.Name)
	}
	for _, cl := range ms.CallerLimits {
		cl.HeadBytes, cl.BodyBytes = max(0, cl.HeadBytes), max(0, cl.BodyBytes)
		sn.Limits = cl
	}
	classes := sn.compileClasses(ms)
	sn.compileServices(ms, classes, !cp.RoutesOnly)
	sn.compileRoutes(ms, classes)
	sn.Tenants = cp.tenants.compile(ms.Tenants)
	return sn, nil
}

func (sn *Snapshot) compileClasses(ms *decl.Mesh) map[string]*Class {
	byName := map[string]*Class{}
	add := func(cl decl.Class) {
		if cl.Queue == 0 {
			cl.Queue = defaultQueue
		}
		c := &Class{Class: cl, Index: len(sn.Classes)}
		sn.Classes = append(sn.Classes, c)
		byName[cl.Name] = c
	}
	if !slices.ContainsFunc(ms.Classes, func(cl decl.Class) bool { return cl.Name == DefaultClass }) {
		add(decl.Class{Name: DefaultClass})
	}
	for _, cl := range ms.Classes {
		add(cl)
	}
	byName[""] = byName[DefaultClass]
	return byName
}

func (sn *Snapshot) compileServices(ms *decl.Mesh, classes map[string]*Class, defaultRoutes bool) {
	regions := map[string]string{}
	for _, dm := range ms.Domains {
		regions[dm.Name] = dm.Region
	}
	places := map[string]decl.Placement{}
	for _, pl := range ms.Placements {
		places[pl.Service] = pl
	}
	for _, dsv := range ms.Services {
		pl, ok := places[dsv.Name]
		if !ok {
			pl = decl.Placement{Order: []string{decl.OrderOwn, decl.OrderRegion, decl.OrderAny}, Spill: true}
		}
		dsv.Connections = max(0, dsv.Connections)
		if dsv.Health != "" && !strings.HasPrefix(dsv.Health, "/") {
			dsv.Health = "/" + dsv.Health
		}
		sv := &Service{Service: dsv, Index: len(sn.ServiceList), Spill: pl.Spill, Tiers: sn.tiers(pl.Order, regions)}
		if defaultRoutes {
			sv.defaultRoute = &Route{
				Name:     "service " + sv.Name,
				Targets:  []Target{{Service: sv, CumulativeWeight: 1}},
				Class:    classes[sv.Class],
				Deadline: effectiveDeadline(0, sv),
				Repeat:   decl.RepeatSafe,
			}
			sn.addRoute(sv.defaultRoute)
		}
		sn.ServiceList = append(sn.ServiceList, sv)
		sn.Services[sv.Name] = sv
	}
}

func (sn *Snapshot) addRoute(rt *Route) {
	rt.Index = len(sn.RouteList)
	sn.RouteList = append(sn.RouteList, rt)
}

func effectiveDeadline(declared decl.Duration, sv *Service) time.Duration {
	switch {
	case declared > 0:
		return time.Duration(declared)
	case sv.Deadline > 0:
		return time.Duration(sv.Deadline)
	}
	return DefaultDeadline
}

// tiers resolves the keywords of a placement order; each failure domain is in one tier at most.
func (sn *Snapshot) tiers(order []string, regions map[string]string) [][]string {
	used := map[string]bool{}
	var tiers [][]string
	for _, o := range order {
		var tier []string
		for _, dm := range sn.Domains {
			var in bool
			switch o {
			case decl.OrderAny:
				in = true
			case decl.OrderOwn:
				in = dm == sn.Domain
			case decl.OrderRegion:
				in = regions[dm] == regions[sn.Domain]
			default:
				in = dm == o
			}
			if in && !used[dm] {
				used[dm] = true
				tier = append(tier, dm)
			}
		}
		if tier != nil {
			tiers = append(tiers, tier)
		}
	}
	return tiers
}

func (sn *Snapshot) compileRoutes(ms *decl.Mesh, classes map[string]*Class) {
	routes := make([]Route, len(ms.Routes))
	targets := make([]Target, 0, len(ms.Routes))
	for i := range ms.Routes {
		drt := &ms.Routes[i]
		rt := &routes[i]
		*rt = Route{
			Name:      drt.Name,
			Repeat:    drt.Repeat,
			Objective: time.Duration(drt.Objective),
			Priority:  clampPriority(drt.Priority),
			Attempts:  max(0, drt.Attempts),
			Public:    drt.Public,
			prefix:    drt.Match.PathPrefix,
			literal:   drt.Match.Literal,
			methods:   drt.Match.Methods,
		}
		if !rt.literal {
			rt.prefix = strings.TrimSuffix(rt.prefix, "/")
		}
		if rt.Repeat == "" {
			rt.Repeat = decl.RepeatSafe
		}
		for h, v := range drt.Match.Headers {
			rt.headers = append(rt.headers, header{name: http.CanonicalHeaderKey(h), value: v})
		}
		// Most routes have one target, so the targets of all routes share few backing arrays.
		sum, from := 0, len(targets)
		weight := weightsOf(drt.To)
		for _, tg := range drt.To {
			sum += weight(tg.Weight)
			targets = append(targets, Target{Service: sn.Services[tg.Service], CumulativeWeight: sum})
		}
		rt.Targets = targets[from:len(targets):len(targets)]
		rt.Class = classes[drt.Class]
		if drt.Class == "" {
			rt.Class = classes[rt.Targets[0].Service.Class]
		}
		rt.Deadline = effectiveDeadline(drt.Deadline, rt.Targets[0].Service)
		sn.addRoute(rt)
		host := strings.ToLower(drt.Match.Host)
		sn.routesByHost[host] = append(sn.routesByHost[host], rt)
	}
	for _, rts := range sn.routesByHost {
		slices.SortFunc(rts, compareSpecificity)
	}
}

// maxWeight bounds a weight, so that no sum of weights overflows.
const maxWeight = 1 << 32

// weightsOf returns the function from a declared weight to the one that is used. Weights below 0
// count as 0. If no target has a weight, all have the same.
func weightsOf(to []decl.Target) func(declared int) int {
	highest := 0
	for i := range to {
		highest = max(highest, to[i].Weight)
	}
	if highest == 0 {
		return func(int) int { return 1 }
	}
	shift := max(0, bits.Len(uint(highest))-bits.Len(maxWeight))
	return func(declared int) int { return max(0, declared) >> shift }
}

// clampPriority returns the priority that is used for a declared one.
func clampPriority(declared int) int { return min(max(0, declared), decl.MaxPriority) }

// compareSpecificity orders routes by the precedence that decl.Match documents.
func compareSpecificity(a, b *Route) int {
	switch {
	case len(a.prefix) != len(b.prefix):
		return len(b.prefix) - len(a.prefix)
	case len(a.headers) != len(b.headers):
		return len(b.headers) - len(a.headers)
	case (len(a.methods) > 0) != (len(b.methods) > 0):
		if len(a.methods) > 0 {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}
