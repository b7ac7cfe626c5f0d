package outlet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/path/lapse"
	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/path/retry"
	"github.com/flamingomast/flamingomast/internal/path/shed"
	"github.com/flamingomast/flamingomast/internal/stat/hist"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// Outlet serves callers. Its table may be replaced at any time.
type Outlet struct {
	// Stats counts requests by service and class.
	Stats   hist.Set
	fw      *proxy.Forwarder
	log     *slog.Logger
	token   string
	names   result.Names
	service string
	sample  atomic.Uint64 // bits of the share of requests that are logged
	routing atomic.Pointer[routing]
	// life ends with Close.
	life context.Context
	end  context.CancelFunc
	// requests and bodies bound what callers can make the outlet hold.
	requests, bodies bound
}

// routing is a table with the state that belongs to its services.
type routing struct {
	tb      *pick.Table
	budgets []*retry.Budget // by the index of the service
	known   []*known        // by the index of the route
	// throttles are by the index of the service, then by that of the class.
	throttles [][]*shed.Throttle
}

// Options sets an outlet; the zero value works.
type Options struct {
	Forwarder *proxy.Forwarder
	Log       *slog.Logger
	// Sample is the share of requests, 0 to 1, that are logged.
	Sample float64
	// Token is what inlets ask for; empty for none.
	Token string
	// Names are the headers of callers.
	Names result.Names
	// Service is the service that runs on this VM, which backend servers are
	// told as the one that calls.
	Service string
}

// New returns an outlet without a table; it refuses requests until SetTable.
func New(op Options) *Outlet {
	ou := &Outlet{fw: op.Forwarder, log: op.Log, token: op.Token, names: op.Names.Or(), service: op.Service}
	ou.life, ou.end = context.WithCancel(context.Background())
	ou.SetSample(op.Sample)
	ou.requests.most, ou.bodies.most = maxRequests, maxBodies
	if ou.fw == nil {
		ou.fw = proxy.New(proxy.Options{})
	}
	if ou.log == nil {
		ou.log = slog.New(slog.DiscardHandler)
	}
	return ou
}

// SetSample sets the share of requests, 0 to 1, that are logged.
func (ou *Outlet) SetSample(share float64) { ou.sample.Store(math.Float64bits(share)) }

// Sample returns the share of requests that are logged.
func (ou *Outlet) Sample() float64 { return math.Float64frombits(ou.sample.Load()) }

// SetTable replaces the table. Requests under way keep the one they have.
func (ou *Outlet) SetTable(tb *pick.Table) {
	old := ou.routing.Load()
	if old != nil && old.tb.Snap == tb.Snap {
		ou.routing.Store(&routing{tb: tb, budgets: old.budgets, known: old.known, throttles: old.throttles})
		return
	}
	budgets, throttles, routes := map[string]*retry.Budget{}, map[[2]string]*shed.Throttle{}, map[string]*known{}
	if old != nil {
		for i, sv := range old.tb.Snap.ServiceList {
			budgets[sv.Name] = old.budgets[i]
			for j, cl := range old.tb.Snap.Classes {
				throttles[[2]string{sv.Name, cl.Name}] = old.throttles[i][j]
			}
		}
		for i, rt := range old.tb.Snap.RouteList {
			routes[rt.Name] = old.known[i]
		}
	}
	next := &routing{tb: tb}
	for _, sv := range tb.Snap.ServiceList {
		bu := budgets[sv.Name]
		if bu == nil {
			bu = retry.New()
		}
		next.budgets = append(next.budgets, bu)
		ths := make([]*shed.Throttle, len(tb.Snap.Classes))
		for j, cl := range tb.Snap.Classes {
			if ths[j] = throttles[[2]string{sv.Name, cl.Name}]; ths[j] == nil {
				ths[j] = &shed.Throttle{}
			}
		}
		next.throttles = append(next.throttles, ths)
	}
	for _, rt := range tb.Snap.RouteList {
		kn := routes[rt.Name]
		if kn == nil {
			kn = &known{}
		}
		next.known = append(next.known, kn)
	}
	ou.routing.Store(next)
}

// Close ends the kept connections and what the outlet does beside requests.
func (ou *Outlet) Close() {
	ou.end()
	ou.fw.Close()
}

// Table returns the table in use, nil for none.
func (ou *Outlet) Table() *pick.Table {
	if rt := ou.routing.Load(); rt != nil {
		return rt.tb
	}
	return nil
}

