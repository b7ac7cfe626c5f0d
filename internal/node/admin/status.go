package admin

import (
	"cmp"
	"slices"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/path/outlet"
)

// Status is the state of the fleet as one daemon knows it.
type Status struct {
	VM      string `json:"vm"`
	Version uint64 `json:"version"`
	// Latest is the newest version known to this daemon, Platform the one stored at the platform.
	Latest         uint64         `json:"latest"`
	Platform       uint64         `json:"platform"`
	PlatformError  string         `json:"platform-error,omitempty"`
	PlatformBehind bool           `json:"platform-behind,omitempty"`
	Domains        []DomainStatus `json:"failure-domains"`
	// Server is what the VM's own backend server says about itself, nil if nothing is in force.
	Server *ServerStatus `json:"server,omitempty"`
	// Kinds are the kinds of requests of which this daemon's outlet served the smallest part recently.
	Kinds []outlet.KindStatus `json:"kinds,omitempty"`
	// Tenants are those that send the most requests, of those with a limit.
	Tenants []TenantStatus `json:"tenants,omitempty"`
}

// ServerStatus is what a backend server has said about itself in its responses.
type ServerStatus struct {
	Lifetime string `json:"lifetime,omitempty"`
	// RateLimit is how many requests per second it takes from all callers together, nil if it names no
	// limit.
	RateLimit *float64 `json:"rate-limit,omitempty"`
	Leaving   bool     `json:"leaving,omitempty"`
}

// TenantStatus says how much of its limit a tenant uses, as the outlets that report to relays know.
type TenantStatus struct {
	Name string `json:"name"`
	// Rate and Burst are the limit over all outlets, Demand the requests per second that come and
	// Admit the part of them that outlets admit.
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
	Demand float64 `json:"demand"`
	Admit  float64 `json:"admit"`
	// AdmitByRank is the part of the requests of each rank, the most urgent first; empty if all are
	// admitted.
	AdmitByRank []float64 `json:"admit-by-rank,omitempty"`
	// Reporting is how many of the Outlets these numbers cover.
	Reporting int `json:"reporting"`
	Outlets   int `json:"outlets"`
}

// DomainStatus is the state of one failure domain.
type DomainStatus struct {
	Name string `json:"name"`
	// Lowest and Highest are the lowest and the highest version that a member holds.
	Lowest   uint64   `json:"lowest"`
	Highest  uint64   `json:"highest"`
	Members  int      `json:"members"`
	Serving  int      `json:"serving"`
	Behind   []string `json:"behind,omitempty"`
	Refused  []string `json:"refused,omitempty"`
	Draining []string `json:"draining,omitempty"`
	Silent   []string `json:"silent,omitempty"`
	// Unreachable is set while the reporting relay has no link to the failure domain, Unknown while
	// the failure domain has reported nothing.
	Unreachable bool `json:"cut,omitempty"`
	Unknown     bool `json:"unknown,omitempty"`
}

// NewStatus builds a status from a StatusResponse. domains are the declared failure domains.
func NewStatus(vm string, version uint64, domains []string, res *wirepb.StatusResponse) Status {
	st := Status{
		VM: vm, Version: version, Latest: res.Latest, Platform: res.Platform,
		PlatformError: res.PlatformError, PlatformBehind: res.PlatformBehind,
	}
	byName := map[string]*DomainStatus{}
	get := func(name string) *DomainStatus {
		if byName[name] == nil {
			byName[name] = &DomainStatus{Name: name, Unknown: true}
		}
		return byName[name]
	}
	for _, dm := range domains {
		get(dm)
	}
	for _, su := range res.Summaries {
		ds := get(su.Domain)
		ds.Unknown = false
		ds.Lowest, ds.Highest, ds.Members = su.Lowest, su.Highest, int(su.Members)
		ds.Behind, ds.Refused = su.Behind, su.Refused
	}
	for _, dm := range res.Cut {
		get(dm).Unreachable = true
	}
	for _, pb := range res.Records {
		rc := member.FromWire(pb)
		if !rc.Live() {
			continue
		}
		ds := get(rc.Domain)
		switch {
		case rc.Mark == member.MarkSilent:
			ds.Silent = append(ds.Silent, rc.VM)
		case rc.State == member.StateDraining:
			ds.Draining = append(ds.Draining, rc.VM)
		case rc.State == member.StateServing:
			ds.Serving++
		}
	}
	for _, ds := range byName {
		slices.Sort(ds.Silent)
		slices.Sort(ds.Draining)
		slices.Sort(ds.Behind)
		st.Domains = append(st.Domains, *ds)
	}
	for _, ts := range res.Tenants {
		st.Tenants = append(st.Tenants, TenantStatus{
			Name: ts.Tenant, Rate: ts.Rate, Burst: ts.Burst, Demand: ts.Demand, Admit: ts.Admit, AdmitByRank: ts.AdmitByRank, Reporting: int(ts.Reporting), Outlets: int(ts.Outlets),
		})
	}
	slices.SortFunc(st.Domains, func(a, b DomainStatus) int { return cmp.Compare(a.Name, b.Name) })
	return st
}

// Missing returns the failure domains and VMs that are not known to hold version. A failure domain
// without live members is not listed.
func (st *Status) Missing(version uint64) []string {
	var list []string
	for _, ds := range st.Domains {
		switch {
		case ds.Unreachable:
			list = append(list, "failure domain "+ds.Name+" (unreachable)")
		case ds.Unknown || ds.Members == 0 || ds.Lowest >= version:
		case ds.Highest < version:
			list = append(list, "failure domain "+ds.Name)
		case len(ds.Behind) == 0:
			list = append(list, "failure domain "+ds.Name+" (not yet reported)")
		default:
			for _, vm := range ds.Behind {
				list = append(list, "VM "+vm)
			}
		}
	}
	return list
}
