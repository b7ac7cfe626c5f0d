package inlet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/path/ident"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/mono"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

const (
	// probeTimeout bounds a probe. A crashed server refuses connections at once; one that does not
	// answer may only be paused.
	probeTimeout = 100 * time.Millisecond
	// probeInterval is how long the result of a probe is reused.
	probeInterval = 100 * time.Millisecond
	// unnamedCrashTTL is how long the crash of a server that reports no lifetime is remembered: its
	// next instance cannot be told from it.
	unnamedCrashTTL = time.Second
	// abandonedTTL is how long a server may continue a request after its outlet gave up on it;
	// maxAbandoned bounds the number of such requests that are remembered.
	abandonedTTL = time.Second
	maxAbandoned = 64
	// trialInterval is the time between two trials of refused requests, if the first is not answered.
	trialInterval = 10 * time.Second
)

// crashDetector detects crashes of the backend server and records which requests it was running.
type crashDetector struct {
	mu sync.Mutex
	// probed is the target of the last probe, down its result and probedAt its time. crashID
	// identifies the crash if the server is down.
	probed    Target
	down      bool
	probedAt  time.Time
	crashID   poison.CrashID
	abandoned []abandonedRequest
	// running holds the requests that the server is running, broken those whose connection broke
	// although the server accepts others.
	running map[*runningRequest]bool
	broken  []brokenRequest
	// leaving is the last instance that announced its withdrawal.
	leaving Target
	// lastCrash is the last instance that crashed while its address accepted connections, and
	// lastCrashAt is when; zero if there is none or if the instance proved to be alive.
	lastCrash   Target
	lastCrashAt time.Time
}

// abandonedRequest is a request that its outlet gave up on.
type abandonedRequest struct {
	id          requestID
	target      Target
	abandonedAt time.Time
}

// requestID identifies a request in reports.
type requestID struct {
	headerHash uint64
	key        ident.Key
}

// crashed reports whether the target's server crashed, and returns the ID of the crash. It calls
// probe if the last result has expired, so requests that fail together share one probe. first is
// set for the call that detected the crash.
func (cd *crashDetector) crashed(tg *Target, probe func() bool) (crashID poison.CrashID, crashed, first bool) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	now := time.Now()
	if cd.probed.sameInstance(tg) && cd.probed.Addr == tg.Addr {
		valid := now.Sub(cd.probedAt) < probeInterval
		if cd.down {
			valid = tg.Lifetime != "" || now.Sub(cd.probedAt) < unnamedCrashTTL
		}
		if valid {
			return cd.crashID, cd.down, false
		}
	}
	cd.probed, cd.down, cd.probedAt = *tg, probe(), now
	if cd.down {
		cd.crashID = crashIDOf(tg)
	}
	return cd.crashID, cd.down, cd.down
}

// crashIDOf returns the ID of the crash of a target's instance. It is random for a server that
// reports no lifetime.
func crashIDOf(tg *Target) poison.CrashID {
	if tg.Lifetime == "" {
		return poison.CrashID(rand.Uint64())
	}
	return poison.CrashID(xxhash.Sum64String(tg.VM + "\x00" + tg.Lifetime + "\x00" + strconv.FormatInt(tg.StartedMs, 10)))
}

// forget discards the result of the last probe. A server that announces itself again has not
// crashed, even if it refused a connection for a moment.
func (cd *crashDetector) forget() {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.probed, cd.down = Target{}, false
}

// abandon records a request that its outlet gave up on while the server was running it.
func (cd *crashDetector) abandon(id requestID, tg *Target) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.abandoned = append(cd.abandoned, abandonedRequest{id: id, target: *tg, abandonedAt: time.Now()})
	if len(cd.abandoned) > maxAbandoned {
		cd.abandoned = cd.abandoned[1:]
	}
}

// takeAbandoned removes the abandoned requests and returns those that the server may have been
// running when it crashed.
func (cd *crashDetector) takeAbandoned(tg *Target) (list []requestID) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	for _, ab := range cd.abandoned {
		if ab.target.sameInstance(tg) && time.Since(ab.abandonedAt) < abandonedTTL {
			list = append(list, ab.id)
		}
	}
	cd.abandoned = nil
	return list
}

