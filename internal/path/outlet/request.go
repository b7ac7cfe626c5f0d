package outlet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/path/again"
	"github.com/flamingomast/flamingomast/internal/path/pacer"
	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/path/retry"
	"github.com/flamingomast/flamingomast/internal/path/shed"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// request is one request of a caller with all its attempts.
type request struct {
	ou    *Outlet
	route *snap.Route
	sv    *snap.Service
	// base has the servers of the service, gp those that the request is sent to: during a
	// rollout it may be the ones of the new version.
	base, gp *pick.Group
	bu       *retry.Budget
	kn       *known
	th       *shed.Throttle
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	src      source
	tried    pick.Tried
	start    time.Time
	// queued is how long after start the outlet began to handle it, limit how long after
	// start it gives up.
	queued, limit time.Duration
	// elapsed is how long the caller had been at it before it came here.
	elapsed time.Duration
	// final is set where the caller cannot come back after a refusal.
	final bool
	// priority is the route's, or for a call that of the request it is made for.
	priority int
	// repeat is how likely a call is made for a request that was run before.
	repeat float64
	// try is this one of its caller, further says that there was one before it.
	try     *again.Try
	further bool
	// version is the one that the request was routed by, vm the last one that it
	// was sent to.
	version uint64
	vm      string
	// software is the version of the last server's software.
	software string
	// spent is what the answered attempt spent at the inlet.
	spent result.SlotTimes
	// tries counts the attempts, busy those that found no room, sent those that
	// may have reached a backend server.
	tries, busy, sent int
	// ends counts the attempts under which the backend server ended.
	ends int
	// failed is the last attempt that was not answered, nil for none.
	failed *result.Refusal
}

func (rq *request) serve() {
	rq.bu.AddRequest()
	if rq.repeat > 0 {
		rq.bu.Charge(rq.repeat)
	}
	defer rq.src.release(&rq.ou.bodies)
	if rf := rq.src.fill(rq.w, rq.r, &rq.ou.bodies); rf != nil {
		rq.end(rf)
		return
	}
	if rf := rq.refusePoison(); rf != nil {
		rq.end(rf)
		return
	}
	// One that came back is offered in any case: held back, it would be turned away
	// twice for nothing.
	if !rq.final && !rq.further && !rq.th.Allow(rq.priority, rq.start, rand.Float64()) {
		rq.end(&result.Refusal{Outcome: result.NotRun, Reason: result.ReasonSlotsFull})
		return
	}
	rq.th.RecordOutcome(rq.priority, time.Now(), rq.send())
}

// send sends the request until it is answered or given up on, and reports whether
// an inlet took it.
func (rq *request) send() (taken bool) {
	var last *result.Refusal
	for {
		ep := rq.gp.Pick(time.Now(), rq.want(), &rq.tried, rand.IntN)
		if ep == nil {
			if last == nil {
				last = &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonNoServer, RetryAfter: time.Second}
			}
			rq.end(last)
			return !last.Overloaded()
		}
		rq.software = ep.Software
		rf := rq.attempt(ep)
		if rf == nil {
			rq.failed = nil
			rq.count(result.Answered, "")
			return true
		}
		rq.failed = rf
		rq.logAttempt(ep, rf)
		if rf.Reason == result.ReasonServerCrashed {
			rq.ends = max(rq.ends+1, rf.Crashes)
		}
		if !staleConn(rf) {
			rq.tried.Add(ep)
		}
		last = worse(last, rf)
		// What a new version did not answer goes to the one before.
		if rq.base.Len() > 0 {
			rq.gp = rq.base
		}
		if !rq.again(rf) {
			rq.end(last)
			return !last.Overloaded()
		}
	}
}

// want returns what the request asks of a server.
func (rq *request) want() pick.Criteria {
	return pick.Criteria{
		Size: rq.kn.expected(), StayInDomain: pacer.IsNarrow(rq.ou.link),
		Rank: result.Rank(rq.priority, rq.final), ServiceTime: time.Duration(rq.kn.held.Load()), FoundFull: rq.busy > 0,
	}
}

