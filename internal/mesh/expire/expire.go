package expire

import (
	"slices"
	"time"
)

// The times of expiry.
const (
	// Timeout is how long a member may be unheard before it is marked.
	Timeout = 6 * time.Second
	// CheckInterval is how often Due should be called.
	CheckInterval = 500 * time.Millisecond
	// pause is the gap between two calls of Due above which the observer takes
	// itself for the one that was away.
	pause = 4 * CheckInterval
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

// Detector keeps when the members of one failure domain were last heard. It is not
// safe for concurrent use.
type Detector struct {
	heard    map[string]time.Time
	silent   map[string]bool
	lastTick time.Time
}

// New returns a watch that knows no members.
func New() *Detector {
	return &Detector{heard: map[string]time.Time{}, silent: map[string]bool{}}
}

// SetMembers sets the members that should be heard. The time of a new one starts
// now; others are forgotten.
func (wa *Detector) SetMembers(vms []string, now time.Time) {
	next := make(map[string]time.Time, len(vms))
	for _, vm := range vms {
		at, ok := wa.heard[vm]
		if !ok {
			at = now
		}
		next[vm] = at
	}
	wa.heard = next
	for vm := range wa.silent {
		if _, ok := next[vm]; !ok {
			delete(wa.silent, vm)
		}
	}
}

// Heard says that a member lives.
func (wa *Detector) Heard(vm string, now time.Time) {
	wa.heard[vm] = now
	delete(wa.silent, vm)
}

// Check returns the members whose time has run out.
//
// Two failures look like the death of members and are the observer's own. If
// the process was frozen, or its clock jumped, the members' news lies unread
// while their time has run out: it shows as a gap between two calls, and all
// members get their time anew. If the observer was cut off, many go silent at
// once: they are marked as silent, which keeps them in use at a lower
// preference, and not as gone.
func (wa *Detector) Check(now time.Time) Verdict {
	gap := now.Sub(wa.lastTick)
	if !wa.lastTick.IsZero() && (gap > pause || gap < 0) {
		for vm := range wa.heard {
			wa.heard[vm] = now
		}
	}
	wa.lastTick = now
	var due []string
	unheard := 0
	for vm, at := range wa.heard {
		age := now.Sub(at)
		// Those that follow at once count as one event with the due.
		if age >= Timeout/2 {
			unheard++
		}
		if age >= Timeout && !wa.silent[vm] {
			due = append(due, vm)
		}
	}
	if due == nil {
		return Verdict{}
	}
	slices.Sort(due)
	if unheard >= doubtCount && unheard*doubtShare >= len(wa.heard) {
		for _, vm := range due {
			wa.silent[vm] = true
		}
		return Verdict{Silent: due}
	}
	return Verdict{Gone: due}
}
