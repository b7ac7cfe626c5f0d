package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// calmBefore is how long before a request no fault may have been for its loss to be
	// laid on a stop.
	calmBefore = 3 * time.Second
	// stopAfter is how long after the end of a daemon a request still counts as taken
	// around its stop.
	stopAfter = time.Second
)

// span is a time in which something lasts; without an end it goes on.
type span struct{ from, to time.Time }

// meets reports whether the span has a moment in common with another one.
func (sp *span) meets(from, to time.Time) bool {
	return !sp.from.After(to) && (sp.to.IsZero() || !sp.to.Before(from))
}

// asked is a request as its caller saw it.
type asked struct {
	id         string
	vm         *vm
	began, end time.Time
	// failure says how it ended without a whole answer of a server, empty for one with it.
	failure string
}

// stops knows when daemons were stopped and what callers got meanwhile.
type stops struct {
	mu    sync.Mutex
	spans map[*vm][]*span
	// faults are the times of what nobody planned.
	faults []*span
	asked  []asked
}

// stop records that a VM's daemon is stopped from now until end is called.
func (ss *stops) stop(v *vm) (end func()) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.spans == nil {
		ss.spans = map[*vm][]*span{}
	}
	sp := &span{from: time.Now()}
	ss.spans[v] = append(ss.spans[v], sp)
	return func() { ss.close(sp, time.Now().Add(stopAfter)) }
}

// fault records that a fault lasts from now until end is called.
func (ss *stops) fault() (end func()) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	sp := &span{from: time.Now()}
	ss.faults = append(ss.faults, sp)
	return func() { ss.close(sp, time.Now()) }
}

func (ss *stops) close(sp *span, at time.Time) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	sp.to = at
}

// add records a request.
func (ss *stops) add(as asked) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.asked = append(ss.asked, as)
}

// check checks the requests that daemons took around their stops, without a fault beside,
// and that a server ran. One that ended when its caller's time was over was not cut off.
func (ss *stops) check(bo *board, ran func(id string) bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for _, as := range ss.asked {
		around := slices.ContainsFunc(ss.spans[as.vm], func(sp *span) bool { return sp.meets(as.began, as.began) })
		beside := slices.ContainsFunc(ss.faults, func(sp *span) bool { return sp.meets(as.began.Add(-calmBefore), as.end) })
		late := as.failure != "" && as.end.Sub(as.began) >= callTimeout
		if !around || beside || late || !ran(as.id) {
			continue
		}
		bo.add(GracefulStop)
		failure := ""
		if as.failure != "" {
			failure = fmt.Sprintf("%s at %s, taken at %s, after %v: %s", as.id, as.vm.name, as.began.Format(time.StampMilli), as.end.Sub(as.began), as.failure)
		}
		bo.note(GracefulStop, failure)
	}
}
