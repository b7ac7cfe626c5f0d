package outlet

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/delay"
	"github.com/flamingomast/flamingomast/internal/path/gone"
	"github.com/flamingomast/flamingomast/internal/path/pacer"
	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// attempt sends the request to one server. It returns nil once a response was forwarded completely;
// a response that is truncated while it is forwarded aborts the caller's connection.
func (rq *request) attempt(ep *pick.Endpoint) *result.Refusal {
	rq.attempts++
	rq.vm = ep.VM
	ep.Begin(time.Now())
	if pick.Large(rq.rs.expectedSize()) {
		rq.ou.largeResponses.Add(1)
		defer rq.ou.largeResponses.Add(-1)
	}
	sentAt := time.Now()
	at := rq.ou.fw.Do(rq.outgoing(ep))
	if at.Response == nil {
		oc, re := at.Outcome()
		rf := rq.failure(at, oc, re)
		rq.endAttempt(ep, verdictOf(rf))
		return rf
	}
	defer at.Response.Body.Close()
	if ld, ok := result.ParseLoad(at.Response.Header.Get(result.LoadHeader)); ok {
		ep.SetLoad(ld, time.Now(), rq.gp)
	}
	rq.readNotice(ep, at.Response, sentAt)
	if rf := result.FromResponse(at.Response); rf != nil {
		if rf.Reason == result.ReasonServerLimit {
			ep.HoldBack(rq.rank(), time.Now(), rf.RetryAfter, rq.turnSpacing(ep))
		}
		ep.End(time.Now(), verdictOf(rf), rq.gp)
		// Drain a short body so that the connection can be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(at.Response.Body, 4<<10))
		return rf
	}
	vd := pick.Success
	if at.Response.StatusCode >= http.StatusInternalServerError {
		vd = pick.Failure
		rq.ou.callerTries.Failed(rq.callerTry, time.Now(), false, &rq.rs.callerRetries)
	}
	rq.spent = result.ParseSlotTimes(at.Response.Header.Get(result.SlotTimesHeader))
	if vd == pick.Success {
		ep.RecordServiceTime(rq.spent.ServiceTime, rq.rs.recordHeld(rq.spent.ServiceTime))
	}
	if rf := rq.bufferResponse(at); rf != nil {
		ep.End(time.Now(), verdictOf(rf), rq.gp)
		return rf
	}
	rq.rs.recordSize(headBytes + knownBodySize(rq.r) + max(0, at.Response.ContentLength))
	proxy.CopyHeader(rq.w, at.Response, nil)
	err := proxy.Copy(rq.w, at, proxy.Pace{})
	re := result.ReasonConnectionBroken
	var ce *proxy.CopyError
	if errors.As(err, &ce) && ce.ReadFailed && rq.ctx.Err() == nil {
		vd, re = pick.Failure, ce.Reason
	}
	ep.End(time.Now(), vd, rq.gp)
	if err != nil {
		rq.lastRefusal = &result.Refusal{Cause: err}
		rq.record(result.Ended, re)
		rq.breakOff()
	}
	return nil
}

// breakOff closes the caller's connection in the middle of a response. It does not return.
func (rq *request) breakOff() {
	if !rq.r.ProtoAtLeast(1, 1) {
		// A response of HTTP/1.0 may end with its connection.
		if err := gone.Reset(rq.r); err != nil {
			rq.ou.log.Debug(logs.ResetFailed, slog.String(logs.ID, rq.id()), slog.Any(logs.Error, err))
		}
	}
	panic(http.ErrAbortHandler)
}

// endAttempt records a failed attempt at a server. A server that could not be reached stays ejected
// until a probe connects to it, so that no request is used to find out.
func (rq *request) endAttempt(ep *pick.Endpoint, vd pick.Verdict) {
	now := time.Now()
	wasEjected := ep.Ejected(now)
	ep.End(now, vd, rq.gp)
	if vd == pick.Unreachable && !wasEjected {
		go rq.ou.probeUntilReachable(ep)
	}
}

// Probing of servers that could not be reached.
const (
	// probeInterval is the wait between two connection attempts.
	probeInterval = 500 * time.Millisecond
	// maxProbes bounds the connection attempts. Together they take as long as the longest ejection
	// of a server.
	maxProbes = 60
)

// probeUntilReachable tries to connect to a server that could not be reached and readmits it once
// that succeeds.
func (ou *Outlet) probeUntilReachable(ep *pick.Endpoint) {
	for range maxProbes {
		select {
		case <-time.After(probeInterval):
		case <-ou.ctx.Done():
			return
		}
		if !ep.Ejected(time.Now()) {
			return
		}
		if ou.fw.Reachable(ou.ctx, ep.Inlet) {
			ep.Reinstate()
			return
		}
		ep.EjectAgain(time.Now())
	}
}

// maxBufferedResponse is the size in bytes up to which a response is read completely before its
// head is forwarded. Most responses are a few kilobytes.
const maxBufferedResponse = 32 << 10

