package judge

import (
	"math"
	"slices"

	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// The model of a service. Each server is healthy or, for reasons of its own, bad; a version
// is good or bad on all of its servers. Both add to a server's level, the hazard of a failure
// or the logarithm of the service time. Healthy servers of the version before are at an
// unknown level of the service. What is not known is summed over: that level, how likely a
// server is bad by itself, and by how much servers and versions are bad.

// measure is a kind of badness.
type measure struct {
	name string
	// points are all levels at which a server may be, first those with a good version.
	points     []float64
	goodPoints int
	// healthy and bad are the points of healthy and of bad servers, by way and level of the
	// service. In way 0 the version is good, in each of the others bad in that way.
	healthy [][]int
	bad     [][][]int
	// logLikelihoods sets the log likelihood of counts at the first points, up to what all share.
	logLikelihoods func(list []float64, ro *tally.Row)
}

// newMeasure returns a measure without logLikelihoods. Levels are those of healthy servers; bad
// servers and bad versions are above by one of ofServer and ofVersion.
func newMeasure(name string, levels, serverOffsets, versionOffsets []float64) *measure {
	me := &measure{name: name}
	index := map[float64]int{}
	point := func(level float64) int {
		i, ok := index[level]
		if !ok {
			i = len(me.points)
			index[level] = i
			me.points = append(me.points, level)
		}
		return i
	}
	for _, versionOffset := range append([]float64{0}, versionOffsets...) {
		var healthy []int
		var bad [][]int
		for _, level := range levels {
			healthy = append(healthy, point(level+versionOffset))
			var badPoints []int
			for _, serverOffset := range serverOffsets {
				badPoints = append(badPoints, point(level+versionOffset+serverOffset))
			}
			bad = append(bad, badPoints)
		}
		me.healthy, me.bad = append(me.healthy, healthy), append(me.bad, bad)
		if versionOffset == 0 {
			me.goodPoints = len(me.points)
		}
	}
	return me
}

const (
	// maxEffectiveRequests is the most requests of a server that count, since no two healthy servers
	// are quite alike.
	maxEffectiveRequests = 60.0
	// minLikelihood is the least likelihood of what a server did, beside that of the point that
	// fits best: any server may do what no model tells.
	minLikelihood = 1e-5
	// turnBadProb and recovers are the parts of the servers that change their state within
	// a window.
	turnBadProb = 0.02
	recoverProb = 0.05
)

// badServerFractions are the parts of the servers that may be bad by themselves, with how likely
// each is.
var (
	badServerFractions       = [...]float64{0.03, 0.12, 0.35}
	badServerFractionWeights = [...]float64{0.4, 0.4, 0.2}
)

// failures measures the share of requests that fail, as hazards.
var failures = newFailures()

func newFailures() *measure {
	levels := hazards(0.0005, 0.002, 0.006, 0.015, 0.035, 0.07, 0.12, 0.18, 0.26, 0.36, 0.48, 0.62, 0.78)
	me := newMeasure("failures", levels, hazards(0.1, 0.2, 0.4, 0.7), hazards(0.1, 0.15, 0.3, 0.5))
	logs := make([]float64, len(me.points))
	for i, hazard := range me.points {
		logs[i] = math.Log(-math.Expm1(-hazard))
	}
	me.logLikelihoods = func(list []float64, counts *tally.Row) {
		weight := min(1, maxEffectiveRequests/float64(counts.Requests))
		failed, succeeded := weight*float64(counts.Failures), weight*float64(counts.Requests-counts.Failures)
		for i := range list {
			list[i] = failed*logs[i] - succeeded*me.points[i]
		}
	}
	return me
}

// hazards returns the hazards of some probabilities. Those of independent causes add up.
func hazards(probabilities ...float64) []float64 {
	for i, p := range probabilities {
		probabilities[i] = -math.Log1p(-p)
	}
	return probabilities
}

// The service times, in doublings.
const (
	// speedStdDev is the standard deviation of the speeds of healthy servers.
	speedStdDev = 0.6
	// The levels of healthy servers lie around the mean of the servers before, which is
	// above them where many of these are slow.
	levelStep      = 0.25
	firstLevelStep = -10
	levelCount     = 14
)

// slowness measures service times, around the mean of the servers before.
var slowness = newSlowness()

func newSlowness() *measure {
	var levels []float64
	for i := range levelCount {
		levels = append(levels, levelStep*float64(firstLevelStep+i))
	}
	return newMeasure("slowness", levels, []float64{1.5, 2.25, 3, 4}, []float64{1.5, 2, 2.5, 3})
}

// centeredOn returns the measure of service times around a mean logarithm, with the variance of
// those of a single server.
func (me measure) centeredOn(mean, variance float64) *measure {
	me.logLikelihoods = func(list []float64, counts *tally.Row) {
		if counts.Timed == 0 {
			return
		}
		deviation := meanLog(counts) - mean
		n := min(maxEffectiveRequests, float64(counts.Timed))
		scale := -1 / (2 * (speedStdDev*speedStdDev + variance/n))
		for i := range list {
			list[i] = scale * (deviation - me.points[i]) * (deviation - me.points[i])
		}
	}
	return &me
}

// meanLog returns the mean logarithm of the service times in doublings.
func meanLog(counts *tally.Row) float64 {
	return float64(counts.Logs) / float64(counts.Timed) / tally.UnitsPerDoubling
}

// observation is what a server did before a window and within it.
type observation struct {
	history, window tally.Row
}

// fit are the likelihoods of one observation.
type serverFit struct {
	window []float64
	// badProb is how likely the server is bad by itself, by level and index of badServerFractions.
	badProb [][len(badServerFractions)]float64
}

// likelihoods sets the likelihoods of counts at the first points, beside that of the best one.
func (me *measure) likelihoods(list []float64, counts *tally.Row) {
	clear(list)
	me.logLikelihoods(list, counts)
	maxLog := slices.Max(list)
	for i, v := range list {
		list[i] = max(minLikelihood, math.Exp(v-maxLog))
	}
}

// badLikelihood returns the likelihood of a bad server.
func (me *measure) badLikelihood(likelihoods []float64, hypothesis, level int) float64 {
	sum := 0.0
	points := me.bad[hypothesis][level]
	for _, point := range points {
		sum += likelihoods[point]
	}
	return sum / float64(len(points))
}

// fit returns the likelihoods of observations at the first points. What a server did before
// the window, with the version good, says in which state it was.
func (me *measure) fit(observations []observation, points int) []serverFit {
	levels := len(me.healthy[0])
	fits := make([]serverFit, len(observations))
	window := make([]float64, len(observations)*points)
	badProb := make([][len(badServerFractions)]float64, len(observations)*levels)
	historyLikelihoods := make([]float64, me.goodPoints)
	for i := range observations {
		ob, ft := &observations[i], &fits[i]
		ft.window, window = window[:points], window[points:]
		ft.badProb, badProb = badProb[:levels], badProb[levels:]
		me.likelihoods(ft.window, &ob.window)
		if ob.history.Requests == 0 {
			for level := range ft.badProb {
				ft.badProb[level] = badServerFractions
			}
			continue
		}
		me.likelihoods(historyLikelihoods, &ob.history)
		for level, healthy := range me.healthy[0] {
			badLikelihood := me.badLikelihood(historyLikelihoods, 0, level)
			for j, prior := range badServerFractions {
				bad := prior * badLikelihood
				ft.badProb[level][j] = turnBadProb + (1-turnBadProb-recoverProb)*bad/(bad+(1-prior)*historyLikelihoods[healthy])
			}
		}
	}
	return fits
}

// evidence returns the logarithm of how many times as likely the observations are if the
// version of the targets is bad as if it is good.
func (me *measure) evidence(baseline, targets []observation) float64 {
	hypotheses := len(me.healthy)
	var good, bad float64
	baselineFits, targetFits := me.fit(baseline, me.goodPoints), me.fit(targets, len(me.points))
	for level := range me.healthy[0] {
		baselineJoint := me.jointLikelihoods(baselineFits, 0, level)
		for hypothesis := range hypotheses {
			for i, p := range me.jointLikelihoods(targetFits, hypothesis, level) {
				p *= baselineJoint[i] * badServerFractionWeights[i]
				if hypothesis == 0 {
					good += p
				} else {
					bad += p / float64(hypotheses-1)
				}
			}
		}
	}
	return math.Log(bad) - math.Log(good)
}

// jointLikelihoods returns the likelihood of several servers in a way and at a level, by index of
// badServerFractions.
func (me *measure) jointLikelihoods(fits []serverFit, hypothesis, level int) (joint [len(badServerFractions)]float64) {
	for j := range joint {
		joint[j] = 1
	}
	for i := range fits {
		ft := &fits[i]
		healthy, bad := ft.window[me.healthy[hypothesis][level]], me.badLikelihood(ft.window, hypothesis, level)
		for j, badProb := range ft.badProb[level] {
			joint[j] *= (1-badProb)*healthy + badProb*bad
		}
	}
	return joint
}
