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
	// DroppedLines counts lines that the daemons left out by their own bounds: with any,
	// all counts here are lower limits.
	DroppedLines int `json:"left-out-lines"`
	// Fleet is what the daemons took and sent, nil where no log tells.
	Fleet *Fleet `json:"fleet,omitempty"`
	trail.Skipped
}

// Route sums up the requests of one route.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Count
	// CallerRetries counts the further tries of callers that came back, Again the attempts
	// beyond the first of each request.
	CallerRetries int `json:"back"`
	Retries       int `json:"again"`
	// Reasons counts what was refused or failed, by outcome and reason.
	Reasons map[string]int `json:"reasons"`
	// AvoidableRefusals counts refusals for want of room while a server of the service had a
	// free slot, as far as the answers of the logs tell.
	AvoidableRefusals int `json:"beside-free"`
	// NotDelivered counts the failures of requests that, as their inlets tell, no backend
	// server got: their callers may not send again what may run only once.
	NotDelivered int `json:"not-reached"`
	// FailedCalls counts the requests that failed after a call made for them had failed, by
	// the route of the call.
	FailedCalls map[string]int `json:"by-call"`
	// Elapsed is how long callers had been at a request before it came; Wait and Held
	// are for a slot and in it; Took is all the time at the outlet. Of answered ones.
	Elapsed     Quantiles `json:"before"`
	Wait        Quantiles `json:"wait"`
	ServiceTime Quantiles `json:"held"`
	Took        Quantiles `json:"took"`
}

// Count tells apart how requests ended.
type Count struct {
	InTime  int `json:"in-time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// Window counts the requests that ended in a piece of the span.
type Window struct {
	From time.Time `json:"from"`
	Count
}

// Quantiles are quantiles, in nanoseconds.
type Quantiles struct {
	Median time.Duration `json:"middle"`
	P90    time.Duration `json:"nine-in-ten"`
}

// windowLength is the length of a window: long enough for some hundred requests of a
// small fleet, short enough to show a fault of some seconds.
const windowLength = 2 * time.Second

// Reader gathers the lines of logs. The zero value has none.
type Reader struct {
	requests []*trail.Line
	// slots has how many each VM's backend server has, by the refusals of its inlet.
	slots   map[string]int
	leftOut int
	fleet   processes
	// notRun counts, for each request, the tries that inlets did not hand over.
	notRun map[string]int
	trail.Skipped
}

// StoreBytesRead adds the lines of one log.
func (rd *Reader) Read(r io.Reader) error {
	return trail.Scan(r, &rd.Skipped, func(ln *trail.Line) {
		switch ln.Event {
		case logs.Request:
			rd.requests = append(rd.requests, ln)
		case logs.Usage:
			rd.fleet.add(ln)
		case logs.InletRefused:
			if rd.notRun == nil {
				rd.notRun = map[string]int{}
			}
			rd.notRun[ln.Text(logs.ID)]++
			if ld, ok := result.ParseLoad(ln.Text(logs.Load)); ok {
				if rd.slots == nil {
					rd.slots = map[string]int{}
				}
				rd.slots[ln.VM] = ld.Slots
			}
		case logs.LeftOut:
			for name := range ln.Fields {
				rd.leftOut += int(ln.Number(name))
			}
		}
	})
}

// Account sums up what was read.
func (rd *Reader) Account() *Account {
	slices.SortStableFunc(rd.requests, func(a, b *trail.Line) int { return a.Time.Compare(b.Time) })
	ac := &Account{DroppedLines: rd.leftOut, Fleet: rd.fleet.sum(), Skipped: rd.Skipped}
	if len(rd.requests) == 0 {
		return ac
	}
	ac.From, ac.Until = rd.requests[0].Time, rd.requests[len(rd.requests)-1].Time
	calls, slots := failedCalls(rd.requests), slotsOf(rd.requests, rd.slots)
	routes := map[string]*gathered{}
	for _, ln := range rd.requests {
		name := ln.Text("route")
		ga := routes[name]
		if ga == nil {
			ga = &gathered{Route: &Route{Name: name, Service: ln.Text("service"), Reasons: map[string]int{}, FailedCalls: map[string]int{}}}
			routes[name] = ga
		}
		ga.add(ln, calls, slots)
		if rd.lostUnrun(ln) {
			ga.NotDelivered++
		}
		ac.window(ln.Time).add(ln)
	}
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		ac.Routes = append(ac.Routes, routes[name].finish())
	}
	slices.SortStableFunc(ac.Routes, func(a, b *Route) int { return cmp.Compare(b.Count.all(), a.Count.all()) })
	return ac
}

// lostUnrun reports whether a request failed though none of its tries was handed over.
func (rd *Reader) lostUnrun(ln *trail.Line) bool {
	tries := int(ln.Number("attempts"))
	return ln.Text(logs.Outcome) == result.MayHaveRun.String() && tries > 0 && rd.notRun[ln.Text(logs.ID)] >= tries
}

// window returns the window of a time, which is not before that of the last.
func (ac *Account) window(at time.Time) *Window {
	n := int(at.Sub(ac.From) / windowLength)
	for len(ac.Windows) <= n {
		ac.Windows = append(ac.Windows, &Window{From: ac.From.Add(time.Duration(len(ac.Windows)) * windowLength)})
	}
	return ac.Windows[n]
}

func (co *Count) all() int { return co.InTime + co.Late + co.Refused + co.Failed }

// add counts the end of a request. What the caller had spent before counts against its
// objective.
func (co *Count) add(ln *trail.Line) {
	objective := ln.Span(logs.Objective)
	switch outcome := ln.Text(logs.Outcome); {
	case outcome == result.Answered.String() && (objective == 0 || ln.Span(logs.Elapsed)+ln.Span(logs.Took) <= objective):
		co.InTime++
	case outcome == result.Answered.String():
		co.Late++
	case outcome == result.NotRun.String():
		co.Refused++
	default:
		co.Failed++
	}
}

// gathered is a route with the times of its answered requests.
type gathered struct {
	*Route
	before, wait, held, took []time.Duration
}

func (ga *gathered) add(ln *trail.Line, calls map[string]string, slots held) {
	ga.Count.add(ln)
	if ln.Span(logs.Elapsed) > 0 {
		ga.CallerRetries++
	}
	ga.Retries += max(0, int(ln.Number("attempts"))-1)
	if ln.Text(logs.Outcome) == result.Answered.String() {
		ga.before = append(ga.before, ln.Span(logs.Elapsed))
		ga.wait = append(ga.wait, ln.Span(logs.Wait))
		ga.held = append(ga.held, ln.Span(logs.ServiceTime))
		ga.took = append(ga.took, ln.Span(logs.Took))
		return
	}
	ga.Reasons[ln.Text(logs.Outcome)+"/"+ln.Text(logs.Reason)]++
	if call := calls[ln.Text(logs.ID)]; call != "" {
		ga.FailedCalls[call]++
	}
	if result.Reason(ln.Text(logs.Reason)) == result.ReasonSlotsFull && slots.free(ln.Text("service"), ln.Time) {
		ga.AvoidableRefusals++
	}
}

func (ga *gathered) finish() *Route {
	ga.Elapsed, ga.Wait, ga.ServiceTime, ga.Took = times(ga.before), times(ga.wait), times(ga.held), times(ga.took)
	return ga.Route
}

func times(list []time.Duration) Quantiles {
	if len(list) == 0 {
		return Quantiles{}
	}
	slices.Sort(list)
	return Quantiles{Median: list[len(list)/2], P90: list[len(list)*9/10]}
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
