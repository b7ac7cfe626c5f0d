package limit

import "time"

const (
	// averageWeight is how many requests make a mean.
	averageWeight = 16
	// maxKinds is how many kinds are known at most; beyond it all are learned anew.
	maxKinds = 256
)

// movingAverage is a weighted mean time; the zero value knows none.
type movingAverage struct {
	value time.Duration
	n     int
}

// add takes a time. The first ones count by their number, or one odd first would
// stand for long.
func (ma *movingAverage) add(d time.Duration) {
	ma.n = min(ma.n+1, averageWeight)
	ma.value += (d - ma.value) / time.Duration(ma.n)
}

// serviceByKind holds for how long requests of each kind hold a slot. A gate that reckons
// with one mean for all takes a call of 30 ms for a record of 160 ms.
type serviceTimes map[string]*movingAverage

func (st serviceTimes) expected(kind string) time.Duration {
	if ma := st[kind]; ma != nil {
		return ma.value
	}
	return 0
}

func (st serviceTimes) add(kind string, d time.Duration) {
	ma := st[kind]
	if ma == nil {
		if len(st) >= maxKinds {
			clear(st)
		}
		ma = &movingAverage{}
		st[kind] = ma
	}
	ma.add(d)
}
