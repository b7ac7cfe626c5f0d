package expire

import (
	"slices"
	"time"
)

// The times of expiry.
const (
	// After is how long a member may be unheard before it is marked.
	After = 6 * time.Second
	// Tick is how often Due should be called.
	Tick = 500 * time.Millisecond
	// pause is the gap between two calls of Due above which the observer takes
	// itself for the one that was away.
	pause = 4 * Tick
	// settle is how long after such a gap it marks nobody.
	settle = After
)

// doubtCount and doubtShare say when too many members go silent at once for it
// to be their own failure: at least so many, and one in so many of all.
const (
	doubtCount = 3
	doubtShare = 2
)

// Verdict lists the members that have become due.
type Verdict struct {
	// Gone are taken for dead, Silent only for unheard.
	Gone, Silent []string
}

// Watch keeps who hears which member of one failure domain. It is not safe for
// concurrent use.
type Watch struct {
	by       map[string]string
	lost     map[string]time.Time
	silent   map[string]bool
	lastTick time.Time
	holdOff  time.Time
}

// New returns a watch that knows no members.
func New() *Watch {
	return &Watch{by: map[string]string{}, lost: map[string]time.Time{}, silent: map[string]bool{}}
}

// Expect starts the time of members that nobody is known to hear.
func (wa *Watch) Expect(vms []string, now time.Time) {
	for _, vm := range vms {
		if _, ok := wa.by[vm]; ok {
			continue
		}
		if _, ok := wa.lost[vm]; !ok {
			wa.lost[vm] = now
		}
	}
}

// Heard says that the relay by has a link to the member.
func (wa *Watch) Heard(vm, by string) {
	wa.by[vm] = by
	delete(wa.lost, vm)
	delete(wa.silent, vm)
}

// Lost says that the relay by lost its link to the member. It changes nothing
// when another relay has heard the member since.
func (wa *Watch) Lost(vm, by string, now time.Time) {
	if wa.by[vm] != by {
		return
	}
	delete(wa.by, vm)
	wa.lost[vm] = now
}

// RelayLost says that a relay itself is no longer heard: what it heard is
// heard by nobody until the members come to another.
func (wa *Watch) RelayLost(by string, now time.Time) {
	for vm, b := range wa.by {
		if b == by {
			wa.Lost(vm, by, now)
		}
	}
}

// Forget drops a member that has left.
func (wa *Watch) Forget(vm string) {
	delete(wa.by, vm)
	delete(wa.lost, vm)
	delete(wa.silent, vm)
}

// Due returns the members whose time has run out.
//
// Two failures look like the death of members and are the observer's own. If
// the process was frozen, or its clock jumped, the members' news lies unread
// while their time has run out: it shows as a gap between two calls, and no
// member is marked until they had the time to be heard again. If the observer
// was cut off, many go silent at once: they are marked as silent, which keeps
// them in use at a lower preference, and not as gone.
func (wa *Watch) Due(now time.Time) Verdict {
	gap := now.Sub(wa.lastTick)
	if !wa.lastTick.IsZero() && (gap > pause || gap < 0) {
		wa.holdOff = now.Add(settle)
		for vm := range wa.lost {
			wa.lost[vm] = now
		}
	}
	wa.lastTick = now
	if now.Before(wa.holdOff) {
		return Verdict{}
	}
	var due, unheard []string
	for vm, at := range wa.lost {
		switch {
		case wa.silent[vm]:
			unheard = append(unheard, vm)
		case now.Sub(at) >= After:
			due = append(due, vm)
		case now.Sub(at) >= After/2:
			// Those that follow at once count as one event with the due.
			unheard = append(unheard, vm)
		}
	}
	if due == nil {
		return Verdict{}
	}
	slices.Sort(due)
	all := len(wa.by) + len(wa.lost)
	if n := len(due) + len(unheard); n >= doubtCount && n*doubtShare >= all {
		for _, vm := range due {
			wa.silent[vm] = true
		}
		return Verdict{Silent: due}
	}
	for _, vm := range due {
		wa.Forget(vm)
	}
	return Verdict{Gone: due}
}