// staleConn reports whether a request met a kept connection that could not take
// it. That says nothing of the server, which may be tried again.
func staleConn(rf *result.Refusal) bool {
	return rf.Outcome == result.NotRun && rf.Reason == result.ReasonConnectionBroken
}

// worse returns what must be said of two attempts together: a request of which
// one attempt may have run may have run, whatever became of the others.
func worse(last, rf *result.Refusal) *result.Refusal {
	if last != nil && last.Outcome == result.MayHaveRun && rf.Outcome == result.NotRun {
		return last
	}
	return rf
}

// How many servers without room a request tries.
const (
	// leastBusy holds for few servers: more would only multiply the load when all are
	// full.
	leastBusy = 2
	// manyServers is the number from which one more is tried: with as many, some have
	// room for a moment. Each try takes the processors of two daemons.
	manyServers = 15
)

// maxBusy returns how many servers without room the request tries.
func (rq *request) maxBusy() int {
	if rq.gp.Len() >= manyServers {
		return leastBusy + 1
	}
	return leastBusy
}

// again reports whether the request is sent again after the refusal rf.
func (rq *request) again(rf *result.Refusal) bool {
	if rq.ctx.Err() != nil || rq.tries >= retry.MaxAttempts || !rq.src.replayable() {
		return false
	}
	if rq.ends >= poison.RefuseThreshold {
		return false
	}
	if reached(rf) {
		rq.sent++
	}
	if rq.route.Attempts > 0 && rq.sent >= rq.route.Attempts {
		return false
	}
	if at, ok := rq.ctx.Deadline(); ok && rf.Outcome == result.NotRun && time.Until(at) < time.Duration(rq.kn.held.Load()) {
		// It could not be answered in time by any server. Sent again, it would wait
		// until its deadline and be lost without a word whether it had run.
		return false
	}
	if rf.Reason.NoCapacity() || rf.Reason == result.ReasonShed {
		if rq.busy++; rq.busy >= rq.maxBusy() {
			return false
		}
	}
	if !retry.Allowed(rf.Outcome, rq.route.Repeat, rq.r.Method) {
		return false
	}
	// What no backend server saw adds no load to any when it is sent again.
	return !reached(rf) || rq.bu.Take()
}

// repeated returns how likely a backend server gets the request, or the one that it is
// a call for, not for the first time.
func (rq *request) repeated() float64 {
	if rq.sent > 0 {
		return 1
	}
	return rq.repeat
}

// reached reports whether a refused request may have reached a backend server,
// which then had the work of it.
func reached(rf *result.Refusal) bool {
	return rf.Outcome != result.NotRun || rf.Reason == result.ReasonShed
}

// end writes the final answer of a request that no server answered. It does so
// at once; when to come back stands in it.
func (rq *request) end(rf *result.Refusal) {
	rq.count(rf.Outcome, rf.Reason)
	rq.spread(rf)
	told := rf.Outcome == result.NotRun && rf.Reason != result.ReasonPoison
	rq.ou.memory.Failed(rq.try, time.Now(), told, &rq.kn.back)
	// Written also where the caller seems to have gone: the context of a request
	// ends as well when a read from the caller fails, and a handler that returns
	// without an answer is taken for a success without a body.
	if rq.src.streamed() || rq.src.broken {
		rq.w.Header().Set("Connection", "close")
	}
	rf.Write(rq.w, rq.ou.names.FractionalRetryAfter)
}

// The return of refused callers.
const (
	// returnPart is the part of the objective after which a caller is told to
	// come back at least: soon enough for an answer in time, and late enough for
	// slots to have become free.
	returnPart = 4
	// returnLeast stands for it where no objective is declared.
	returnLeast = 100 * time.Millisecond
	// returnSoon is for requests that a backend server shed though it had free slots:
	// the next try has the same chance, whenever it comes.
	returnSoon = 10 * time.Millisecond
)

