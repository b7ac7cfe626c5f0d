package inlet

import (
	"context"
	"crypto/subtle"
	"errors"
	"expvar"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/path/delay"
	"github.com/flamingomast/flamingomast/internal/path/floor"
	"github.com/flamingomast/flamingomast/internal/path/ident"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/pacer"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/rate"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/roll/tally"
	"github.com/flamingomast/flamingomast/internal/stat/hist"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// Target is the backend server behind an inlet and the process that runs it.
type Target struct {
	VM, Process, Service string
	// Addr is the backend server's address (host:port); empty while there is no server.
	Addr string
	// Lifetime identifies the instance of the backend server, if it reports one. StartedMs is the
	// Unix time in milliseconds at which the instance started.
	Lifetime  string
	StartedMs int64
	// ColdUntil is the end of the slow phase after a start.
	ColdUntil time.Time
}

// Inlet serves the requests that outlets send to the VM's backend server.
type Inlet struct {
	Stats hist.Set
	Gate  *limit.Limiter
	// Unreachable is called when the backend server accepts no connection.
	Unreachable func(Target)
	// Leaving is called once for an instance of the backend server that says in a response that it is
	// leaving. It must not block.
	Leaving func(Target)
	// Poison returns the requests that are known to have crashed servers; Report sends new reports
	// to all daemons. Both are set before use.
	Poison func() *poison.View
	Report func([]poison.Report)
	// Token is the mesh token that outlets must present; empty for none. It is set before use.
	Token string
	// Names are the headers that backend servers use. They are set before use.
	Names result.HeaderNames
	// Log gets a line for each request that is not answered. It is set before use.
	Log     *slog.Logger
	op      proxy.Options
	fw      atomic.Pointer[proxy.Forwarder]
	target  atomic.Pointer[Target]
	lapses  delay.Tracker
	crashes crashDetector
	// suspectRunning is set while a request runs that is suspected of having crashed several
	// servers.
	suspectRunning atomic.Bool
	// trialsFrom is when the next trial of a refused request may begin, by the clock of package mono.
	trialsFrom atomic.Int64
	// counts holds the request counts of the current instance of the server.
	counts atomic.Pointer[tally.Counter]
	// buffered is the memory taken by responses that were read and are not sent yet, bodies that of
	// the request bodies that were read ahead.
	buffered, bodies proxy.Budget
	// notices is what the current instance of the server says about itself, rate limits its requests
	// to the rate that it names.
	notices notices
	rate    rate.Limiter
	// served is the average of the served shares that outlets report.
	served floor.Mean
	// link paces the VM's link; nil if it is not paced.
	link *pacer.Pacer
	// SlotTime counts the milliseconds for which slots were held, by route and by whether the request was
	// answered.
	SlotTime expvar.Map
}

// maxBuffered bounds the bytes of all buffered responses. The largest responses have about 0.5 MB;
// a link of 5 Mbit/s takes about 3 s to send 2 MiB. Beyond the bound a response keeps its slot until
// it has been sent.
const maxBuffered = 2 << 20

// New returns an inlet without a target; op says how to connect to its backend server. Large
// responses are paced by link, which may be nil.
func New(op proxy.Options, link *pacer.Pacer) *Inlet {
	in := &Inlet{Gate: limit.New(), Unreachable: func(Target) {}, Leaving: func(Target) {}, Poison: func() *poison.View { return nil }, Report: func([]poison.Report) {}, Log: slog.New(slog.DiscardHandler), op: op, link: link}
	in.buffered.Limit, in.bodies.Limit = maxBuffered, maxBodies
	in.counts.Store(&tally.Counter{})
	in.fw.Store(proxy.New(op))
	return in
}

// SetMaxConns bounds the connections to the backend server; 0 means no bound. Running requests keep
// their connections.
func (in *Inlet) SetMaxConns(n int) {
	if n == in.op.MaxConns {
		return
	}
	in.op.MaxConns = n
	in.fw.Swap(proxy.New(in.op)).Close()
}

// Close closes the idle connections to the backend server.
func (in *Inlet) Close() { in.fw.Load().Close() }

// SetTarget replaces the target. Running requests continue on the old one. Keep-alive connections
// to another instance of the backend server are closed: a request that may run only once would be
// lost if written to a connection that is no longer read.
func (in *Inlet) SetTarget(tg Target) {
	old := in.target.Swap(&tg)
	if old != nil && old.Addr == "" && tg.Addr != "" {
		in.crashes.forget()
	}
	if tg.Addr != "" {
		in.setNoticeInstance(tg.instance(), old == nil || old.Addr == "")
	}
	if old != nil && (old.Lifetime != tg.Lifetime || old.StartedMs != tg.StartedMs) {
		in.fw.Load().Close()
		if tg.Lifetime != "" {
			in.counts.Store(&tally.Counter{})
		}
	}
	in.reportEarlierInstances(&tg, time.Now())
}

// ServeHTTP serves one request from an outlet.
func (in *Inlet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	tg, rf := in.checkTarget(r.Header)
	if rf != nil {
		in.refuse(w, r, rf)
		return
	}
	r, ahead, done := in.watchOutlet(r)
	defer done()
	ctx, cancel := in.withDeadline(r, start)
	defer cancel()
	if ctx.Err() != nil {
		in.refuse(w, r, notRun(ctx))
		return
	}
	class := r.Header.Get(result.ClassHeader)
	sr := in.Stats.For(tg.Service, class)
	rq := parseUrgency(r.Header, class)
	if text := r.Header.Get(result.ServedHeader); text != "" {
		in.served.Add(result.ParseProbability(text))
	}
	if ahead > 0 {
		if rf := in.readBody(ctx, w, r, ahead); rf != nil {
			sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
			in.refuse(w, r, rf)
			return
		}
	}
	tf := in.transfer(r)
	defer tf.release()
	if rf := tf.reserve(r, latestResponse(ctx, &rq), in.Gate.Load()); rf != nil {
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	token, rf := in.reserveToken(&rq)
	if rf != nil {
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	defer token.Cancel()
	release, rf := in.isolate(r)
	if rf != nil {
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	defer release()
	slot, rf := in.Gate.Acquire(ctx, rq)
	sr.Queue.Record(time.Since(start))
	if rf != nil {
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	defer slot.Release()
	if ctx.Err() != nil {
		rf := notRun(ctx)
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	if in.notices.leaving.Load() {
		in.refuse(w, r, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonDraining})
		return
	}
	if retryAfter, ok := token.Send(time.Now()); !ok {
		rf := overServerLimit(retryAfter)
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	in.forward(ctx, w, r, tg, &admittedRequest{start: start, sr: sr, slot: slot, tf: tf})
	sr.Latency.Record(time.Since(start))
}

// checkTarget verifies the mesh token and compares the target that the outlet addresses with the
// current one. An address may have been reassigned to another VM, or to another process of the same
// VM that runs a different service. An outlet with stale data is told that the request was not run,
// and sends it elsewhere.
func (in *Inlet) checkTarget(hdr http.Header) (*Target, *result.Refusal) {
	if in.Token != "" && subtle.ConstantTimeCompare([]byte(hdr.Get(result.TokenHeader)), []byte(in.Token)) != 1 {
		return nil, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonBadToken}
	}
	tg := in.target.Load()
	if tg == nil || tg.VM != hdr.Get(result.VMHeader) || tg.Process != hdr.Get(result.ProcessHeader) ||
		tg.Service != "" && tg.Service != hdr.Get(result.ServiceHeader) {
		return nil, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonWrongTarget}
	}
	if tg.Addr == "" {
		return nil, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonNoServer}
	}
	in.adoptNotice(tg, hdr.Get(result.ServerHeader))
	if in.notices.leaving.Load() {
		return nil, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonDraining}
	}
	return tg, nil
}

// callerRequestID returns the ID that the caller gave the request, or "" if callers give none.
func (in *Inlet) callerRequestID(r *http.Request) string {
	if in.Names.RequestID == "" {
		return ""
	}
	return r.Header.Get(in.Names.RequestID)
}

func (in *Inlet) refuse(w http.ResponseWriter, r *http.Request, rf *result.Refusal) {
	load := in.load().String()
	w.Header().Set(result.LoadHeader, load)
	if mean, ok := in.served.Value(); ok {
		w.Header().Set(result.ServedHeader, result.FormatProbability(mean))
	}
	in.setNotice(w.Header())
	event := logs.InletRefused
	if rf.Outcome != result.NotRun || rf.Reason == result.ReasonShed {
		event = logs.InletFailed
	}
	in.Log.LogAttrs(context.Background(), slog.LevelWarn, event, slog.String(logs.ID, in.callerRequestID(r)),
		slog.String(logs.Outcome, rf.Outcome.String()), slog.String(logs.Reason, string(rf.Reason)),
		slog.String(logs.Load, load), slog.Duration("retry-after", rf.RetryAfter), rf.CheckAttr(), rf.CauseAttr())
	if r.ContentLength > maxAutoDiscard && r.Header.Get("Expect") == "" {
		w.Header().Set("Connection", "close")
	}
	rf.Write(w, true)
}

// maxAutoDiscard is the size up to which net/http itself reads the rest of a request body to keep
// the connection.
const maxAutoDiscard = 256 << 10

// parseUrgency reads the request's urgency from the outlet's headers. A value that cannot be parsed
// counts as the least urgent.
func parseUrgency(hdr http.Header, class string) limit.Request {
	rq := limit.Request{Class: class, Priority: lowestPriority}
	text, final := strings.CutSuffix(hdr.Get(result.UrgencyHeader), result.FinalSuffix)
	rq.Final, rq.Kind, rq.Repeat = final, hdr.Get(result.RouteHeader), result.ParseProbability(hdr.Get(result.RepeatHeader))
	rq.Floor = hdr.Get(result.FloorHeader) != ""
	prio, objectiveMs, hasObjective := strings.Cut(text, "/")
	if n, err := strconv.Atoi(prio); err == nil && n >= 0 {
		rq.Priority = min(n, lowestPriority)
	}
	if ms, err := strconv.ParseInt(objectiveMs, 10, 32); hasObjective && err == nil {
		rq.Objective = time.Duration(max(1, ms)) * time.Millisecond
	}
	return rq
}

// latestResponse returns the time left until the response must have arrived: that of the objective, or
// that of the deadline if the kind of the request is below its floor.
func latestResponse(ctx context.Context, rq *limit.Request) time.Duration {
	if deadline, ok := ctx.Deadline(); ok && rq.Floor {
		return time.Until(deadline)
	}
	return rq.Objective
}

// lowestPriority is the priority of requests that declare none.
const lowestPriority = 100

// withDeadline returns the request's context. The timeout in the header counts from when the
// request was sent. A request that stayed unread for longer than that is not run: its caller has
// disconnected, even if the inlet has not noticed yet.
func (in *Inlet) withDeadline(r *http.Request, now time.Time) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(result.TimeoutHeader), 10, 32)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	remaining := time.Duration(ms)*time.Millisecond - in.lapses.ExcessOf(r.Header.Get(result.SentHeader), now)
	return context.WithTimeout(r.Context(), remaining)
}

