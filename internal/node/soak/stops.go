package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// faultMargin is how long before a request no fault may have been for its loss to be
	// laid on a stop.
	faultMargin = 3 * time.Second
	// stopMargin is how long after the end of a daemon a request still counts as taken
	// around its stop.
	stopMargin = time.Second
)

// interval is a time in which something lasts; without an end it goes on.
type interval struct{ from, to time.Time }

// overlaps reports whether the span has a moment in common with another one.
func (iv *interval) overlaps(from, to time.Time) bool {
	return !iv.from.After(to) && (iv.to.IsZero() || !iv.to.Before(from))
}

// callRecord is a request as its caller saw it.
type callRecord struct {
	id         string
	vm         *vm
	began, end time.Time
	// failure says how it ended without a whole answer of a server, empty for one with it.
	failure string
}

// stopTracker knows when daemons were stopped and what callers got meanwhile.
type stopTracker struct {
	mu    sync.Mutex
	stops map[*vm][]*interval
	// faults are the times of what nobody planned.
	faults []*interval
	calls  []callRecord
}

// beginStop records that a VM's daemon is stopped from now until end is called.
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

// check checks the requests that daemons took around their stops, without a fault beside,
// and that a server ran. One that ended when its caller's time was over was not cut off.
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
			failure = fmt.Sprintf("%s at %s, taken at %s, after %v: %s", cr.id, cr.vm.name, cr.began.Format(time.StampMilli), cr.end.Sub(cr.began), cr.failure)
		}
		rs.record(GracefulStop, failure)
	}
}
