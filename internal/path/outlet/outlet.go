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
	"github.com/flamingomast/flamingomast/internal/path/floor"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/notice"
	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/piping"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/resend"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/path/retry"
	"github.com/flamingomast/flamingomast/internal/path/shed"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
	"github.com/flamingomast/flamingomast/internal/stat/hist"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// Outlet is an HTTP handler that forwards the requests of callers to backend servers. Its table may
// be replaced at any time.
type Outlet struct {
	// Stats holds the request statistics by service and class, TenantStats those of the tenants with
	// the highest limits.
	Stats, TenantStats hist.Set
	fw                 *proxy.Forwarder
	log                *slog.Logger
	token              string
	names              result.HeaderNames
	service            string
	fromServer         func(remoteAddr string) bool
	quota              *admit.Gate
	work               func() limit.Activity
	retryBound         retry.Bound
	poison             func() *poison.View
	// poisonJitter is this outlet's random delay, at most poison.RetryJitter, before it retries a
	// refused poison request.
	poisonJitter time.Duration
	logSample    atomic.Uint64 // bits of the float64 that LogSample returns
	routing      board.Cell[routing]
	// started is when the outlet was created.
	started time.Time
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc
	// linkRate is the rate of the VM's link in bits per second, 0 if unknown. largeResponses is the
	// number of large responses that are being received over it.
	linkRate       float64
	largeResponses atomic.Int32
	// activeRequests and bufferedBytes bound the memory that callers can make the outlet use.
	activeRequests, bufferedBytes proxy.Budget
	// notices holds what backend servers have said about themselves.
	notices notice.Memory
	// allKinds is the served share of all requests. The kinds are compared with it at nextKindCheck, by
	// the clock of package mono.
	allKinds      floor.Share
	nextKindCheck atomic.Int64
	// callerTries remembers failed requests, so that a caller's retry of one is recognized.
	callerTries resend.Tracker
}

// routing is a table with the state kept for its services and routes.
type routing struct {
	tb         *pick.Table
	budgets    []*retry.Budget // by service index
	routeStats []*routeStats   // by route index
	// throttles are indexed by service, then by class.
	throttles [][]*shed.Throttle
	// tenantStats has the statistics of each tenant. Most tenants of a large mesh share one.
	tenantStats map[string]*hist.Series
}

// Options configures an outlet; the zero value is valid.
type Options struct {
	Forwarder *proxy.Forwarder
	Log       *slog.Logger
	// LogSample is the share of answered requests, 0 to 1, that are logged.
	LogSample float64
	// Token is the mesh token that inlets require, empty for none.
	Token string
	// Names are the names of the headers that callers use.
	Names result.HeaderNames
	// LinkRate is the rate of the VM's link in bits per second, 0 if unknown.
	LinkRate float64
	// Work returns what the VM's own backend server is doing; nil if the VM has none.
	Work func() limit.Activity
	// FromServer reports whether a connection with a remote address (host:port) comes from the VM's
	// own backend server, whose calls need no API key; nil if callers may use the same address.
	FromServer func(remoteAddr string) bool
	// Quota admits the requests of tenants; nil stands for one that no other outlet takes part in.
	Quota *admit.Gate
	// RetryBound bounds the retries to each service, summed over all outlets; nil stands for
	// retry.Default.
	RetryBound *retry.Bound
	// Poison returns the requests that crashed backend servers; nil if they are not tracked.
	Poison func() *poison.View
	// Service is the service that runs on this VM. Backend servers are told that it is the caller.
	Service string
}

// New returns an outlet without a table. It refuses requests until SetTable is called.
func New(op Options) *Outlet {
	ou := &Outlet{fw: op.Forwarder, log: op.Log, token: op.Token, names: op.Names.WithDefaults(), service: op.Service, linkRate: op.LinkRate, work: op.Work, retryBound: retry.Default, poison: op.Poison, fromServer: op.FromServer, quota: op.Quota, poisonJitter: rand.N(poison.RetryJitter), started: time.Now()}
	if ou.poison == nil {
		ou.poison = func() *poison.View { return nil }
	}
	if ou.fromServer == nil {
		ou.fromServer = func(string) bool { return false }
	}
	if ou.quota == nil {
		ou.quota = admit.New(func() *admit.Directive { return &admit.Directive{ReceivedAt: time.Now(), Outlets: 1} })
	}
	if op.RetryBound != nil {
		ou.retryBound = *op.RetryBound
	}
	if ou.work == nil {
		ou.work = func() limit.Activity { return limit.Activity{} }
	}
	ou.ctx, ou.cancel = context.WithCancel(context.Background())
	ou.SetLogSample(op.LogSample)
	ou.activeRequests.Limit, ou.bufferedBytes.Limit = maxRequests, maxBufferedBytes
	if ou.fw == nil {
		ou.fw = proxy.New(proxy.Options{})
	}
	if ou.log == nil {
		ou.log = slog.New(slog.DiscardHandler)
	}
	return ou
}

