package server

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/node/admin"
)

// The limits of a tracker.
const (
	// keepLives is how many former lifetimes are remembered. An announcement
	// that is later than so many replacements of the server is not expected.
	keepLives = 16
	// freshFor is how long after its last announcement a server is taken to be
	// there for certain: two of its intervals and a little.
	freshFor = 3500 * time.Millisecond
	// firstNumbers are the numbers by which a lifetime that is not known yet is
	// taken for a new one, and not for a forerunner whose announcement is late.
	firstNumbers = 2
	// lateFor is how long after the last word of a start an announcement of an
	// earlier one may still be on its way. One that comes later is of a server that
	// runs: its clock was set back before it started again.
	lateFor = 10 * time.Second
)

// Tracker follows the lifetimes of one backend server. The zero value knows
// none. It is not safe for concurrent use.
type Tracker struct {
	cur   *life
	lives map[string]*life
	// left is the last lifetime that said it leaves.
	left string
}

// life is what is known of one start of the server.
type life struct {
	an admin.Announcement
	// startedMs is the Unix time in milliseconds at which it started, 0 where it is
	// not known.
	startedMs int64
	// number is the highest one of its announcements that was taken.
	number uint64
	// since is when it was first heard, heard when it was last, until how long
	// its last announcement holds.
	since, heard, until time.Time
	// leaving is set for good once it said that it drains or leaves. gone is
	// set when it was taken out.
	leaving, gone bool
	// assumed is set while it was only found to serve and has not announced itself.
	assumed bool
}

