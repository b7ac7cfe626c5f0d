package outlet

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/path/again"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/piping"
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
	names   result.HeaderNames
	service string
	work    func() limit.Activity
	repeats retry.Bound
	poison  func() *poison.View
	// spread is how much later than others this outlet tries a poison request again.
	spread  time.Duration
	sample  atomic.Uint64 // bits of the share of requests that are logged
	routing board.Cell[routing]
	// started is when the outlet was made.
	started time.Time
	// life ends with Close.
	life context.Context
	end  context.CancelFunc
	// link is the rate of the VM's link in bits a second, 0 where it is not known;
	// large is how many large answers come over it.
	link  float64
	large atomic.Int32
	// requests and bodies bound what callers can make the outlet hold.
	requests, bodies proxy.Budget
	// memory knows the tries that failed.
	memory again.Tracker
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
	// LogSample is the share of requests, 0 to 1, that are logged.
	LogSample float64
	// Token is what inlets ask for; empty for none.
	Token string
	// Names are the headers of callers.
	Names result.HeaderNames
	// LinkRate is the rate of the VM's link in bits a second, 0 where it is not known.
	LinkRate float64
	// Work returns what the VM's own backend server is doing; nil where there is none.
	Work func() limit.Activity
	// RetryBound bounds the repeats of all outlets together, for each service; nil stands
	// for retry.Default.
	RetryBound *retry.Bound
	// Poison returns the requests that servers ended under; nil where none are known.
	Poison func() *poison.View
	// Service is the service that runs on this VM, which backend servers are
	// told as the one that calls.
	Service string
}

// New returns an outlet without a table; it refuses requests until SetTable.
func New(op Options) *Outlet {
	ou := &Outlet{fw: op.Forwarder, log: op.Log, token: op.Token, names: op.Names.WithDefaults(), service: op.Service, link: op.LinkRate, work: op.Work, repeats: retry.Default, poison: op.Poison, spread: rand.N(poison.RetryJitter), started: time.Now()}
	if ou.poison == nil {
		ou.poison = func() *poison.View { return nil }
	}
	if op.RetryBound != nil {
		ou.repeats = *op.RetryBound
	}
	if ou.work == nil {
		ou.work = func() limit.Activity { return limit.Activity{} }
	}
	ou.life, ou.end = context.WithCancel(context.Background())
	ou.SetLogSample(op.LogSample)
	ou.requests.Limit, ou.bodies.Limit = maxRequests, maxBodies
	if ou.fw == nil {
		ou.fw = proxy.New(proxy.Options{})
	}
	if ou.log == nil {
		ou.log = slog.New(slog.DiscardHandler)
	}
	return ou
}

// SetLogSample sets the share of requests, 0 to 1, that are logged.
func (ou *Outlet) SetLogSample(share float64) { ou.sample.Store(math.Float64bits(share)) }

// LogSample returns the share of requests that are logged.
func (ou *Outlet) Sample() float64 { return math.Float64frombits(ou.sample.Load()) }

