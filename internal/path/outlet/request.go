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
	rs       *routeStats
	th       *shed.Throttle
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	body     requestBody
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
	// parentRetry is how likely a call is made for a request that was run before.
	parentRetry float64
	// callerTry is this one of its caller, further says that there was one before it.
	callerTry   *again.Try
	callerRetry bool
	// version is the one that the request was routed by, vm the last one that it
	// was sent to.
	version uint64
	vm      string
	// software is the version of the last server's software.
	software string
	// spent is what the answered attempt spent at the inlet.
	spent result.Spent
	// attempts counts the attempts, busy those that found no room, sent those that
	// may have reached a backend server.
	attempts, rejections, delivered int
	// serverExits counts the attempts under which the backend server ended.
	serverExits int
	// lastRefusal is the last attempt that was not answered, nil for none.
	lastRefusal *result.Refusal
}

func (rq *request) serve() {
	rq.bu.Request()
	if rq.parentRetry > 0 {
		rq.bu.Charge(rq.parentRetry)
	}
	defer rq.body.release(&rq.ou.bufferedBytes)
	if rf := rq.body.read(rq.w, rq.r, &rq.ou.bufferedBytes); rf != nil {
		rq.refuse(rf)
		return
	}
	if rf := rq.checkPoison(); rf != nil {
		rq.refuse(rf)
		return
	}
	// One that came back is offered in any case: held back, it would be turned away
	// twice for nothing.
	if !rq.final && !rq.callerRetry && !rq.th.Offer(rq.priority, rq.start, rand.Float64()) {
		rq.refuse(&result.Refusal{Outcome: result.NotRun, Reason: result.ReasonFull})
		return
	}
	rq.th.Done(rq.priority, time.Now(), rq.send())
}

// send sends the request until it is answered or given up on, and reports whether
// an inlet took it.
func (rq *request) send() (accepted bool) {
	var last *result.Refusal
	for {
		ep := rq.gp.Pick(time.Now(), rq.criteria(), &rq.tried, rand.IntN)
		if ep == nil {
			if last == nil {
				last = &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonNoServer, RetryAfter: time.Second}
			}
			rq.refuse(last)
			return !last.Crowded()
		}
		rq.software = ep.Software
		rf := rq.attempt(ep)
		if rf == nil {
			rq.lastRefusal = nil
			rq.record(result.Answered, "")
			return true
		}
		rq.lastRefusal = rf
		rq.logAttempt(ep, rf)
		if rf.Reason == result.ReasonServerEnded {
			rq.serverExits = max(rq.serverExits+1, rf.Ends)
		}
		if !staleConn(rf) {
			rq.tried.Add(ep)
		}
		last = combineRefusals(last, rf)
		// What a new version did not answer goes to the one before.
		if rq.base.Len() > 0 {
			rq.gp = rq.base
		}
		if !rq.shouldRetry(rf) {
			rq.refuse(last)
			return !last.Crowded()
		}
	}
}

// criteria returns what the request asks of a server.
func (rq *request) criteria() pick.Want {
	return pick.Want{
		Size: rq.rs.expectedSize(), Stay: pacer.Narrow(rq.ou.linkRate),
		Rank: result.Rank(rq.priority, rq.final), Held: time.Duration(rq.rs.held.Load()), Reached: rq.rejections > 0,
	}
}

// staleConn reports whether a request met a kept connection that could not take
// it. That says nothing of the server, which may be tried again.
func staleConn(rf *result.Refusal) bool {
	return rf.Outcome == result.NotRun && rf.Reason == result.ReasonBroken
}

// combineRefusals returns what must be said of two attempts together: a request of which
// one attempt may have run may have run, whatever became of the others.
func combineRefusals(last, rf *result.Refusal) *result.Refusal {
	if last != nil && last.Outcome == result.MayHaveRun && rf.Outcome == result.NotRun {
		return last
	}
	return rf
}

// How many servers without room a request tries.
const (
	// maxRejections holds for few servers: more would only multiply the load when all are
	// full.
	maxRejections = 2
	// manyServers is the number from which one more is tried: with as many, some have
	// room for a moment. Each try takes the processors of two daemons.
	manyServers = 15
)

// rejectionLimit returns how many servers without room the request tries.
func (rq *request) rejectionLimit() int {
	if rq.gp.Len() >= manyServers {
		return maxRejections + 1
	}
	return maxRejections
}

// shouldRetry reports whether the request is sent again after the refusal rf.
func (rq *request) shouldRetry(rf *result.Refusal) bool {
	if rq.ctx.Err() != nil || rq.attempts >= retry.MaxAttempts || !rq.body.replayable() {
		return false
	}
	if rq.serverExits >= poison.Most {
		return false
	}
	if mayHaveReached(rf) {
		rq.delivered++
	}
	if rq.route.Attempts > 0 && rq.delivered >= rq.route.Attempts {
		return false
	}
	if at, ok := rq.ctx.Deadline(); ok && rf.Outcome == result.NotRun && time.Until(at) < time.Duration(rq.rs.held.Load()) {
		// It could not be answered in time by any server. Sent again, it would wait
		// until its deadline and be lost without a word whether it had run.
		return false
	}
	if rf.Reason.NoRoom() || rf.Reason == result.ReasonShed {
		if rq.rejections++; rq.rejections >= rq.rejectionLimit() {
			return false
		}
	}
	if !retry.Allowed(rf.Outcome, rq.route.Repeat, rq.r.Method) {
		return false
	}
	// What no backend server saw adds no load to any when it is sent again.
	return !mayHaveReached(rf) || rq.bu.Take()
}