// recordCrash checks whether a request failed because its backend server crashed, and if so reports
// the requests that the server was running. A server that merely closed a connection still accepts
// new ones; a server that is draining did not crash.
func (in *Inlet) recordCrash(r *http.Request, pr *ident.PrefixReader, rr *runningRequest, rf *result.Refusal) {
	tg := in.crashes.attribute(rr, in.target.Load())
	gaveUp := rf.Reason == result.ReasonCallerGone || rf.Reason == result.ReasonDeadlinePassed
	switch {
	case rf.Outcome == result.MayHaveRun && gaveUp:
		if id, ok := requestIDOf(r, pr); ok {
			in.crashes.abandon(id, tg)
		}
		return
	case rf.Outcome == result.MayHaveRun && rf.Reason != result.ReasonConnectionBroken, rf.Outcome == result.NotRun && rf.Reason != result.ReasonNoConnection:
		return
	}
	crashID, crashed, first := in.crashes.crashed(tg, func() bool { return in.isDown(tg) })
	if !crashed {
		if id, ok := requestIDOf(r, pr); ok && rf.Outcome == result.MayHaveRun && !in.Gate.Draining() {
			in.recordBroken(id, rr)
		}
		return
	}
	var ids []requestID
	if first {
		in.logCrash(tg, in.Gate.Load().Running)
		in.Unreachable(*tg)
		ids = in.crashes.takeAbandoned(tg)
	}
	if rf.Outcome == result.MayHaveRun {
		rf.Reason = result.ReasonServerCrashed
		if id, ok := requestIDOf(r, pr); ok {
			in.Log.LogAttrs(context.Background(), slog.LevelWarn, logs.RunningAtCrash, slog.String(logs.ID, in.callerRequestID(r)),
				slog.String(logs.RequestKey, id.key.String()), slog.String(logs.Lifetime, tg.Lifetime))
			ids = append(ids, id)
		}
	}
	if in.Gate.Draining() {
		return
	}
	in.report(ids, crashID)
	rf.Crashes = in.knownCrashes(r, pr)
}

// logCrash logs that an instance of the server crashed, and how many requests it was running.
func (in *Inlet) logCrash(tg *Target, running int) {
	in.Log.LogAttrs(context.Background(), slog.LevelWarn, logs.ServerCrashed,
		slog.String(logs.Lifetime, tg.Lifetime), slog.Int("running", running))
}

// report sends reports that a server crashed while it ran the given requests.
func (in *Inlet) report(ids []requestID, crashID poison.CrashID) {
	if len(ids) == 0 {
		return
	}
	var list []poison.Report
	for _, id := range ids {
		list = append(list, poison.Report{Head: id.headerHash, Key: id.key, Crash: crashID, At: time.Now()})
	}
	in.Report(list)
}

// requestIDOf returns the ID of a request. ok is false if not enough of its body has been read.
func requestIDOf(r *http.Request, pr *ident.PrefixReader) (id requestID, ok bool) {
	prefix, complete := pr.Prefix(r.ContentLength)
	if !complete {
		return requestID{}, false
	}
	return requestID{headerHash: ident.HeaderHash(r), key: ident.KeyOf(r, prefix)}, true
}

// knownCrashes returns the number of known server crashes during a request.
func (in *Inlet) knownCrashes(r *http.Request, pr *ident.PrefixReader) int {
	vw := in.Poison()
	if !vw.Suspects(r) {
		return 0
	}
	id, ok := requestIDOf(r, pr)
	if !ok {
		return 0
	}
	return vw.CrashCount(id.key)
}

// beginTrial delays further trials, if the request is one, until it is answered; endTrial ends the delay.
func (in *Inlet) beginTrial(r *http.Request) {
	if crashesOf(r) >= poison.RefuseThreshold {
		in.trialsFrom.Store(mono.Nanos(time.Now().Add(trialInterval)))
	}
}

func (in *Inlet) endTrial(r *http.Request) {
	if crashesOf(r) >= poison.RefuseThreshold {
		in.trialsFrom.Store(0)
	}
}

// clearSuspect reports that a server answered a suspect request completely.
func (in *Inlet) clearSuspect(r *http.Request, pr *ident.PrefixReader) {
	vw := in.Poison()
	if !vw.Suspects(r) {
		return
	}
	in.endTrial(r)
	if id, ok := requestIDOf(r, pr); ok {
		if list := vw.AnswerReports(id.key); len(list) > 0 {
			in.Report(list)
		}
	}
}

// isDown reports whether the target's backend server refuses connections.
func (in *Inlet) isDown(tg *Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return !in.fw.Load().Reachable(ctx, tg.Addr) && ctx.Err() == nil
}

// crashesOf returns how many crashes the outlet knew of during a request; 0 from an older release, which
// sends no count.
func crashesOf(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(result.CrashesHeader))
	if err != nil {
		return 0
	}
	return n
}

// isolate admits one suspect request at a time, so that another crash shows which of them caused
// it. Outlets send a request that has reached poison.RefuseThreshold for a trial only. After a trial
// without an answer no other is admitted for trialInterval, since the evidence of a crash may arrive
// only once the server is back.
func (in *Inlet) isolate(r *http.Request) (release func(), rf *result.Refusal) {
	crashes := crashesOf(r)
	if crashes < poison.IsolateThreshold {
		return func() {}, nil
	}
	if crashes >= poison.RefuseThreshold && mono.Nanos(time.Now()) < in.trialsFrom.Load() || !in.suspectRunning.CompareAndSwap(false, true) {
		return nil, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonSuspectRunning}
	}
	return func() { in.suspectRunning.Store(false) }, nil
}
