package judge

import (
	"math"
	"slices"

	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// The statistical model of a service. Each server is healthy or individually bad; a version is
// good, or bad on all of its servers. Each kind of badness adds an offset to a server's level,
// which is the hazard of a failure or the logarithm of the service time. Healthy baseline servers
// are at a common, unknown level. The unknowns are summed over: that level, the fraction of
// individually bad servers, and the offsets of bad servers and bad versions.

// measure is a metric by which versions are compared.
type measure struct {
	name string
	// points are the distinct levels at which a server may be. The first goodPoints of them are
	// those with a good version.
	points     []float64
	goodPoints int
	// healthy and bad are the indices in points of healthy and of bad servers, by hypothesis and
	// baseline level. Under hypothesis 0 the version is good; each of the others is one offset of a
	// bad version.
	healthy [][]int
	bad     [][][]int
	// logLikelihoods sets the log likelihoods of counts at the first points, up to a common
	// constant.
	logLikelihoods func(list []float64, counts *tally.Counts)
}

// newMeasure returns a measure without logLikelihoods. The levels are those of healthy servers; a
// bad server is above them by one of serverOffsets, a bad version by one of versionOffsets.
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
	// maxEffectiveRequests is the most requests of one server that count, since no two healthy
	// servers perform exactly alike.
	maxEffectiveRequests = 60.0
	// minLikelihood is the lower bound of the likelihood of a server's counts relative to the best
	// point: a server may behave in a way that the model does not cover.
	minLikelihood = 1e-5
	// turnBadProb and recoverProb are the probabilities that a server turns bad or recovers within
	// a window.
	turnBadProb = 0.02
	recoverProb = 0.05
)

// badServerFractions are the possible fractions of individually bad servers, and
// badServerFractionWeights their prior probabilities.
var (
	badServerFractions       = [...]float64{0.03, 0.12, 0.35}
	badServerFractionWeights = [...]float64{0.4, 0.4, 0.2}
)

// failures compares the share of requests that fail, as hazards.
var failures = newFailures()

func newFailures() *measure {
	levels := hazards(0.0005, 0.002, 0.006, 0.015, 0.035, 0.07, 0.12, 0.18, 0.26, 0.36, 0.48, 0.62, 0.78)
	me := newMeasure("failures", levels, hazards(0.1, 0.2, 0.4, 0.7), hazards(0.1, 0.15, 0.3, 0.5))
	logs := make([]float64, len(me.points))
	for i, hazard := range me.points {
		logs[i] = math.Log(-math.Expm1(-hazard))
	}
	me.logLikelihoods = func(list []float64, counts *tally.Counts) {
		weight := min(1, maxEffectiveRequests/float64(counts.Requests))
		failed, succeeded := weight*float64(counts.Failures), weight*float64(counts.Requests-counts.Failures)
		for i := range list {
			list[i] = failed*logs[i] - succeeded*me.points[i]
		}
	}
	return me
}

// hazards returns the hazards of probabilities. The hazards of independent causes add up.
func hazards(probabilities ...float64) []float64 {
	for i, p := range probabilities {
		probabilities[i] = -math.Log1p(-p)
	}
	return probabilities
}

// The distribution of service times, in doublings.
const (
	// speedStdDev is the standard deviation of the speeds of healthy servers.
	speedStdDev = 0.6
	// The levels of healthy servers are relative to the mean of the baseline, which is above them
	// where many baseline servers are slow.
	levelStep      = 0.25
	firstLevelStep = -10
	levelCount     = 14
)

// slowness compares service times, relative to the mean of the baseline.
var slowness = newSlowness()

func newSlowness() *measure {
	var levels []float64
	for i := range levelCount {
		levels = append(levels, levelStep*float64(firstLevelStep+i))
	}
	return newMeasure("slowness", levels, []float64{1.5, 2.25, 3, 4}, []float64{1.5, 2, 2.5, 3})
}

// centeredOn returns the measure of service times relative to a mean logarithm. The variance is
// that of the times of a single server.
func (me measure) centeredOn(mean, variance float64) *measure {
	me.logLikelihoods = func(list []float64, counts *tally.Counts) {
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

// meanLog returns the mean logarithm of the service times, in doublings.
func meanLog(counts *tally.Counts) float64 {
	return float64(counts.LogSum) / float64(counts.Timed) / tally.UnitsPerDoubling
}

// observation has the counts of a server before a window and within it.
type observation struct {
	history, window tally.Counts
}

// serverFit has the likelihoods of one observation.
type serverFit struct {
	window []float64
	// badProb is the probability that the server is individually bad within the window, by level
	// and index of badServerFractions.
	badProb [][len(badServerFractions)]float64
}

// likelihoods sets the likelihoods of counts at the first points, relative to the best one.
func (me *measure) likelihoods(list []float64, counts *tally.Counts) {
	clear(list)
	me.logLikelihoods(list, counts)
	maxLog := slices.Max(list)
	for i, v := range list {
		list[i] = max(minLikelihood, math.Exp(v-maxLog))
	}
}

// badLikelihood returns the mean likelihood of a bad server.
func (me *measure) badLikelihood(likelihoods []float64, hypothesis, level int) float64 {
	sum := 0.0
	points := me.bad[hypothesis][level]
	for _, point := range points {
		sum += likelihoods[point]
	}
	return sum / float64(len(points))
}

// fit returns the likelihoods of observations at the first points. The counts before the window,
// when the version is taken to have been good, give the probability that a server was already bad.
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

// evidence returns the log Bayes factor: the logarithm of how many times more likely the
// observations are if the targets' version is bad than if it is good.
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

// jointLikelihoods returns the likelihood of the observations of several servers under a hypothesis
// and at a level, by index of badServerFractions.
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
