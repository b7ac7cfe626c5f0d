package canary

import (
	"maps"
	"slices"
	"time"
)

// unorderedHold is how long servers of a version that nobody ordered are kept from requests:
// the order may be on its way. Later they are taken for a release without a rollout.
const unorderedHold = 5 * time.Second

// Admission decides which versions of a service's software may take requests, by the
// rollouts known and by when a version was first seen. The zero value is ready for use; it
// is not safe for concurrent use.
type Admission struct {
	services map[string]*versions
}

// versions has when each version of one service was first seen.
type versions struct {
	seen map[string]time.Time
	// admitted are those that take requests without an order.
	admitted map[string]bool
}

// Assign takes how many servers of each version a service has. It returns the cohort of each,
// and when that changes if nothing else does, the zero time for never.
func (ad *Admission) Assign(service string, ro *Rollout, servers map[string]int, now time.Time) (cohorts map[string]Cohort, next time.Time) {
	if ad.services == nil {
		ad.services = map[string]*versions{}
	}
	vs := ad.services[service]
	if vs == nil {
		vs = &versions{seen: map[string]time.Time{}, admitted: map[string]bool{}}
		ad.services[service] = vs
	}
	maps.DeleteFunc(vs.seen, func(software string, _ time.Time) bool { return servers[software] == 0 })
	maps.DeleteFunc(vs.admitted, func(software string, _ bool) bool { return servers[software] == 0 })
	for software := range servers {
		if vs.seen[software].IsZero() {
			vs.seen[software] = now
		}
	}
	cohorts = map[string]Cohort{}
	if ro == nil {
		return vs.admit(servers, now)
	}
	for software := range servers {
		cohort := ro.CohortOf(software)
		if ro.State.Final() && !ro.names(software) && software != "" {
			// A release without a rollout, after one.
			until := vs.seen[software].Add(unorderedHold)
			cohort = Baseline
			if now.Before(until) && !vs.admitted[software] {
				cohort = Idle
				next = sooner(next, until)
			}
		}
		cohorts[software] = cohort
		if vs.admitted[software] = cohort == Baseline; !vs.admitted[software] {
			delete(vs.admitted, software)
		}
	}
	return cohorts, next
}

// sooner returns the sooner one of two times, of which the zero time is never.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// admit returns the cohorts of a service without a rollout.
func (vs *versions) admit(servers map[string]int, now time.Time) (cohorts map[string]Cohort, next time.Time) {
	cohorts = map[string]Cohort{}
	if len(vs.admitted) == 0 && len(servers) > 0 {
		vs.admitted[mostUsed(servers)] = true
	}
	for software := range servers {
		until := vs.seen[software].Add(unorderedHold)
		if software == "" || !now.Before(until) {
			vs.admitted[software] = true
		}
		if vs.admitted[software] {
			continue
		}
		cohorts[software] = Idle
		next = sooner(next, until)
	}
	return cohorts, next
}

// mostUsed returns the version with the most servers, the first by name of those with as
// many.
func mostUsed(servers map[string]int) (best string) {
	for i, software := range slices.Sorted(maps.Keys(servers)) {
		if i == 0 || servers[software] > servers[best] {
			best = software
		}
	}
	return best
}
