package inlet

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// failure returns the refusal for an attempt that got no complete response.
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
	case re == result.ReasonMalformed:
		rf.Detail = "the response of the backend server violates the protocol"
	}
	return rf
}

// checkShed returns a refusal if the backend server signals, by status and header, that it did not
// begin to run the request.
func (in *Inlet) checkShed(res *http.Response) *result.Refusal {
	refusing := res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
	switch {
	case in.Names.Instance != "" && res.StatusCode == http.StatusMisdirectedRequest:
		return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonWrongTarget}
	case !refusing || res.Header.Get(in.Names.WithDefaults().NotRun) == "":
		return nil
	}
	// Retry-After from the backend server is ignored: the gate never sends it more requests than it
	// has slots, so it was not full, and another server may be able to serve the request at once.
	return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonShed}
}

// checkForeign returns a refusal if the response belongs to another request or does not come from
// the backend server at all. A server that sends a surplus response late puts it where the next
// response is due: without the request ID that the server echoes, one caller would get another's
// response. An error response may lack the ID; a success may not.
func (in *Inlet) checkForeign(r *http.Request, res *http.Response) *result.Refusal {
	nm := &in.Names
	success := res.StatusCode < http.StatusMultipleChoices
	foreign := false
	if nm.RequestID != "" {
		got := res.Header.Get(nm.RequestID)
		foreign = got != r.Header.Get(nm.RequestID) && (success || got != "")
	}
	if nm.Stamp != "" && success && res.Header.Get(nm.Stamp) == "" {
		foreign = true
	}
	if !foreign {
		return nil
	}
	return &result.Refusal{Outcome: result.MayHaveRun, Reason: result.ReasonForeignResponse}
}

// logFailed logs a request whose response failed after its head had been forwarded.
func (in *Inlet) logFailed(r *http.Request, re result.Reason, err error) {
	in.Log.LogAttrs(context.Background(), slog.LevelWarn, logs.InletFailed, slog.String(logs.ID, in.callerRequestID(r)),
		slog.String(logs.Outcome, result.Ended.String()), slog.String(logs.Reason, string(re)), slog.Any(logs.Error, err))
}
