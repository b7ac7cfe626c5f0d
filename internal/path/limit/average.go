package limit

import "time"

const (
	// averageWeight is the number of samples after which the average becomes exponentially
	// weighted, with each new sample counting 1/averageWeight.
	averageWeight = 16
	// maxKinds bounds the kinds that are tracked. When it is reached, all averages are reset.
	maxKinds = 256
)

// movingAverage is an exponentially weighted average duration. The zero value has no samples.
type movingAverage struct {
	value time.Duration
	n     int
}

// add records a sample. The first averageWeight samples are weighted equally; otherwise an outlier
// at the start would dominate the average for long.
func (ma *movingAverage) add(d time.Duration) {
	ma.n = min(ma.n+1, averageWeight)
	ma.value += (d - ma.value) / time.Duration(ma.n)
}

// serviceTimes holds the average service time, which is the time that a request holds its slot, by
// kind of request. With one average for all kinds, a call of 30 ms is expected to take as long as a
// record request of 160 ms.
type serviceTimes map[string]*movingAverage

// expected returns the average service time of a kind, 0 if it has no samples.
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