// request is one request of a caller with all its attempts.
type request struct {
	ou    *Outlet
	route *snap.Route
	sv    *snap.Service
	gp    *pick.Group
	bu    *retry.Budget
	kn    *known
	th    *shed.Throttle
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context
	src   source
	tried pick.Tried
	start time.Time
	// elapsed is how long the caller had been at it before it came here.
	elapsed time.Duration
	// version is the one that the request was routed by, vm the last one that it
	// was sent to.
	version uint64
	vm      string
	// tries counts the attempts, busy those that found no room, sent those that
	// may have reached a backend server.
	tries, busy, sent int
}

// ServeHTTP serves one request.
func (ou *Outlet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	if gone(r) {
		ou.Stats.For("none", "none").Outcomes.Add(result.Ended.String()+"/"+string(result.ReasonCallerGone), 1)
		panic(http.ErrAbortHandler)
	}
	if rf := ou.checkEdge(r); rf != nil {
		ou.refuse(w, r, rf)
		return
	}
	if !ou.requests.take(1) {
		ou.refuse(w, r, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonOutletFull, RetryAfter: time.Second})
		return
	}
	defer ou.requests.give(1)
	rt := ou.routing.Load()
	if rt == nil {
		ou.refuse(w, r, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonNoConfig, RetryAfter: time.Second})
		return
	}
	route := rt.tb.Snap.Match(r.Method, r.Host, r.URL.Path, r.Header)
	if route == nil {
		ou.refuse(w, r, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonNoRoute})
		return
	}
	limit := route.Deadline
	kn := rt.known[route.Index]
	elapsed := time.Duration(0)
	if given, ok := ou.timeout(r.Header); ok {
		limit = min(limit, given)
		elapsed = kn.elapsed(given)
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	sv := route.Target(rand.IntN(route.Total()))
	rq := &request{
		ou: ou, route: route, sv: sv, gp: rt.tb.Group(sv), bu: rt.budgets[sv.Index],
		version: rt.tb.Snap.Version, kn: kn, th: rt.throttles[sv.Index][route.Class.Index], w: w, r: r, ctx: ctx, start: start, elapsed: elapsed,
	}
	undo := guardTimes(w, start.Add(limit))
	defer func() {
		// Without its deadline the server would wait for the rest of a body that
		// does not come before it sends the answer.
		if !rq.src.broken {
			undo()
		}
	}()
	rq.serve()
}

// gone tells whether the caller has closed its connection before the request was
// read. The server notices that by a read beside the handler, which gets its turn
// here: without it a request that waited in the queue of new connections until
// its caller gave up would still be sent to a backend server.
func gone(r *http.Request) bool {
	runtime.Gosched()
	return r.Context().Err() != nil
}

// guardTimes ends reads from and writes to a caller that takes longer than the
// deadline: without it a caller that sends or reads slowly holds a slot of the
// backend server for as long as it likes. It returns what undoes it.
func guardTimes(w http.ResponseWriter, at time.Time) func() {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(at.Add(time.Second))
	// Later, so that a caller whose body did not come in time is still told.
	_ = rc.SetWriteDeadline(at.Add(2 * time.Second))
	return func() {
		_ = rc.SetReadDeadline(time.Time{})
		_ = rc.SetWriteDeadline(time.Time{})
	}
}

func (ou *Outlet) refuse(w http.ResponseWriter, r *http.Request, rf *result.Refusal) {
	ou.Stats.For("none", "none").Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
	if rf.Reason == result.ReasonBadRequest || r.ContentLength != 0 {
		// What is left of the request is not read, so it cannot be taken for
		// another one.
		w.Header().Set("Connection", "close")
	}
	rf.Write(w, ou.names.Fractions)
}

// checkEdge refuses what is not carried, before anything of it is sent on.
func (ou *Outlet) checkEdge(r *http.Request) *result.Refusal {
	bad := func(re result.Reason, format string, args ...any) *result.Refusal {
		return &result.Refusal{Outcome: result.NotRun, Reason: re, Detail: fmt.Sprintf(format, args...)}
	}
	if r.Method == http.MethodConnect || proxy.Upgrades(r.Header) {
		return bad(result.ReasonUpgrade, "CONNECT and upgrades are not carried")
	}
	if name := proxy.Forged(r.Header); name != "" {
		return bad(result.ReasonBadRequest, "the header %s is not taken from callers", name)
	}
	if _, ok := ou.timeout(r.Header); !ok && r.Header.Get(ou.names.Timeout) != "" {
		return bad(result.ReasonBadRequest, "%s must be a whole number of milliseconds above 0", ou.names.Timeout)
	}
	if !strings.HasPrefix(r.URL.Path, "/") || dotted(r.URL.Path) {
		return bad(result.ReasonBadRequest, "the path must begin with a slash and have no \".\" or \"..\" segment")
	}
	if r.ContentLength > proxy.MaxBody {
		return bad(result.ReasonTooLarge, "a body may have %d bytes", proxy.MaxBody)
	}
	return nil
}

