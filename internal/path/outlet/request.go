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
	"github.com/flamingomast/flamingomast/internal/path/floor"
	"github.com/flamingomast/flamingomast/internal/path/gone"
	"github.com/flamingomast/flamingomast/internal/path/pacer"
	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/resend"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/path/retry"
	"github.com/flamingomast/flamingomast/internal/path/shed"
	"github.com/flamingomast/flamingomast/internal/stat/hist"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// request is one request of a caller with all its attempts.
type request struct {
	ou    *Outlet
	route *snap.Route
	sv    *snap.Service
	// base holds the servers of the service, gp those that the request is sent to: during a rollout
	// these may be the servers of the new version.
	base, gp *pick.Group
	bu       *retry.Budget
	rs       *routeStats
	kind     *floor.Kind
	th       *shed.Throttle
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	body     requestBody
	tried    pick.Tried
	start    time.Time
	// queued is the time from start until the outlet began to handle the request, limit the time
	// from start until the outlet gives up.
	queued, limit time.Duration
	// elapsed is the time from the caller's first try until this one, 0 if this is the first.
	elapsed time.Duration
	// tenant is nil if the request has none.
	tenant      *snap.Tenant
	tenantStats map[string]*hist.Series
	// final is set if the caller cannot retry after a refusal.
	final bool
	// floor is set if the request goes ahead of others because its kind is below its floor.
	floor bool
	// priority is that of the route or, for a call of a backend server, that of the request it is
	// made for.
	priority int
	// parentRetry is the probability that a call is made for a request that has been run before.
	parentRetry float64
	// callerTry is the caller's try that this request is, callerRetry whether it retries an earlier
	// one.
	callerTry   *resend.Try
	callerRetry bool
	// version is the configuration version the request was routed by, vm the last VM it was sent
	// to.
	version uint64
	vm      string
	// software is the software version of the last server.
	software string
	// spent is the time that the answered attempt took at the inlet.
	spent result.SlotTimes
	// attempts counts all attempts, rejections those rejected for lack of capacity or shed,
	// delivered those that may have reached a backend server, overLimit those refused for a server's
	// rate limit, up to maxOverLimit.
	attempts, rejections, delivered, overLimit int
	// serverCrashes counts the backend servers that crashed while they ran the request.
	serverCrashes int
	// trial is the only server that the request is sent to; nil if it is no trial of a request that is
	// refused otherwise.
	trial *pick.Endpoint
	// lastRefusal is the refusal of the last attempt, nil if it was answered.
	lastRefusal *result.Refusal
}

func (rq *request) serve() {
	rq.bu.AddRequest()
	if rq.parentRetry > 0 {
		rq.bu.Charge(rq.parentRetry)
	}
	defer rq.body.release(&rq.ou.bufferedBytes)
	if rf := rq.body.read(rq.w, rq.r, &rq.ou.bufferedBytes); rf != nil {
		rq.refuse(rf)
		return
	}
	if rq.body.streamed() {
		stop := rq.watchCaller()
		defer stop()
	}
	if rf := rq.checkPoison(); rf != nil {
		rq.refuse(rf)
		return
	}
	defer rq.requestFloor()()
	// A caller's retry bypasses the throttle: throttling it would refuse the same request twice
	// without any benefit.
	if !rq.floor && !rq.final && !rq.callerRetry && !rq.th.Allow(rq.priority, rq.start, rand.Float64()) {
		rq.refuse(&result.Refusal{Outcome: result.NotRun, Reason: result.ReasonSlotsFull})
		return
	}
	rq.th.RecordOutcome(rq.priority, time.Now(), rq.send())
}

// watchCaller cancels the contexts of the request once its caller has disconnected. It is needed as
// long as part of the body is unread.
func (rq *request) watchCaller() (stop func()) {
	ctx, stopWatch := gone.Watch(rq.r)
	rq.r = rq.r.WithContext(ctx)
	var cancel context.CancelFunc
	rq.ctx, cancel = context.WithDeadline(ctx, rq.start.Add(rq.limit))
	return func() {
		cancel()
		stopWatch()
	}
}

