package inlet

import (
	"slices"
	"time"
)

const (
	// crashSettleTime is how long after a connection breaks the inlet waits for the other
	// connections of a crashed server to be read as broken; maxCrashSpan is how long that takes on
	// a busy VM.
	crashSettleTime = 20 * time.Millisecond
	maxCrashSpan    = 500 * time.Millisecond
	// minBrokenTogether is how many requests must have broken off together, with no concurrent one
	// still running, for a server that accepts connections to count as crashed.
	minBrokenTogether = 2
	// brokenTTL is how long after a request broke off a new instance of the server is taken as
	// evidence that the previous one crashed.
	brokenTTL = 10 * time.Second
	// maxBroken bounds the number of remembered broken requests.
	maxBroken = 64
)

// runningRequest is a request that the server is running.
type runningRequest struct {
	target    Target
	startedAt time.Time
	// heldAt is when the server was first known to hold the request's connection; zero while the
	// connection may wait in the backlog of its socket, which may outlive the server. Only the
	// request's own goroutine uses it.
	heldAt time.Time
}

// brokenRequest is a request whose connection broke although the server accepts others.
type brokenRequest struct {
	id     requestID
	target Target
	// startedAt is when the request was sent to the server, brokenAt when its connection broke.
	startedAt, brokenAt time.Time
}

// sameInstance reports whether two targets are the same instance of a backend server.
func (tg *Target) sameInstance(other *Target) bool {
	return tg.VM == other.VM && tg.Lifetime == other.Lifetime && tg.StartedMs == other.StartedMs
}

// begin records that the target's server runs a request. Call finish or addBroken when the request
// ends.
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

// finish records that a request was answered or failed; it may be called twice. A server that
// answers on a connection which it already held when other requests broke off has not crashed. An
// answer on any other connection may be from the next instance.
func (cd *crashDetector) finish(rr *runningRequest, answered bool) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	delete(cd.running, rr)
	if !answered || len(cd.broken) == 0 {
		return
	}
	now := time.Now()
	cd.broken = slices.DeleteFunc(cd.broken, func(br brokenRequest) bool {
		return br.target.sameInstance(&rr.target) && !rr.heldAt.IsZero() && !rr.heldAt.After(br.brokenAt) && now.Sub(br.brokenAt) > crashSettleTime
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

// attribute replaces the target of a request that broke off by cur, the current one, if its own
// target crashed before the request began: it waited in the backlog of a socket that outlived the
// crashed instance, and a later one ran it. It returns the request's target.
func (cd *crashDetector) attribute(rr *runningRequest, cur *Target) *Target {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if cur != nil && cur.Addr != "" && cd.beganAfterCrash(&rr.target, rr.startedAt) {
		rr.target = *cur
	}
	tg := rr.target
	return &tg
}

// beganAfterCrash reports whether a request that began at startedAt cannot have run on the given
// instance, because that one had crashed. cd.mu must be held.
func (cd *crashDetector) beganAfterCrash(tg *Target, startedAt time.Time) bool {
	return !cd.lastCrashAt.IsZero() && cd.lastCrash.sameInstance(tg) && startedAt.After(cd.lastCrashAt)
}

// setLastCrash records the last instance that crashed while its socket accepted connections, and when
// the last of its requests broke off. cd.mu must be held.
func (cd *crashDetector) setLastCrash(tg *Target, at time.Time) {
	if tg.Lifetime == "" {
		// The next instance cannot be told from this one.
		return
	}
	if !cd.lastCrash.sameInstance(tg) || at.After(cd.lastCrashAt) {
		cd.lastCrash, cd.lastCrashAt = *tg, at
	}
}

// takeBrokenTogether returns and removes the requests that a server was running when it crashed. It
// returns none if the server did not crash or if that is not known yet. Counted are requests that
// ran concurrently and broke off within maxCrashSpan; if the server still runs another request from
// that time, it has not crashed.
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
	var lastAt time.Time
	for _, br := range cd.broken {
		if concurrent(br) {
			ids, lastAt = append(ids, br.id), br.brokenAt
		}
	}
	if len(ids) < minBrokenTogether {
		return nil
	}
	cd.setLastCrash(tg, lastAt)
	cd.broken = slices.DeleteFunc(cd.broken, concurrent)
	return ids
}

// takeEarlierInstances removes the broken requests of all instances of the server but the current
// one, and returns those that broke off within brokenTTL, by instance. Requests that began after
// their instance had crashed are kept as requests of the current one. It does nothing if the
// current server reports no lifetime.
func (cd *crashDetector) takeEarlierInstances(tg *Target, now time.Time) map[Target][]requestID {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	var broken map[Target][]requestID
	if tg.Lifetime == "" {
		return nil
	}
	for i := range cd.broken {
		if br := &cd.broken[i]; cd.beganAfterCrash(&br.target, br.startedAt) {
			br.target = *tg
		}
	}
	cd.broken = slices.DeleteFunc(cd.broken, func(br brokenRequest) bool {
		if br.target.sameInstance(tg) {
			return false
		}
		if now.Sub(br.brokenAt) < brokenTTL && br.target.Lifetime != "" {
			if broken == nil {
				broken = map[Target][]requestID{}
			}
			broken[br.target] = append(broken[br.target], br.id)
			cd.setLastCrash(&br.target, br.brokenAt)
		}
		return true
	})
	return broken
}

// confirmAlive removes the broken requests that the server has survived. tg is the current target.
func (cd *crashDetector) confirmAlive(tg *Target, now time.Time) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if tg != nil && cd.lastCrash.sameInstance(tg) && now.Sub(cd.lastCrashAt) > crashSettleTime {
		cd.lastCrashAt = time.Time{}
	}
	cd.broken = slices.DeleteFunc(cd.broken, func(br brokenRequest) bool { return now.Sub(br.brokenAt) > crashSettleTime })
}

// markLeaving removes all broken requests, and makes later ones of the given instance be ignored: a
// server that drains has not crashed.
func (cd *crashDetector) markLeaving(tg *Target) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.broken, cd.leaving = nil, *tg
}

// isLeaving reports whether the given instance was the last one marked as leaving.
func (cd *crashDetector) isLeaving(tg *Target) bool {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	return cd.leaving.sameInstance(tg)
}

// ServerAnnounced records that the current instance of the backend server announced itself again.
func (in *Inlet) ServerAnnounced() { in.crashes.confirmAlive(in.target.Load(), time.Now()) }

// ServerLeaving records that the backend server is draining or was withdrawn.
func (in *Inlet) ServerLeaving() {
	if tg := in.target.Load(); tg != nil {
		in.crashes.markLeaving(tg)
	}
}

// recordBroken records a request that broke off at a server which still accepts connections.
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

// reportEarlierInstances reports crashes of earlier instances of the server. A new instance may be
// up before the broken connections of the crashed one have been read.
func (in *Inlet) reportEarlierInstances(tg *Target, now time.Time) {
	for instance, ids := range in.crashes.takeEarlierInstances(tg, now) {
		in.reportCrash(&instance, ids)
	}
}

// reportCrash logs and reports that an instance of the server crashed while it ran requests.
func (in *Inlet) reportCrash(tg *Target, ids []requestID) {
	if len(ids) == 0 || in.Gate.Draining() {
		return
	}
	in.logCrash(tg, len(ids))
	in.report(ids, crashIDOf(tg))
}
