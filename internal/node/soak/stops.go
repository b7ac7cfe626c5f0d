package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// faultMargin is how long after a fault the failure of a new request is not yet
	// attributed to the stop of a daemon.
	faultMargin = 3 * time.Second
	// stopMargin is how long after a stopped daemon has been replaced a request still counts
	// as sent during the stop.
	stopMargin = time.Second
)

// interval is a period of time. It has not ended yet if to is zero.
type interval struct{ from, to time.Time }

// overlaps reports whether the interval has a moment in common with the one that is given.
func (iv *interval) overlaps(from, to time.Time) bool {
	return !iv.from.After(to) && (iv.to.IsZero() || !iv.to.Before(from))
}

// callRecord is a request as its caller saw it.
type callRecord struct {
	id         string
	vm         *vm
	began, end time.Time
	// failure describes how the request ended without a complete response of a backend
	// server; it is empty for one that got it.
	failure string
}

// stopTracker records when daemons were stopped, when there were faults, and the requests of
// callers.
type stopTracker struct {
	mu    sync.Mutex
	stops map[*vm][]*interval
	// faults are the periods of faults other than planned stops.
	faults []*interval
	calls  []callRecord
}

// beginStop records that a VM's daemon is stopped from now until stopMargin after end is called.
func (st *stopTracker) beginStop(v *vm) (end func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.stops == nil {
		st.stops = map[*vm][]*interval{}
	}
	iv := &interval{from: time.Now()}
	st.stops[v] = append(st.stops[v], iv)
	return func() { st.close(iv, time.Now().Add(stopMargin)) }
}

// beginFault records that a fault lasts from now until end is called.
func (st *stopTracker) beginFault() (end func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	iv := &interval{from: time.Now()}
	st.faults = append(st.faults, iv)
	return func() { st.close(iv, time.Now()) }
}

func (st *stopTracker) close(iv *interval, at time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	iv.to = at
}

// recordCall records a request.
func (st *stopTracker) recordCall(cr callRecord) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.calls = append(st.calls, cr)
}

// check checks the requests that were sent to a daemon during its stop, with no fault near them
// in time, and that a backend server ran. A request that failed after requestTimeout ran out of
// its caller's time and was not interrupted by the stop.
func (st *stopTracker) check(rs *resultSet, ran func(id string) bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, cr := range st.calls {
		duringStop := slices.ContainsFunc(st.stops[cr.vm], func(iv *interval) bool { return iv.overlaps(cr.began, cr.began) })
		nearFault := slices.ContainsFunc(st.faults, func(iv *interval) bool { return iv.overlaps(cr.began.Add(-faultMargin), cr.end) })
		timedOut := cr.failure != "" && cr.end.Sub(cr.began) >= requestTimeout
		if !duringStop || nearFault || timedOut || !ran(cr.id) {
			continue
		}
		rs.require(GracefulStop)
		failure := ""
		if cr.failure != "" {
			failure = fmt.Sprintf("%s at %s, sent at %s, failed after %v: %s", cr.id, cr.vm.name, cr.began.Format(time.StampMilli), cr.end.Sub(cr.began), cr.failure)
		}
		rs.record(GracefulStop, failure)
	}
}
