package judge

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// Cause tells where the evidence against a version comes from.
type Cause struct {
	// Measure is failures or slowness; Route is empty for all routes together.
	Measure, Route string
	// Window is the length of time over which the versions were compared.
	Window time.Duration
}

const (
	// maxComparedServers is how many servers of the target and of the baseline each are compared,
	// and maxComparedRoutes how many routes: those with the most requests.
	maxComparedServers = 16
	maxComparedRoutes  = 8
	// minWindow is the shortest time over which versions are compared.
	minWindow = 500 * time.Millisecond
	// minBaselineRequests is how many requests of the baseline a comparison needs.
	minBaselineRequests = 20
)

// strongestEvidence returns the strongest evidence against the target, by route and measure, over
// the time since the rollout order and over shorter windows, as the version may turn bad later. It
// reports whether there was anything to compare.
func (ju *Judge) strongestEvidence() (strongest float64, cause Cause, compared bool) {
	if !ju.sawBaseline() {
		return noEvidence, cause, ju.healthyAlone()
	}
	routes := ju.busiestRoutes()
	means := ju.routeMeans()
	candidates := []string{""}
	if len(routes) > 1 {
		candidates = append(candidates, routes...)
	}
	for start := -1; start < len(ju.checkpointTimes); start++ {
		window := ju.lastObserved
		if start >= 0 {
			window -= ju.checkpointTimes[start]
		}
		if window < minWindow {
			break
		}
		// The version is equally likely to turn bad at any time, so shorter windows are less likely
		// a priori.
		windowPenalty := math.Log(float64(ju.lastObserved) / float64(window))
		if start == 0 && ju.firstObserved >= takeoverAfter {
			// This window holds everything that a judge which took over has observed of both
			// versions at the same time.
			windowPenalty = 0
		}
		for _, route := range candidates {
			baseline, targets := ju.observations(start, route, means)
			if len(targets) == 0 || len(baseline) == 0 {
				continue
			}
			if !compared {
				strongest, compared = noEvidence, true
			}
			penalty := windowPenalty
			if route != "" {
				penalty += math.Log(float64(len(routes)))
			}
			for _, me := range suspectMeasures(baseline, targets) {
				if ev := me.evidence(baseline, targets) - penalty; ev > strongest {
					strongest, cause = ev, Cause{me.name, route, window}
				}
			}
		}
	}
	return strongest, cause, compared
}

// sawBaseline reports whether counts of any baseline server ever arrived.
func (ju *Judge) sawBaseline() bool {
	for _, sr := range ju.servers {
		if !sr.target {
			return true
		}
	}
	return false
}

// healthyAlone reports whether the target, with no baseline to compare it with or to return to,
// answers nearly all requests. It has to, as baseline servers may be serving behind a network
// partition.
func (ju *Judge) healthyAlone() bool {
	var total tally.Counts
	for _, sr := range ju.servers {
		for _, se := range sr.routes {
			total.Add(&se.total)
		}
	}
	return total.Requests > 0 && float64(total.Failures) < maxFailureRateAlone*float64(total.Requests)
}

const (
	// maxFailureRateAlone is the share of requests that the target may fail without a baseline.
	maxFailureRateAlone = 0.05
	// noEvidence is the evidence where the target looks no worse than the baseline.
	noEvidence = -10.0
	// minFailures is the least number of failures that are compared, and minExcessFailureRate by
	// how much the failure rate has to exceed that of healthy servers.
	minFailures          = 2
	minExcessFailureRate = 0.02
	// minSlowdown is by how many doublings the target has to be slower than fast servers.
	minSlowdown = 0.75
)

// suspectMeasures returns the measures by which the target looks worse than the better servers of
// the baseline. By the other measures the target would be found good.
func suspectMeasures(baseline, targets []observation) (list []*measure) {
	var target tally.Counts
	for i := range targets {
		target.Add(&targets[i].window)
	}
	var failureRates, meanLogs []float64
	for i := range baseline {
		counts := &baseline[i].window
		failureRates = append(failureRates, float64(counts.Failures)/float64(counts.Requests))
		if counts.Timed > 0 {
			meanLogs = append(meanLogs, meanLog(counts))
		}
	}
	if target.Failures >= minFailures && float64(target.Failures)/float64(target.Requests) > lowerQuartile(failureRates)+minExcessFailureRate {
		list = append(list, failures)
	}
	if len(meanLogs) > 0 && target.Timed > 0 && meanLog(&target) > lowerQuartile(meanLogs)+minSlowdown {
		list = append(list, slownessAround(baseline))
	}
	return list
}