// Status is what the daemon goes by.
type Status struct {
	// Announcement is the newest one, nil while there is no server.
	Announcement *admin.Announcement
	// Since is when the server was first heard, Until how long the announcement
	// holds.
	Since, Until time.Time
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

// SameStart reports whether both are of one start of the server.
func (st Status) SameStart(other Status) bool {
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
	lf := tr.lives[an.Lifetime]
	if lf != nil && lf.precedes(&an, now) {
		// Nothing of the former start holds for this one: not its number, nor that
		// it left.
		lf = nil
	}
	switch {
	case lf != nil && lf.late(&an):
		return false
	case tr.displaces(lf, &an, now):
		return false
	}
	if lf == nil || lf.gone && an.Lifetime == "" {
		lf = &life{since: now}
		tr.keep(an.Lifetime, lf)
	}
	if !now.Before(lf.until) && !lf.heard.IsZero() {
		lf.since = now
	}
	lf.assumed = false
	lf.an, lf.number, lf.heard, lf.until = an, an.Number, now, now.Add(an.TTL())
	lf.startedMs = max(lf.startedMs, an.StartedMs)
	lf.leaving = lf.leaving || an.Draining()
	if lf.leaving {
		tr.left = an.Lifetime
	}
	tr.cur = lf
	return true
}

// precedes reports whether an announcement is of a later start of the same lifetime.
//
// The times of both starts decide. Where that of a start which was taken out is not
// known, as when only its removal came, a later one is known by its first numbers. And
// where the clock of the VM was set back in between, it seems the earlier one, until
// nothing of the other can be on its way any more.
func (lf *life) precedes(an *admin.Announcement, now time.Time) bool {
	switch {
	case an.StartedMs == 0:
		return false
	case lf.startedMs == 0:
		return lf.gone && an.Number <= firstNumbers
	case an.StartedMs < lf.startedMs:
		return now.Sub(lf.heard) > lateFor
	}
	return an.StartedMs > lf.startedMs
}

func (lf *life) late(an *admin.Announcement) bool {
	if an.Lifetime == "" {
		return false
	}
	return an.StartedMs != 0 && an.StartedMs < lf.startedMs || an.Number <= lf.number && !lf.assumed || lf.gone
}

// displaces reports whether an announcement of another lifetime would displace a
// present one that was heard lately, without being the first of a new one.
func (tr *Tracker) displaces(lf *life, an *admin.Announcement, now time.Time) bool {
	if tr.cur == nil || tr.cur == lf || tr.cur.gone || now.Sub(tr.cur.heard) > freshFor {
		return false
	}
	if an.StartedMs != 0 && tr.cur.startedMs != 0 {
		return an.StartedMs < tr.cur.startedMs
	}
	return lf != nil || an.Number > firstNumbers
}

func (tr *Tracker) keep(lifetime string, lf *life) {
	if tr.lives == nil {
		tr.lives = map[string]*life{}
	}
	for len(tr.lives) >= keepLives {
		oldest := ""
		for id, one := range tr.lives {
			if oldest == "" || one.heard.Before(tr.lives[oldest].heard) {
				oldest = id
			}
		}
		delete(tr.lives, oldest)
	}
	tr.lives[lifetime] = lf
}

// Assume takes a server that was found to serve before it has announced itself, and
// reports whether it did. One that left, as far as is known, is not taken; nor is any once
// a server has announced itself.
func (tr *Tracker) Assume(an admin.Announcement, now time.Time) bool {
	if tr.cur != nil {
		return false
	}
	if lf := tr.lives[an.Lifetime]; lf != nil {
		return false
	}
	lf := &life{an: an, since: now, heard: now, until: now.Add(an.TTL()), assumed: true}
	tr.keep(an.Lifetime, lf)
	tr.cur = lf
	return true
}

// Withdraw takes a start of the server out for good. One that is not known is
// remembered, so that an announcement which it sent before and which comes later does
// not bring it back. A removal of a start before the newest is late and changes nothing.
func (tr *Tracker) Withdraw(wd admin.Withdrawal, now time.Time) {
	lf := tr.leave(member.Departure{Lifetime: wd.Lifetime, StartedMs: wd.StartedMs}, now)
	if lf != nil {
		lf.heard, lf.gone = now, true
	}
}

// leave notes that a start of the server leaves, and returns what is known of it, nil
// where a later one is known.
func (tr *Tracker) leave(lv member.Departure, now time.Time) *life {
	lf := tr.lives[lv.Lifetime]
	switch {
	case lf != nil && lv.StartedMs != 0 && lv.StartedMs < lf.startedMs:
		return nil
	case lf == nil, lf.startedMs != 0 && lv.StartedMs > lf.startedMs:
		next := &life{since: now, heard: now}
		if lf != nil && tr.cur == lf {
			tr.cur = next
		}
		lf = next
		tr.keep(lv.Lifetime, lf)
	}
	lf.leaving = true
	lf.startedMs = max(lf.startedMs, lv.StartedMs)
	lf.number = max(lf.number, lv.Number)
	tr.left = lv.Lifetime
	return lf
}

// Left returns the last start of the server that said it leaves, with the number of
// its newest announcement; empty for none.
func (tr *Tracker) Left() member.Departure {
	if lf := tr.lives[tr.left]; lf != nil && lf.leaving {
		return member.Departure{Lifetime: tr.left, StartedMs: lf.startedMs, Number: lf.number}
	}
	return member.Departure{}
}

// Lost takes the present server out until it announces itself again.
func (tr *Tracker) Lost(now time.Time) {
	if tr.cur != nil {
		tr.cur.until = now
	}
}

// Recall takes what a former process of the VM acknowledged: that start of the server
// leaves, and its announcements up to the number are late.
func (tr *Tracker) Recall(lv member.Departure, now time.Time) {
	if lv.Lifetime != "" {
		tr.leave(lv, now)
	}
}

// Status returns what the daemon should go by now.
func (tr *Tracker) Status(now time.Time) Status {
	lf := tr.cur
	if lf == nil || lf.gone || !now.Before(lf.until) {
		return Status{}
	}
	// A copy: the tracker's own changes with the next announcement.
	an := lf.an
	return Status{Announcement: &an, Since: lf.since, Until: lf.until, Leaving: lf.leaving}
}