// dotted tells whether a decoded path has a segment that servers resolve in
// ways of their own: a rule for /confirm must not be passed by /x/../confirm.
func dotted(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for seg := range strings.SplitSeq(path, "/") {
		if seg == "." || seg == ".." {
			return true
		}
	}
	return false
}

// timeout returns how long the caller waits, if it says so.
func (ou *Outlet) timeout(hdr http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(hdr.Get(ou.names.Timeout), 10, 32)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0
}

func (rq *request) serve() {
	rq.bu.Request()
	defer rq.src.release(&rq.ou.bodies)
	if rf := rq.src.fill(rq.w, rq.r, &rq.ou.bodies); rf != nil {
		rq.end(rf)
		return
	}
	if !rq.th.Offer(rq.route.Priority, rq.start, rand.Float64()) {
		rq.end(&result.Refusal{Outcome: result.NotRun, Reason: result.ReasonFull})
		return
	}
	rq.th.Done(rq.route.Priority, time.Now(), rq.send())
}

// send sends the request until it is answered or given up on, and tells whether
// an inlet took it.
func (rq *request) send() (taken bool) {
	var last *result.Refusal
	for {
		ep := rq.gp.Pick(time.Now(), rq.kn.expected(), &rq.tried, rand.IntN)
		if ep == nil {
			if last == nil {
				last = &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonNoServer, RetryAfter: time.Second}
			}
			rq.end(last)
			return !last.Crowded()
		}
		rf := rq.attempt(ep)
		if rf == nil {
			rq.count(result.Answered, "")
			return true
		}
		rq.logAttempt(ep, rf)
		if !staleConn(rf) {
			rq.tried.Add(ep)
		}
		last = worse(last, rf)
		if !rq.again(rf) {
			rq.end(last)
			return !last.Crowded()
		}
	}
}

// staleConn tells whether a request met a kept connection that could not take
// it. That says nothing of the server, which may be tried again.
func staleConn(rf *result.Refusal) bool {
	return rf.Outcome == result.NotRun && rf.Reason == result.ReasonBroken
}

// worse returns what must be said of two attempts together: a request of which
// one attempt may have run may have run, whatever became of the others.
func worse(last, rf *result.Refusal) *result.Refusal {
	if last != nil && last.Outcome == result.MayHaveRun && rf.Outcome == result.NotRun {
		return last
	}
	return rf
}

// maxBusy is how many servers without room a request tries. More would only
// multiply the load when all are full.
const maxBusy = 2

// again tells whether the request is sent again after the refusal rf.
func (rq *request) again(rf *result.Refusal) bool {
	if rq.ctx.Err() != nil || rq.tries >= retry.MaxAttempts || !rq.src.replayable() {
		return false
	}
	if reached(rf) {
		rq.sent++
	}
	if rq.route.Attempts > 0 && rq.sent >= rq.route.Attempts {
		return false
	}
	if rf.Reason == result.ReasonFull || rf.Reason == result.ReasonTooLate || rf.Reason == result.ReasonShed {
		if rq.busy++; rq.busy >= maxBusy {
			return false
		}
	}
	if !retry.Allowed(rf.Outcome, rq.route.Repeat, rq.r.Method) {
		return false
	}
	// What no backend server saw adds no load to any when it is sent again.
	return !reached(rf) || rq.bu.Take()
}

// reached tells whether a refused request may have reached a backend server,
// which then had the work of it.
func reached(rf *result.Refusal) bool {
	return rf.Outcome != result.NotRun || rf.Reason == result.ReasonShed
}

// end writes the final answer of a request that no server answered. It does so
// at once; when to come back stands in it.
func (rq *request) end(rf *result.Refusal) {
	rq.count(rf.Outcome, rf.Reason)
	rq.spread(rf)
	// Written also where the caller seems to have gone: the context of a request
	// ends as well when a read from the caller fails, and a handler that returns
	// without an answer is taken for a success without a body.
	if rq.src.streamed() || rq.src.broken {
		rq.w.Header().Set("Connection", "close")
	}
	rf.Write(rq.w, rq.ou.names.Fractions)
}

