package judge

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// Cause is where the evidence against a version comes from.
type Cause struct {
	// Measure is failures or slowness, Route the route, empty for all together.
	Measure, Route string
	// Window is the time over which the version was compared.
	Window time.Duration
}

const (
	// maxServers is how many servers of either cohort are compared, and maxRoutes how many
	// routes, those with the most requests.
	maxServers = 16
	maxRoutes  = 8
	// leastWindow is the shortest time over which versions are compared.
	leastWindow = 500 * time.Millisecond
	// leastBaseline is how many requests of the others a comparison needs.
	leastBaseline = 20
)

// against returns the strongest evidence against the target, by route and measure, over the
// time since the first look and over shorter ones, in which the version may have turned bad.
// It reports whether there was anything to compare.
func (ju *Judge) against() (worst float64, cause Cause, compared bool) {
	if !ju.sawOthers() {
		return nothing, cause, ju.answersAlone()
	}
	routes := ju.routes()
	means := ju.means()
	names := []string{""}
	if len(routes) > 1 {
		names = append(names, routes...)
	}
	for start := -1; start < len(ju.times); start++ {
		window := ju.looked
		if start >= 0 {
			window -= ju.times[start]
		}
		if window < leastWindow {
			break
		}
		// A version turns bad at any time as likely as at another.
		rare := math.Log(float64(ju.looked) / float64(window))
		if start == 0 && ju.first >= lateLook {
			// All that a judge which took over has seen of others at the same moment.
			rare = 0
		}
		for _, route := range names {
			others, targets := ju.observe(start, route, means)
			if len(targets) == 0 || len(others) == 0 {
				continue
			}
			if !compared {
				worst, compared = nothing, true
			}
			unlikely := rare
			if route != "" {
				unlikely += math.Log(float64(len(routes)))
			}
			for _, me := range suspected(others, targets) {
				if ev := me.evidence(others, targets) - unlikely; ev > worst {
					worst, cause = ev, Cause{me.name, route, window}
				}
			}
		}
	}
	return worst, cause, compared
}

// sawOthers reports whether any server of another version was ever heard.
func (ju *Judge) sawOthers() bool {
	for _, sr := range ju.servers {
		if !sr.target {
			return true
		}
	}
	return false
}

// answersAlone reports whether the target, with no other version to compare it with or to go
// back to, answers nearly all requests. Others may serve behind a cut, so it has to.
func (ju *Judge) answersAlone() bool {
	var all tally.Counts
	for _, sr := range ju.servers {
		for _, se := range sr.routes {
			all.Add(&se.total)
		}
	}
	return all.Requests > 0 && float64(all.Failures) < failingAlone*float64(all.Requests)
}

const (
	// failingAlone is the share of requests that a version without any other may fail.
	failingAlone = 0.05
	// nothing is the evidence where the target looks no worse than the others.
	nothing = -10.0
	// leastFailures is how many failures are compared, and leastFailing the share of them
	// above that of healthy servers.
	leastFailures = 2
	leastFailing  = 0.02
	// leastSlower is by how many doublings the target has to be slower than fast servers.
	leastSlower = 0.75
)

// suspected returns the measures by which the target looks worse than the better ones of the
// others. By the rest it would be taken for good.
func suspected(others, targets []observation) (list []*measure) {
	var target tally.Counts
	for i := range targets {
		target.Add(&targets[i].within)
	}
	var failing, times []float64
	for i := range others {
		ro := &others[i].within
		failing = append(failing, float64(ro.Failures)/float64(ro.Requests))
		if ro.Timed > 0 {
			times = append(times, meanLog(ro))
		}
	}
	if target.Failures >= leastFailures && float64(target.Failures)/float64(target.Requests) > better(failing)+leastFailing {
		list = append(list, failures)
	}
	if len(times) > 0 && target.Timed > 0 && meanLog(&target) > better(times)+leastSlower {
		list = append(list, slownessOf(others))
	}
	return list
}

