package judge

import (
	"math"
	"slices"

	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// The sequential tests. Each is a cumulative sum of log likelihood ratios that begins anew
// at zero, so that a version which turns bad late is found as soon as one that is bad at
// once. A sum exceeds alarm by chance about once in exp(alarm) requests.
const (
	alarm = 12.0
	// quiet is the sum below which nothing speaks against the version.
	quiet = 6.0
	// A bad version fails failFactor times as many requests as the baseline, and failLeast
	// of all at least.
	failFactor = 3
	failLeast  = 0.1
	// leastFailing is what the baseline is taken to fail at least.
	leastFailing = 0.005
	// A good version takes goodSlower times as long as the baseline at most, which leaves
	// room for slower machines; a bad one badSlower times.
	goodSlower = 1.4
	badSlower  = 2.7
	// leastSpread is the least spread that service times are taken to have, in buckets.
	leastSpread = 1.0
	// maxDeviation bounds what one service time counts, in spreads.
	maxDeviation = 3
	// perDoubling is how many buckets a doubling of the service time is.
	perDoubling = 2
)

// baseline is what servers of the version before did lately, with older counts fading.
type baseline struct {
	requests, failures float64
	held               [tally.Buckets]float64
}

// fade lets all counts count less by a factor.
func (ba *baseline) fade(factor float64) {
	ba.requests *= factor
	ba.failures *= factor
	for i := range ba.held {
		ba.held[i] *= factor
	}
}

func (ba *baseline) add(ro *tally.Row) {
	ba.requests += float64(ro.Requests)
	ba.failures += float64(ro.Failures)
	for i, n := range ro.Held {
		ba.held[i] += float64(n)
	}
}

func (ba *baseline) plus(other *baseline) {
	ba.requests += other.requests
	ba.failures += other.failures
	for i, n := range other.held {
		ba.held[i] += n
	}
}

// failing returns the share of requests that fail.
func (ba *baseline) failing() float64 {
	const weight = 50
	return max(leastFailing, (ba.failures+weight*leastFailing)/(ba.requests+weight))
}

// times returns the median of the service times in buckets, their spread below it, and how
// many they were. Slow machines among the servers change neither by much.
func (ba *baseline) times() (median, spread, n float64) {
	for _, count := range ba.held {
		n += count
	}
	median = ba.quantile(0.5 * n)
	return median, max(leastSpread, median-ba.quantile(belowMedian*n)), n
}

// belowMedian is the quantile of a normal distribution one standard deviation below the
// median.
const belowMedian = 0.16

// quantile returns the place in buckets below which so many service times lie.
func (ba *baseline) quantile(rank float64) float64 {
	sum := 0.0
	for i, count := range ba.held {
		if count > 0 && sum+count >= rank {
			return float64(i) - 0.5 + (rank-sum)/count
		}
		sum += count
	}
	return 0
}

// normal is what good servers do on one route: the share of requests that fail, and the
// service times.
type normal struct {
	failing, median, spread, times float64
}

// normalOf returns the middle one of some baselines by each measure, without the worst, so
// that a bad server or failure domain among them counts for little.
func normalOf(list []*baseline) normal {
	var failing, median, spread []float64
	no := normal{}
	for _, ba := range list {
		failing = append(failing, ba.failing())
		if md, sp, n := ba.times(); n >= leastTimes {
			median, spread = append(median, md), append(spread, sp)
			no.times += n
		}
	}
	no.failing, no.median, no.spread = middle(failing), middle(median), middle(spread)
	return no
}

// middle returns the median of a list without its largest value, 0 for an empty one.
func middle(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	if len(list) > 1 {
		list = list[:len(list)-1]
	}
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}

// failureEvidence returns the log likelihood ratio of a bad version against a good one, by
// its requests that failed.
func failureEvidence(ro *tally.Row, no *normal) float64 {
	good := max(leastFailing, no.failing)
	bad := min(0.95, max(failFactor*good, good+failLeast))
	if bad <= good {
		return 0
	}
	failed, answered := float64(ro.Failures), float64(ro.Requests-ro.Failures)
	return failed*math.Log(bad/good) + answered*math.Log((1-bad)/(1-good))
}

// leastTimes is how many service times of the baseline are needed for a comparison.
const leastTimes = 10

// slownessEvidence returns the log likelihood ratio of a version that is several times
// slower against one that is not, by its service times.
func slownessEvidence(ro *tally.Row, no *normal) (sum float64) {
	if no.times == 0 {
		return 0
	}
	spread := no.spread
	good := perDoubling * math.Log2(goodSlower)
	bad := perDoubling * math.Log2(badSlower)
	for i, count := range ro.Held {
		if count == 0 {
			continue
		}
		off := min(max(float64(i)-no.median, -maxDeviation*spread), maxDeviation*spread)
		sum += float64(count) * (bad - good) / (spread * spread) * (off - (good+bad)/2)
	}
	return sum
}

// cusum is a cumulative sum of evidence that never falls below zero.
type cusum float64

func (cu *cusum) add(evidence float64) { *cu = cusum(max(0, float64(*cu)+evidence)) }