// The return of refused callers.
const (
	// returnPart is the part of the objective after which a caller is told to
	// come back at least: soon enough for an answer in time, and late enough for
	// slots to have become free.
	returnPart = 4
	// returnLeast stands for it where no objective is declared.
	returnLeast = 100 * time.Millisecond
)

// spread sets when the caller of a request that has not run should come back:
// when a slot is expected to be free, spread over as long again, so that those
// who were refused together do not come back as one wave.
func (rq *request) spread(rf *result.Refusal) {
	if rf.Outcome != result.NotRun {
		return
	}
	least := returnLeast
	if rq.route.Objective > 0 {
		least = rq.route.Objective / returnPart
	}
	after := max(rf.RetryAfter, least)
	if after < time.Second {
		rf.RetryAfter = after + rand.N(after)
		return
	}
	rf.RetryAfter = after/2 + rand.N(after/2)
}

func (rq *request) count(oc result.Outcome, re result.Reason) {
	sr := rq.ou.Stats.For(rq.sv.Name, rq.route.Class.Name)
	took := time.Since(rq.start)
	sr.Latency.Record(took)
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
		slog.Int("attempts", rq.tries), slog.String(logs.VM, rq.vm), slog.Duration("elapsed", rq.elapsed), slog.Duration(logs.Took, took))
}

// logAttempt writes the line of a try that did not end in an answer, with what
// was believed of the server.
func (rq *request) logAttempt(ep *pick.Endpoint, rf *result.Refusal) {
	load, age := ep.Believed(time.Now())
	rq.ou.log.LogAttrs(context.Background(), slog.LevelInfo, logs.Attempt, slog.String(logs.ID, rq.id()),
		slog.String(logs.VM, ep.VM), slog.String(logs.Outcome, rf.Outcome.String()), slog.String(logs.Reason, string(rf.Reason)),
		slog.Float64(logs.Load, load), slog.Duration(logs.LoadAge, age), slog.Duration(logs.Took, time.Since(rq.start)))
}

// id returns the caller's id of the request, empty where callers give none.
func (rq *request) id() string {
	if name := rq.ou.names.Request; name != "" {
		return rq.r.Header.Get(name)
	}
	return ""
}