// lowerQuartile returns the lower quartile of a list, which it sorts.
func lowerQuartile(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/4]
}

// slownessAround returns the measure of service times relative to those of baseline servers.
func slownessAround(baseline []observation) *measure {
	meanSum, squaredDeviations, n := 0.0, 0.0, 0.0
	for i := range baseline {
		counts := &baseline[i].window
		if counts.Timed == 0 {
			continue
		}
		mean := float64(counts.LogSum) / float64(counts.Timed)
		meanSum += mean
		squaredDeviations += float64(counts.LogSquareSum) - mean*float64(counts.LogSum)
		n++
	}
	if n == 0 {
		return slowness.centeredOn(0, 1)
	}
	timed := 0.0
	for i := range baseline {
		timed += float64(baseline[i].window.Timed)
	}
	return slowness.centeredOn(meanSum/n/tally.UnitsPerDoubling, squaredDeviations/timed/(tally.UnitsPerDoubling*tally.UnitsPerDoubling))
}

// busiestRoutes returns the routes on which the target has served the most requests.
func (ju *Judge) busiestRoutes() []string {
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
	return names[:min(len(names), maxComparedRoutes)]
}

// routeMeans returns the mean logarithm of the baseline's service times by route, in units of
// tally.LogUnits, so that the times of different routes can be added up.
func (ju *Judge) routeMeans() map[string]uint64 {
	totals := map[string]tally.Counts{}
	for _, sr := range ju.servers {
		for name, se := range sr.routes {
			if !sr.target {
				total := totals[name]
				total.Add(&se.total)
				totals[name] = total
			}
		}
	}
	means := map[string]uint64{}
	for name, total := range totals {
		if total.Timed > 0 {
			means[name] = total.LogSum / total.Timed
		}
	}
	return means
}

// observations returns the counts of the servers of the baseline and the target, on a route or on
// all together, since a checkpoint and before it. A start of -1 is the start of the rollout. Counts
// on other routes are added to the history, since an individually bad server is bad on all routes.
func (ju *Judge) observations(start int, route string, means map[string]uint64) (baseline, targets []observation) {
	requests := uint64(0)
	for _, sr := range ju.servers {
		var ob observation
		for name, se := range sr.routes {
			window, history := se.total, tally.Counts{}
			if start >= 0 {
				history = se.checkpoints[start]
				window, _ = se.total.Since(&history)
			}
			mean, known := means[name]
			window, history = recenter(window, mean, known), recenter(history, mean, known)
			ob.history.Add(&history)
			if route == "" || name == route {
				ob.window.Add(&window)
			} else {
				ob.history.Add(&window)
			}
		}
		switch {
		case ob.window.Requests == 0:
		case sr.target:
			targets = append(targets, ob)
		default:
			baseline = append(baseline, ob)
			requests += ob.window.Requests
		}
	}
	if requests < minBaselineRequests {
		return nil, nil
	}
	return busiestServers(baseline), busiestServers(targets)
}

// logOrigin is the value to which recenter moves a mean, large enough that no logarithm gets
// negative.
const logOrigin = 64 * tally.UnitsPerDoubling

// recenter returns counts with their logarithms shifted so that the given mean moves to logOrigin.
// Without a known mean the service times cannot be compared and are left out.
func recenter(counts tally.Counts, mean uint64, known bool) tally.Counts {
	if !known {
		return tally.Counts{Requests: counts.Requests, Failures: counts.Failures}
	}
	offset := logOrigin - mean
	counts.LogSquareSum += 2*offset*counts.LogSum + offset*offset*counts.Timed
	counts.LogSum += offset * counts.Timed
	return counts
}

// busiestServers returns the observations with the most requests in the window.
func busiestServers(list []observation) []observation {
	slices.SortFunc(list, func(a, b observation) int { return cmp.Compare(b.window.Requests, a.window.Requests) })
	return list[:min(len(list), maxComparedServers)]
}
