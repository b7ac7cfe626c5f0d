package server

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/node/admin"
)

// The limits of a tracker.
const (
	// maxInstances is how many instances are remembered. No announcement is expected to be delayed
	// by that many replacements of the server.
	maxInstances = 16
	// freshTime is how long after its last announcement a server is assumed to be running: two
	// announcement intervals and a margin.
	freshTime = 3500 * time.Millisecond
	// maxFirstNumber is the highest announcement number by which an unknown lifetime is accepted as
	// a new instance. A higher number may be from a delayed announcement of an earlier instance.
	maxFirstNumber = 2
	// maxDelay is how long after the last announcement of an instance one of an earlier instance
	// may still be in transit. One that arrives later is from a running server whose clock was set
	// back before it restarted.
	maxDelay = 10 * time.Second
)

// Tracker follows the instances of one backend server. The zero value knows of none. It is not safe
// for concurrent use.
type Tracker struct {
	cur       *instance
	instances map[string]*instance
	// lastLeft is the lifetime of the last instance that announced that it is leaving.
	lastLeft string
}

// instance is one process of the server, identified by its lifetime and start time.
type instance struct {
	an admin.Announcement
	// startedMs is the start as Unix time in milliseconds, 0 if unknown.
	startedMs int64
	// lastNumber is the highest number of an accepted announcement.
	lastNumber uint64
	// since is when it was first heard of, lastHeard when it was last heard of, and expiresAt when
	// its last announcement expires.
	since, lastHeard, expiresAt time.Time
	// leaving is set permanently once the instance has announced that it drains or leaves, removed
	// once it is withdrawn.
	leaving, removed bool
	// assumed is set while the instance was only found by a probe and has not announced itself.
	assumed bool
}

// Status is the state of the backend server as its daemon sees it.
type Status struct {
	// Announcement is the newest one, nil while there is no server.
	Announcement *admin.Announcement
	// Since is when the server was first heard of, ExpiresAt when the announcement expires.
	Since, ExpiresAt time.Time
	// Leaving is set if the server accepts no new requests.
	Leaving bool
}

// Lifetime returns the lifetime of the server, empty if there is none.
func (st Status) Lifetime() string {
	if st.Announcement == nil {
		return ""
	}
	return st.Announcement.Lifetime
}

// StartedMs returns the start time that the server reported, 0 if it reported none.
func (st Status) StartedMs() int64 {
	if st.Announcement == nil {
		return 0
	}
	return st.Announcement.StartedMs
}

// SameInstance reports whether both statuses are of one instance of the server.
func (st Status) SameInstance(other Status) bool {
	return st.Lifetime() == other.Lifetime() && st.StartedMs() == other.StartedMs()
}

// Announce handles an announcement and reports whether it was accepted.
//
// Four kinds of announcement are late and change nothing. One whose number is not above the newest
// of its instance was overtaken. One of an earlier instance of the same lifetime is from a server
// that has ended. One of a withdrawn instance would bring back a server that accepts no requests.
// And one of another lifetime than the current one, which is not among the first of its instance,
// was sent by an earlier instance that has ended: accepting it would send requests to a server that
// is gone, until the current one announces itself again. It is accepted once the current one has
// been silent for freshTime.
//
// Instances without a lifetime look alike. One that was leaving and whose announcement has expired is
// taken to have ended.
func (tr *Tracker) Announce(an admin.Announcement, now time.Time) bool {
	ins := tr.instances[an.Lifetime]
	if ins != nil && ins.precedes(&an, now) {
		// Nothing of the earlier instance applies to this one, neither its number nor that it left.
		ins = nil
	}
	switch {
	case ins != nil && ins.isStale(&an):
		return false
	case tr.keepsCurrent(ins, &an, now):
		return false
	}
	if ins == nil || an.Lifetime == "" && (ins.removed || ins.leaving && !now.Before(ins.expiresAt)) {
		ins = &instance{since: now}
		tr.remember(an.Lifetime, ins)
	}
	if !now.Before(ins.expiresAt) && !ins.lastHeard.IsZero() {
		ins.since = now
	}
	ins.assumed = false
	ins.an, ins.lastNumber, ins.lastHeard, ins.expiresAt = an, an.Number, now, now.Add(an.TTL())
	ins.startedMs = max(ins.startedMs, an.StartedMs)
	ins.leaving = ins.leaving || an.Draining()
	if ins.leaving {
		tr.lastLeft = an.Lifetime
	}
	tr.cur = ins
	return true
}

// precedes reports whether an announcement is from a later instance of the same lifetime.
//
// The start times decide. Where the start time of a withdrawn instance is unknown, as when only its
// withdrawal arrived, a later instance is recognized by its first numbers. Where the clock of the
// VM was set back between the two starts, the later instance seems the earlier one, until no
// announcement of the other can be in transit.
func (ins *instance) precedes(an *admin.Announcement, now time.Time) bool {
	switch {
	case an.StartedMs == 0:
		return false
	case ins.startedMs == 0:
		return ins.removed && an.Number <= maxFirstNumber
	case an.StartedMs < ins.startedMs:
		return now.Sub(ins.lastHeard) > maxDelay
	}
	return an.StartedMs > ins.startedMs
}

