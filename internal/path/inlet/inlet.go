package inlet

import (
	"context"
	"crypto/subtle"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/path/ident"
	"github.com/flamingomast/flamingomast/internal/path/lapse"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/pacer"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/roll/tally"
	"github.com/flamingomast/flamingomast/internal/stat/hist"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// Target is the backend server behind an inlet and the process that serves it.
type Target struct {
	VM, Process, Service string
	// Addr is the backend server's address (host:port), empty while there is
	// none.
	Addr string
	// Lifetime names the start of the backend server, where it tells, and StartedMs
	// is the Unix time in milliseconds of it.
	Lifetime  string
	StartedMs int64
	// ColdUntil is until when it is slow after its start.
	ColdUntil time.Time
}

// Inlet serves outlets.
type Inlet struct {
	Stats hist.Set
	Gate  *limit.Limiter
	// Unreachable is called when the backend server takes no connection.
	Unreachable func(Target)
	// Poison returns the requests that servers ended under, Report tells all daemons of
	// them. They are set before use.
	Poison func() *poison.View
	Report func([]poison.Report)
	// Token is what outlets must show; empty for none. It is set before use.
	Token string
	// Names are the headers of backend servers. They are set before use.
	Names result.HeaderNames
	// Log gets a line for each request that is not answered; it is set before
	// use.
	Log     *slog.Logger
	op      proxy.Options
	fw      atomic.Pointer[proxy.Forwarder]
	target  atomic.Pointer[Target]
	lapses  lapse.Tracker
	crashes crashDetector
	// suspect is set while a request runs that more than one server ended under.
	suspect atomic.Bool
	// counts has what the present start of the server did.
	counts atomic.Pointer[tally.Counter]
	// held is what answers take that were read and are not sent yet.
	held proxy.Budget
	// link is the VM's, nil for one that is not paced.
	link *pacer.Pacer
}

// maxHeld is how many bytes of answers are held in all while they are sent: the
// largest ones have some 0.5 MB, and a link of 5 Mbit/s takes 3 s for them. Beyond
// it an answer keeps its slot until it was sent.
const maxHeld = 2 << 20

// New returns an inlet without a target; op says how its backend server is
// reached. Large answers are paced by link, which may be nil.
func New(op proxy.Options, link *pacer.Pacer) *Inlet {
	in := &Inlet{Gate: limit.New(), Unreachable: func(Target) {}, Poison: func() *poison.View { return nil }, Report: func([]poison.Report) {}, Log: slog.New(slog.DiscardHandler), op: op, link: link}
	in.held.Limit = maxHeld
	in.counts.Store(&tally.Counter{})
	in.fw.Store(proxy.New(op))
	return in
}

// SetMaxConns bounds the connections to the backend server; 0 for no bound.
// Requests that are running keep the connections that they have.
func (in *Inlet) SetMaxConns(n int) {
	if n == in.op.MaxConns {
		return
	}
	in.op.MaxConns = n
	in.fw.Swap(proxy.New(in.op)).Close()
}

// Close ends the kept connections.
func (in *Inlet) Close() { in.fw.Load().Close() }

// SetTarget replaces the target. Requests that are running stay where they are;
// connections that are kept to another start of the backend server are closed, since a
// request that may run once only is lost on one that nobody reads.
func (in *Inlet) SetTarget(tg Target) {
	old := in.target.Swap(&tg)
	if old != nil && old.Addr == "" && tg.Addr != "" {
		in.crashes.forget()
	}
	if old != nil && (old.Lifetime != tg.Lifetime || old.StartedMs != tg.StartedMs) {
		in.fw.Load().Close()
		if tg.Lifetime != "" {
			in.counts.Store(&tally.Counter{})
		}
	}
	in.reportRestarted(&tg, time.Now())
}

// ServeHTTP serves one request of an outlet.
func (in *Inlet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	tg, rf := in.check(r.Header)
	if rf != nil {
		in.refuse(w, r, rf)
		return
	}
	ctx, cancel := in.deadline(r, start)
	defer cancel()
	if ctx.Err() != nil {
		in.refuse(w, r, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonDeadlinePassed})
		return
	}
	class := r.Header.Get(result.ClassHeader)
	sr := in.Stats.For(tg.Service, class)
	rq := rank(r.Header, class)
	tf := in.transfer(r)
	defer tf.end()
	if rf := tf.expect(r, rq.Objective, in.Gate.Load()); rf != nil {
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	leave, rf := in.isolate(r)
	if rf != nil {
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	defer leave()
	tk, rf := in.Gate.Acquire(ctx, rq)
	sr.Queue.Record(time.Since(start))
	if rf != nil {
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	defer tk.Release()
	if ctx.Err() != nil {
		in.refuse(w, r, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonDeadlinePassed})
		return
	}
	in.forward(ctx, w, r, tg, &passage{start: start, sr: sr, tk: tk, tf: tf})
	sr.Latency.Record(time.Since(start))
}

// check asks for the mesh token and compares the target that the outlet means
// with this one. An address
// may have passed to another VM, or to another process of the same VM that
// runs another service: an outlet with an old view is told that the request
// was not run, and goes elsewhere.
func (in *Inlet) check(hdr http.Header) (*Target, *result.Refusal) {
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
	return tg, nil
}

// id returns the caller's id of a request, empty where callers give none.
func (in *Inlet) id(r *http.Request) string {
	if in.Names.RequestID == "" {
		return ""
	}
	return r.Header.Get(in.Names.RequestID)
}

func (in *Inlet) refuse(w http.ResponseWriter, r *http.Request, rf *result.Refusal) {
	load := in.load().String()
	w.Header().Set(result.LoadHeader, load)
	event := logs.InletRefused
	if rf.Outcome != result.NotRun || rf.Reason == result.ReasonShed {
		event = logs.InletFailed
	}
	in.Log.LogAttrs(context.Background(), slog.LevelWarn, event, slog.String(logs.ID, in.id(r)),
		slog.String(logs.Outcome, rf.Outcome.String()), slog.String(logs.Reason, string(rf.Reason)),
		slog.String(logs.Load, load), slog.Duration("retry-after", rf.RetryAfter), rf.CauseAttr())
	if r.ContentLength > maxUnread && r.Header.Get("Expect") == "" {
		w.Header().Set("Connection", "close")
	}
	rf.Write(w, true)
}

// maxUnread is the size up to which net/http reads the rest of a body itself
// to keep the connection.
const maxUnread = 256 << 10

// rank reads how urgent an outlet says that a request is. What cannot be read
// ranks as the least urgent.
func rank(hdr http.Header, class string) limit.Request {
	rq := limit.Request{Class: class, Priority: lastPriority}
	text, final := strings.CutSuffix(hdr.Get(result.UrgencyHeader), result.FinalSuffix)
	rq.Final, rq.Kind, rq.Repeat = final, hdr.Get(result.RouteHeader), result.ParseProbability(hdr.Get(result.RepeatHeader))
	prio, left, objective := strings.Cut(text, "/")
	if n, err := strconv.Atoi(prio); err == nil && n >= 0 {
		rq.Priority = min(n, lastPriority)
	}
	if ms, err := strconv.ParseInt(left, 10, 32); objective && err == nil {
		rq.Objective = time.Duration(max(1, ms)) * time.Millisecond
	}
	return rq
}

// lastPriority is the rank of requests without one.
const lastPriority = 100

// deadline returns the context of a request. The time that it gives counts from
// when it was sent: one that lay unread for as long is not run any more, since
// its caller has gone, whether that is known here yet or not.
func (in *Inlet) deadline(r *http.Request, now time.Time) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(result.TimeoutHeader), 10, 32)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	left := time.Duration(ms)*time.Millisecond - in.lapses.ExcessOf(r.Header.Get(result.SentHeader), now)
	return context.WithTimeout(r.Context(), left)
}