// send makes attempts until the request is answered or given up. It reports whether an inlet
// accepted the request.
func (rq *request) send() (accepted bool) {
	var last *result.Refusal
	for {
		ep := rq.pick()
		if ep == nil {
			if last == nil {
				last = rq.overServerLimit(time.Now())
			}
			if last == nil {
				last = &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonNoServer, RetryAfter: time.Second}
			}
			rq.refuse(last)
			return !last.Overloaded()
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
		if rf.Reason == result.ReasonServerCrashed {
			rq.serverCrashes = max(rq.serverCrashes+1, rf.Crashes)
		}
		if !staleConn(rf) {
			rq.tried.Add(ep)
		}
		last = combineRefusals(last, rf)
		if rf.Served > 0 {
			rq.kind.SetReported(rf.Served)
		}
		// A request that the new version did not answer goes to the previous one.
		if rq.base.Len() > 0 {
			rq.gp = rq.base
		}
		if !rq.shouldRetry(rf) {
			rq.refuse(last)
			return !last.Overloaded()
		}
	}
}

// pick returns the server of the next attempt, or nil if there is none.
func (rq *request) pick() *pick.Endpoint {
	if rq.trial != nil {
		if rq.attempts > 0 {
			return nil
		}
		return rq.trial
	}
	now := time.Now()
	if rq.rejections < rq.rejectionLimit() {
		ep := rq.gp.Pick(now, rq.criteria(), &rq.tried, rand.IntN)
		if ep == nil && rq.gp != rq.base && rq.base.Len() > 0 {
			rq.gp = rq.base
			ep = rq.gp.Pick(now, rq.criteria(), &rq.tried, rand.IntN)
		}
		if ep != nil {
			return ep
		}
	}
	return rq.gp.PickHeld(now, rq.rank(), rq.ou.askInterval(), &rq.tried, rand.IntN)
}

// criteria returns the properties of the request by which a server is picked.
func (rq *request) criteria() pick.Criteria {
	return pick.Criteria{
		Size: rq.rs.expectedSize(), StayInDomain: pacer.IsNarrow(rq.ou.linkRate),
		Rank: rq.rank(), ServiceTime: time.Duration(rq.rs.held.Load()), FoundFull: rq.rejections > 0,
	}
}

// rank returns the request's rank at inlets, the first one if it goes ahead of others.
func (rq *request) rank() int { return result.Rank(rq.priority, rq.final || rq.floor) }

// staleConn reports whether the request was sent on a keep-alive connection that was already
// closed. That says nothing about the server, which may be tried again.
func staleConn(rf *result.Refusal) bool {
	return rf.Outcome == result.NotRun && rf.Reason == result.ReasonConnectionBroken
}

// combineRefusals returns the refusal that describes two attempts together: if one attempt may have
// run, the request may have run, whatever the outcome of the others. If a server without a free slot
// refused it and another one for its limit, the slot is free again first.
func combineRefusals(last, rf *result.Refusal) *result.Refusal {
	if last != nil && last.Outcome == result.MayHaveRun && rf.Outcome == result.NotRun {
		return last
	}
	if last != nil && last.Reason.NoCapacity() && rf.Reason == result.ReasonServerLimit {
		return last
	}
	return rf
}

// The number of attempts rejected for lack of capacity after which a request is refused.
const (
	// maxRejections holds for small services. More attempts would only multiply the load when all
	// servers are full.
	maxRejections = 2
	// manyServers is the number of servers from which one more rejection is allowed: among that
	// many, some have capacity for a moment. Each attempt costs processor time on two daemons.
	manyServers = 15
)

// maxOverLimit is the number of attempts refused for a server's rate limit that do not count towards
// retry.MaxAttempts. They take a millisecond and tell nothing about the other servers, while an outlet
// that has not heard of the limits yet prefers the servers with one, since these have free slots.
const maxOverLimit = 8

// rejectionLimit returns the number of rejections after which the request is refused.
func (rq *request) rejectionLimit() int {
	if rq.gp.Len() >= manyServers || rq.floor {
		return maxRejections + 1
	}
	return maxRejections
}

