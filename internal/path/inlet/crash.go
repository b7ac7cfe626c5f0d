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
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

const (
	// probeTimeout bounds a probe. A crashed server refuses connections at once; one that
	// does not answer may only be paused.
	probeTimeout = 100 * time.Millisecond
	// probeInterval is how long the result of a probe holds.
	probeInterval = 100 * time.Millisecond
	// unnamedTTL is how long the crash of a server without a lifetime is remembered: the
	// next one looks like it.
	unnamedTTL = time.Second
	// abandonedTTL is how long a server may go on with a request that its outlet gave up
	// on, maxAbandoned how many of those are kept.
	abandonedTTL = time.Second
	maxAbandoned = 64
)

// crashDetector finds out whether the backend server crashed, and what it was running.
type crashDetector struct {
	mu sync.Mutex
	// of is the target that was probed last, ended the result, at when.
	of        Target
	ended     bool
	at        time.Time
	end       poison.CrashID
	abandoned []abandoned
	// flights are the requests that the server is running, broken those that broke off
	// though it accepts connections.
	flights map[*flight]bool
	broken  []broken
	// leaving is the last start that said it leaves.
	leaving Target
}

// abandoned is a request that its outlet gave up on.
type abandoned struct {
	id requestID
	of Target
	at time.Time
}

// requestID names a request in reports.
type requestID struct {
	head uint64
	key  ident.Key
}

// crashed reports whether the server of a target crashed, and names the crash. It calls probe
// where the result of the last one no longer holds; requests that failed together share one.
func (cd *crashDetector) crashed(tg *Target, probe func() bool) (end poison.CrashID, ended, first bool) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	now := time.Now()
	if cd.of.sameStart(tg) && cd.of.Addr == tg.Addr {
		known := now.Sub(cd.at) < probeInterval
		if cd.ended {
			known = tg.Lifetime != "" || now.Sub(cd.at) < unnamedTTL
		}
		if known {
			return cd.end, cd.ended, false
		}
	}
	cd.of, cd.ended, cd.at = *tg, probe(), now
	if cd.ended {
		cd.end = nameEnd(tg)
	}
	return cd.end, cd.ended, cd.ended
}

// nameEnd names the end of a target's lifetime.
func nameEnd(tg *Target) poison.CrashID {
	if tg.Lifetime == "" {
		return poison.CrashID(rand.Uint64())
	}
	return poison.CrashID(xxhash.Sum64String(tg.VM + "\x00" + tg.Lifetime + "\x00" + strconv.FormatInt(tg.StartedMs, 10)))
}

// forget drops the result of the last probe. A server that announces itself again has not
// crashed, though it refused a connection for a moment.
func (cd *crashDetector) forget() {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.of, cd.ended = Target{}, false
}

// abandon records a request that its outlet gave up on while the server was running it.
func (cd *crashDetector) abandon(id requestID, tg *Target) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.abandoned = append(cd.abandoned, abandoned{id: id, of: *tg, at: time.Now()})
	if len(cd.abandoned) > maxAbandoned {
		cd.abandoned = cd.abandoned[1:]
	}
}

// takeAbandoned returns the abandoned requests that the server may have been running when
// it crashed.
func (cd *crashDetector) takeAbandoned(tg *Target) (list []requestID) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	for _, le := range cd.abandoned {
		if le.of.sameStart(tg) && time.Since(le.at) < abandonedTTL {
			list = append(list, le.id)
		}
	}
	cd.abandoned = nil
	return list
}

// recordCrash finds out whether a request failed because its backend server crashed, and
// reports what that server was running. A server that closes a connection by itself still
// accepts others afterwards; one that drains did not crash.
func (in *Inlet) recordCrash(r *http.Request, lead *ident.Lead, fl *flight, rf *result.Refusal) {
	tg := &fl.of
	gaveUp := rf.Reason == result.ReasonCallerGone || rf.Reason == result.ReasonDeadlinePassed
	switch {
	case rf.Outcome == result.MayHaveRun && gaveUp:
		if id, ok := requestIDOf(r, lead); ok {
			in.crashes.abandon(id, tg)
		}
		return
	case rf.Outcome == result.MayHaveRun && rf.Reason != result.ReasonConnectionBroken, rf.Outcome == result.NotRun && rf.Reason != result.ReasonNoConnection:
		return
	}
	end, ended, first := in.crashes.crashed(tg, func() bool { return in.isDown(tg) })
	if !ended {
		if id, ok := requestIDOf(r, lead); ok && rf.Outcome == result.MayHaveRun && !in.Gate.Draining() {
			in.interrupted(id, fl)
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
		if id, ok := requestIDOf(r, lead); ok {
			in.Log.LogAttrs(context.Background(), slog.LevelWarn, logs.RunningAtCrash, slog.String(logs.ID, in.id(r)),
				slog.String(logs.RequestKey, id.key.String()), slog.String(logs.Lifetime, tg.Lifetime))
			ids = append(ids, id)
		}
	}
	if in.Gate.Draining() {
		return
	}
	in.report(ids, end)
	rf.Crashes = in.endsOf(r, lead)
}

// logCrash logs that a start of the server crashed while it ran some requests.
func (in *Inlet) logCrash(tg *Target, running int) {
	in.Log.LogAttrs(context.Background(), slog.LevelWarn, logs.ServerCrashed,
		slog.String(logs.Lifetime, tg.Lifetime), slog.Int("running", running))
}

// report sends reports that a server crashed while it ran requests.
func (in *Inlet) report(ids []requestID, end poison.CrashID) {
	if len(ids) == 0 {
		return
	}
	var list []poison.Report
	for _, id := range ids {
		list = append(list, poison.Report{Head: id.head, Key: id.key, Crash: end, At: time.Now()})
	}
	in.Report(list)
}

// requestIDOf returns the ID of a request, and whether enough of its body was read for it.
func requestIDOf(r *http.Request, lead *ident.Lead) (id requestID, ok bool) {
	body, whole := lead.Bytes(r.ContentLength)
	if !whole {
		return requestID{}, false
	}
	return requestID{head: ident.HeaderHash(r), key: ident.KeyOf(r, body)}, true
}

// endsOf returns how many servers are known to have crashed while they ran a request.
func (in *Inlet) endsOf(r *http.Request, lead *ident.Lead) int {
	vw := in.Poison()
	if !vw.Suspects(r) {
		return 0
	}
	id, ok := requestIDOf(r, lead)
	if !ok {
		return 0
	}
	return vw.CrashCount(id.key)
}

// clearSuspect reports that a server answered a suspect request completely.
func (in *Inlet) clearSuspect(r *http.Request, lead *ident.Lead) {
	vw := in.Poison()
	if !vw.Suspects(r) {
		return
	}
	if id, ok := requestIDOf(r, lead); ok {
		if list := vw.AnswerReports(id.key); len(list) > 0 {
			in.Report(list)
		}
	}
}

// isDown reports whether the backend server of a target refuses connections.
func (in *Inlet) isDown(tg *Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return !in.fw.Load().Reachable(ctx, tg.Addr) && ctx.Err() == nil
}

// isolate admits one suspect request at a time, so that a further crash tells which of them
// is the cause.
func (in *Inlet) isolate(r *http.Request) (leave func(), rf *result.Refusal) {
	known, err := strconv.Atoi(r.Header.Get(result.CrashesHeader))
	if err != nil || known < poison.IsolateThreshold {
		// None are known, or an older release sends none.
		return func() {}, nil
	}
	if !in.suspect.CompareAndSwap(false, true) {
		return nil, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonSuspectRunning}
	}
	return func() { in.suspect.Store(false) }, nil
}
