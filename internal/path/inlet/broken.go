package inlet

import (
	"slices"
	"time"
)

const (
	// crashWindow is how long after a break the other connections of a crashed server are
	// given to be read as broken, crashSpan how long that takes on a busy VM.
	crashWindow = 20 * time.Millisecond
	crashSpan   = 500 * time.Millisecond
	// crashBreaks is how many requests must have broken off together, and no other still
	// run, for a server that accepts connections to be taken for crashed.
	crashBreaks = 2
	// brokenTTL is how long after a broken request the next start of the server is taken
	// for a sign that the one before crashed.
	brokenTTL = 10 * time.Second
	// maxBroken is how many broken requests are kept.
	maxBroken = 64
)

// flight is a request that a server is running.
type flight struct {
	of    Target
	since time.Time
}

// broken is a request whose connection broke though the server accepts others.
type broken struct {
	id requestID
	of Target
	// since is when the server got it, at when its connection broke.
	since, at time.Time
}

// sameStart reports whether two targets are one start of a backend server.
func (tg *Target) sameStart(other *Target) bool {
	return tg.VM == other.VM && tg.Lifetime == other.Lifetime && tg.StartedMs == other.StartedMs
}

// begin records that the server of a target runs a request, until finish.
func (cd *crashDetector) begin(tg *Target) *flight {
	fl := &flight{of: *tg, since: time.Now()}
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if cd.flights == nil {
		cd.flights = map[*flight]bool{}
	}
	cd.flights[fl] = true
	return fl
}

// finish records that a request has been answered or has failed; it may be called twice. A
// server that answers a request which it ran when others broke off has not crashed.
func (cd *crashDetector) finish(fl *flight, answered bool) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	delete(cd.flights, fl)
	if !answered || len(cd.broken) == 0 {
		return
	}
	now := time.Now()
	cd.broken = slices.DeleteFunc(cd.broken, func(br broken) bool {
		return br.of.sameStart(&fl.of) && !fl.since.After(br.at) && now.Sub(br.at) > crashWindow
	})
}

// interrupt records that the connection of a request broke.
func (cd *crashDetector) interrupt(id requestID, fl *flight, now time.Time) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	delete(cd.flights, fl)
	cd.broken = append(cd.broken, broken{id: id, of: fl.of, since: fl.since, at: now})
	if len(cd.broken) > maxBroken {
		cd.broken = cd.broken[1:]
	}
}

// judge returns the requests that a server ran when it crashed, none if it did not crash or
// that is not known yet. Those count that broke off lately and ran together, and none if
// the server still runs another one that ran beside them.
func (cd *crashDetector) judge(tg *Target, now time.Time) (ids []requestID) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	recent := func(br broken) bool { return br.of.sameStart(tg) && now.Sub(br.at) < crashSpan }
	first := slices.IndexFunc(cd.broken, recent)
	if first < 0 {
		return nil
	}
	from := cd.broken[first].at
	for fl := range cd.flights {
		if fl.of.sameStart(tg) && !fl.since.After(from) {
			return nil
		}
	}
	beside := func(br broken) bool { return recent(br) && !br.since.After(from) }
	for _, br := range cd.broken {
		if beside(br) {
			ids = append(ids, br.id)
		}
	}
	if len(ids) < crashBreaks {
		return nil
	}
	cd.broken = slices.DeleteFunc(cd.broken, beside)
	return ids
}

// restarted returns the requests whose connections broke lately at another start of the
// server than the present one, by that start.
func (cd *crashDetector) restarted(tg *Target, now time.Time) map[Target][]requestID {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	var ran map[Target][]requestID
	cd.broken = slices.DeleteFunc(cd.broken, func(br broken) bool {
		if tg.Lifetime == "" || br.of.sameStart(tg) {
			return false
		}
		if now.Sub(br.at) < brokenTTL && br.of.Lifetime != "" {
			if ran == nil {
				ran = map[Target][]requestID{}
			}
			ran[br.of] = append(ran[br.of], br.id)
		}
		return true
	})
	return ran
}

// alive drops the broken requests that a server has survived.
func (cd *crashDetector) alive(now time.Time) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.broken = slices.DeleteFunc(cd.broken, func(br broken) bool { return now.Sub(br.at) > crashWindow })
}

// leaves drops all broken requests, and those that a start of the server breaks later: one
// that drains has not crashed.
func (cd *crashDetector) leaves(tg *Target) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.broken, cd.leaving = nil, *tg
}

// isLeaving reports whether a start of the server was the last that said it leaves.
func (cd *crashDetector) isLeaving(tg *Target) bool {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	return cd.leaving.sameStart(tg)
}

// ServerAnnounced records that the present start of the backend server announced itself again.
func (in *Inlet) ServerAnnounced() { in.crashes.alive(time.Now()) }

// ServerLeaving records that the backend server drains or was withdrawn.
func (in *Inlet) ServerLeaving() {
	if tg := in.target.Load(); tg != nil {
		in.crashes.leaves(tg)
	}
}

// interrupted records a request that broke off at a server which accepts connections.
func (in *Inlet) interrupted(id requestID, fl *flight) {
	tg := &fl.of
	if in.crashes.isLeaving(tg) {
		in.crashes.finish(fl, false)
		return
	}
	now := time.Now()
	in.crashes.interrupt(id, fl, now)
	in.reportRestarted(in.target.Load(), now)
	time.AfterFunc(crashWindow, func() { in.reportCrash(tg, in.crashes.judge(tg, time.Now())) })
}

// reportRestarted reports crashes of earlier starts of the server than the present one. A
// server may be back before its broken connections have been read.
func (in *Inlet) reportRestarted(tg *Target, now time.Time) {
	for of, ids := range in.crashes.restarted(tg, now) {
		in.reportCrash(&of, ids)
	}
}

// reportCrash logs and reports that a start of the server crashed while it ran requests.
func (in *Inlet) reportCrash(tg *Target, ids []requestID) {
	if len(ids) == 0 || in.Gate.Draining() {
		return
	}
	in.logCrash(tg, len(ids))
	in.report(ids, nameEnd(tg))
}
