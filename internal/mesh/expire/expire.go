package expire

import (
	"slices"
	"time"
)

// Timing of the failure detector.
const (
	// Timeout is how long a member may be silent before it is marked.
	Timeout = 6 * time.Second
	// CheckInterval is how often the caller should call Detector.Check.
	CheckInterval = 500 * time.Millisecond
	// maxCheckGap is the longest gap between two calls of Check that is not attributed to a
	// pause of the observer itself.
	maxCheckGap = 4 * CheckInterval
)

// If at least isolationMinCount members, and at least one in isolationDivisor of all members,
// go silent at once, the observer assumes that it is isolated itself.
const (
	isolationMinCount = 3
	isolationDivisor  = 2
)

// Result lists the members that have timed out.
type Result struct {
	// Gone members are considered dead. Silent members are not heard from, perhaps because of
	// the observer.
	Gone, Silent []string
}

// Detector tracks when the members of one failure domain were last heard from. It is not safe
// for concurrent use.
type Detector struct {
	lastHeard map[string]time.Time
	silent    map[string]bool
	lastCheck time.Time
}

// New returns a detector without members.
func New() *Detector {
	return &Detector{lastHeard: map[string]time.Time{}, silent: map[string]bool{}}
}

// SetMembers sets the members to monitor. The timeout of a new member starts now; members that
// are not listed are dropped.
func (dt *Detector) SetMembers(vms []string, now time.Time) {
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

// Heard records that a message of a member, or one that reports it as heard, was received.
func (dt *Detector) Heard(vm string, now time.Time) {
	dt.lastHeard[vm] = now
	delete(dt.silent, vm)
}

// Check returns the members that have timed out.
//
// Two faults of the observer look like failures of members. If the process was suspended, or
// its clock jumped, members time out while their messages are still unread. This shows as a
// gap between two calls, and the timeouts of all members start again. If the observer was
// disconnected, many members go silent at once. They are reported as silent rather than gone,
// which keeps them in use at a lower preference.
func (dt *Detector) Check(now time.Time) Result {
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
		// Members that are about to time out belong to the same event.
		if age >= Timeout/2 {
			unheard++
		}
		if age >= Timeout && !dt.silent[vm] {
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
