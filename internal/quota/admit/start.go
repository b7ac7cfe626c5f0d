package admit

import (
	"sync/atomic"
	"time"
)

// Tolerance is by how much all outlets together may exceed the limit of a tenant: in any window of
// length Window they may admit Overage times what the limit allows, and Spare requests, in addition.
type Tolerance struct {
	Window         time.Duration
	Overage, Spare float64
}

// startDivisor gives the part of the tolerance, as one in so many, that outlets use after a start. The
// remainder is for what they admit before a relay knows what is sent, and for a second restart within
// a window.
const startDivisor = 8

// startPeriod is the age up to which a process is taken to have started together with others. Its
// credit ends then: the limit that it was computed from may be lowered later.
const startPeriod = 3 * time.Second

// StartCredit returns how many requests beyond its rate all outlets together may admit of a tenant
// that they know nothing of.
func (to Tolerance) StartCredit(li Limit) float64 {
	return (to.Overage*(li.Rate*to.Window.Seconds()+li.Burst) + to.Spare) / startDivisor
}

// startCredit is how many requests of a tenant an outlet may admit before it knows what the other
// outlets admit. Without it, outlets that start together refuse most tenants: the part of a small
// tenant's limit at one outlet is one request in many seconds. The zero value is unused.
type startCredit struct {
	state atomic.Int32
	left  atomic.Int64
}

// The states of a credit.
const (
	creditUnused = iota
	creditOpen
	creditClosed
)

// open reports whether the credit is to be granted now, which it is once.
func (sc *startCredit) open() bool { return sc.state.CompareAndSwap(creditUnused, creditOpen) }

// close ends the use of the credit for good.
func (sc *startCredit) close() {
	if sc.state.Load() != creditClosed {
		sc.state.Store(creditClosed)
	}
}

// take uses one request of the credit and reports whether there was one.
func (sc *startCredit) take() bool {
	if sc.state.Load() != creditOpen {
		return false
	}
	if sc.left.Add(-1) >= 0 {
		return true
	}
	sc.left.Add(1)
	return false
}
