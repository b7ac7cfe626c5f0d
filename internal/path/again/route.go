package again

import (
	"sync"
	"time"
)

const (
	// epoch is the time over which those that were told to come back are counted
	// together. What an epoch tells is used once the next one is over too: by then who
	// comes back has done so.
	epoch = time.Second
	// enough is how many must have been told before anything is concluded.
	enough = 6
	// few is the part of them that comes back, as one in so many, below which callers
	// of a route are taken not to come back.
	few = 4
	// seldom is the part of a route's requests, as one in so many, that may come while
	// the own backend server runs nothing though it made them: one whose caller has
	// left may still run there.
	seldom = 20
	// most bounds what is remembered, so that a change of habit shows within as many.
	most = 64
)

// RetryStats learns whether the callers of a route come back when they are told to.
// Backend servers that make calls mostly do not: to refuse a call is final, and the
// work done for its parent is lost with it. The zero value takes it that they do.
type RetryStats struct {
	mu sync.Mutex
	// now, last and old are the counts of the present epoch, of the one before it and
	// of all older ones.
	now, last, old count
	began          time.Time
	// came counts the requests of the route, alone those that came while the VM's own
	// backend server ran nothing.
	came, alone int
}

// count is how many were told to come back and how many did.
type count struct{ told, back int }

// told counts a caller that was told to come back.
func (ro *RetryStats) told(now time.Time) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.advance(now)
	ro.now.told++
}

// back counts a caller that came back after it was told so at a moment.
func (ro *RetryStats) back(told time.Time) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.advance(time.Now())
	switch {
	case !told.Before(ro.began):
		ro.now.back++
	case !told.Before(ro.began.Add(-epoch)):
		ro.last.back++
	default:
		ro.old.back++
	}
}

// advance begins a new epoch if it is time; ro.mu is held.
func (ro *RetryStats) advance(now time.Time) {
	for range 2 {
		if now.Sub(ro.began) < epoch {
			return
		}
		ro.old.told += ro.last.told
		ro.old.back += ro.last.back
		if ro.old.told > most {
			ro.old.back = ro.old.back * most / ro.old.told
			ro.old.told = most
		}
		ro.last, ro.now = ro.now, count{}
		ro.began = ro.began.Add(epoch)
	}
	if now.Sub(ro.began) >= epoch {
		ro.began = now
	}
}

// CountArrival counts a request and reports whether its caller will not come back if it is
// refused. Short says that the caller stops waiting no later than the operators do,
// busy that the VM's own backend server runs something.
//
// As long as nothing is known of refusals, a request is taken for a call of the VM's
// own backend server where its caller has no time to come back, and where hardly any of
// the route came while that server ran nothing.
func (ro *RetryStats) CountArrival(now time.Time, short, busy bool) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.advance(now)
	if ro.came++; !busy {
		ro.alone++
	}
	if ro.came > most {
		ro.came, ro.alone = ro.came/2, ro.alone/2
	}
	if ro.old.told >= enough {
		return ro.old.back*few < ro.old.told
	}
	return short && ro.alone*seldom < ro.came
}