// shouldRetry reports whether the request is sent again after the refusal rf.
func (rq *request) shouldRetry(rf *result.Refusal) bool {
	if rf.Reason == result.ReasonServerLimit && rq.overLimit < maxOverLimit {
		rq.overLimit++
	}
	if rq.ctx.Err() != nil || rq.attempts-rq.overLimit >= retry.MaxAttempts || !rq.body.replayable() {
		return false
	}
	if rq.serverCrashes >= poison.RefuseThreshold {
		return false
	}
	if mayHaveReached(rf) {
		rq.delivered++
	}
	if rq.route.Attempts > 0 && rq.delivered >= rq.route.Attempts {
		return false
	}
	if at, ok := rq.ctx.Deadline(); ok && rf.Outcome == result.NotRun && time.Until(at) < time.Duration(rq.rs.held.Load()) {
		// No server could answer in time. If the request were sent again, it would wait until its
		// deadline, and the caller would not learn whether it had run.
		return false
	}
	if rf.Reason.NoCapacity() || rf.Reason == result.ReasonShed {
		if rq.rejections++; rq.rejections >= rq.rejectionLimit() && (rf.Reason == result.ReasonShed || !rq.gp.OverLimit(time.Now(), rq.rank())) {
			return false
		}
	}
	if !retry.Allowed(rf.Outcome, rq.route.Repeat, rq.r.Method) {
		return false
	}
	// A retry of a request that no backend server received adds no load to any of them.
	return !mayHaveReached(rf) || rq.bu.Take()
}

// retryProbability returns the probability that the next attempt is not the first time that a
// backend server gets the request or, for a call, the request it is made for.
func (rq *request) retryProbability() float64 {
	if rq.delivered > 0 {
		return 1
	}
	return rq.parentRetry
}

// mayHaveReached reports whether a refused request may have reached a backend server and cost it
// work.
func mayHaveReached(rf *result.Refusal) bool {
	return rf.Outcome != result.NotRun || rf.Reason == result.ReasonShed
}

// refuse writes the final response of a request that no server answered. It does not wait; the
// response says when the caller should retry.
func (rq *request) refuse(rf *result.Refusal) {
	rq.record(rf.Outcome, rf.Reason)
	if rq.tenant != nil && rf.Outcome == result.NotRun && !rq.keepsToken(rf) {
		rq.ou.quota.Return(rq.tenant.Name)
	}
	rq.setRetryAfter(rf)
	now, wait := time.Now(), result.ParseRetryAfter(result.FormatRetryAfter(rf.RetryAfter, rq.ou.names.FractionalRetryAfter))
	retryAdvised := rf.Outcome == result.NotRun && rf.Reason != result.ReasonPoison && rq.callerTry.MayReturn(now, wait)
	rq.ou.callerTries.Failed(rq.callerTry, now, retryAdvised, &rq.rs.callerRetries)
	// The refusal is written even if the caller seems to have disconnected. The context of a
	// request is also cancelled when a read from the caller fails, and net/http sends an empty 200
	// for a handler that returns without a response.
	if rq.body.streamed() || rq.body.incomplete {
		rq.w.Header().Set("Connection", "close")
	}
	rf.Write(rq.w, rq.ou.names.FractionalRetryAfter)
}

// keepsToken reports whether a refused request counts towards its tenant's limit although it has not
// run: it found no capacity, while the tenant sends more than its limit. If it were given back, such a
// tenant could send all its requests to servers that are full, and push out those of other tenants.
func (rq *request) keepsToken(rf *result.Refusal) bool {
	return rf.Reason.NoCapacity() && rq.ou.quota.IsLimited(rq.tenant.Name, time.Now())
}

// Delays after which refused callers are asked to retry.
const (
	// objectiveDivisor gives the shortest delay as a fraction of the objective: early enough for a
	// response in time, and late enough for slots to become free.
	objectiveDivisor = 4
	// defaultRetryDelay is the shortest delay if no objective is declared.
	defaultRetryDelay = 100 * time.Millisecond
	// shedRetryDelay is for requests that a backend server shed although it had free slots: a later
	// retry has no better chance.
	shedRetryDelay = 10 * time.Millisecond
	// retryJitterDivisor gives the jitter of a retry that has a turn of its own, as a fraction of the
	// delay.
	retryJitterDivisor = 8
)