// passage is a request on its way through the inlet.
type passage struct {
	start time.Time
	sr    *hist.Series
	tk    *limit.Slot
	tf    *transfer
}

// spent returns what the request has spent here until now.
func (pa *passage) spent(now time.Time) result.SlotTimes {
	return result.SlotTimes{Wait: pa.tk.AcquiredAt().Sub(pa.start), ServiceTime: now.Sub(pa.tk.AcquiredAt())}
}

// forward sends an admitted request to the backend server and its answer back.
// The slot is given back once the answer has been read: the backend server is
// done then, while a narrow link or a slow caller may take the answer for long.
func (in *Inlet) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, tg *Target, pa *passage) {
	sr := pa.sr
	lead := ident.NewLead(r.Body)
	fl := in.crashes.begin(tg)
	defer in.crashes.finish(fl, false)
	at := in.fw.Load().Do(in.outgoing(ctx, r, tg, lead))
	if at.Response == nil {
		in.tallyFailure(r, ctx.Err() != nil, pa)
		rf := in.failure(ctx, r, at, tg)
		in.recordCrash(r, lead, fl, rf)
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	defer at.Response.Body.Close()
	if rf := in.foreign(r, at.Response); rf != nil {
		at.Discard()
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	if rf := in.shed(at.Response); rf != nil {
		sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		in.refuse(w, r, rf)
		return
	}
	size := max(0, at.Response.ContentLength)
	if in.held.TryAcquire(size) {
		defer in.held.Release(size)
		if err := at.Buffer(maxHeld); err != nil {
			in.tallyFailure(r, false, pa)
			rf := in.failure(ctx, r, at, tg)
			rf.Outcome, rf.Reason, rf.Cause = result.MayHaveRun, result.ReasonConnectionBroken, err
			in.recordCrash(r, lead, fl, rf)
			sr.Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
			in.refuse(w, r, rf)
			return
		}
		if size > 0 {
			in.crashes.finish(fl, true)
			pa.tk.Release()
			in.clearSuspect(r, lead)
		}
	}
	in.tally(r, at.Response.StatusCode >= http.StatusInternalServerError, pa.spent(time.Now()).ServiceTime, tg)
	proxy.CopyHeader(w, at.Response, func(hdr http.Header) {
		hdr[result.LoadHeader] = []string{in.load().String()}
		hdr[result.SlotTimesHeader] = []string{pa.spent(time.Now()).String()}
	})
	if err := proxy.Copy(w, at, pa.tf.pace(r.Context(), size)); err != nil {
		var ce *proxy.CopyError
		if errors.As(err, &ce) && ce.ReadFailed {
			in.recordCrash(r, lead, fl, &result.Refusal{Outcome: result.MayHaveRun, Reason: result.ReasonConnectionBroken})
		}
		sr.Outcomes.Add(result.Ended.String()+"/"+string(result.ReasonConnectionBroken), 1)
		panic(http.ErrAbortHandler)
	}
	// One that was not held has been read only now.
	in.crashes.finish(fl, true)
	in.clearSuspect(r, lead)
	sr.Outcomes.Add(result.Answered.String(), 1)
}

// load returns what outlets are told of this inlet.
func (in *Inlet) load() result.Load {
	ld := in.Gate.Load()
	ld.Backlog = in.link.Backlog().Truncate(time.Millisecond)
	return ld
}

func (in *Inlet) failure(ctx context.Context, r *http.Request, at *proxy.Attempt, tg *Target) *result.Refusal {
	oc, re := at.Outcome()
	rf := &result.Refusal{Outcome: oc, Reason: re, RetryAfter: time.Second, Cause: at.Err}
	switch {
	case r.Context().Err() != nil:
		rf.Reason = result.ReasonCallerGone
	case ctx.Err() != nil:
		rf.Reason = result.ReasonDeadlinePassed
	case oc == result.NotRun && re == result.ReasonNoConnection:
		in.Unreachable(*tg)
	}
	return rf
}

// shed reads the agreed way in which a backend server says that it has not
// begun to run a request.
func (in *Inlet) shed(res *http.Response) *result.Refusal {
	refusing := res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
	switch {
	case in.Names.Instance != "" && res.StatusCode == http.StatusMisdirectedRequest:
		return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonWrongTarget}
	case !refusing || res.Header.Get(in.Names.WithDefaults().NotRun) == "":
		return nil
	}
	// When to come back is not for it to say: the gate gives it no more than its slots,
	// so it was not full, and others may serve the request at once.
	return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonShed}
}

