package acct

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/diag"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// Account summarizes the requests in a set of logs.
type Account struct {
	// From and Until are the times at which the first and the last request ended.
	From   time.Time `json:"from"`
	Until  time.Time `json:"until"`
	Routes []*Route  `json:"routes"`
	// Tenants counts the requests by tenant, largest first.
	Tenants []*Tenant `json:"tenants,omitempty"`
	// Windows divide the time from From to Until into windows of equal length.
	Windows []*Window `json:"windows"`
	// DroppedLines counts the log lines that the daemons dropped to limit the rate. If there are
	// any, all counts here are lower bounds.
	DroppedLines int `json:"left-out-lines"`
	// Fleet is the resource usage of the daemons, nil if no log reports it.
	Fleet *Fleet `json:"fleet,omitempty"`
	diag.Skipped
}

// Route summarizes the requests of one route.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Counts
	// CallerRetries counts the requests that are retries of callers, Retries the outlets' attempts
	// beyond the first at each request.
	CallerRetries int `json:"back"`
	Retries       int `json:"again"`
	// Reasons counts the refused and failed requests by outcome and reason.
	Reasons map[string]int `json:"reasons"`
	// AvoidableRefusals counts refusals for lack of slots while a server of the service had a free
	// slot, as far as the logged requests show.
	AvoidableRefusals int `json:"beside-free"`
	// NotDelivered counts the failed requests that, according to the inlets, no backend server
	// received. Their callers cannot know this, so they may not retry a request that must not
	// run twice.
	NotDelivered int `json:"not-reached"`
	// FailedCalls counts the refused and failed requests for which a call made on their behalf was
	// not answered, by the route of the call.
	FailedCalls map[string]int `json:"by-call"`
	// Elapsed is the time that callers had spent on a request before it arrived, Wait the wait for
	// a slot, ServiceTime the time in the slot, and Took the total time at the outlet. They cover
	// answered requests only.
	Elapsed     Quantiles `json:"before"`
	Wait        Quantiles `json:"wait"`
	ServiceTime Quantiles `json:"held"`
	Took        Quantiles `json:"took"`
}

// Tenant summarizes the requests of one tenant.
type Tenant struct {
	Name string `json:"name"`
	Counts
	// OverLimit counts the requests that were refused for the tenant's limit.
	OverLimit int `json:"over-limit"`
}

