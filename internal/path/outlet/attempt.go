package outlet

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/lapse"
	"github.com/flamingomast/flamingomast/internal/path/pacer"
	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// attempt sends the request to one server. It returns nil once an answer was
// passed on whole; an answer that breaks off ends the caller's connection.
func (rq *request) attempt(ep *pick.Endpoint) *result.Refusal {
	rq.tries++
	rq.vm = ep.VM
	ep.Begin(time.Now())
	if pick.Large(rq.kn.expected()) {
		rq.ou.large.Add(1)
		defer rq.ou.large.Add(-1)
	}
	at := rq.ou.fw.Do(rq.outgoing(ep))
	if at.Response == nil {
		oc, re := at.Outcome()
		rf := rq.failure(at, oc, re)
		rq.ended(ep, verdictOf(rf))
		return rf
	}
	defer at.Response.Body.Close()
	if ld, ok := result.ParseLoad(at.Response.Header.Get(result.LoadHeader)); ok {
		ep.SetLoad(ld, time.Now(), rq.gp)
	}
	if rf := result.FromResponse(at.Response); rf != nil {
		ep.End(time.Now(), verdictOf(rf), rq.gp)
		// A short body is read to its end, so that the connection is kept.
		_, _ = io.Copy(io.Discard, io.LimitReader(at.Response.Body, 4<<10))
		return rf
	}
	vd := pick.Success
	if at.Response.StatusCode >= http.StatusInternalServerError {
		vd = pick.Failure
		rq.ou.memory.Failed(rq.try, time.Now(), false, &rq.kn.back)
	}
	rq.spent = result.ParseSlotTimes(at.Response.Header.Get(result.SlotTimesHeader))
	if vd == pick.Success {
		ep.RecordServiceTime(rq.spent.ServiceTime, rq.kn.ran(rq.spent.ServiceTime))
	}
	if rf := rq.readSmall(at); rf != nil {
		ep.End(time.Now(), verdictOf(rf), rq.gp)
		return rf
	}
	rq.kn.answered(headBytes + bodyBytes(rq.r) + max(0, at.Response.ContentLength))
	proxy.CopyHeader(rq.w, at.Response, nil)
	err := proxy.Copy(rq.w, at, proxy.Pace{})
	var ce *proxy.CopyError
	if errors.As(err, &ce) && ce.ReadFailed && rq.ctx.Err() == nil {
		vd = pick.Failure
	}
	ep.End(time.Now(), vd, rq.gp)
	if err != nil {
		rq.count(result.Ended, result.ReasonConnectionBroken)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// ended counts a failed attempt at a server. One that could not be reached is
// left out until a connection can be made, so that no request has to find out.
func (rq *request) ended(ep *pick.Endpoint, vd pick.Verdict) {
	now := time.Now()
	wasOut := ep.Ejected(now)
	ep.End(now, vd, rq.gp)
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
		if !ep.Ejected(time.Now()) {
			return
		}
		if ou.fw.Reachable(ou.life, ep.Inlet) {
			ep.Reinstate()
			return
		}
		ep.EjectAgain(time.Now())
	}
}

// maxHeldAnswer is the size up to which an answer is read whole before its head
// is sent on, in bytes: most answers are a few kilobytes.
const maxHeldAnswer = 32 << 10

// readSmall reads a small answer whole. A backend server that breaks off in the
// middle would otherwise have cost the caller its connection, where a request
// that may be repeated can be sent again as long as nothing was passed on.
func (rq *request) readSmall(at *proxy.Attempt) *result.Refusal {
	if err := at.Buffer(maxHeldAnswer); err != nil {
		rf := rq.failure(at, result.MayHaveRun, result.ReasonConnectionBroken)
		rf.Cause = err
		return rf
	}
	return nil
}

// verdictOf tells what a refusal says of the server.
func verdictOf(rf *result.Refusal) pick.Verdict {
	if staleConn(rf) {
		return pick.Busy
	}
	if rf.Reason.NoCapacity() {
		return pick.Busy
	}
	switch rf.Reason {
	case result.ReasonCallerGone:
		return pick.Busy
	case result.ReasonWrongTarget, result.ReasonDraining, result.ReasonNoServer, result.ReasonNoConnection:
		return pick.Unreachable
	case result.ReasonShed:
		return pick.Shed
	case result.ReasonDeadlinePassed:
		// Waiting for a slot until the deadline is no fault of the server;
		// running until then may be.
		if rf.Outcome == result.NotRun {
			return pick.Busy
		}
	}
	return pick.Failure
}

// failure describes an attempt without an answer.
func (rq *request) failure(at *proxy.Attempt, oc result.Outcome, re result.Reason) *result.Refusal {
	rf := &result.Refusal{Outcome: oc, Reason: re, RetryAfter: time.Second, Cause: at.Err}
	switch {
	case rq.r.Context().Err() != nil:
		rf.Reason = result.ReasonCallerGone
	case rq.ctx.Err() != nil:
		rf.Reason = result.ReasonDeadlinePassed
	case rq.src.tooLarge():
		rf.Reason, rf.RetryAfter = result.ReasonTooLarge, 0
	case at.Err != nil:
		rf.Detail = "the connection to the backend server failed"
	}
	return rf
}

// outgoing makes the request for a server's inlet.
func (rq *request) outgoing(ep *pick.Endpoint) *http.Request {
	out := proxy.Outgoing(rq.ctx, rq.r, ep.Inlet, result.TimeoutHeader)
	nm := &rq.ou.names
	if nm.Timeout != result.TimeoutHeader {
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
	out.Header[result.UrgencyHeader] = []string{urgency(rq.route, rq.priority, rq.elapsed, time.Since(rq.start), rq.final)}
	out.Header[result.RouteHeader] = []string{rq.route.Name}
	if rq.ends > 0 {
		out.Header[result.CrashesHeader] = []string{strconv.Itoa(rq.ends)}
	}
	if share := rq.repeated(); share > 0 {
		out.Header[result.RepeatHeader] = []string{result.FormatProbability(share)}
	}
	if size := rq.kn.expected(); pick.Large(size) {
		out.Header[result.SizeHeader] = []string{strconv.FormatInt(size, 10)}
		// This one is counted among them.
		others := int(rq.ou.large.Load()) - 1
		if rate := pacer.ReceiverRate(rq.ou.link, others); rate > 0 {
			out.Header[result.RateHeader] = []string{strconv.Itoa(rate)}
		}
	}
	if rq.ou.token != "" {
		out.Header[result.TokenHeader] = []string{rq.ou.token}
	}
	rq.src.attach(out, rq.r)
	return out
}
