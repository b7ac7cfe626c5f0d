package trail

import (
	"fmt"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// Report is what became of a request and why, as far as the logs tell.
type Report struct {
	ID string `json:"id"`
	// Lines are those of the request and of calls made for it, in order.
	Lines []*Line `json:"lines"`
	// State are what the daemons that took part went by: the last line of each
	// kind before the request ended.
	State []*Line `json:"beliefs"`
	// Causes are sentences, the nearest cause first.
	Causes []string `json:"causes"`
	Skipped
}

// Explain puts the lines in order and names the cause.
func (lo *Log) Explain() *Report {
	sortLines(lo.request)
	sortLines(lo.beliefs)
	rp := &Report{ID: lo.id, Lines: lo.request, Skipped: lo.Skipped}
	if len(lo.request) == 0 {
		rp.Causes = []string{"no line bears this id: the request reached no daemon of these logs, or its lines were left out" + lo.leftOut("", time.Time{})}
		return rp
	}
	end := lo.end()
	rp.State = lo.inForce(rp.Lines[len(rp.Lines)-1].Time)
	if end == nil {
		first := lo.request[0]
		rp.Causes = append(rp.Causes, "no line tells its end: the outlet was ended before it, or the line was left out"+lo.leftOut(first.VM, first.Time))
		return rp
	}
	rp.Causes = append(rp.Causes, lo.cause(end)...)
	return rp
}

// end returns the line of the caller's own request, nil where there is none. A
// caller that came back has another id.
func (lo *Log) end() *Line {
	var end *Line
	for _, ln := range lo.request {
		if ln.Event == logs.Request && ln.Text(logs.ID) == lo.id {
			end = ln
		}
	}
	return end
}

// inForce returns the last line of each kind of belief of the daemons that took
// part, at a moment.
func (lo *Log) inForce(at time.Time) []*Line {
	part := map[string]bool{}
	for _, ln := range lo.request {
		part[ln.VM] = true
		if to := ln.Text(logs.TargetVM); to != "" {
			part[to] = true
		}
	}
	type kind struct{ vm, event, about string }
	last := map[kind]*Line{}
	for _, ln := range lo.beliefs {
		if !part[ln.VM] || ln.Time.After(at) || ln.Event == logs.LeftOut {
			continue
		}
		last[kind{ln.VM, ln.Event, ln.Text("member") + ln.Text("domain")}] = ln
	}
	var list []*Line
	for _, ln := range last {
		list = append(list, ln)
	}
	sortLines(list)
	return list
}

// cause returns why a request ended as its line says.
func (lo *Log) cause(end *Line) []string {
	var list []string
	reason := result.Reason(end.Text(logs.Reason))
	tries := int(end.Number("attempts"))
	say := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	switch {
	case end.Text(logs.Outcome) == result.Answered.String():
		say("answered by the server beside %s after %v", end.Text(logs.TargetVM), end.Span(logs.Took).Round(time.Millisecond))
		list = append(list, lo.slow(end)...)
	case reason.NoCapacity() && tries == 0:
		say("refused without being sent: most requests of its kind were refused lately, so the outlet of %s held this one back", end.VM)
	case reason.NoCapacity():
		say("refused after %d servers had no room (%s)", tries, reason)
		list = append(list, lo.refusals()...)
	case reason == result.ReasonPoison:
		say("not sent by the outlet of %s: backend servers ended when they ran this request, wherever its caller came", end.VM)
		list = append(list, lo.poison()...)
	case reason == result.ReasonNoServer:
		say("no server of %s was known to the outlet of %s", end.Text("service"), end.VM)
	case reason == result.ReasonDeadlinePassed:
		say("given up on by the outlet of %s %v after it had been read, at a limit of %v; it had been read for %v when the outlet began to handle it",
			end.VM, end.Span(logs.Took).Round(time.Millisecond), end.Span(logs.Limit).Round(time.Millisecond), end.Span(logs.Queued).Round(time.Millisecond))
		list = append(list, lo.slow(end)...)
	case end.Text(logs.Outcome) == result.MayHaveRun.String() && reason != result.ReasonCallerGone:
		list = append(list, lo.mayHaveRun(end)...)
	case reason == result.ReasonCallerGone:
		say("the caller left after %v", end.Span(logs.Took).Round(time.Millisecond))
	default:
		say("ended as %s (%s) at the outlet of %s", end.Text(logs.Outcome), reason, end.VM)
	}
	return append(list, lo.oldVersion(end)...)
}

// slow tells where the time of an answered request went.
func (lo *Log) slow(end *Line) []string {
	var list []string
	if d := end.Span(logs.Elapsed); d > 0 {
		list = append(list, fmt.Sprintf("the caller had been at it for %v before, as it came back after a refusal or called late", d.Round(time.Millisecond)))
	}
	wait, held := end.Span(logs.Wait), end.Span(logs.ServiceTime)
	if wait+held > 0 {
		rest := end.Span(logs.Took) - wait - held
		list = append(list, fmt.Sprintf("%v of it waiting for a slot at the inlet, %v at the backend server, %v on the way and in attempts before",
			wait, held, rest.Round(time.Millisecond)))
	}
	return append(list, lo.refusals()...)
}

// refusals names the servers that refused the request, with what the outlet
// believed and what the inlet said.
func (lo *Log) refusals() []string {
	var list []string
	for _, ln := range lo.request {
		if ln.Text(logs.ID) != lo.id {
			continue
		}
		switch ln.Event {
		case logs.Attempt:
			list = append(list, fmt.Sprintf("%s did not take it (%s); the outlet believed %.0f requests there, %v old",
				ln.Text(logs.TargetVM), ln.Text(logs.Reason), ln.Number(logs.Load), ln.Span(logs.LoadAge).Round(time.Millisecond)))
		case logs.InletRefused:
			list = append(list, fmt.Sprintf("the inlet of %s says %s with load %s (running/waiting/slots/ms a slot is held/ms of backlog on its link)",
				ln.VM, ln.Text(logs.Reason), ln.Text(logs.Load)))
		}
	}
	return list
}

// mayHaveRun tells what was lost of a request that was sent and not answered.
func (lo *Log) mayHaveRun(end *Line) []string {
	to := end.Text(logs.TargetVM)
	list := []string{fmt.Sprintf("it was sent to %s and no answer says that it has not run (%s)", to, end.Text(logs.Reason))}
	for _, ln := range lo.request {
		if ln.Event == logs.RunningAtCrash && ln.Text(logs.ID) == lo.id {
			return append(list, fmt.Sprintf("the backend server %s beside %s ended while it ran it, and maybe others; its %s is %s", ln.Text(logs.Lifetime), ln.VM, logs.RequestKey, ln.Text(logs.RequestKey)))
		}
		if ln.Event == logs.InletFailed && ln.Text(logs.ID) == lo.id {
			return append(list, fmt.Sprintf("the inlet of %s had handed it to its backend server, which did not answer it (%s)", ln.VM, ln.Text(logs.Reason)))
		}
	}
	for _, ln := range lo.beliefs {
		if ln.VM == to && ln.Event == "daemon-start" && ln.Time.After(end.Time.Add(-end.Span(logs.Took))) {
			return append(list, fmt.Sprintf("the daemon of %s was lost meanwhile: a new one started at %s", to, ln.Time.Format(time.TimeOnly)))
		}
	}
	return append(list, fmt.Sprintf("the inlet of %s has no line of it: it was lost, the way to it was, or its line was left out%s", to, lo.leftOut(to, end.Time)))
}

// oldVersion reports whether others held a newer configuration than the request was
// routed by, and what the daemon knew of the platform.
func (lo *Log) oldVersion(end *Line) []string {
	routed := end.Number(logs.Version)
	began := end.Time.Add(-end.Span(logs.Took))
	var newer *Line
	for _, ln := range lo.beliefs {
		if ln.Event == "version-held" && ln.Number(logs.Version) > routed && ln.Time.Before(began) && (newer == nil || ln.Time.Before(newer.Time)) {
			newer = ln
		}
	}
	if routed == 0 || newer == nil {
		return nil
	}
	list := []string{fmt.Sprintf("it was routed by version %.0f; %s had held version %.0f for %v by then",
		routed, newer.VM, newer.Number(logs.Version), began.Sub(newer.Time).Round(time.Millisecond))}
	for _, ln := range lo.beliefs {
		if ln.VM == end.VM && !ln.Time.After(end.Time) && strings.HasPrefix(ln.Event, "version-") && ln.Event != "version-held" {
			list = append(list, fmt.Sprintf("%s did not take version %.0f (%s: %s)", ln.VM, ln.Number(logs.Version), ln.Event, ln.Text("error")))
		}
	}
	if ln := lo.last(end.VM, "platform-state", end.Time); ln != nil && ln.Fields["answers"] == false {
		list = append(list, fmt.Sprintf("the platform had not answered %s since %s", ln.VM, ln.Time.Format(time.TimeOnly)))
	}
	return list
}

// poison names a request that was refused since servers ended under it.
func (lo *Log) poison() []string {
	for _, ln := range lo.request {
		if ln.Event == logs.PoisonRefused && ln.Text(logs.ID) == lo.id {
			return []string{fmt.Sprintf("%.0f ends were known there; the lines %s with %s %s tell of each", ln.Number(logs.Crashes), logs.RunningAtCrash, logs.RequestKey, ln.Text(logs.RequestKey))}
		}
	}
	return nil
}

// last returns the last line of an event of a VM until a moment.
func (lo *Log) last(vm, event string, until time.Time) *Line {
	var last *Line
	for _, ln := range lo.beliefs {
		if ln.VM == vm && ln.Event == event && !ln.Time.After(until) {
			last = ln
		}
	}
	return last
}

// leftOut says how many lines a daemon, or any, left out around a moment, which may
// have been those looked for.
func (lo *Log) leftOut(vm string, at time.Time) string {
	n := 0.0
	for _, ln := range lo.beliefs {
		if ln.Event != logs.LeftOut || vm != "" && ln.VM != vm || !at.IsZero() && (ln.Time.Before(at) || ln.Time.Sub(at) > 2*reportSpan) {
			continue
		}
		for _, v := range ln.Fields {
			if f, ok := v.(float64); ok {
				n += f
			}
		}
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf(" (%.0f lines were left out then)", n)
}

// reportSpan is the time over which lines that were left out are counted together.
const reportSpan = 5 * time.Second