// Counts holds the numbers of requests by outcome.
type Counts struct {
	InTime  int `json:"in-time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// Window counts the requests that ended within a window that begins at From.
type Window struct {
	From time.Time `json:"from"`
	Counts
}

// Quantiles holds the median and the 90th percentile of a set of durations.
type Quantiles struct {
	Median time.Duration `json:"middle"`
	P90    time.Duration `json:"nine-in-ten"`
}

// windowLength is long enough for some hundred requests in a small fleet, and short enough to
// show a fault that lasts a few seconds.
const windowLength = 2 * time.Second

// Reader gathers the lines of several logs. The zero value is ready for use.
type Reader struct {
	requests []*diag.Line
	// slots holds the number of slots of each VM's backend server, as its inlet reports in refusals.
	slots        map[string]int
	droppedLines int
	processes    processes
	// refusals counts, for each request ID, the attempts that inlets refused.
	refusals map[string]int
	diag.Skipped
}

// Read adds the lines of a log.
func (rd *Reader) Read(r io.Reader) error {
	return diag.Scan(r, &rd.Skipped, func(ln *diag.Line) {
		switch ln.Event {
		case logs.Request, logs.TenantRefused:
			rd.requests = append(rd.requests, ln)
		case logs.Usage:
			rd.processes.add(ln)
		case logs.InletRefused:
			if rd.refusals == nil {
				rd.refusals = map[string]int{}
			}
			rd.refusals[ln.Text(logs.ID)]++
			if ld, ok := result.ParseLoad(ln.Text(logs.Load)); ok {
				if rd.slots == nil {
					rd.slots = map[string]int{}
				}
				rd.slots[ln.VM] = ld.Slots
			}
		case logs.LinesDropped:
			for name := range ln.Fields {
				rd.droppedLines += int(ln.Number(name))
			}
		}
	})
}

// Account returns a summary of the lines read.
func (rd *Reader) Account() *Account {
	slices.SortStableFunc(rd.requests, func(a, b *diag.Line) int { return a.Time.Compare(b.Time) })
	ac := &Account{DroppedLines: rd.droppedLines, Fleet: rd.processes.sum(), Skipped: rd.Skipped}
	if len(rd.requests) == 0 {
		return ac
	}
	ac.From, ac.Until = rd.requests[0].Time, rd.requests[len(rd.requests)-1].Time
	calls, slots := failedCalls(rd.requests), slotUseOf(rd.requests, rd.slots)
	routes, tenants := map[string]*routeSamples{}, map[string]*Tenant{}
	for _, ln := range rd.requests {
		name := ln.Text("route")
		rs := routes[name]
		if rs == nil {
			rs = &routeSamples{Route: &Route{Name: name, Service: ln.Text("service"), Reasons: map[string]int{}, FailedCalls: map[string]int{}}}
			routes[name] = rs
		}
		rs.add(ln, calls, slots)
		if rd.failedUndelivered(ln) {
			rs.NotDelivered++
		}
		ac.window(ln.Time).add(ln)
		if name := ln.Text(logs.Tenant); name != "" {
			if tenants[name] == nil {
				tenants[name] = &Tenant{Name: name}
			}
			tenants[name].add(ln)
		}
	}
	ac.Tenants = slices.SortedFunc(maps.Values(tenants), func(a, b *Tenant) int {
		return cmp.Or(cmp.Compare(b.all(), a.all()), cmp.Compare(a.Name, b.Name))
	})
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		ac.Routes = append(ac.Routes, routes[name].summarize())
	}
	slices.SortStableFunc(ac.Routes, func(a, b *Route) int { return cmp.Compare(b.Counts.all(), a.Counts.all()) })
	return ac
}

// failedUndelivered reports whether a request failed although inlets refused all its attempts.
func (rd *Reader) failedUndelivered(ln *diag.Line) bool {
	attempts := int(ln.Number("attempts"))
	return ln.Text(logs.Outcome) == result.MayHaveRun.String() && attempts > 0 && rd.refusals[ln.Text(logs.ID)] >= attempts
}

// window returns the window that contains at, which must not be before From, and adds missing
// windows up to it.
func (ac *Account) window(at time.Time) *Window {
	n := int(at.Sub(ac.From) / windowLength)
	for len(ac.Windows) <= n {
		ac.Windows = append(ac.Windows, &Window{From: ac.From.Add(time.Duration(len(ac.Windows)) * windowLength)})
	}
	return ac.Windows[n]
}

func (co *Counts) all() int { return co.InTime + co.Late + co.Refused + co.Failed }

// add counts a request by its outcome. Time that the caller spent on earlier attempts counts
// against the objective.
func (co *Counts) add(ln *diag.Line) {
	objective := ln.Duration(logs.Objective)
	switch outcome := ln.Text(logs.Outcome); {
	case outcome == result.Answered.String() && (objective == 0 || ln.Duration(logs.Elapsed)+ln.Duration(logs.Took) <= objective):
		co.InTime++
	case outcome == result.Answered.String():
		co.Late++
	case outcome == result.NotRun.String():
		co.Refused++
	default:
		co.Failed++
	}
}

func (tn *Tenant) add(ln *diag.Line) {
	tn.Counts.add(ln)
	if result.Reason(ln.Text(logs.Reason)) == result.ReasonOverLimit {
		tn.OverLimit++
	}
}

// routeSamples is a route with the durations of its answered requests.
type routeSamples struct {
	*Route
	elapsed, wait, serviceTime, took []time.Duration
}

func (rs *routeSamples) add(ln *diag.Line, calls map[string]string, slots slotUse) {
	rs.Counts.add(ln)
	if ln.Duration(logs.Elapsed) > 0 {
		rs.CallerRetries++
	}
	rs.Retries += max(0, int(ln.Number("attempts"))-1)
	if ln.Text(logs.Outcome) == result.Answered.String() {
		rs.elapsed = append(rs.elapsed, ln.Duration(logs.Elapsed))
		rs.wait = append(rs.wait, ln.Duration(logs.Wait))
		rs.serviceTime = append(rs.serviceTime, ln.Duration(logs.ServiceTime))
		rs.took = append(rs.took, ln.Duration(logs.Took))
		return
	}
	rs.Reasons[ln.Text(logs.Outcome)+"/"+ln.Text(logs.Reason)]++
	if call := calls[ln.Text(logs.ID)]; call != "" {
		rs.FailedCalls[call]++
	}
	if result.Reason(ln.Text(logs.Reason)) == result.ReasonSlotsFull && slots.hasFree(ln.Text("service"), ln.Time) {
		rs.AvoidableRefusals++
	}
}

func (rs *routeSamples) summarize() *Route {
	rs.Elapsed, rs.Wait, rs.ServiceTime, rs.Took = quantiles(rs.elapsed), quantiles(rs.wait), quantiles(rs.serviceTime), quantiles(rs.took)
	return rs.Route
}

func quantiles(list []time.Duration) Quantiles {
	if len(list) == 0 {
		return Quantiles{}
	}
	slices.Sort(list)
	return Quantiles{Median: list[len(list)/2], P90: list[len(list)*9/10]}
}

// failedCalls returns, by request ID, the route of the first call made on behalf of the request
// that was not answered. The ID of a call is that of its request, a dot and a name.
func failedCalls(requests []*diag.Line) map[string]string {
	calls := map[string]string{}
	for _, ln := range requests {
		parent, _, ok := strings.Cut(ln.Text(logs.ID), ".")
		if ok && calls[parent] == "" && ln.Text(logs.Outcome) != result.Answered.String() {
			calls[parent] = ln.Text("route")
		}
	}
	return calls
}