// bufferResponse reads a small response completely. If the backend server breaks the connection in
// the middle of a response, a request that may be retried can still be sent again, as long as
// nothing was forwarded; otherwise the caller would lose its connection.
func (rq *request) bufferResponse(at *proxy.Attempt) *result.Refusal {
	if err := at.Buffer(maxBufferedResponse); err != nil {
		rf := rq.failure(at, result.MayHaveRun, result.ReasonConnectionBroken)
		rf.Cause = err
		return rf
	}
	return nil
}

// verdictOf returns what a refusal says about the server.
func verdictOf(rf *result.Refusal) pick.Verdict {
	if staleConn(rf) {
		return pick.Busy
	}
	if rf.Reason.NoCapacity() {
		return pick.Busy
	}
	switch rf.Reason {
	case result.ReasonCallerGone, result.ReasonServerLimit:
		return pick.Busy
	case result.ReasonWrongTarget, result.ReasonDraining, result.ReasonNoServer, result.ReasonNoConnection:
		return pick.Unreachable
	case result.ReasonShed:
		return pick.Shed
	case result.ReasonDeadlinePassed:
		// Waiting for a slot until the deadline is not the server's fault; running until then may
		// be.
		if rf.Outcome == result.NotRun {
			return pick.Busy
		}
	}
	return pick.Failure
}

// failure describes an attempt that got no response.
func (rq *request) failure(at *proxy.Attempt, oc result.Outcome, re result.Reason) *result.Refusal {
	rf := &result.Refusal{Outcome: oc, Reason: re, RetryAfter: time.Second, Cause: at.Err}
	switch {
	case rq.r.Context().Err() != nil:
		rf.Reason = result.ReasonCallerGone
	case rq.ctx.Err() != nil:
		rf.Reason = result.ReasonDeadlinePassed
	case rq.body.tooLarge():
		rf.Reason, rf.RetryAfter = result.ReasonTooLarge, 0
	case re == result.ReasonMalformed:
		rf.Detail = "the response violates the protocol"
	case at.Err != nil:
		rf.Detail = "the connection to the backend server failed"
	}
	return rf
}

// outgoing builds the request to a server's inlet.
func (rq *request) outgoing(ep *pick.Endpoint) *http.Request {
	out := proxy.Outgoing(rq.ctx, rq.r, ep.Inlet, result.TimeoutHeader)
	nm := &rq.ou.names
	if nm.Timeout != result.TimeoutHeader {
		out.Header.Del(nm.Timeout)
	}
	if nm.Instance != "" {
		out.Header.Del(nm.Instance)
	}
	delete(out.Header, http.CanonicalHeaderKey(nm.Tenant))
	if rq.tenant != nil {
		out.Header[result.TenantHeader] = rq.tenant.Header
	}
	if nm.Caller != "" {
		out.Header.Set(nm.Caller, rq.ou.service)
	}
	out.Header[result.VMHeader] = []string{ep.VM}
	out.Header[result.ProcessHeader] = []string{ep.Process}
	out.Header[result.ServiceHeader] = []string{rq.sv.Name}
	out.Header[result.SentHeader] = []string{delay.Stamp(time.Now())}
	out.Header[result.ClassHeader] = []string{rq.route.Class.Name}
	out.Header[result.UrgencyHeader] = []string{urgency(rq.route, rq.priority, rq.elapsed, time.Since(rq.start), rq.final)}
	if rq.floor {
		out.Header[result.FloorHeader] = []string{"1"}
	}
	if offered, served := rq.ou.allKinds.Recent(time.Now()); offered >= 1 && rq.attempts == 1 && !rq.callerRetry {
		out.Header[result.ServedHeader] = []string{result.FormatProbability(min(1, served/offered))}
	}
	out.Header[result.RouteHeader] = []string{url.PathEscape(rq.route.Name)}
	if rq.serverCrashes > 0 {
		out.Header[result.CrashesHeader] = []string{strconv.Itoa(rq.serverCrashes)}
	}
	if share := rq.retryProbability(); share > 0 {
		out.Header[result.RepeatHeader] = []string{result.FormatProbability(share)}
	}
	if size := rq.rs.expectedSize(); pick.Large(size) {
		out.Header[result.SizeHeader] = []string{strconv.FormatInt(size, 10)}
		// largeResponses includes this request.
		others := int(rq.ou.largeResponses.Load()) - 1
		if rate := pacer.ReceiverRate(rq.ou.linkRate, others); rate > 0 {
			out.Header[result.RateHeader] = []string{strconv.Itoa(rate)}
		}
	}
	if rq.ou.token != "" {
		out.Header[result.TokenHeader] = []string{rq.ou.token}
	}
	if en := rq.ou.notices.Get(ep.VM); en != nil {
		out.Header[result.ServerHeader] = []string{en.Text}
	}
	rq.body.attach(out, rq.r)
	return out
}
