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
	// maxComparedServers is how many servers of either cohort are compared, and maxComparedRoutes how many
	// routes, those with the most requests.
	maxComparedServers = 16
	maxComparedRoutes  = 8
	// minWindow is the shortest time over which versions are compared.
	minWindow = 500 * time.Millisecond
	// minBaselineRequests is how many requests of the others a comparison needs.
	minBaselineRequests = 20
)

// evidence returns the strongest evidence against the target, by route and measure, over the
// time since the first look and over shorter ones, in which the version may have turned bad.
// It reports whether there was anything to compare.
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
		// A version turns bad at any time as likely as at another.
		windowPenalty := math.Log(float64(ju.lastObserved) / float64(window))
		if start == 0 && ju.firstObserved >= takeoverAfter {
			// All that a judge which took over has seen of others at the same moment.
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

// sawBaseline reports whether any server of another version was ever heard.
func (ju *Judge) sawBaseline() bool {
	for _, sr := range ju.servers {
		if !sr.target {
			return true
		}
	}
	return false
}

// healthyAlone reports whether the target, with no other version to compare it with or to go
// back to, answers nearly all requests. Others may serve behind a cut, so it has to.
func (ju *Judge) healthyAlone() bool {
	var total tally.Row
	for _, sr := range ju.servers {
		for _, se := range sr.routes {
			total.Add(&se.total)
		}
	}
	return total.Requests > 0 && float64(total.Failures) < maxFailureRateAlone*float64(total.Requests)
}

const (
	// maxFailureRateAlone is the share of requests that a version without any other may fail.
	maxFailureRateAlone = 0.05
	// noEvidence is the evidence where the target looks no worse than the others.
	noEvidence = -10.0
	// minFailures is how many failures are compared, and minExcessFailureRate the share of them
	// above that of healthy servers.
	minFailures          = 2
	minExcessFailureRate = 0.02
	// minSlowdown is by how many doublings the target has to be slower than fast servers.
	minSlowdown = 0.75
)

// suspectMeasures returns the measures by which the target looks worse than the better ones of the
// others. By the rest it would be taken for good.
func suspectMeasures(baseline, targets []observation) (list []*measure) {
	var target tally.Row
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

// lowerQuartile returns the lower quartile of a list.
func lowerQuartile(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/4]
}

// slownessAround returns the measure of service times beside those of some servers.
func slownessAround(baseline []observation) *measure {
	meanSum, squaredDeviations, n := 0.0, 0.0, 0.0
	for i := range baseline {
		counts := &baseline[i].window
		if counts.Timed == 0 {
			continue
		}
		mean := float64(counts.Logs) / float64(counts.Timed)
		meanSum += mean
		squaredDeviations += float64(counts.Squares) - mean*float64(counts.Logs)
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

// busiestRoutes returns the routes that the target has run most requests of.
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

// routeMeans returns the mean logarithm of the service times of the others by route, in units of
// the counts, so that the routes of a server can be added up.
func (ju *Judge) routeMeans() map[string]uint64 {
	totals := map[string]tally.Row{}
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
			means[name] = total.Logs / total.Timed
		}
	}
	return means
}

// observations returns what the servers of both cohorts did on a route, or on all together, since
// one of the judge's times and before it. A start of -1 is that of the rollout. What a server
// did on other routes counts as before: a server that is bad by itself is so on all routes.
func (ju *Judge) observations(start int, route string, means map[string]uint64) (baseline, targets []observation) {
	requests := uint64(0)
	for _, sr := range ju.servers {
		var ob observation
		for name, se := range sr.routes {
			window, history := se.total, tally.Row{}
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

// logOrigin is where shifted logarithms are centered, so that none is negative.
const logOrigin = 64 * tally.UnitsPerDoubling

// recenter returns a row with its logarithms moved so that a mean lies at the origin. Without a
// mean that is known the times cannot be compared, and are left out.
func recenter(counts tally.Row, mean uint64, known bool) tally.Row {
	if !known {
		return tally.Row{Requests: counts.Requests, Failures: counts.Failures}
	}
	offset := logOrigin - mean
	counts.Squares += 2*offset*counts.Logs + offset*offset*counts.Timed
	counts.Logs += offset * counts.Timed
	return counts
}

// busiestServers returns the observations with the most requests in the window.
func busiestServers(list []observation) []observation {
	slices.SortFunc(list, func(a, b observation) int { return cmp.Compare(b.window.Requests, a.window.Requests) })
	return list[:min(len(list), maxComparedServers)]
}
