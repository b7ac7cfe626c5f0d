package retry

import (
	"math"
	"sync/atomic"
)

// Bound is what operators allow of repeats at one service, summed over all
// outlets, in any window of some seconds.
type Bound struct {
	// Ratio is how many repeats there may be for each request.
	Ratio float64
	// Spare is how many more there may be in a window, however few requests come.
	Spare float64
}

// Default is the bound where operators set none. Repeats then add less than a fifth to
// the load of a service that fails, which servers that run at four fifths can take;
// the spare lets each of a dozen outlets repeat the four requests or so that a broken
// connection leaves behind.
var Default = Bound{Ratio: 0.2, Spare: 50}

// unit is one repeat in the numbers of a budget.
const unit = 1000

// The parts of a bound that budgets use.
const (
	// used is the part of the ratio that is spent. The rest covers that requests
	// are counted here a little later than callers send them, and that an outlet of a
	// very large fleet saves up one repeat though its part of the spare is less.
	used = 0.95
	// startPart is the part of what may be saved up that a budget starts with.
	startPart = 3
	// mostDebt is how many repeats that could not be refused are remembered, so
	// that a wave of them does not forbid retries long after it has passed.
	mostDebt = 10
)

// Budget bounds the repeats of one service at one outlet. Each request adds to it,
// and what is not used is saved up to the outlet's part of the spare. So in any
// window all outlets together repeat no more than the ratio of their requests and
// the spare, however the requests are spread over them: one that has many requests
// may repeat many.
//
// A budget starts with a third of what it may save up, one repeat at least, so that the
// first requests may be repeated as well. The next ones pay that back: a fleet that
// restarts within a window would have its spare twice otherwise.
//
// The zero value allows none; New and Limit say how many.
type Budget struct {
	saved atomic.Int64
	// most is what may be saved, perRequest what a request adds.
	most, perRequest atomic.Int64
	// advance is what was given at the start and is not paid back yet.
	advance atomic.Int64
}

// New returns a budget of one of several outlets.
func New(bo Bound, outlets int) *Budget {
	var bu Budget
	bu.SetBound(bo, outlets)
	if most := bu.most.Load(); most > 0 {
		bu.advance.Store(max(unit, most/startPart))
		bu.saved.Store(bu.advance.Load())
	}
	return &bu
}

// SetBound sets what is allowed to an outlet that is one of several. Too low a number of
// outlets, as one knows it that lost its links, does little harm: savings come from its
// own requests alone, and are cut down with the next, higher number.
func (bu *Budget) SetBound(bo Bound, outlets int) {
	// One that may not save a whole repeat could never send one.
	share := math.Max(1, bo.Spare/float64(max(1, outlets)))
	if bo.Ratio <= 0 {
		share = 0
	}
	bu.most.Store(int64(share * unit))
	bu.perRequest.Store(int64(bo.Ratio * used * unit))
	bu.add(0)
}

// AddRequest adds what a new request brings.
func (bu *Budget) AddRequest() {
	n := bu.perRequest.Load()
	if bu.advance.Load() > 0 && bu.advance.Add(-n) >= 0 {
		return
	}
	bu.add(n)
}

// Charge takes part of a repeat that cannot be refused: a call that a backend server
// makes while it runs a request for the second time. The budget may fall below zero
// by it, and recovers with further requests.
func (bu *Budget) Charge(part float64) { bu.add(-int64(part * unit)) }

// Take takes one repeat out of the budget, if there is one.
func (bu *Budget) Take() bool {
	for {
		old := bu.saved.Load()
		if old < unit {
			return false
		}
		if bu.saved.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

func (bu *Budget) add(n int64) {
	for {
		old := bu.saved.Load()
		next := max(-mostDebt*unit, min(bu.most.Load(), old+n))
		if next == old || bu.saved.CompareAndSwap(old, next) {
			return
		}
	}
}
