package inlet

import (
	"slices"
	"time"
)

const (
	// crashSettleTime is how long after a break the other connections of a crashed server are
	// given to be read as broken, maxCrashSpan how long that takes on a busy VM.
	crashSettleTime = 20 * time.Millisecond
	maxCrashSpan    = 500 * time.Millisecond
	// minBrokenTogether is how many requests must have broken off together, and no other still
	// run, for a server that accepts connections to be taken for crashed.
	minBrokenTogether = 2
	// brokenTTL is how long after a broken request the next start of the server is taken
	// for a sign that the one before crashed.
	brokenTTL = 10 * time.Second
	// maxBroken is how many broken requests are kept.
	maxBroken = 64
)

// runningRequest is a request that a server is running.
type runningRequest struct {
	target    Target
	startedAt time.Time
}

// brokenRequest is a request whose connection broke though the server accepts others.
type brokenRequest struct {
	id     requestID
	target Target
	// startedAt is when the server got it, at when its connection broke.
	startedAt, brokenAt time.Time
}

// sameInstance reports whether two targets are one start of a backend server.
func (tg *Target) sameInstance(other *Target) bool {
	return tg.VM == other.VM && tg.Lifetime == other.Lifetime && tg.StartedMs == other.StartedMs
}

// begin records that the server of a target runs a request, until finish.
func (cd *crashDetector) begin(tg *Target) *runningRequest {
	rr := &runningRequest{target: *tg, startedAt: time.Now()}
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if cd.running == nil {
		cd.running = map[*runningRequest]bool{}
	}
	cd.running[rr] = true
	return rr
}

// finish records that a request has been answered or has failed; it may be called twice. A
// server that answers a request which it ran when others broke off has not crashed.
func (cd *crashDetector) finish(rr *runningRequest, answered bool) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	delete(cd.running, rr)
	if !answered || len(cd.broken) == 0 {
		return
	}
	now := time.Now()
	cd.broken = slices.DeleteFunc(cd.broken, func(br brokenRequest) bool {
		return br.target.sameInstance(&rr.target) && !rr.startedAt.After(br.brokenAt) && now.Sub(br.brokenAt) > crashSettleTime
	})
}

// addBroken records that the connection of a request broke.
func (cd *crashDetector) addBroken(id requestID, rr *runningRequest, now time.Time) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	delete(cd.running, rr)
	cd.broken = append(cd.broken, brokenRequest{id: id, target: rr.target, startedAt: rr.startedAt, brokenAt: now})
	if len(cd.broken) > maxBroken {
		cd.broken = cd.broken[1:]
	}
}

// takeBrokenTogether returns the requests that a server ran when it crashed, none if it did not crash or
// that is not known yet. Those count that broke off lately and ran together, and none if
// the server still runs another one that ran beside them.
func (cd *crashDetector) takeBrokenTogether(tg *Target, now time.Time) (ids []requestID) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	recent := func(br brokenRequest) bool { return br.target.sameInstance(tg) && now.Sub(br.brokenAt) < maxCrashSpan }
	oldest := slices.IndexFunc(cd.broken, recent)
	if oldest < 0 {
		return nil
	}
	oldestAt := cd.broken[oldest].brokenAt
	for rr := range cd.running {
		if rr.target.sameInstance(tg) && !rr.startedAt.After(oldestAt) {
			return nil
		}
	}
	concurrent := func(br brokenRequest) bool { return recent(br) && !br.startedAt.After(oldestAt) }
	for _, br := range cd.broken {
		if concurrent(br) {
			ids = append(ids, br.id)
		}
	}
	if len(ids) < minBrokenTogether {
		return nil
	}
	cd.broken = slices.DeleteFunc(cd.broken, concurrent)
	return ids
}

// takeEarlierInstances returns the requests whose connections broke lately at another start of the
// server than the present one, by that start.
func (cd *crashDetector) takeEarlierInstances(tg *Target, now time.Time) map[Target][]requestID {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	var broken map[Target][]requestID
	cd.broken = slices.DeleteFunc(cd.broken, func(br brokenRequest) bool {
		if tg.Lifetime == "" || br.target.sameInstance(tg) {
			return false
		}
		if now.Sub(br.brokenAt) < brokenTTL && br.target.Lifetime != "" {
			if broken == nil {
				broken = map[Target][]requestID{}
			}
			broken[br.target] = append(broken[br.target], br.id)
		}
		return true
	})
	return broken
}

// confirmAlive drops the broken requests that a server has survived.
func (cd *crashDetector) confirmAlive(now time.Time) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.broken = slices.DeleteFunc(cd.broken, func(br brokenRequest) bool { return now.Sub(br.brokenAt) > crashSettleTime })
}

// markLeaving drops all broken requests, and those that a start of the server breaks later: one
// that drains has not crashed.
func (cd *crashDetector) markLeaving(tg *Target) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.broken, cd.leaving = nil, *tg
}

// isLeaving reports whether a start of the server was the last that said it leaves.
func (cd *crashDetector) isLeaving(tg *Target) bool {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	return cd.leaving.sameInstance(tg)
}

// ServerHeard records that the present start of the backend server announced itself again.
func (in *Inlet) ServerHeard() { in.crashes.confirmAlive(time.Now()) }

// ServerLeaves records that the backend server drains or was withdrawn.
func (in *Inlet) ServerLeaves() {
	if tg := in.target.Load(); tg != nil {
		in.crashes.markLeaving(tg)
	}
}

// recordBroken records a request that broke off at a server which accepts connections.
func (in *Inlet) recordBroken(id requestID, rr *runningRequest) {
	tg := &rr.target
	if in.crashes.isLeaving(tg) {
		in.crashes.finish(rr, false)
		return
	}
	now := time.Now()
	in.crashes.addBroken(id, rr, now)
	in.reportEarlierInstances(in.target.Load(), now)
	time.AfterFunc(crashSettleTime, func() { in.reportCrash(tg, in.crashes.takeBrokenTogether(tg, time.Now())) })
}

// reportEarlierInstances reports crashes of earlier starts of the server than the present one. A
// server may be back before its broken connections have been read.
func (in *Inlet) reportEarlierInstances(tg *Target, now time.Time) {
	for instance, ids := range in.crashes.takeEarlierInstances(tg, now) {
		in.reportCrash(&instance, ids)
	}
}

// reportCrash logs and reports that a start of the server crashed while it ran requests.
func (in *Inlet) reportCrash(tg *Target, ids []requestID) {
	if len(ids) == 0 || in.Gate.Draining() {
		return
	}
	in.logCrash(tg, len(ids))
	in.report(ids, endIDOf(tg))
}
