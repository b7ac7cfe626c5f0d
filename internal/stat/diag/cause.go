package diag

import (
	"fmt"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// Report describes the outcome of a request and its causes, as far as the logs show them.
type Report struct {
	ID string `json:"id"`
	// Lines are those of the request and of calls made on its behalf, in order of time.
	Lines []*Line `json:"lines"`
	// State is the state of the daemons involved: for each kind of event, the last line before
	// the request ended.
	State []*Line `json:"beliefs"`
	// Causes are sentences for the operator, the most direct cause first.
	Causes []string `json:"causes"`
	Skipped
}

// Explain sorts the lines by time and determines the causes of the outcome.
func (co *Collector) Explain() *Report {
	sortLines(co.requestLines)
	sortLines(co.stateLines)
	rp := &Report{ID: co.id, Lines: co.requestLines, Skipped: co.Skipped}
	if len(co.requestLines) == 0 {
		rp.Causes = []string{"no log line has this id: the request did not reach any daemon whose log was given, or its lines were left out" + co.dropped("", time.Time{})}
		return rp
	}
	end := co.endLine()
	rp.State = co.stateAt(rp.Lines[len(rp.Lines)-1].Time)
	if end == nil {
		first := co.requestLines[0]
		rp.Causes = append(rp.Causes, "no log line records its outcome: the daemon of its outlet ended first, or the line was left out"+co.dropped(first.VM, first.Time))
		return rp
	}
	rp.Causes = append(rp.Causes, co.causes(end)...)
	return rp
}

// endLine returns the line that records the outcome of the request itself, or nil if there is
// none. A retry by the caller has another ID.
func (co *Collector) endLine() *Line {
	var end *Line
	for _, ln := range co.requestLines {
		if (ln.Event == logs.Request || ln.Event == logs.TenantRefused) && ln.Text(logs.ID) == co.id {
			end = ln
		}
	}
	return end
}

// stateAt returns the state of the daemons involved at a given time: the last line of each VM,
// event and subject.
func (co *Collector) stateAt(at time.Time) []*Line {
	involved := map[string]bool{}
	for _, ln := range co.requestLines {
		involved[ln.VM] = true
		if to := ln.Text(logs.TargetVM); to != "" {
			involved[to] = true
		}
	}
	type kind struct{ vm, event, subject string }
	last := map[kind]*Line{}
	for _, ln := range co.stateLines {
		if !involved[ln.VM] || ln.Time.After(at) || ln.Event == logs.LinesDropped {
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

// causes explains the outcome that end records.
func (co *Collector) causes(end *Line) []string {
	var list []string
	reason := result.Reason(end.Text(logs.Reason))
	attempts := int(end.Number("attempts"))
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	switch {
	case end.Text(logs.Outcome) == result.Answered.String():
		add("answered by the server beside %s after %v", end.Text(logs.TargetVM), end.Duration(logs.Took).Round(time.Millisecond))
		list = append(list, co.timing(end)...)
	case reason.NoCapacity() && attempts == 0:
		add("refused without being sent: most recent requests of its kind were refused, so the outlet of %s throttled this one", end.VM)
	case reason.NoCapacity():
		add("refused after %d servers had no room (%s)", attempts, reason)
		list = append(list, co.refusals()...)
	case reason == result.ReasonServerLimit:
		add("refused by the outlet of %s after %d attempts: each server of %s that it could use was getting as many requests as that server says it takes; see the %s lines",
			end.VM, attempts, end.Text("service"), logs.ServerLimit)
		list = append(list, co.refusals()...)
	case reason == result.ReasonNoKey:
		add("refused by the outlet of %s: by version %.0f of the configuration, route %s needs an API key that a tenant holds, and the request carried none or an unknown one",
			end.VM, end.Number(logs.Version), end.Text("route"))
	case reason == result.ReasonOverLimit:
		add("refused by the outlet of %s: tenant %s sends more than version %.0f of the configuration allows over all outlets, %g requests per second and %g more after a pause",
			end.VM, end.Text(logs.Tenant), end.Number(logs.Version), end.Number(logs.TenantRate), end.Number(logs.TenantBurst))
		list = append(list, tenantShare(end))
	case reason == result.ReasonPoison:
		add("not sent by the outlet of %s: backend servers crashed when they ran this request, whichever outlet it came through", end.VM)
		list = append(list, co.crashes()...)
	case reason == result.ReasonNoServer:
		add("no server of %s was known to the outlet of %s", end.Text("service"), end.VM)
	case reason == result.ReasonDeadlinePassed:
		add("timed out at the outlet of %s %v after it was read (limit %v); it had waited %v before the outlet began to handle it",
			end.VM, end.Duration(logs.Took).Round(time.Millisecond), end.Duration(logs.Limit).Round(time.Millisecond), end.Duration(logs.Queued).Round(time.Millisecond))
		list = append(list, co.timing(end)...)
	case end.Text(logs.Outcome) == result.MayHaveRun.String() && reason != result.ReasonCallerGone:
		list = append(list, co.mayHaveRun(end)...)
	case reason == result.ReasonCallerGone:
		add("the caller disconnected after %v", end.Duration(logs.Took).Round(time.Millisecond))
	default:
		add("ended as %s (%s) at the outlet of %s", end.Text(logs.Outcome), reason, end.VM)
	}
	if yes, _ := end.Fields[logs.Floor].(bool); yes {
		add("it went ahead of others, because the outlet of %s serves much less of its kind than of all", end.VM)
	}
	return append(list, co.staleVersion(end)...)
}

// tenantShare says which part of its tenant's requests the outlet admitted, and how it knew.
func tenantShare(end *Line) string {
	age := end.Duration(logs.DirectiveAge)
	if age < 0 {
		return fmt.Sprintf("no relay counted the requests of this outlet, so it admitted only its own part of the limit, %.2g of it", end.Number(logs.TenantShare))
	}
	return fmt.Sprintf("the outlet admitted %.3g of the tenant's requests, as its relay had said %v before", end.Number(logs.TenantShare), age.Round(time.Millisecond))
}

// timing breaks down the time that the request took.
func (co *Collector) timing(end *Line) []string {
	var list []string
	if d := end.Duration(logs.Elapsed); d > 0 {
		list = append(list, fmt.Sprintf("the caller had spent %v on it before, because it retried after a refusal or called late", d.Round(time.Millisecond)))
	}
	wait, serviceTime := end.Duration(logs.Wait), end.Duration(logs.ServiceTime)
	if wait+serviceTime > 0 {
		rest := end.Duration(logs.Took) - wait - serviceTime
		list = append(list, fmt.Sprintf("%v of it waiting for a slot at the inlet, %v at the backend server, %v in transit and in earlier attempts",
			wait, serviceTime, rest.Round(time.Millisecond)))
	}
	return append(list, co.refusals()...)
}

// refusals lists the servers that refused the request, with the load that the outlet assumed and
// the load that the inlet reported.
func (co *Collector) refusals() []string {
	var list []string
	for _, ln := range co.requestLines {
		if ln.Text(logs.ID) != co.id {
			continue
		}
		switch ln.Event {
		case logs.Attempt:
			list = append(list, fmt.Sprintf("%s did not take it (%s); the outlet believed %.0f requests there, %v old",
				ln.Text(logs.TargetVM), ln.Text(logs.Reason), ln.Number(logs.Load), ln.Duration(logs.LoadAge).Round(time.Millisecond)))
		case logs.InletRefused:
			check := ""
			if name := ln.Text(logs.Check); name != "" {
				check = "; it was refused by the check " + name
			}
			list = append(list, fmt.Sprintf("the inlet of %s says %s with load %s (running/waiting/slots/ms a slot is held/ms of backlog on its link)%s",
				ln.VM, ln.Text(logs.Reason), ln.Text(logs.Load), check))
		}
	}
	return list
}

// mayHaveRun explains why a request that was sent was not answered: the backend server, the daemon
// on its VM or the connection failed.
func (co *Collector) mayHaveRun(end *Line) []string {
	to := end.Text(logs.TargetVM)
	list := []string{fmt.Sprintf("it was sent to %s and no answer says that it has not run (%s)", to, end.Text(logs.Reason))}
	for _, ln := range co.requestLines {
		if ln.Event == logs.RunningAtCrash && ln.Text(logs.ID) == co.id {
			return append(list, fmt.Sprintf("the backend server %s beside %s crashed while running it, and possibly other requests; its %s is %s", ln.Text(logs.Lifetime), ln.VM, logs.RequestKey, ln.Text(logs.RequestKey)))
		}
		if ln.Event == logs.InletFailed && ln.Text(logs.ID) == co.id {
			if ln.Text(logs.Reason) == string(result.ReasonMalformed) {
				return append(list, fmt.Sprintf("the inlet of %s refused the response of its backend server (%s)", ln.VM, ln.Text(logs.Error)))
			}
			return append(list, fmt.Sprintf("the inlet of %s had handed it to its backend server, which did not answer it (%s)", ln.VM, ln.Text(logs.Reason)))
		}
	}
	for _, ln := range co.stateLines {
		if ln.VM == to && ln.Event == "daemon-start" && ln.Time.After(end.Time.Add(-end.Duration(logs.Took))) {
			return append(list, fmt.Sprintf("the daemon of %s ended meanwhile: a new one started at %s", to, ln.Time.Format(time.TimeOnly)))
		}
	}
	return append(list, fmt.Sprintf("the inlet of %s logged nothing about it: that daemon or the connection to it failed, or its line was left out%s", to, co.dropped(to, end.Time)))
}

// staleVersion reports whether the request was routed by an older configuration version than
// other daemons held, and why its daemon did not have the newer one.
func (co *Collector) staleVersion(end *Line) []string {
	routed := end.Number(logs.Version)
	began := end.Time.Add(-end.Duration(logs.Took))
	var newer *Line
	for _, ln := range co.stateLines {
		if ln.Event == "version-held" && ln.Number(logs.Version) > routed && ln.Time.Before(began) && (newer == nil || ln.Time.Before(newer.Time)) {
			newer = ln
		}
	}
	if routed == 0 || newer == nil {
		return nil
	}
	list := []string{fmt.Sprintf("it was routed by version %.0f; %s had held version %.0f for %v by then",
		routed, newer.VM, newer.Number(logs.Version), began.Sub(newer.Time).Round(time.Millisecond))}
	for _, ln := range co.stateLines {
		if ln.VM == end.VM && !ln.Time.After(end.Time) && strings.HasPrefix(ln.Event, "version-") && ln.Event != "version-held" {
			list = append(list, fmt.Sprintf("%s did not apply version %.0f (%s: %s)", ln.VM, ln.Number(logs.Version), ln.Event, ln.Text("error")))
		}
	}
	if ln := co.lastBefore(end.VM, "platform-state", end.Time); ln != nil && ln.Fields["answers"] == false {
		list = append(list, fmt.Sprintf("the platform had not answered %s since %s", ln.VM, ln.Time.Format(time.TimeOnly)))
	}
	return list
}

// crashes says how many backend servers are known to have crashed on a poison request.
func (co *Collector) crashes() []string {
	for _, ln := range co.requestLines {
		if ln.Event == logs.PoisonRefused && ln.Text(logs.ID) == co.id {
			return []string{fmt.Sprintf("%.0f crashes were known there; see the %s lines with %s %s", ln.Number(logs.Crashes), logs.RunningAtCrash, logs.RequestKey, ln.Text(logs.RequestKey))}
		}
	}
	return nil
}

// lastBefore returns the last line of an event of a VM that is not after until.
func (co *Collector) lastBefore(vm, event string, until time.Time) *Line {
	var last *Line
	for _, ln := range co.stateLines {
		if ln.VM == vm && ln.Event == event && !ln.Time.After(until) {
			last = ln
		}
	}
	return last
}

// dropped says how many lines the daemon of a VM, or any daemon if vm is empty, dropped shortly
// after a given time, or at any time if at is zero. The lines looked for may be among them.
func (co *Collector) dropped(vm string, at time.Time) string {
	n := 0.0
	for _, ln := range co.stateLines {
		if ln.Event != logs.LinesDropped || vm != "" && ln.VM != vm || !at.IsZero() && (ln.Time.Before(at) || ln.Time.Sub(at) > 2*dropReportWindow) {
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

// dropReportWindow is the interval at which daemons report the number of dropped lines.
const dropReportWindow = 5 * time.Second
