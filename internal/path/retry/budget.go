package retry

import (
	"math"
	"sync/atomic"
)

// Bound limits the repeats at one service, summed over all outlets, in any window of a few seconds.
// A repeat is a retry by an outlet, or a call made by a backend server while it runs a repeat.
type Bound struct {
	// Ratio is the number of repeats allowed per request.
	Ratio float64
	// Spare is the number of additional repeats allowed per window, however few requests there are.
	Spare float64
}

// Default is the bound if operators set none. With it, repeats add less than a fifth to the load of
// a failing service, which servers at 80% load can take. The spare lets each of a dozen outlets
// retry the four or so requests lost with a broken connection.
var Default = Bound{Ratio: 0.2, Spare: 50}

// unit is one repeat in the fixed-point numbers of a budget.
const unit = 1000

// The parameters of budgets.
const (
	// usedShare is the fraction of the ratio that is used. The remainder allows for requests that
	// are counted here slightly later than callers send them, and for outlets of very large fleets,
	// which may save up one whole repeat even if their part of the spare is less.
	usedShare = 0.95
	// initialDivisor is the part of the maximum balance, as one in so many, that a budget starts
	// with.
	initialDivisor = 3
	// maxDebt is the maximum number of repeats by which the balance may be negative, so that a
	// burst of repeats that could not be refused does not prevent retries long after it.
	maxDebt = 10
)

// Budget limits the repeats of one service at one outlet. Each request adds to its balance, which
// is capped at the outlet's part of the spare. So in any window all outlets together send no more
// repeats than the ratio of their requests plus the spare, however the requests are distributed
// over them: an outlet with many requests may send many repeats.
//
// A budget starts with a third of its maximum balance, but at least one repeat, so that the first
// requests can be retried too. The following requests pay this credit back. Otherwise, a fleet that
// restarts within a window would have twice its spare.
//
// The zero value allows no repeats; New and SetBound set how many.
type Budget struct {
	balance atomic.Int64
	// maxBalance is the cap of the balance, perRequest what a request adds to it.
	maxBalance, perRequest atomic.Int64
	// initialCredit is what remains to be paid back of the initial balance.
	initialCredit atomic.Int64
}

// New returns the budget of one of the given number of outlets.
func New(bo Bound, outlets int) *Budget {
	var bu Budget
	bu.SetBound(bo, outlets)
	if maxBalance := bu.maxBalance.Load(); maxBalance > 0 {
		bu.initialCredit.Store(max(unit, maxBalance/initialDivisor))
		bu.balance.Store(bu.initialCredit.Load())
	}
	return &bu
}

// SetBound sets the bound and the number of outlets that share it. An outlet that lost its
// connections and counts too few outlets does little harm: its balance grows with its own requests
// only, and is capped again with the next, higher number.
func (bu *Budget) SetBound(bo Bound, outlets int) {
	// An outlet with a maximum balance of less than one repeat could never send one.
	share := math.Max(1, bo.Spare/float64(max(1, outlets)))
	if bo.Ratio <= 0 {
		share = 0
	}
	bu.maxBalance.Store(int64(share * unit))
	bu.perRequest.Store(int64(bo.Ratio * usedShare * unit))
	bu.add(0)
}

// AddRequest adds the allowance of a new request.
func (bu *Budget) AddRequest() {
	n := bu.perRequest.Load()
	if bu.initialCredit.Load() > 0 && bu.initialCredit.Add(-n) >= 0 {
		return
	}
	bu.add(n)
}

// Charge takes a fraction of a repeat that cannot be refused: a call made by a backend server that
// may be running its parent request for the second time. The balance may become negative and
// recovers with further requests.
func (bu *Budget) Charge(part float64) { bu.add(-int64(part * unit)) }

// Take takes one repeat out of the budget and reports whether the balance allowed it.
func (bu *Budget) Take() bool {
	for {
		old := bu.balance.Load()
		if old < unit {
			return false
		}
		if bu.balance.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

func (bu *Budget) add(n int64) {
	for {
		old := bu.balance.Load()
		next := max(-maxDebt*unit, min(bu.maxBalance.Load(), old+n))
		if next == old || bu.balance.CompareAndSwap(old, next) {
			return
		}
	}
}