// admittedRequest is the state of a request that has a slot.
type admittedRequest struct {
	start time.Time
	sr    *hist.Series
	slot  *limit.Slot
	tf    *transfer
}

// spent returns how long the request has waited for its slot and held it until now.
func (ar *admittedRequest) spent(now time.Time) result.SlotTimes {
	return result.SlotTimes{Wait: ar.slot.AcquiredAt().Sub(ar.start), ServiceTime: now.Sub(ar.slot.AcquiredAt())}
}

// recordSlotTime counts the time for which a request held its slot.
func (in *Inlet) recordSlotTime(r *http.Request, ar *admittedRequest, answered bool) {
	end := "/unanswered"
	if answered {
		end = "/answered"
	}
	in.SlotTime.Add(r.Header.Get(result.RouteHeader)+end, ar.slot.Held(time.Now()).Milliseconds())
}

// forward sends an admitted request to the backend server and the response back. The slot is
// released once the response has been read: the backend server is done then, while a narrow link or
// a slow caller may take much longer to receive the response.
func (in *Inlet) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, tg *Target, ar *admittedRequest) {
	sr := ar.sr
	answered := false
	defer func() { in.recordSlotTime(r, ar, answered) }()
	pr := ident.NewPrefixReader(r.Body)
	rr := in.crashes.begin(tg)
	defer in.crashes.finish(rr, false)
	in.beginTrial(r)
	sentAt := time.Now()
	at := in.fw.Load().Do(in.outgoing(ctx, r, tg, pr))
	if at.Response == nil {
		in.countFailure(r, ctx.Err() != nil, ar)
		rf := in.failure(ctx, r, at, tg)
		if rf.Outcome == result.NotRun {
			in.endTrial(r)
		}
		in.recordCrash(r, pr, rr, rf)
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	defer at.Response.Body.Close()
	rr.heldAt = time.Now()
	if at.Reused() {
		rr.heldAt = rr.startedAt
	}
	if rf := in.checkForeign(r, at.Response); rf != nil {
		at.Discard()
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	in.readNotice(tg, at.Response, sentAt)
	if rf := in.checkShed(at.Response); rf != nil {
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	size := max(0, at.Response.ContentLength)
	if in.buffered.TryAcquire(size) {
		defer in.buffered.Release(size)
		if err := at.Buffer(maxBuffered); err != nil {
			in.countFailure(r, false, ar)
			rf := in.failure(ctx, r, at, tg)
			rf.Outcome, rf.Reason, rf.Cause = result.MayHaveRun, result.ReasonConnectionBroken, err
			in.recordCrash(r, pr, rr, rf)
			sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
			in.refuse(w, r, rf)
			return
		}
		if size > 0 {
			in.crashes.finish(rr, true)
			ar.slot.Release()
			in.clearSuspect(r, pr)
		}
	}
	answered = true
	in.countResponse(r, at.Response.StatusCode >= http.StatusInternalServerError, ar.spent(time.Now()).ServiceTime, tg)
	proxy.CopyHeader(w, at.Response, func(hdr http.Header) {
		in.setNotice(hdr)
		hdr[result.LoadHeader] = []string{in.load().String()}
		hdr[result.SlotTimesHeader] = []string{ar.spent(time.Now()).String()}
	})
	if err := proxy.Copy(w, at, ar.tf.pace(r.Context(), size)); err != nil {
		re := result.ReasonConnectionBroken
		var ce *proxy.CopyError
		if errors.As(err, &ce) && ce.ReadFailed {
			if ctx.Err() == nil {
				re = ce.Reason
				in.logFailed(r, re, ce.Err)
			}
			in.recordCrash(r, pr, rr, &result.Refusal{Outcome: result.MayHaveRun, Reason: re})
		}
		sr.Outcomes.Add(result.Ended.String()+"/"+string(re), 1)
		panic(http.ErrAbortHandler)
	}
	// A response that was not buffered has been read only now.
	in.crashes.finish(rr, true)
	in.clearSuspect(r, pr)
	sr.Outcomes.Add(result.Answered.String(), 1)
}

// load returns the load that is reported to outlets.
func (in *Inlet) load() result.Load {
	ld := in.Gate.Load()
	ld.Backlog = in.link.Backlog().Truncate(time.Millisecond)
	return ld
}

// outgoing returns the request to the backend server. Of this system's headers it carries only the
// remaining timeout.
func (in *Inlet) outgoing(ctx context.Context, r *http.Request, tg *Target, pr *ident.PrefixReader) *http.Request {
	nm := in.Names.WithDefaults()
	out := proxy.Outgoing(ctx, r, tg.Addr, nm.Timeout)
	delete(out.Header, http.CanonicalHeaderKey(nm.Tenant))
	if tenant := r.Header[result.TenantHeader]; tenant != nil {
		out.Header[http.CanonicalHeaderKey(nm.Tenant)] = tenant
	}
	if in.Names.Instance != "" && tg.Lifetime != "" {
		out.Header.Set(in.Names.Instance, tg.Lifetime)
	}
	out.ContentLength = r.ContentLength
	switch {
	case r.ContentLength == 0:
		out.Body = proxy.Body(nil)
	case r.ContentLength < 0:
		out.TransferEncoding = []string{"chunked"}
		fallthrough
	default:
		out.Body = proxy.Body(http.MaxBytesReader(nil, pr, proxy.MaxBody))
	}
	return out
}
