package limit

import "time"

const (
	// meanWeight is how many requests make a mean.
	meanWeight = 16
	// maxKinds is how many kinds are known at most; beyond it all are learned anew.
	maxKinds = 256
)

// mean is a weighted mean time; the zero value knows none.
type mean struct {
	value time.Duration
	n     int
}

// add takes a time. The first ones count by their number, or one odd first would
// stand for long.
func (me *mean) add(d time.Duration) {
	me.n = min(me.n+1, meanWeight)
	me.value += (d - me.value) / time.Duration(me.n)
}

// kinds holds for how long requests of each kind hold a slot. A gate that reckons
// with one mean for all takes a call of 30 ms for a record of 160 ms.
type kinds map[string]*mean

func (ks kinds) value(kind string) time.Duration {
	if me := ks[kind]; me != nil {
		return me.value
	}
	return 0
}

func (ks kinds) add(kind string, d time.Duration) {
	me := ks[kind]
	if me == nil {
		if len(ks) >= maxKinds {
			clear(ks)
		}
		me = &mean{}
		ks[kind] = me
	}
	me.add(d)
}
