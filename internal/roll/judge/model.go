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
	points []float64
	good   int
	// healthy and bad are the points of healthy and of bad servers, by way and level of the
	// service. In way 0 the version is good, in each of the others bad in that way.
	healthy [][]int
	bad     [][][]int
	// logLikes sets the log likelihood of counts at the first points, up to what all share.
	logLikes func(list []float64, ro *tally.Counts)
}

// newMeasure returns a measure without logLikes. Levels are those of healthy servers; bad
// servers and bad versions are above by one of ofServer and ofVersion.
func newMeasure(name string, levels, ofServer, ofVersion []float64) *measure {
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
	for _, version := range append([]float64{0}, ofVersion...) {
		var healthy []int
		var bad [][]int
		for _, level := range levels {
			healthy = append(healthy, point(level+version))
			var list []int
			for _, more := range ofServer {
				list = append(list, point(level+version+more))
			}
			bad = append(bad, list)
		}
		me.healthy, me.bad = append(me.healthy, healthy), append(me.bad, bad)
		if version == 0 {
			me.good = len(me.points)
		}
	}
	return me
}

const (
	// maxWeight is the most requests of a server that count, since no two healthy servers
	// are quite alike.
	maxWeight = 60.0
	// leastLike is the least likelihood of what a server did, beside that of the point that
	// fits best: any server may do what no model tells.
	leastLike = 1e-5
	// becomesBad and recovers are the parts of the servers that change their state within
	// a window.
	becomesBad = 0.02
	recovers   = 0.05
)

// badServers are the parts of the servers that may be bad by themselves, with how likely
// each is.
var (
	badServers       = [...]float64{0.03, 0.12, 0.35}
	badServersWeight = [...]float64{0.4, 0.4, 0.2}
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
	me.logLikes = func(list []float64, ro *tally.Counts) {
		weight := min(1, maxWeight/float64(ro.Requests))
		failed, answered := weight*float64(ro.Failures), weight*float64(ro.Requests-ro.Failures)
		for i := range list {
			list[i] = failed*logs[i] - answered*me.points[i]
		}
	}
	return me
}

// hazards returns the hazards of some probabilities. Those of independent causes add up.
func hazards(list ...float64) []float64 {
	for i, p := range list {
		list[i] = -math.Log1p(-p)
	}
	return list
}

// The service times, in doublings.
const (
	// speedSpread is the standard deviation of the speeds of healthy servers.
	speedSpread = 0.6
	// The levels of healthy servers lie around the mean of the servers before, which is
	// above them where many of these are slow.
	levelStep  = 0.25
	lowestStep = -10
	levelSteps = 14
)

// slowness measures service times, around the mean of the servers before.
var slowness = newSlowness()

func newSlowness() *measure {
	var levels []float64
	for i := range levelSteps {
		levels = append(levels, levelStep*float64(lowestStep+i))
	}
	return newMeasure("slowness", levels, []float64{1.5, 2.25, 3, 4}, []float64{1.5, 2, 2.5, 3})
}

// around returns the measure of service times around a mean logarithm, with the variance of
// those of a single server.
func (me measure) around(mean, variance float64) *measure {
	me.logLikes = func(list []float64, ro *tally.Counts) {
		if ro.Timed == 0 {
			return
		}
		at := meanLog(ro) - mean
		n := min(maxWeight, float64(ro.Timed))
		scale := -1 / (2 * (speedSpread*speedSpread + variance/n))
		for i := range list {
			list[i] = scale * (at - me.points[i]) * (at - me.points[i])
		}
	}
	return &me
}

// meanLog returns the mean logarithm of the service times in doublings.
func meanLog(ro *tally.Counts) float64 {
	return float64(ro.LogSum) / float64(ro.Timed) / tally.PerDoubling
}

// observation is what a server did before a window and within it.
type observation struct {
	before, within tally.Counts
}

// fits are the likelihoods of one observation.
type fits struct {
	within []float64
	// part is how likely the server is bad by itself, by level and index of badServers.
	part [][len(badServers)]float64
}

// likes sets the likelihoods of counts at the first points, beside that of the best one.
func (me *measure) likes(list []float64, ro *tally.Counts) {
	clear(list)
	me.logLikes(list, ro)
	top := slices.Max(list)
	for i, v := range list {
		list[i] = max(leastLike, math.Exp(v-top))
	}
}

// ofBad returns the likelihood of a bad server.
func (me *measure) ofBad(likes []float64, way, level int) float64 {
	sum := 0.0
	list := me.bad[way][level]
	for _, point := range list {
		sum += likes[point]
	}
	return sum / float64(len(list))
}

// fits returns the likelihoods of observations at the first points. What a server did before
// the window, with the version good, says in which state it was.
func (me *measure) fits(list []observation, points int) []fits {
	levels := len(me.healthy[0])
	all := make([]fits, len(list))
	within := make([]float64, len(list)*points)
	part := make([][len(badServers)]float64, len(list)*levels)
	before := make([]float64, me.good)
	for i := range list {
		ob, ft := &list[i], &all[i]
		ft.within, within = within[:points], within[points:]
		ft.part, part = part[:levels], part[levels:]
		me.likes(ft.within, &ob.within)
		if ob.before.Requests == 0 {
			for level := range ft.part {
				ft.part[level] = badServers
			}
			continue
		}
		me.likes(before, &ob.before)
		for level, healthy := range me.healthy[0] {
			ofBad := me.ofBad(before, 0, level)
			for j, prior := range badServers {
				bad := prior * ofBad
				ft.part[level][j] = becomesBad + (1-becomesBad-recovers)*bad/(bad+(1-prior)*before[healthy])
			}
		}
	}
	return all
}

// evidence returns the logarithm of how many times as likely the observations are if the
// version of the targets is bad as if it is good.
func (me *measure) evidence(others, targets []observation) float64 {
	ways := len(me.healthy)
	var good, bad float64
	olds, news := me.fits(others, me.good), me.fits(targets, len(me.points))
	for level := range me.healthy[0] {
		before := me.product(olds, 0, level)
		for way := range ways {
			for i, p := range me.product(news, way, level) {
				p *= before[i] * badServersWeight[i]
				if way == 0 {
					good += p
				} else {
					bad += p / float64(ways-1)
				}
			}
		}
	}
	return math.Log(bad) - math.Log(good)
}

// product returns the likelihood of several servers in a way and at a level, by index of
// badServers.
func (me *measure) product(list []fits, way, level int) (products [len(badServers)]float64) {
	for j := range products {
		products[j] = 1
	}
	for i := range list {
		ft := &list[i]
		healthy, bad := ft.within[me.healthy[way][level]], me.ofBad(ft.within, way, level)
		for j, part := range ft.part[level] {
			products[j] *= (1-part)*healthy + part*bad
		}
	}
	return products
}