// foreign reports whether an answer is that of another request, or none of the
// backend server at all. A server that sends a second answer late puts it where
// the next one is due: without the id that it repeats, one caller would get
// another's answer. A refusal may lack the id; a success may not.
func (in *Inlet) foreign(r *http.Request, res *http.Response) *result.Refusal {
	nm := &in.Names
	good := res.StatusCode < http.StatusMultipleChoices
	bad := false
	if nm.RequestID != "" {
		got := res.Header.Get(nm.RequestID)
		bad = got != r.Header.Get(nm.RequestID) && (good || got != "")
	}
	if nm.Stamp != "" && good && res.Header.Get(nm.Stamp) == "" {
		bad = true
	}
	if !bad {
		return nil
	}
	return &result.Refusal{Outcome: result.MayHaveRun, Reason: result.ReasonForeignResponse}
}

// outgoing makes the request for the backend server. Of this system's headers
// it bears only what is left of the time.
func (in *Inlet) outgoing(ctx context.Context, r *http.Request, tg *Target, lead *ident.Lead) *http.Request {
	out := proxy.Outgoing(ctx, r, tg.Addr, in.Names.WithDefaults().Timeout)
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
		out.Body = proxy.Body(http.MaxBytesReader(nil, lead, proxy.MaxBody))
	}
	return out
}
