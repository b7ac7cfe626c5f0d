package acct

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
	"github.com/flamingomast/flamingomast/internal/stat/trail"
)

// Account is what became of the requests of a span of time.
type Account struct {
	// From and Until are the times of the first and last end of a request.
	From   time.Time `json:"from"`
	Until  time.Time `json:"until"`
	Routes []*Route  `json:"routes"`
	// Windows divide the span into pieces of equal length.
	Windows []*Window `json:"windows"`
	// LeftOut counts lines that the daemons left out by their own bounds: with any,
	// all counts here are lower limits.
	LeftOut int `json:"left-out-lines"`
	// Fleet is what the daemons took and sent, nil where no log tells.
	Fleet *Fleet `json:"fleet,omitempty"`
	trail.Passed
}

// Route sums up the requests of one route.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Counts
	// Back counts the further tries of callers that came back, Again the attempts
	// beyond the first of each request.
	Back  int `json:"back"`
	Again int `json:"again"`
	// Reasons counts what was refused or failed, by outcome and reason.
	Reasons map[string]int `json:"reasons"`
	// BesideFree counts refusals for want of room while a server of the service had a
	// free slot, as far as the answers of the logs tell.
	BesideFree int `json:"beside-free"`
	// NotReached counts the failures of requests that, as their inlets tell, no backend
	// server got: their callers may not send again what may run only once.
	NotReached int `json:"not-reached"`
	// ByCall counts the requests that failed after a call made for them had failed, by
	// the route of the call.
	ByCall map[string]int `json:"by-call"`
	// Before is how long callers had been at a request before it came; Wait and Held
	// are for a slot and in it; Took is all the time at the outlet. Of answered ones.
	Before Times `json:"before"`
	Wait   Times `json:"wait"`
	Held   Times `json:"held"`
	Took   Times `json:"took"`
}

// Counts tells apart how requests ended.
type Counts struct {
	InTime  int `json:"in-time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// Window counts the requests that ended in a piece of the span.
type Window struct {
	From time.Time `json:"from"`
	Counts
}

// Times are quantiles, in nanoseconds.
type Times struct {
	Middle time.Duration `json:"middle"`
	Ninth  time.Duration `json:"nine-in-ten"`
}

// windowLength is the length of a window: long enough for some hundred requests of a
// small fleet, short enough to show a fault of some seconds.
const windowLength = 2 * time.Second

// Reader gathers the lines of logs. The zero value has none.
type Reader struct {
	requests []*trail.Line
	// slots has how many each VM's backend server has, by the refusals of its inlet.
	slots        map[string]int
	droppedLines int
	processes    processes
	// refusals counts, for each request, the tries that inlets did not hand over.
	refusals map[string]int
	trail.Passed
}

// Read adds the lines of one log.
func (rd *Reader) Read(r io.Reader) error {
	return trail.Scan(r, &rd.Passed, func(ln *trail.Line) {
		switch ln.Event {
		case logs.Request:
			rd.requests = append(rd.requests, ln)
		case logs.Usage:
			rd.processes.add(ln)
		case logs.Refused:
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

// Account sums up what was read.
func (rd *Reader) Account() *Account {
	slices.SortStableFunc(rd.requests, func(a, b *trail.Line) int { return a.Time.Compare(b.Time) })
	ac := &Account{LeftOut: rd.droppedLines, Fleet: rd.processes.sum(), Passed: rd.Passed}
	if len(rd.requests) == 0 {
		return ac
	}
	ac.From, ac.Until = rd.requests[0].Time, rd.requests[len(rd.requests)-1].Time
	calls, slots := failedCalls(rd.requests), slotUseOf(rd.requests, rd.slots)
	routes := map[string]*routeSamples{}
	for _, ln := range rd.requests {
		name := ln.Text("route")
		rs := routes[name]
		if rs == nil {
			rs = &routeSamples{Route: &Route{Name: name, Service: ln.Text("service"), Reasons: map[string]int{}, ByCall: map[string]int{}}}
			routes[name] = rs
		}
		rs.add(ln, calls, slots)
		if rd.failedUndelivered(ln) {
			rs.NotReached++
		}
		ac.window(ln.Time).add(ln)
	}
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		ac.Routes = append(ac.Routes, routes[name].summarize())
	}
	slices.SortStableFunc(ac.Routes, func(a, b *Route) int { return cmp.Compare(b.Counts.all(), a.Counts.all()) })
	return ac
}

// failedUndelivered reports whether a request failed though none of its tries was handed over.
func (rd *Reader) failedUndelivered(ln *trail.Line) bool {
	attempts := int(ln.Number("attempts"))
	return ln.Text(logs.Outcome) == result.MayHaveRun.String() && attempts > 0 && rd.refusals[ln.Text(logs.ID)] >= attempts
}

// window returns the window of a time, which is not before that of the last.
func (ac *Account) window(at time.Time) *Window {
	n := int(at.Sub(ac.From) / windowLength)
	for len(ac.Windows) <= n {
		ac.Windows = append(ac.Windows, &Window{From: ac.From.Add(time.Duration(len(ac.Windows)) * windowLength)})
	}
	return ac.Windows[n]
}

func (co *Counts) all() int { return co.InTime + co.Late + co.Refused + co.Failed }

// add counts the end of a request. What the caller had spent before counts against its
// objective.
func (co *Counts) add(ln *trail.Line) {
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

// routeSamples is a route with the times of its answered requests.
type routeSamples struct {
	*Route
	elapsed, wait, serviceTime, took []time.Duration
}

func (rs *routeSamples) add(ln *trail.Line, calls map[string]string, slots slotUse) {
	rs.Counts.add(ln)
	if ln.Duration(logs.Elapsed) > 0 {
		rs.Back++
	}
	rs.Again += max(0, int(ln.Number("attempts"))-1)
	if ln.Text(logs.Outcome) == result.Answered.String() {
		rs.elapsed = append(rs.elapsed, ln.Duration(logs.Elapsed))
		rs.wait = append(rs.wait, ln.Duration(logs.Wait))
		rs.serviceTime = append(rs.serviceTime, ln.Duration(logs.Held))
		rs.took = append(rs.took, ln.Duration(logs.Took))
		return
	}
	rs.Reasons[ln.Text(logs.Outcome)+"/"+ln.Text(logs.Reason)]++
	if call := calls[ln.Text(logs.ID)]; call != "" {
		rs.ByCall[call]++
	}
	if result.Reason(ln.Text(logs.Reason)) == result.ReasonFull && slots.hasFree(ln.Text("service"), ln.Time) {
		rs.BesideFree++
	}
}

func (rs *routeSamples) summarize() *Route {
	rs.Before, rs.Wait, rs.Held, rs.Took = quantiles(rs.elapsed), quantiles(rs.wait), quantiles(rs.serviceTime), quantiles(rs.took)
	return rs.Route
}

func quantiles(list []time.Duration) Times {
	if len(list) == 0 {
		return Times{}
	}
	slices.Sort(list)
	return Times{Middle: list[len(list)/2], Ninth: list[len(list)*9/10]}
}

// failedCalls returns, by the id of a request, the route of the first call made for it
// that was not answered. A call's id is that of its request, a dot and a name.
func failedCalls(requests []*trail.Line) map[string]string {
	calls := map[string]string{}
	for _, ln := range requests {
		parent, _, ok := strings.Cut(ln.Text(logs.ID), ".")
		if ok && calls[parent] == "" && ln.Text(logs.Outcome) != result.Answered.String() {
			calls[parent] = ln.Text("route")
		}
	}
	return calls
}