// retryProbability returns how likely a backend server gets the request, or the one that it is
// a call for, not for the first time.
func (rq *request) retryProbability() float64 {
	if rq.delivered > 0 {
		return 1
	}
	return rq.parentRetry
}

// mayHaveReached reports whether a refused request may have reached a backend server,
// which then had the work of it.
func mayHaveReached(rf *result.Refusal) bool {
	return rf.Outcome != result.NotRun || rf.Reason == result.ReasonShed
}

// refuse writes the final answer of a request that no server answered. It does so
// at once; when to come back stands in it.
func (rq *request) refuse(rf *result.Refusal) {
	rq.record(rf.Outcome, rf.Reason)
	rq.setRetryAfter(rf)
	retryAdvised := rf.Outcome == result.NotRun && rf.Reason != result.ReasonPoison
	rq.ou.callerTries.Failed(rq.callerTry, time.Now(), retryAdvised, &rq.rs.callerRetries)
	// Written also where the caller seems to have gone: the context of a request
	// ends as well when a read from the caller fails, and a handler that returns
	// without an answer is taken for a success without a body.
	if rq.body.streamed() || rq.body.incomplete {
		rq.w.Header().Set("Connection", "close")
	}
	rf.Write(rq.w, rq.ou.names.Fractions)
}

// The return of refused callers.
const (
	// objectiveDivisor is the part of the objective after which a caller is told to
	// come back at least: soon enough for an answer in time, and late enough for
	// slots to have become free.
	objectiveDivisor = 4
	// defaultRetryDelay stands for it where no objective is declared.
	defaultRetryDelay = 100 * time.Millisecond
	// shedRetryDelay is for requests that a backend server shed though it had free slots:
	// the next try has the same chance, whenever it comes.
	shedRetryDelay = 10 * time.Millisecond
)

// setRetryAfter sets when the caller of a request that has not run should come back:
// when a slot is expected to be free, spread over as long again, so that those
// who were refused together do not come back as one wave.
func (rq *request) setRetryAfter(rf *result.Refusal) {
	if rf.Reason == result.ReasonPoison || rq.serverExits >= poison.Most {
		// It would be refused as it is now.
		rf.RetryAfter = 0
		return
	}
	if rf.Outcome != result.NotRun {
		return
	}
	delay := rq.retryDelay(rf)
	if delay < time.Second {
		rf.RetryAfter = delay + rand.N(delay)
		return
	}
	rf.RetryAfter = delay/2 + rand.N(delay/2)
}

// retryDelay returns when the caller of a refused request should come back at least.
func (rq *request) retryDelay(rf *result.Refusal) time.Duration {
	if rf.Reason == result.ReasonShed {
		return shedRetryDelay
	}
	shortest := defaultRetryDelay
	if rq.route.Objective > 0 {
		shortest = rq.route.Objective / objectiveDivisor
	}
	return max(rf.RetryAfter, shortest)
}

func (rq *request) record(oc result.Outcome, re result.Reason) {
	sr := rq.ou.Stats.For(rq.sv.Name, rq.route.Class.Name)
	took := time.Since(rq.start)
	sr.Latency.Record(took)
	sr.Queue.Record(rq.queued)
	name := oc.String()
	if re != "" {
		name += "/" + string(re)
	}
	sr.Outcomes.Add(name, 1)
	sr.Attempts.Add(strconv.Itoa(rq.attempts), 1)
	rq.logResult(oc, re, took)
}

// logResult writes the line of a request: failures always, answers as sampled.
func (rq *request) logResult(oc result.Outcome, re result.Reason, took time.Duration) {
	level := slog.LevelWarn
	if oc == result.Answered {
		level = slog.LevelInfo
		if share := rq.ou.LogSample(); share < 1 && rand.Float64() >= share {
			return
		}
	}
	rq.ou.log.LogAttrs(context.Background(), level, logs.Request, slog.String(logs.ID, rq.id()),
		slog.String("service", rq.sv.Name), slog.String("route", rq.route.Name), slog.Uint64(logs.Version, rq.version),
		slog.String("method", rq.r.Method), slog.String(logs.Outcome, oc.String()), slog.String(logs.Reason, string(re)),
		slog.Int("attempts", rq.attempts), slog.String(logs.VM, rq.vm), rq.softwareAttr(), slog.Duration(logs.Elapsed, rq.elapsed),
		slog.Duration(logs.Queued, rq.queued), slog.Duration(logs.Limit, rq.limit), rq.causeAttr(),
		slog.Duration(logs.Objective, rq.route.Objective),
		slog.Duration(logs.Wait, rq.spent.Wait), slog.Duration(logs.Held, rq.spent.Held), slog.Duration(logs.Took, took))
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
	if rq.lastRefusal == nil {
		return slog.Attr{}
	}
	return rq.lastRefusal.CauseAttr()
}

// logAttempt writes the line of a try that did not end in an answer, with what
// was believed of the server.
func (rq *request) logAttempt(ep *pick.Endpoint, rf *result.Refusal) {
	load, age := ep.Believed(time.Now())
	rq.ou.log.LogAttrs(context.Background(), slog.LevelInfo, logs.Attempt, slog.String(logs.ID, rq.id()),
		slog.String(logs.VM, ep.VM), slog.String(logs.Outcome, rf.Outcome.String()), slog.String(logs.Reason, string(rf.Reason)),
		slog.Float64(logs.Load, load), slog.Duration(logs.LoadAge, age), slog.Duration(logs.Took, time.Since(rq.start)), rf.CauseAttr())
}

// id returns the caller's id of the request, empty where callers give none.
func (rq *request) id() string {
	if name := rq.ou.names.Request; name != "" {
		return rq.r.Header.Get(name)
	}
	return ""
}
