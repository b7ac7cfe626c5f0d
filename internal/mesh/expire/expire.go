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
	// maxCheckGap is the gap between two calls of Due above which the observer takes
	// itself for the one that was away.
	maxCheckGap = 4 * Tick
)

// isolationMinCount and isolationDivisor say when too many members go silent at once for it
// to be their own failure: at least so many, and one in so many of all.
const (
	isolationMinCount = 3
	isolationDivisor  = 2
)

// Result lists the members that have become due.
type Result struct {
	// Gone are taken for dead, Silent only for unheard.
	Gone, Silent []string
}

// Watch keeps when the members of one failure domain were last heard. It is not
// safe for concurrent use.
type Watch struct {
	lastHeard map[string]time.Time
	silent    map[string]bool
	lastCheck time.Time
}

// New returns a watch that knows no members.
func New() *Watch {
	return &Watch{lastHeard: map[string]time.Time{}, silent: map[string]bool{}}
}

// Expect sets the members that should be heard. The time of a new one starts
// now; others are forgotten.
func (dt *Watch) Expect(vms []string, now time.Time) {
	next := make(map[string]time.Time, len(vms))
	for _, vm := range vms {
		at, ok := dt.lastHeard[vm]
		if !ok {
			at = now
		}
		next[vm] = at
	}
	dt.lastHeard = next
	for vm := range dt.silent {
		if _, ok := next[vm]; !ok {
			delete(dt.silent, vm)
		}
	}
}

// Heard says that a member lives.
func (dt *Watch) Heard(vm string, now time.Time) {
	dt.lastHeard[vm] = now
	delete(dt.silent, vm)
}

// Due returns the members whose time has run out.
//
// Two failures look like the death of members and are the observer's own. If
// the process was frozen, or its clock jumped, the members' news lies unread
// while their time has run out: it shows as a gap between two calls, and all
// members get their time anew. If the observer was cut off, many go silent at
// once: they are marked as silent, which keeps them in use at a lower
// preference, and not as gone.
func (dt *Watch) Due(now time.Time) Result {
	gap := now.Sub(dt.lastCheck)
	if !dt.lastCheck.IsZero() && (gap > maxCheckGap || gap < 0) {
		for vm := range dt.lastHeard {
			dt.lastHeard[vm] = now
		}
	}
	dt.lastCheck = now
	var due []string
	unheard := 0
	for vm, at := range dt.lastHeard {
		age := now.Sub(at)
		// Those that follow at once count as one event with the due.
		if age >= After/2 {
			unheard++
		}
		if age >= After && !dt.silent[vm] {
			due = append(due, vm)
		}
	}
	if due == nil {
		return Result{}
	}
	slices.Sort(due)
	if unheard >= isolationMinCount && unheard*isolationDivisor >= len(dt.lastHeard) {
		for _, vm := range due {
			dt.silent[vm] = true
		}
		return Result{Silent: due}
	}
	return Result{Gone: due}
}
