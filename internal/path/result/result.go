package result

import (
	"encoding/json"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// Outcome is how one attempt, or a request as a whole, ended. Whether it may
// be sent again follows from it alone.
type Outcome int

// The outcomes.
const (
	// Answered means that the backend server's answer was passed on whole.
	Answered Outcome = iota + 1
	// NotRun means that no backend server has begun to run the request.
	NotRun
	// MayHaveRun means that it failed after a backend server may have begun.
	MayHaveRun
	// Ended means that the caller has gone or the deadline has passed.
	Ended
)

// String returns the outcome as the header Outcome bears it.
func (oc Outcome) String() string {
	switch oc {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ended:
		return "ended"
	}
	return "unknown"
}

// Reason says why a request was not answered, in a word for scripts.
type Reason string

// The reasons.
const (
	ReasonNoRoute          Reason = "no-route"
	ReasonNoConfig         Reason = "no-configuration"
	ReasonNoServer         Reason = "no-backend-server"
	ReasonWrongTarget      Reason = "wrong-target"
	ReasonSlotsFull        Reason = "slots-full"
	ReasonOutletFull       Reason = "outlet-full"
	ReasonDraining         Reason = "draining"
	ReasonDeadlineTooNear  Reason = "deadline-too-near"
	ReasonLinkFull         Reason = "link-full"
	ReasonDeadlinePassed   Reason = "deadline-passed"
	ReasonNoConnection     Reason = "no-connection"
	ReasonConnectionBroken Reason = "connection-broken"
	ReasonServerCrashed    Reason = "server-ended"
	ReasonPoison           Reason = "poison-request"
	ReasonSuspectRunning   Reason = "another-suspect-runs"
	ReasonShed             Reason = "shed-by-server"
	ReasonBadRequest       Reason = "bad-request"
	ReasonTooLarge         Reason = "too-large"
	ReasonSlowBody         Reason = "body-too-slow"
	ReasonBadToken         Reason = "token-missing-or-wrong"
	ReasonUpgrade          Reason = "upgrade-not-carried"
	ReasonCallerGone       Reason = "caller-gone"
	ReasonForeignResponse  Reason = "foreign-answer"
)

// The headers of this system. All begin with Prefix, and none but TimeoutHeader is
// taken from a caller.
const (
	Prefix = "Flamingomast-"
	// OutcomeHeader and ReasonHeader stand on each answer that no backend
	// server gave.
	OutcomeHeader = Prefix + "Outcome"
	ReasonHeader  = Prefix + "Reason"
	// TimeoutHeader is how many milliseconds the sender gives the request. A
	// caller may set it; a backend server receives what is left of it and
	// passes it on to the services that it calls.
	TimeoutHeader = Prefix + "Timeout-Ms"
	// NotRunHeader on a 429 or 503 of a backend server says that it has not
	// begun to run the request.
	NotRunHeader = Prefix + "Not-Run"
	// The target of a request from an outlet to an inlet.
	VMHeader      = Prefix + "Vm"
	ProcessHeader = Prefix + "Process"
	ServiceHeader = Prefix + "Service"
	ClassHeader   = Prefix + "Class"
	// UrgencyHeader ranks the request: its priority and, where an objective is
	// declared, how many milliseconds of it are left, joined by a slash. Final
	// ends it where the caller cannot come back after a refusal.
	UrgencyHeader = Prefix + "Urgency"
	FinalSuffix   = "/final"
	// RouteHeader names the route.
	RouteHeader = Prefix + "Route"
	// SizeHeader is how many bytes the answer is expected to have, where that is
	// large.
	SizeHeader = Prefix + "Size"
	// SentHeader is the sender's process and its steady clock in milliseconds,
	// joined by a slash: the time that TimeoutHeader gives counts from then.
	SentHeader = Prefix + "Sent"
	// CrashesHeader is how many backend servers ended while they ran the request: on a
	// request as far as its outlet knows, on a refusal as far as the inlet does. It is
	// left out where none is known.
	CrashesHeader = Prefix + "Ends"
	// RepeatHeader is how likely the request has been sent to a backend server before,
	// 0 to 1; it is left out where it certainly has not.
	RepeatHeader = Prefix + "Repeat"
	// TokenHeader bears the mesh token, the outlet's proof to the inlet.
	TokenHeader = Prefix + "Token"
	// RateHeader on a request is how many bytes a second of its answer the sender
	// can take, where its link is narrow.
	RateHeader = Prefix + "Rate"
	// LoadHeader on an inlet's answer gives running requests, waiting requests
	// and slots.
	LoadHeader = Prefix + "Load"
	// SlotTimesHeader on an inlet's answer gives for how many milliseconds the request
	// waited for a slot and held it, joined by a slash.
	SlotTimesHeader = Prefix + "Spent"
)

// HeaderNames are the headers in which callers and backend servers speak to this
// system. An empty one stands for this system's own name, where it has one, or
// for a matter that is not spoken of.
type HeaderNames struct {
	// Timeout is how many milliseconds the sender of a request waits.
	Timeout string
	// RequestID is the id that a caller gives each request and that a backend
	// server repeats on its answer. With it, an answer to another request is
	// told from the one that is due.
	RequestID string
	// Caller is set to the service of the VM on which the request began.
	Caller string
	// Instance is set to the lifetime of the backend server that is meant; any
	// other one answers 421 and does not run the request.
	Instance string
	// Stamp is on every answer that a backend server makes, so that bytes which
	// are no answer of it are told from one.
	Stamp string
	// NotRun on a backend server's refusal says that it has not begun to run
	// the request.
	NotRun string
	// Lifetime is the header in which a backend server names its lifetime when it is
	// asked whether it serves, Load the one in which it gives its running and waiting
	// requests and its slots.
	Lifetime, Load string
	// FractionalRetryAfter lets Retry-After bear fractions of a second.
	FractionalRetryAfter bool
}

// WithDefaults returns the names with this system's own for those that are empty.
func (hn HeaderNames) WithDefaults() HeaderNames {
	if hn.Timeout == "" {
		hn.Timeout = TimeoutHeader
	}
	if hn.NotRun == "" {
		hn.NotRun = NotRunHeader
	}
	return hn
}

// IsControl reports whether a canonical header name belongs to this system.
func IsControl(name string) bool { return strings.HasPrefix(name, Prefix) }

// Refusal describes a request that was not answered.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	Status  int
	// RetryAfter is when the caller should come back; zero for no advice.
	RetryAfter time.Duration
	Detail     string
	// Cause is the error of the connection, for logs alone; nil where none broke.
	Cause error
	// Crashes is how many backend servers ended while they ran the request, where one did
	// in this attempt.
	Crashes int
}

