package server

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/node/admin"
)

// The limits of a tracker.
const (
	// maxInstances is how many former lifetimes are remembered. An announcement
	// that is later than so many replacements of the server is not expected.
	maxInstances = 16
	// freshTime is how long after its last announcement a server is taken to be
	// there for certain: two of its intervals and a little.
	freshTime = 3500 * time.Millisecond
	// maxFirstNumber are the numbers by which a lifetime that is not known yet is
	// taken for a new one, and not for a forerunner whose announcement is late.
	maxFirstNumber = 2
	// maxDelay is how long after the last word of a start an announcement of an
	// earlier one may still be on its way. One that comes later is of a server that
	// runs: its clock was set back before it started again.
	maxDelay = 10 * time.Second
)

// Tracker follows the lifetimes of one backend server. The zero value knows
// none. It is not safe for concurrent use.
type Tracker struct {
	cur       *instance
	instances map[string]*instance
	// lastLeft is the last lifetime that said it leaves.
	lastLeft string
}

// instance is what is known of one start of the server.
type instance struct {
	an admin.Announcement
	// startedMs is the Unix time in milliseconds at which it started, 0 where it is
	// not known.
	startedMs int64
	// lastNumber is the highest one of its announcements that was taken.
	lastNumber uint64
	// since is when it was first heard, heard when it was last, until how long
	// its last announcement holds.
	since, lastHeard, expiresAt time.Time
	// leaving is set for good once it said that it drains or leaves. gone is
	// set when it was taken out.
	leaving, removed bool
	// assumed is set while it was only found to serve and has not announced itself.
	assumed bool
}

// Status is what the daemon goes by.
type Status struct {
	// Announcement is the newest one, nil while there is no server.
	Announcement *admin.Announcement
	// Since is when the server was first heard, Until how long the announcement
	// holds.
	Since, ExpiresAt time.Time
	// Leaving says that it takes no new requests.
	Leaving bool
}

// Lifetime returns the lifetime of the server, empty for none.
func (st Status) Lifetime() string {
	if st.Announcement == nil {
		return ""
	}
	return st.Announcement.Lifetime
}

// StartedMs returns when the server started, as it tells, and 0 where it does not.
func (st Status) StartedMs() int64 {
	if st.Announcement == nil {
		return 0
	}
	return st.Announcement.StartedMs
}

// SameInstance reports whether both are of one start of the server.
func (st Status) SameInstance(other Status) bool {
	return st.Lifetime() == other.Lifetime() && st.StartedMs() == other.StartedMs()
}

// Announce takes an announcement and reports whether it was news.
//
// Four of them are late and change nothing. One with a number that is not above the
// newest of its start was overtaken. One of a start before the newest of the same
// lifetime is of a server that has ended. One of a start that left would bring back a
// server that takes no requests. And one of another lifetime than the present, which
// is not among the first of its kind, was sent by a forerunner that has ended: taking
// it would send requests to a server that is not there until the present one speaks
// again. It is taken once the present one has been silent.
func (tr *Tracker) Announce(an admin.Announcement, now time.Time) bool {
	ins := tr.instances[an.Lifetime]
	if ins != nil && ins.precedes(&an, now) {
		// Nothing of the former start holds for this one: not its number, nor that
		// it left.
		ins = nil
	}
	switch {
	case ins != nil && ins.isStale(&an):
		return false
	case tr.keepsCurrent(ins, &an, now):
		return false
	}
	if ins == nil || ins.removed && an.Lifetime == "" {
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

// precedes reports whether an announcement is of a later start of the same lifetime.
//
// The times of both starts decide. Where that of a start which was taken out is not
// known, as when only its removal came, a later one is known by its first numbers. And
// where the clock of the VM was set back in between, it seems the earlier one, until
// nothing of the other can be on its way any more.
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

// keepsCurrent reports whether an announcement of another lifetime would displace a
// present one that was heard lately, without being the first of a new one.
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

// Assume takes a server that was found to serve before it has announced itself, and
// reports whether it did. One that left, as far as is known, is not taken; nor is any once
// a server has announced itself.
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

// Withdraw takes a start of the server out for good. One that is not known is
// remembered, so that an announcement which it sent before and which comes later does
// not bring it back. A removal of a start before the newest is late and changes nothing.
func (tr *Tracker) Withdraw(wd admin.Withdrawal, now time.Time) {
	ins := tr.markLeaving(member.Leaver{Lifetime: wd.Lifetime, StartedMs: wd.StartedMs}, now)
	if ins != nil {
		ins.lastHeard, ins.removed = now, true
	}
}

// markLeaving notes that a start of the server leaves, and returns what is known of it, nil
// where a later one is known.
func (tr *Tracker) markLeaving(de member.Leaver, now time.Time) *instance {
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
	ins.lastNumber = max(ins.lastNumber, de.At)
	tr.lastLeft = de.Lifetime
	return ins
}

// LastDeparture returns the last start of the server that said it leaves, with the number of
// its newest announcement; empty for none.
func (tr *Tracker) LastDeparture() member.Leaver {
	if ins := tr.instances[tr.lastLeft]; ins != nil && ins.leaving {
		return member.Leaver{Lifetime: tr.lastLeft, StartedMs: ins.startedMs, At: ins.lastNumber}
	}
	return member.Leaver{}
}

// MarkUnreachable takes the present server out until it announces itself again.
func (tr *Tracker) MarkUnreachable(now time.Time) {
	if tr.cur != nil {
		tr.cur.expiresAt = now
	}
}

// RecoverDeparture takes what a former process of the VM acknowledged: that start of the server
// leaves, and its announcements up to the number are late.
func (tr *Tracker) RecoverDeparture(de member.Leaver, now time.Time) {
	if de.Lifetime != "" {
		tr.markLeaving(de, now)
	}
}

// Status returns what the daemon should go by now.
func (tr *Tracker) Status(now time.Time) Status {
	ins := tr.cur
	if ins == nil || ins.removed || !now.Before(ins.expiresAt) {
		return Status{}
	}
	// A copy: the tracker's own changes with the next announcement.
	an := ins.an
	return Status{Announcement: &an, Since: ins.since, ExpiresAt: ins.expiresAt, Leaving: ins.leaving}
}
