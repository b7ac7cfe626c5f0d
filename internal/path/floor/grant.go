package floor

import (
	"math"
	"sync/atomic"
	"time"
)

// aim is the part of the mean that grants aim at. It is above Guaranteed since each outlet goes by its
// own requests and an estimate of the mean.
const aim = 0.4

// maxGrants bounds the grants of a kind to this many times its floor, so that a service that serves nothing
// is not flooded with granted requests.
const maxGrants = 2

// Grant decides whether the next request of a kind is granted precedence, so that the kind reaches its
// floor. mean is the served share of all kinds, first is set unless the request is a caller's retry, and
// draw is a random number in [0, 1). Done must be called when a granted request has ended.
func (ki *Kind) Grant(now time.Time, mean float64, first bool, draw float64) bool {
	offered, served := ki.Recent(now)
	if first {
		offered++
	} else {
		// The first try had its draw.
		offered--
	}
	granted, _ := ki.grants.Read(now, halfLife)
	if draw >= probability(offered, served, granted, float64(ki.inFlight.Load()), mean) {
		return false
	}
	ki.inFlight.Add(1)
	ki.granted.Add(1)
	ki.grants.Add(now, halfLife, 1, 0)
	return true
}

// Done records that a granted request has ended.
func (ki *Kind) Done() { ki.inFlight.Add(-1) }

// Granted returns the number of granted requests since the start.
func (ki *Kind) Granted() int64 { return ki.granted.Load() }

// probability returns the probability with which a request is granted, given the recent requests of its
// kind, those served, granted and in flight. At an outlet with many requests it holds the served share
// at the aim. At one with few it is the aimed share of a single request, so that the floor holds as a sum
// over many such outlets.
func probability(offered, served, granted, inFlight, mean float64) float64 {
	due := aim * mean * offered
	return min(due-served-inFlight, maxGrants*due-granted)
}

// Mean is a moving average of the served shares that outlets report. The zero value has no samples.
type Mean struct {
	bits atomic.Uint64 // of a float64: the average + 1
}

// meanWeight is the number of reports that the average covers.
const meanWeight = 128

// Add adds a report. Of two concurrent ones, one may be lost.
func (me *Mean) Add(share float64) {
	if old, ok := me.Value(); ok {
		share = old + (share-old)/meanWeight
	}
	me.bits.Store(math.Float64bits(share + 1))
}

// Value returns the average, and false without samples.
func (me *Mean) Value() (share float64, ok bool) {
	bits := me.bits.Load()
	if bits == 0 {
		return 0, false
	}
	return math.Float64frombits(bits) - 1, true
}
