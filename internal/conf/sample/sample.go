package sample

import (
	"fmt"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
)

// The slots and connections of each service of a sample, as in the requirements, and the port of
// the first service. Each further service has the next port.
const (
	slots       = 10
	connections = 120
	firstPort   = 9000
)

// The classes of a sample and their shares of the slots in percent.
const (
	lookup, lookupShare   = "lookup", 40
	confirm, confirmShare = "confirm", 50
)

// singleRegionDomains is the number of failure domains up to which a sample has one region; a
// sample with more has two.
const singleRegionDomains = 3

// Mesh declares the given numbers of VMs, failure domains (d0, d1, …) and services (service-0,
// service-1, …). VMs are assigned to failure domains and services in rotation. Each service has a
// placement and a route for requests that must not be retried.
func Mesh(vms, domains, services int) *decl.Mesh {
	ms := &decl.Mesh{Regions: []decl.Region{{Name: "r0"}}}
	if domains > singleRegionDomains {
		ms.Regions = append(ms.Regions, decl.Region{Name: "r1"})
	}
	for i := range domains {
		region := ms.Regions[i*len(ms.Regions)/domains].Name
		ms.Domains = append(ms.Domains, decl.Domain{Name: fmt.Sprintf("d%d", i), Region: region})
	}
	ms.Classes = []decl.Class{{Name: lookup, Share: lookupShare}, {Name: confirm, Share: confirmShare}}
	for i := range services {
		addService(ms, fmt.Sprintf("service-%d", i), firstPort+i)
	}
	for i := range vms {
		ms.VMs = append(ms.VMs, decl.VM{
			Name: fmt.Sprintf("vm-%03d", i), Domain: ms.Domains[i%domains].Name, Service: ms.Services[i%services].Name,
		})
	}
	return ms
}

func addService(ms *decl.Mesh, name string, port int) {
	ms.Services = append(ms.Services, decl.Service{Name: name, Port: port, Slots: slots, Connections: connections, Class: lookup})
	ms.Routes = append(ms.Routes, decl.Route{
		Name: name + "-confirm", Match: decl.Match{Host: name + ".example", PathPrefix: "/confirm", Methods: []string{"POST"}},
		To: []decl.Target{{Service: name, Weight: 1}}, Class: confirm, Repeat: decl.RepeatNever,
	})
	ms.Placements = append(ms.Placements, decl.Placement{Service: name, Order: []string{decl.OrderOwn, decl.OrderRegion}, Spill: true})
}

// Change returns a copy of ms in which the deadline of one route is changed; n selects the route
// and the deadline.
func Change(ms *decl.Mesh, n int) *decl.Mesh {
	next := *ms
	next.Routes = slices.Clone(ms.Routes)
	next.Routes[n%len(next.Routes)].Deadline = decl.Duration(time.Duration(n+1) * time.Millisecond)
	return &next
}