// SetLogSample sets the share of answered requests, 0 to 1, that are logged.
func (ou *Outlet) SetLogSample(share float64) { ou.logSample.Store(math.Float64bits(share)) }

// LogSample returns the share of answered requests, 0 to 1, that are logged.
func (ou *Outlet) LogSample() float64 { return math.Float64frombits(ou.logSample.Load()) }

// SetTable replaces the table. Requests in progress keep the table they began with. Retry budgets,
// throttles and route statistics are carried over by name.
func (ou *Outlet) SetTable(tb *pick.Table) {
	old := ou.routing.Get()
	if old != nil {
		for _, bu := range old.budgets {
			bu.SetBound(ou.retryBound, tb.Outlets)
		}
	}
	if old != nil && old.tb.Snap == tb.Snap {
		ou.routing.Set(&routing{tb: tb, budgets: old.budgets, routeStats: old.routeStats, throttles: old.throttles, tenantStats: old.tenantStats})
		return
	}
	budgets, throttles, routes := map[string]*retry.Budget{}, map[[2]string]*shed.Throttle{}, map[string]*routeStats{}
	if old != nil {
		for i, sv := range old.tb.Snap.ServiceList {
			budgets[sv.Name] = old.budgets[i]
			for j, cl := range old.tb.Snap.Classes {
				throttles[[2]string{sv.Name, cl.Name}] = old.throttles[i][j]
			}
		}
		for i, rt := range old.tb.Snap.RouteList {
			routes[rt.Name] = old.routeStats[i]
		}
	}
	next := &routing{tb: tb}
	if old != nil && old.tb.Snap.Tenants == tb.Snap.Tenants {
		next.tenantStats = old.tenantStats
	} else {
		ou.quota.Update(tb.Snap.Tenants.Limits(), time.Now())
		next.tenantStats = ou.seriesOfTenants(tb.Snap.Tenants)
	}
	for _, sv := range tb.Snap.ServiceList {
		bu := budgets[sv.Name]
		if bu == nil {
			bu = retry.New(ou.retryBound, tb.Outlets)
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
		rs := routes[rt.Name]
		if rs == nil {
			rs = &routeStats{}
		}
		next.routeStats = append(next.routeStats, rs)
	}
	ou.routing.Set(next)
}

// Close stops the background work of the outlet and closes its idle connections.
func (ou *Outlet) Close() {
	ou.cancel()
	ou.fw.Close()
}

// Table returns the current table, nil if there is none.
func (ou *Outlet) Table() *pick.Table {
	if rt := ou.routing.Get(); rt != nil {
		return rt.tb
	}
	return nil
}

// ServeHTTP handles one request of a caller.
func (ou *Outlet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := arrivalTime(r)
	if callerGone(r) {
		ou.Stats.For("none", "none").Outcomes.Add(result.Ended.String()+"/"+string(result.ReasonCallerGone), 1)
		panic(http.ErrAbortHandler)
	}
	if rf := ou.validate(r); rf != nil {
		ou.refuse(w, r, rf)
		return
	}
	if !ou.activeRequests.TryAcquire(1) {
		ou.refuse(w, r, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonOutletFull, RetryAfter: time.Second})
		return
	}
	defer ou.activeRequests.Release(1)
	rt, route := ou.findRoute(r)
	if rt == nil {
		ou.refuse(w, r, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonNoConfig, RetryAfter: time.Second})
		return
	}
	if route == nil {
		ou.refuse(w, r, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonNoRoute})
		return
	}
	tenant, rf := ou.authenticate(r, rt.tb.Snap, route)
	if rf != nil {
		ou.logTenantRefusal(r, rt.tb.Snap, route, nil, 0, rf)
		ou.refuse(w, r, rf)
		return
	}
	limit := route.Deadline
	rs := rt.routeStats[route.Index]
	timeout, ok := ou.callerTimeout(r.Header)
	shorter := ok && timeout <= limit
	if ok {
		limit = min(limit, timeout)
	}
	callerTry, callerRetry := ou.callerTries.Arrived(r, start, timeout, &rs.callerRetries)
	elapsed, final := start.Sub(callerTry.FirstAt), false
	if rank, rf := ou.checkLimit(tenant, route, timeLeft(route, rs, elapsed, timeout), callerRetry, start); rf != nil {
		// Callers honor a Retry-After only up to some part of their time, so a retry that does not
		// come says nothing about them.
		ou.callerTries.Failed(callerTry, start, false, nil)
		rt.tenantStats[tenant.Name].Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
		ou.logTenantRefusal(r, rt.tb.Snap, route, tenant, rank, rf)
		ou.refuse(w, r, rf)
		return
	}
	priority, parentRetry := route.Priority, 0.0
	if wk := ou.work(); rs.callerRetries.CountArrival(start, shorter && !callerRetry, wk.Running > 0) {
		final, priority, parentRetry = true, wk.Priority, wk.Repeats
	} else if tenant != nil && tenant.HasPriority {
		priority = tenant.Priority
	}
	ctx, cancel := context.WithDeadline(r.Context(), start.Add(limit))
	defer cancel()
	sv := route.Target(rand.IntN(route.TotalWeight()))
	rq := &request{
		ou: ou, route: route, sv: sv, base: rt.tb.Group(sv), gp: rt.tb.Group(sv).ForRequest(start, rand.Float64()), bu: rt.budgets[sv.Index],
		version: rt.tb.Snap.Version, rs: rs, kind: rs.kinds.of(priority), th: rt.throttles[sv.Index][route.Class.Index], w: w, r: r, ctx: ctx, start: start, queued: time.Since(start), limit: limit, elapsed: elapsed, final: final, priority: priority, parentRetry: parentRetry, callerRetry: callerRetry, callerTry: callerTry, tenant: tenant, tenantStats: rt.tenantStats,
	}
	undo := ou.setDeadlines(w, start.Add(limit))
	defer func() {
		// If the body is incomplete, the deadlines stay: without them the server would wait for the
		// rest of the body before it sends the response.
		if !rq.body.incomplete {
			undo()
		}
	}()
	rq.serve()
}

