package canary

import (
	"maps"
	"slices"
	"time"
)

// unorderedHoldDown is how long the servers of a version without a rollout order get no requests,
// since the order may be on its way. After that they count as a release without a rollout.
const unorderedHoldDown = 5 * time.Second

// Admission decides which versions of a service's software take requests, by the known rollouts and
// by when each version was first seen. The zero value is ready for use; it is not safe for
// concurrent use.
type Admission struct {
	services map[string]*versions
}

// versions has when each version of one service was first seen.
type versions struct {
	firstSeen map[string]time.Time
	// admitted are the versions that take requests without a rollout order.
	admitted map[string]bool
}

// Assign returns the cohort of each version of a service, given the number of its servers. next is
// when a cohort changes if nothing else does, the zero time for never.
func (ad *Admission) Assign(service string, ro *Rollout, servers map[string]int, now time.Time) (cohorts map[string]Cohort, next time.Time) {
	if ad.services == nil {
		ad.services = map[string]*versions{}
	}
	vs := ad.services[service]
	if vs == nil {
		vs = &versions{firstSeen: map[string]time.Time{}, admitted: map[string]bool{}}
		ad.services[service] = vs
	}
	maps.DeleteFunc(vs.firstSeen, func(software string, _ time.Time) bool { return servers[software] == 0 })
	maps.DeleteFunc(vs.admitted, func(software string, _ bool) bool { return servers[software] == 0 })
	for software := range servers {
		if vs.firstSeen[software].IsZero() {
			vs.firstSeen[software] = now
		}
	}
	cohorts = map[string]Cohort{}
	if ro == nil {
		return vs.cohortsWithoutRollout(servers, now)
	}
	for software := range servers {
		cohort := ro.CohortOf(software)
		if ro.State.Final() && !ro.includes(software) && software != "" {
			// A release without a rollout, after a rollout has ended.
			until := vs.firstSeen[software].Add(unorderedHoldDown)
			cohort = Baseline
			if now.Before(until) && !vs.admitted[software] {
				cohort = Idle
				next = earlier(next, until)
			}
		}
		cohorts[software] = cohort
		if vs.admitted[software] = cohort == Baseline; !vs.admitted[software] {
			delete(vs.admitted, software)
		}
	}
	return cohorts, next
}

// earlier returns the earlier of two times, of which the zero time is never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// cohortsWithoutRollout returns the cohorts of a service without a rollout. Versions that are left
// out are Baseline.
func (vs *versions) cohortsWithoutRollout(servers map[string]int, now time.Time) (cohorts map[string]Cohort, next time.Time) {
	cohorts = map[string]Cohort{}
	if len(vs.admitted) == 0 && len(servers) > 0 {
		vs.admitted[mostDeployed(servers)] = true
	}
	for software := range servers {
		until := vs.firstSeen[software].Add(unorderedHoldDown)
		if software == "" || !now.Before(until) {
			vs.admitted[software] = true
		}
		if vs.admitted[software] {
			continue
		}
		cohorts[software] = Idle
		next = earlier(next, until)
	}
	return cohorts, next
}

// mostDeployed returns the version with the most servers, the first by name of several.
func mostDeployed(servers map[string]int) (best string) {
	for i, software := range slices.Sorted(maps.Keys(servers)) {
		if i == 0 || servers[software] > servers[best] {
			best = software
		}
	}
	return best
}