// SetTable replaces the table. Requests under way keep the one they have.
func (ou *Outlet) SetTable(tb *pick.Table) {
	old := ou.routing.Get()
	if old != nil {
		for _, bu := range old.budgets {
			bu.SetBound(ou.repeats, tb.Outlets)
		}
	}
	if old != nil && old.tb.Snap == tb.Snap {
		ou.routing.Set(&routing{tb: tb, budgets: old.budgets, known: old.known, throttles: old.throttles})
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
			bu = retry.New(ou.repeats, tb.Outlets)
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
	ou.routing.Set(next)
}

// Close ends the kept connections and what the outlet does beside requests.
func (ou *Outlet) Close() {
	ou.end()
	ou.fw.Close()
}

// Table returns the table in use, nil for none.
func (ou *Outlet) Table() *pick.Table {
	if rt := ou.routing.Get(); rt != nil {
		return rt.tb
	}
	return nil
}

// ServeHTTP serves one request.
func (ou *Outlet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := arrived(r)
	if gone(r) {
		ou.Stats.For("none", "none").Outcomes.Add(result.Ended.String()+"/"+string(result.ReasonCallerGone), 1)
		panic(http.ErrAbortHandler)
	}
	if rf := ou.checkEdge(r); rf != nil {
		ou.refuse(w, r, rf)
		return
	}
	if !ou.requests.TryAcquire(1) {
		ou.refuse(w, r, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonOutletFull, RetryAfter: time.Second})
		return
	}
	defer ou.requests.Release(1)
	rt, route := ou.lookUp(r)
	if rt == nil {
		ou.refuse(w, r, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonNoConfig, RetryAfter: time.Second})
		return
	}
	if route == nil {
		ou.refuse(w, r, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonNoRoute})
		return
	}
	limit := route.Deadline
	kn := rt.known[route.Index]
	given, ok := ou.timeout(r.Header)
	short := ok && given <= limit
	if ok {
		limit = min(limit, given)
	}
	try, further := ou.memory.Arrived(r, start, given, &kn.back)
	elapsed, final := start.Sub(try.FirstAt), false
	priority, repeat := route.Priority, 0.0
	if wk := ou.work(); kn.back.CountArrival(start, short && !further, wk.Running > 0) {
		final, priority, repeat = true, wk.Priority, wk.Repeats
	}
	ctx, cancel := context.WithDeadline(r.Context(), start.Add(limit))
	defer cancel()
	sv := route.Target(rand.IntN(route.TotalWeight()))
	rq := &request{
		ou: ou, route: route, sv: sv, base: rt.tb.Group(sv), gp: rt.tb.Group(sv).ForRequest(start, rand.Float64()), bu: rt.budgets[sv.Index],
		version: rt.tb.Snap.Version, kn: kn, th: rt.throttles[sv.Index][route.Class.Index], w: w, r: r, ctx: ctx, start: start, queued: time.Since(start), limit: limit, elapsed: elapsed, final: final, priority: priority, repeat: repeat, further: further, try: try,
	}
	undo := ou.guardTimes(w, start.Add(limit))
	defer func() {
		// Without its deadline the server would wait for the rest of a body that
		// does not come before it sends the answer.
		if !rq.src.broken {
			undo()
		}
	}()
	rq.serve()
}

// arrived returns when a request had been read. One that was sent behind others and
// waited for its turn has used up as much of its time.
func arrived(r *http.Request) time.Time {
	if at := piping.ArrivalTime(r); !at.IsZero() {
		return at
	}
	return time.Now()
}

// Retryable reports whether a request may be run again if its answer is lost, and
// begun before those that its caller sent before it are answered.
func (ou *Outlet) Retryable(r *http.Request) bool {
	_, route := ou.match(r)
	return route != nil && retry.Allowed(result.MayHaveRun, route.Repeat, r.Method)
}

// gone reports whether the caller has closed its connection before the request was
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
func (ou *Outlet) guardTimes(w http.ResponseWriter, at time.Time) func() {
	rc := http.NewResponseController(w)
	set := func(read, write time.Time) {
		if err := errors.Join(rc.SetReadDeadline(read), rc.SetWriteDeadline(write)); err != nil {
			ou.log.Debug(logs.SetDeadlineFailed, slog.Any("error", err))
		}
	}
	// The write deadline is later, so that a caller whose body did not come in time is still
	// told.
	set(at.Add(time.Second), at.Add(2*time.Second))
	return func() { set(time.Time{}, time.Time{}) }
}

func (ou *Outlet) refuse(w http.ResponseWriter, r *http.Request, rf *result.Refusal) {
	ou.Stats.For("none", "none").Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
	if rf.Reason == result.ReasonBadRequest || r.ContentLength != 0 {
		// What is left of the request is not read, so it cannot be taken for
		// another one.
		w.Header().Set("Connection", "close")
	}
	rf.Write(w, ou.names.FractionalRetryAfter)
}