// arrivalTime returns when a request had been read. The time that a pipelined request waits behind
// earlier ones counts towards its deadline.
func arrivalTime(r *http.Request) time.Time {
	if at := piping.ArrivalTime(r); !at.IsZero() {
		return at
	}
	return time.Now()
}

// Retryable reports whether a request may be run again if its response is lost, so that it may also
// be started before earlier requests on its connection are answered.
func (ou *Outlet) Retryable(r *http.Request) bool {
	_, route := ou.match(r)
	return route != nil && retry.Allowed(result.MayHaveRun, route.Repeat, r.Method)
}

// callerGone reports whether the caller closed its connection before the request was handled. The
// server detects that with a background read, which the scheduler is given the chance to run here.
// Otherwise a request that waited in the accept queue until its caller gave up would still be sent
// to a backend server.
func callerGone(r *http.Request) bool {
	runtime.Gosched()
	return r.Context().Err() != nil
}

// setDeadlines bounds reads from and writes to the caller by the deadline of the request. Otherwise
// a caller that sends or reads slowly could hold a slot of the backend server indefinitely. It
// returns a function that removes the bounds.
func (ou *Outlet) setDeadlines(w http.ResponseWriter, at time.Time) func() {
	rc := http.NewResponseController(w)
	set := func(read, write time.Time) {
		if err := errors.Join(rc.SetReadDeadline(read), rc.SetWriteDeadline(write)); err != nil {
			ou.log.Debug(logs.SetDeadlineFailed, slog.Any("error", err))
		}
	}
	// The write deadline is later, so that a caller whose body did not arrive in time can still be
	// sent a response.
	set(at.Add(time.Second), at.Add(2*time.Second))
	return func() { set(time.Time{}, time.Time{}) }
}

func (ou *Outlet) refuse(w http.ResponseWriter, r *http.Request, rf *result.Refusal) {
	ou.Stats.For("none", "none").Outcomes.Add(rf.Outcome.String()+"/"+string(rf.Reason), 1)
	if rf.Reason == result.ReasonBadRequest || r.ContentLength != 0 {
		// The rest of the request is not read. Closing the connection keeps it from being parsed as
		// another request.
		w.Header().Set("Connection", "close")
	}
	rf.Write(w, ou.names.FractionalRetryAfter)
}