// spread sets when the caller of a request that has not run should come back:
// when a slot is expected to be free, spread over as long again, so that those
// who were refused together do not come back as one wave.
func (rq *request) spread(rf *result.Refusal) {
	if rf.Reason == result.ReasonPoison || rq.ends >= poison.RefuseThreshold {
		// It would be refused as it is now.
		rf.RetryAfter = 0
		return
	}
	if rf.Outcome != result.NotRun {
		return
	}
	after := rq.comeBack(rf)
	if after < time.Second {
		rf.RetryAfter = after + rand.N(after)
		return
	}
	rf.RetryAfter = after/2 + rand.N(after/2)
}

// comeBack returns when the caller of a refused request should come back at least.
func (rq *request) comeBack(rf *result.Refusal) time.Duration {
	if rf.Reason == result.ReasonShed {
		return returnSoon
	}
	least := returnLeast
	if rq.route.Objective > 0 {
		least = rq.route.Objective / returnPart
	}
	return max(rf.RetryAfter, least)
}

func (rq *request) count(oc result.Outcome, re result.Reason) {
	sr := rq.ou.Stats.For(rq.sv.Name, rq.route.Class.Name)
	took := time.Since(rq.start)
	sr.Latency.Record(took)
	sr.Queue.Record(rq.queued)
	name := oc.String()
	if re != "" {
		name += "/" + string(re)
	}
	sr.Outcomes.Add(name, 1)
	sr.Attempts.Add(strconv.Itoa(rq.tries), 1)
	rq.logEnd(oc, re, took)
}

// logEnd writes the line of a request: failures always, answers as sampled.
func (rq *request) logEnd(oc result.Outcome, re result.Reason, took time.Duration) {
	level := slog.LevelWarn
	if oc == result.Answered {
		level = slog.LevelInfo
		if share := rq.ou.Sample(); share < 1 && rand.Float64() >= share {
			return
		}
	}
	rq.ou.log.LogAttrs(context.Background(), level, logs.Request, slog.String(logs.ID, rq.id()),
		slog.String("service", rq.sv.Name), slog.String("route", rq.route.Name), slog.Uint64(logs.Version, rq.version),
		slog.String("method", rq.r.Method), slog.String(logs.Outcome, oc.String()), slog.String(logs.Reason, string(re)),
		slog.Int("attempts", rq.tries), slog.String(logs.TargetVM, rq.vm), rq.softwareAttr(), slog.Duration(logs.Elapsed, rq.elapsed),
		slog.Duration(logs.Queued, rq.queued), slog.Duration(logs.Limit, rq.limit), rq.causeAttr(),
		slog.Duration(logs.Objective, rq.route.Objective),
		slog.Duration(logs.Wait, rq.spent.Wait), slog.Duration(logs.ServiceTime, rq.spent.ServiceTime), slog.Duration(logs.Took, took))
}

// softwareAttr returns the version of the last server's software for the log, nothing where
// the service is not being rolled out.
func (rq *request) softwareAttr() slog.Attr {
	if rq.base.Rollout() == nil {
		return slog.Attr{}
	}
	return slog.String(logs.Software, rq.software)
}

// causeAttr returns what broke the last attempt for the log, nothing where the request was
// answered.
func (rq *request) causeAttr() slog.Attr {
	if rq.failed == nil {
		return slog.Attr{}
	}
	return rq.failed.CauseAttr()
}

// logAttempt writes the line of a try that did not end in an answer, with what
// was believed of the server.
func (rq *request) logAttempt(ep *pick.Endpoint, rf *result.Refusal) {
	load, age := ep.EstimatedLoad(time.Now())
	rq.ou.log.LogAttrs(context.Background(), slog.LevelInfo, logs.Attempt, slog.String(logs.ID, rq.id()),
		slog.String(logs.TargetVM, ep.VM), slog.String(logs.Outcome, rf.Outcome.String()), slog.String(logs.Reason, string(rf.Reason)),
		slog.Float64(logs.Load, load), slog.Duration(logs.LoadAge, age), slog.Duration(logs.Took, time.Since(rq.start)), rf.CauseAttr())
}

// id returns the caller's id of the request, empty where callers give none.
func (rq *request) id() string {
	if name := rq.ou.names.RequestID; name != "" {
		return rq.r.Header.Get(name)
	}
	return ""
}