// better returns the lower quartile of a list.
func better(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/4]
}

// slownessOf returns the measure of service times beside those of some servers.
func slownessOf(others []observation) *measure {
	means, spread, n := 0.0, 0.0, 0.0
	for i := range others {
		ro := &others[i].within
		if ro.Timed == 0 {
			continue
		}
		mean := float64(ro.LogSum) / float64(ro.Timed)
		means += mean
		spread += float64(ro.LogSquareSum) - mean*float64(ro.LogSum)
		n++
	}
	if n == 0 {
		return slowness.around(0, 1)
	}
	timed := 0.0
	for i := range others {
		timed += float64(others[i].within.Timed)
	}
	return slowness.around(means/n/tally.PerDoubling, spread/timed/(tally.PerDoubling*tally.PerDoubling))
}

// routes returns the routes that the target has run most requests of.
func (ju *Judge) routes() []string {
	requests := map[string]uint64{}
	for _, sr := range ju.servers {
		for name, se := range sr.routes {
			if sr.target && se.total.Requests > 0 {
				requests[name] += se.total.Requests
			}
		}
	}
	names := slices.SortedFunc(maps.Keys(requests), func(a, b string) int {
		return cmp.Or(cmp.Compare(requests[b], requests[a]), cmp.Compare(a, b))
	})
	return names[:min(len(names), maxRoutes)]
}

// means returns the mean logarithm of the service times of the others by route, in units of
// the counts, so that the routes of a server can be added up.
func (ju *Judge) means() map[string]uint64 {
	sums := map[string]tally.Counts{}
	for _, sr := range ju.servers {
		for name, se := range sr.routes {
			if !sr.target {
				all := sums[name]
				all.Add(&se.total)
				sums[name] = all
			}
		}
	}
	means := map[string]uint64{}
	for name, all := range sums {
		if all.Timed > 0 {
			means[name] = all.LogSum / all.Timed
		}
	}
	return means
}

// observe returns what the servers of both cohorts did on a route, or on all together, since
// one of the judge's times and before it. A start of -1 is that of the rollout. What a server
// did on other routes counts as before: a server that is bad by itself is so on all routes.
func (ju *Judge) observe(start int, route string, means map[string]uint64) (others, targets []observation) {
	requests := uint64(0)
	for _, sr := range ju.servers {
		var ob observation
		for name, se := range sr.routes {
			within, before := se.total, tally.Counts{}
			if start >= 0 {
				before = se.marks[start]
				within, _ = se.total.Since(&before)
			}
			mean, known := means[name]
			within, before = shift(within, mean, known), shift(before, mean, known)
			ob.before.Add(&before)
			if route == "" || name == route {
				ob.within.Add(&within)
			} else {
				ob.before.Add(&within)
			}
		}
		switch {
		case ob.within.Requests == 0:
		case sr.target:
			targets = append(targets, ob)
		default:
			others = append(others, ob)
			requests += ob.within.Requests
		}
	}
	if requests < leastBaseline {
		return nil, nil
	}
	return busiest(others), busiest(targets)
}

// origin is where shifted logarithms are centered, so that none is negative.
const origin = 64 * tally.PerDoubling

// shift returns a row with its logarithms moved so that a mean lies at the origin. Without a
// mean that is known the times cannot be compared, and are left out.
func shift(ro tally.Counts, mean uint64, known bool) tally.Counts {
	if !known {
		return tally.Counts{Requests: ro.Requests, Failures: ro.Failures}
	}
	by := origin - mean
	ro.LogSquareSum += 2*by*ro.LogSum + by*by*ro.Timed
	ro.LogSum += by * ro.Timed
	return ro
}

// busiest returns the observations with the most requests in the window.
func busiest(list []observation) []observation {
	slices.SortFunc(list, func(a, b observation) int { return cmp.Compare(b.within.Requests, a.within.Requests) })
	return list[:min(len(list), maxServers)]
}