func (ins *instance) isStale(an *admin.Announcement) bool {
	if an.Lifetime == "" {
		return false
	}
	return an.StartedMs != 0 && an.StartedMs < ins.startedMs || an.Number <= ins.lastNumber && !ins.assumed || ins.removed
}

// keepsCurrent reports whether an announcement of another lifetime must not displace the current
// instance: the current one was last heard of within freshTime, and the other one started earlier
// or, where a start time is unknown, is not known to be new.
func (tr *Tracker) keepsCurrent(ins *instance, an *admin.Announcement, now time.Time) bool {
	if tr.cur == nil || tr.cur == ins || tr.cur.removed || now.Sub(tr.cur.lastHeard) > freshTime {
		return false
	}
	if an.StartedMs != 0 && tr.cur.startedMs != 0 {
		return an.StartedMs < tr.cur.startedMs
	}
	return ins != nil || an.Number > maxFirstNumber
}

func (tr *Tracker) remember(lifetime string, ins *instance) {
	if tr.instances == nil {
		tr.instances = map[string]*instance{}
	}
	for len(tr.instances) >= maxInstances {
		oldest := ""
		for id, other := range tr.instances {
			if oldest == "" || other.lastHeard.Before(tr.instances[oldest].lastHeard) {
				oldest = id
			}
		}
		delete(tr.instances, oldest)
	}
	tr.instances[lifetime] = ins
}

// Assume accepts a server that was found by a probe before it has announced itself, and reports
// whether it did. A server that is known to have left is not accepted, nor is any once a server has
// announced itself.
func (tr *Tracker) Assume(an admin.Announcement, now time.Time) bool {
	if tr.cur != nil {
		return false
	}
	if ins := tr.instances[an.Lifetime]; ins != nil {
		return false
	}
	ins := &instance{an: an, since: now, lastHeard: now, expiresAt: now.Add(an.TTL()), assumed: true}
	tr.remember(an.Lifetime, ins)
	tr.cur = ins
	return true
}

// Withdraw removes an instance of the server permanently. An unknown one is remembered, so that a
// delayed announcement does not bring it back. A withdrawal of an instance before the newest is
// late and changes nothing.
func (tr *Tracker) Withdraw(wd admin.Withdrawal, now time.Time) {
	ins := tr.markLeaving(member.Departure{Lifetime: wd.Lifetime, StartedMs: wd.StartedMs}, now)
	if ins != nil {
		ins.lastHeard, ins.removed = now, true
	}
}

// MarkLeaving marks an instance of the server as leaving for a reason other than an announcement.
func (tr *Tracker) MarkLeaving(de member.Departure, now time.Time) { tr.markLeaving(de, now) }

// markLeaving marks an instance of the server as leaving and returns it, or nil if a later one of
// the same lifetime is known.
func (tr *Tracker) markLeaving(de member.Departure, now time.Time) *instance {
	ins := tr.instances[de.Lifetime]
	switch {
	case ins != nil && de.StartedMs != 0 && de.StartedMs < ins.startedMs:
		return nil
	case ins == nil, ins.startedMs != 0 && de.StartedMs > ins.startedMs:
		next := &instance{since: now, lastHeard: now}
		if ins != nil && tr.cur == ins {
			tr.cur = next
		}
		ins = next
		tr.remember(de.Lifetime, ins)
	}
	ins.leaving = true
	ins.startedMs = max(ins.startedMs, de.StartedMs)
	ins.lastNumber = max(ins.lastNumber, de.Number)
	tr.lastLeft = de.Lifetime
	return ins
}

// LastDeparture returns the last instance of the server that announced that it is leaving, with the
// number of its newest announcement; empty if there is none.
func (tr *Tracker) LastDeparture() member.Departure {
	if ins := tr.instances[tr.lastLeft]; ins != nil && ins.leaving {
		return member.Departure{Lifetime: tr.lastLeft, StartedMs: ins.startedMs, Number: ins.lastNumber}
	}
	return member.Departure{}
}

// MarkUnreachable removes the current server until it announces itself again.
func (tr *Tracker) MarkUnreachable(now time.Time) {
	if tr.cur != nil {
		tr.cur.expiresAt = now
	}
}

// RecoverDeparture applies a departure that the predecessor acknowledged: the instance is leaving,
// and its announcements up to the number are late.
func (tr *Tracker) RecoverDeparture(de member.Departure, now time.Time) {
	if de.Lifetime != "" {
		tr.markLeaving(de, now)
	}
}

// Status returns the state of the server at now.
func (tr *Tracker) Status(now time.Time) Status {
	ins := tr.cur
	if ins == nil || ins.removed || !now.Before(ins.expiresAt) {
		return Status{}
	}
	// A copy: the next announcement overwrites the tracker's own.
	an := ins.an
	return Status{Announcement: &an, Since: ins.since, ExpiresAt: ins.expiresAt, Leaving: ins.leaving}
}