// CauseAttr returns the cause for a log line, nothing where there is none.
func (rf *Refusal) CauseAttr() slog.Attr {
	if rf.Cause == nil {
		return slog.Attr{}
	}
	return slog.Any(logs.Error, rf.Cause)
}

// Overloaded reports whether the request was refused for want of room.
func (rf *Refusal) Overloaded() bool {
	if rf.Outcome != NotRun {
		return false
	}
	return rf.Reason.NoCapacity() || rf.Reason == ReasonDeadlinePassed
}

// NoCapacity reports whether the reason is that a VM had no room for a request.
func (re Reason) NoCapacity() bool {
	return re == ReasonSlotsFull || re == ReasonDeadlineTooNear || re == ReasonLinkFull || re == ReasonSuspectRunning
}

// StatusFor returns the HTTP status of an outcome and reason.
func StatusFor(oc Outcome, re Reason) int {
	switch re {
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonBadRequest:
		return http.StatusBadRequest
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonSlowBody:
		return http.StatusRequestTimeout
	case ReasonUpgrade:
		return http.StatusNotImplemented
	case ReasonWrongTarget:
		return http.StatusMisdirectedRequest
	case ReasonBadToken:
		return http.StatusForbidden
	}
	switch {
	case re == ReasonDeadlinePassed && oc != NotRun:
		return http.StatusGatewayTimeout
	case oc == MayHaveRun:
		return http.StatusBadGateway
	}
	// Also for a deadline that passed or was too near before the request ran:
	// 503 promises that it has not, so that the caller may send it again.
	return http.StatusServiceUnavailable
}