// setRetryAfter sets when the caller of a request that has not run should retry: when a slot is
// expected to be free, with a jitter of up to the same length, so that callers refused together do
// not retry together.
func (rq *request) setRetryAfter(rf *result.Refusal) {
	if rf.Reason == result.ReasonPoison || rq.serverCrashes >= poison.RefuseThreshold {
		// A retry would be refused as well.
		rf.RetryAfter = 0
		return
	}
	if rf.Outcome != result.NotRun {
		return
	}
	delay := rq.retryDelay(rf)
	if rf.Reason == result.ReasonServerLimit {
		// An earlier retry has no chance.
		rf.RetryAfter = delay + rand.N(max(1, delay/retryJitterDivisor))
		return
	}
	if delay < time.Second {
		rf.RetryAfter = delay + rand.N(delay)
		return
	}
	rf.RetryAfter = delay/2 + rand.N(delay/2)
}

// retryDelay returns the shortest delay after which the caller of a refused request should retry.
func (rq *request) retryDelay(rf *result.Refusal) time.Duration {
	if rf.Reason == result.ReasonShed {
		return shedRetryDelay
	}
	if rf.Reason == result.ReasonServerLimit {
		if wait := rq.gp.PromiseTurn(time.Now(), rq.rank()); wait > 0 {
			return wait
		}
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
	if rq.tenant != nil {
		ts := rq.tenantStats[rq.tenant.Name]
		ts.Latency.Record(took)
		ts.Outcomes.Add(name, 1)
	}
	sr.Attempts.Add(strconv.Itoa(rq.attempts), 1)
	rq.recordShare(oc, re)
	rq.logResult(oc, re, took)
}

// logResult logs the end of a request: every failure, and a sample of the answered requests.
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
		slog.Int("attempts", rq.attempts), slog.String(logs.TargetVM, rq.vm), rq.softwareAttr(), rq.tenantAttr(), rq.floorAttr(), slog.Duration(logs.Elapsed, rq.elapsed),
		slog.Duration(logs.Queued, rq.queued), slog.Duration(logs.Limit, rq.limit), rq.causeAttr(),
		slog.Duration(logs.Objective, rq.route.Objective),
		slog.Duration(logs.Wait, rq.spent.Wait), slog.Duration(logs.ServiceTime, rq.spent.ServiceTime), slog.Duration(logs.Took, took))
}

// softwareAttr returns the log attribute for the last server's software version, empty unless the
// service has a rollout.
func (rq *request) softwareAttr() slog.Attr {
	if rq.base.Rollout() == nil {
		return slog.Attr{}
	}
	return slog.String(logs.Software, rq.software)
}

// tenantAttr returns the log attribute for the tenant, empty if the request has none.
func (rq *request) tenantAttr() slog.Attr {
	if rq.tenant == nil {
		return slog.Attr{}
	}
	return slog.String(logs.Tenant, rq.tenant.Name)
}

// floorAttr returns the log attribute of a request that goes ahead of others, empty for others.
func (rq *request) floorAttr() slog.Attr {
	if !rq.floor {
		return slog.Attr{}
	}
	return slog.Bool(logs.Floor, true)
}

// causeAttr returns the log attribute for the error of the last attempt, empty if the request was
// answered.
func (rq *request) causeAttr() slog.Attr {
	if rq.lastRefusal == nil {
		return slog.Attr{}
	}
	return rq.lastRefusal.CauseAttr()
}

// logAttempt logs a failed attempt with the load that the server was believed to have.
func (rq *request) logAttempt(ep *pick.Endpoint, rf *result.Refusal) {
	load, age := ep.EstimatedLoad(time.Now())
	rq.ou.log.LogAttrs(context.Background(), slog.LevelInfo, logs.Attempt, slog.String(logs.ID, rq.id()),
		slog.String(logs.TargetVM, ep.VM), slog.String(logs.Outcome, rf.Outcome.String()), slog.String(logs.Reason, string(rf.Reason)),
		slog.Float64(logs.Load, load), slog.Duration(logs.LoadAge, age), slog.Duration(logs.Took, time.Since(rq.start)), rf.CauseAttr())
}

// id returns the caller's request id, empty if callers set none.
func (rq *request) id() string { return rq.ou.requestID(rq.r) }

func (ou *Outlet) requestID(r *http.Request) string {
	if name := ou.names.RequestID; name != "" {
		return r.Header.Get(name)
	}
	return ""
}