// attempt sends the request to one server. It returns nil once an answer was
// passed on whole; an answer that breaks off ends the caller's connection.
func (rq *request) attempt(ep *pick.Endpoint) *result.Refusal {
	rq.tries++
	rq.vm = ep.VM
	began := time.Now()
	ep.Begin(began)
	at := rq.ou.fw.Do(rq.outgoing(ep))
	if at.Response == nil {
		oc, re := at.Outcome()
		rf := rq.failure(at, oc, re)
		rq.ended(ep, verdictOf(rf))
		return rf
	}
	defer at.Response.Body.Close()
	if ld, ok := result.ParseLoad(at.Response.Header.Get(result.LoadHeader)); ok {
		ep.SetLoad(ld, time.Now())
	}
	if rf := result.FromAnswer(at.Response); rf != nil {
		ep.End(time.Now(), verdictOf(rf), 0, rq.gp)
		// A short body is read to its end, so that the connection is kept.
		_, _ = io.Copy(io.Discard, io.LimitReader(at.Response.Body, 4<<10))
		return rf
	}
	vd := pick.Good
	if at.Response.StatusCode >= http.StatusInternalServerError {
		vd = pick.Bad
	}
	took := time.Since(began)
	if rf := rq.readSmall(at); rf != nil {
		ep.End(time.Now(), verdictOf(rf), 0, rq.gp)
		return rf
	}
	rq.kn.answered(headBytes + bodyBytes(rq.r) + max(0, at.Response.ContentLength))
	proxy.CopyHead(rq.w, at.Response, nil)
	err := proxy.Copy(rq.w, at)
	var ce *proxy.CopyError
	if errors.As(err, &ce) && ce.Reading && rq.ctx.Err() == nil {
		vd = pick.Bad
	}
	ep.End(time.Now(), vd, took, rq.gp)
	if err != nil {
		rq.count(result.Ended, result.ReasonBroken)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// ended counts a failed attempt at a server. One that could not be reached is
// left out until a connection can be made, so that no request has to find out.
func (rq *request) ended(ep *pick.Endpoint, vd pick.Verdict) {
	now := time.Now()
	wasOut := ep.Out(now)
	ep.End(now, vd, 0, rq.gp)
	if vd == pick.Unreachable && !wasOut {
		go rq.ou.awaitReturn(ep)
	}
}

// The probing of a server that could not be reached.
const (
	// probeEvery is the wait between two connections.
	probeEvery = 500 * time.Millisecond
	// probes is how often they are tried, in all as long as a server is left out
	// at most.
	probes = 60
)

// awaitReturn tries to connect to a server that could not be reached and lets
// requests go to it again once that succeeds.
func (ou *Outlet) awaitReturn(ep *pick.Endpoint) {
	for range probes {
		select {
		case <-time.After(probeEvery):
		case <-ou.life.Done():
			return
		}
		if !ep.Out(time.Now()) {
			return
		}
		if ou.fw.Reach(ou.life, ep.Inlet) {
			ep.Return()
			return
		}
		ep.KeepOut(time.Now())
	}
}

// maxHeldAnswer is the size up to which an answer is read whole before its head
// is sent on, in bytes: most answers are a few kilobytes.
const maxHeldAnswer = 32 << 10

// readSmall reads a small answer whole. A backend server that breaks off in the
// middle would otherwise have cost the caller its connection, where a request
// that may be repeated can be sent again as long as nothing was passed on.
func (rq *request) readSmall(at *proxy.Attempt) *result.Refusal {
	res := at.Response
	if res.ContentLength <= 0 || res.ContentLength > maxHeldAnswer {
		return nil
	}
	body := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, body); err != nil {
		at.Discard()
		return rq.failure(at, result.MayHaveRun, result.ReasonBroken)
	}
	if err := res.Body.Close(); err != nil {
		rq.ou.log.Debug("answer-close", slog.Any("error", err))
	}
	res.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// verdictOf tells what a refusal says of the server.
func verdictOf(rf *result.Refusal) pick.Verdict {
	if staleConn(rf) {
		return pick.Busy
	}
	switch rf.Reason {
	case result.ReasonCallerGone:
		return pick.Busy
	case result.ReasonWrongTarget, result.ReasonDraining, result.ReasonNoServer, result.ReasonConnect:
		return pick.Unreachable
	case result.ReasonFull, result.ReasonTooLate:
		return pick.Busy
	case result.ReasonShed:
		return pick.Shed
	case result.ReasonDeadline:
		// Waiting for a slot until the deadline is no fault of the server;
		// running until then may be.
		if rf.Outcome == result.NotRun {
			return pick.Busy
		}
	}
	return pick.Bad
}

// failure describes an attempt without an answer.
func (rq *request) failure(at *proxy.Attempt, oc result.Outcome, re result.Reason) *result.Refusal {
	rf := &result.Refusal{Outcome: oc, Reason: re, RetryAfter: time.Second}
	switch {
	case rq.r.Context().Err() != nil:
		rf.Reason = result.ReasonCallerGone
	case rq.ctx.Err() != nil:
		rf.Reason = result.ReasonDeadline
	case rq.src.tooLarge():
		rf.Reason, rf.RetryAfter = result.ReasonTooLarge, 0
	case at.Err != nil:
		rf.Detail = "the connection to the backend server failed"
	}
	return rf
}

// outgoing makes the request for a server's inlet.
func (rq *request) outgoing(ep *pick.Endpoint) *http.Request {
	out := proxy.Outgoing(rq.ctx, rq.r, ep.Inlet, result.TimeoutMs)
	nm := &rq.ou.names
	if nm.Timeout != result.TimeoutMs {
		out.Header.Del(nm.Timeout)
	}
	if nm.Instance != "" {
		out.Header.Del(nm.Instance)
	}
	if nm.Caller != "" {
		out.Header.Set(nm.Caller, rq.ou.service)
	}
	out.Header[result.VMHeader] = []string{ep.VM}
	out.Header[result.ProcessHeader] = []string{ep.Process}
	out.Header[result.ServiceHeader] = []string{rq.sv.Name}
	out.Header[result.SentHeader] = []string{lapse.Stamp(time.Now())}
	out.Header[result.ClassHeader] = []string{rq.route.Class.Name}
	out.Header[result.UrgencyHeader] = []string{urgency(rq.route, rq.elapsed+time.Since(rq.start))}
	if rq.ou.token != "" {
		out.Header[result.TokenHeader] = []string{rq.ou.token}
	}
	rq.src.attach(out, rq.r)
	return out
}