// Write sends the refusal to a caller as status, headers and a small JSON body.
// With fractions, Retry-After is given to the millisecond.
func (rf *Refusal) Write(w http.ResponseWriter, fractions bool) {
	hdr := w.Header()
	hdr.Set(OutcomeHeader, rf.Outcome.String())
	hdr.Set(ReasonHeader, string(rf.Reason))
	hdr.Set("Content-Type", "application/json")
	hdr.Set("Cache-Control", "no-store")
	if rf.RetryAfter > 0 {
		hdr.Set("Retry-After", FormatRetryAfter(rf.RetryAfter, fractions))
	}
	if rf.Crashes > 0 {
		hdr.Set(CrashesHeader, strconv.Itoa(rf.Crashes))
	}
	status := rf.Status
	if status == 0 {
		status = StatusFor(rf.Outcome, rf.Reason)
	}
	body, err := json.Marshal(map[string]string{
		"outcome": rf.Outcome.String(), "reason": string(rf.Reason), "detail": rf.Detail,
	})
	if err != nil {
		body = nil
	}
	hdr.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// FormatRetryAfter returns a duration for Retry-After: in whole seconds, at least 1, or
// with fractions to the millisecond.
func FormatRetryAfter(d time.Duration, fractions bool) string {
	if fractions {
		return strconv.FormatFloat(max(0.001, d.Seconds()), 'f', 3, 64)
	}
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

// FromResponse reads the refusal of an inlet from its answer. It returns nil for
// an answer of a backend server.
func FromResponse(res *http.Response) *Refusal {
	oc := res.Header.Get(OutcomeHeader)
	if oc == "" {
		return nil
	}
	rf := &Refusal{Outcome: MayHaveRun, Reason: Reason(res.Header.Get(ReasonHeader)), Status: res.StatusCode}
	if oc == NotRun.String() {
		rf.Outcome = NotRun
	}
	rf.RetryAfter = ParseRetryAfter(res.Header.Get("Retry-After"))
	if n, err := strconv.ParseUint(res.Header.Get(CrashesHeader), 10, 16); err == nil {
		rf.Crashes = int(n)
	}
	return rf
}

// ParseRetryAfter reads a Retry-After in seconds, with or without fractions; 0
// for none that can be read.
func ParseRetryAfter(s string) time.Duration {
	sec, err := strconv.ParseFloat(s, 64)
	if err != nil || !(sec > 0) || sec > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(sec * float64(time.Second))
}

// maxRetryAfter is the longest Retry-After that is believed.
const maxRetryAfter = time.Hour

// FormatProbability returns the form of a share from 0 to 1 that ParseProbability reads.
func FormatProbability(share float64) string { return strconv.FormatFloat(share, 'f', 2, 64) }

// ParseProbability reads what Share returns; 0 for what cannot be read.
func ParseProbability(s string) float64 {
	share, err := strconv.ParseFloat(s, 64)
	if err != nil || !(share >= 0 && share <= 1) {
		return 0
	}
	return share
}

// SlotTimes is the time that a request spent at an inlet.
type SlotTimes struct {
	// Wait is for a slot, Held the time of the slot until the answer was read.
	Wait, ServiceTime time.Duration
}

// String returns the form that ParseSlotTimes reads.
func (st SlotTimes) String() string {
	return strconv.FormatInt(st.Wait.Milliseconds(), 10) + "/" + strconv.FormatInt(st.ServiceTime.Milliseconds(), 10)
}

// ParseSlotTimes reads what String returns; the zero value for what cannot be read.
func ParseSlotTimes(s string) SlotTimes {
	wait, held, _ := strings.Cut(s, "/")
	w, werr := strconv.ParseUint(wait, 10, 31)
	h, herr := strconv.ParseUint(held, 10, 31)
	if werr != nil || herr != nil {
		// An older release sends none.
		return SlotTimes{}
	}
	return SlotTimes{Wait: time.Duration(w) * time.Millisecond, ServiceTime: time.Duration(h) * time.Millisecond}
}

// Load is what an inlet says of its backend server.
type Load struct {
	Running, Waiting, Slots int
	// ServiceTime is the mean time for which a slot is held, in whole milliseconds;
	// 0 for not known.
	ServiceTime time.Duration
	// Backlog is how long the VM's link takes for what waits to be sent, in whole
	// milliseconds.
	Backlog time.Duration
	// Waits is how long a request of each rank would wait for a slot, in whole
	// milliseconds.
	Waits [Ranks]time.Duration
}

// Ranks is how many ranks of requests are told apart: those whose callers cannot come
// back, then by priority.
const Ranks = 4

// Rank returns the rank of a request.
func Rank(priority int, final bool) int {
	if final {
		return 0
	}
	return min(max(0, priority)+1, Ranks-1)
}

// String returns the form that ParseLoad reads.
func (ld Load) String() string {
	fields := [5 + Ranks]int64{
		int64(ld.Running), int64(ld.Waiting), int64(ld.Slots), ld.ServiceTime.Milliseconds(), ld.Backlog.Milliseconds(),
	}
	for i, wait := range ld.Waits {
		fields[5+i] = wait.Milliseconds()
	}
	last := len(fields)
	for last > 3 && fields[last-1] == 0 {
		last--
	}
	var buf [48]byte
	b := buf[:0]
	for i, v := range fields[:last] {
		if i > 0 {
			b = append(b, '/')
		}
		b = strconv.AppendInt(b, v, 10)
	}
	return string(b)
}

// ParseLoad reads what String returns. An older release leaves out the times.
func ParseLoad(s string) (ld Load, ok bool) {
	var fields [5 + Ranks]int
	n := 0
	for part := range strings.SplitSeq(s, "/") {
		v, err := strconv.ParseUint(part, 10, 24)
		if err != nil || n == len(fields) {
			return Load{}, false
		}
		fields[n] = int(v)
		n++
	}
	if n < 3 || n > 3 && fields[n-1] == 0 {
		return Load{}, false
	}
	ms := func(i int) time.Duration { return time.Duration(fields[i]) * time.Millisecond }
	ld = Load{Running: fields[0], Waiting: fields[1], Slots: fields[2], ServiceTime: ms(3), Backlog: ms(4)}
	for i := range ld.Waits {
		ld.Waits[i] = ms(5 + i)
	}
	return ld, true
}
