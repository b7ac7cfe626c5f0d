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

// Outcome is how one attempt, or a request as a whole, ended. It alone decides whether the
// request may be sent again.
type Outcome int

// The outcomes.
const (
	// Answered means that the backend server's response was forwarded completely.
	Answered Outcome = iota + 1
	// NotRun means that no backend server has started to run the request.
	NotRun
	// MayHaveRun means that the request failed after a backend server may have started to run it.
	MayHaveRun
	// Ended means that the caller has disconnected or the deadline has passed.
	Ended
)

// String returns the outcome as OutcomeHeader carries it.
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

// Reason says why a request was not answered, in a form for scripts.
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
	ReasonMalformed        Reason = "malformed-answer"
	ReasonNoKey            Reason = "key-missing-or-unknown"
	ReasonOverLimit        Reason = "over-tenant-limit"
	ReasonServerLimit      Reason = "over-server-limit"
)

// Check is a check of an inlet's admission control.
type Check string

// The checks.
const (
	CheckQueueFull    Check = "queue-full"
	CheckExpectedWait Check = "expected-wait"
	CheckDeadline     Check = "deadline"
	CheckEvicted      Check = "evicted"
	CheckQueueTimeout Check = "queue-timeout"
)

// The headers of this system. All begin with Prefix, and all but TimeoutHeader are dropped from
// callers' requests.
const (
	Prefix = "Flamingomast-"
	// OutcomeHeader and ReasonHeader are set on every response that no backend server produced.
	OutcomeHeader = Prefix + "Outcome"
	ReasonHeader  = Prefix + "Reason"
	// TimeoutHeader is how many milliseconds the sender allows for the request. A caller may set
	// it; a backend server receives the remaining time and passes it on to the services that it
	// calls.
	TimeoutHeader = Prefix + "Timeout-Ms"
	// NotRunHeader on a 429 or 503 of a backend server says that it has not started to run the
	// request.
	NotRunHeader = Prefix + "Not-Run"
	// VMHeader and the three that follow are the target of a request from an outlet to an inlet.
	VMHeader      = Prefix + "Vm"
	ProcessHeader = Prefix + "Process"
	ServiceHeader = Prefix + "Service"
	ClassHeader   = Prefix + "Class"
	// UrgencyHeader ranks the request: its priority and, if a latency objective is declared, how
	// many milliseconds of it are left, separated by a slash. FinalSuffix is appended if the
	// caller cannot retry after a refusal.
	UrgencyHeader = Prefix + "Urgency"
	FinalSuffix   = "/final"
	// FloorHeader on a request says that its kind is below its floor (package floor), so that it goes
	// ahead of others.
	FloorHeader = Prefix + "Floor"
	// ServedHeader is the served share of all kinds, from 0 to 1: on a request that of its outlet, on an
	// inlet's refusal the average over the outlets that use it.
	ServedHeader = Prefix + "Served"
	// RouteHeader names the route.
	RouteHeader = Prefix + "Route"
	// SizeHeader is the expected size of the response in bytes, set if that is large.
	SizeHeader = Prefix + "Size"
	// SentHeader is the sender's process and its monotonic clock in milliseconds, separated by a
	// slash. The time in TimeoutHeader counts from then.
	SentHeader = Prefix + "Sent"
	// CrashesHeader is how many backend servers crashed while they ran the request: on a request
	// as known to its outlet, on a refusal as known to the inlet. It is omitted if none is known.
	CrashesHeader = Prefix + "Ends"
	// RepeatHeader is the probability, from 0 to 1, that the request has been sent to a backend
	// server before. It is omitted if it certainly has not.
	RepeatHeader = Prefix + "Repeat"
	// TenantHeader names the tenant of the request, if it has one.
	TenantHeader = Prefix + "Tenant"
	// TokenHeader carries the mesh token, which authenticates the outlet to the inlet.
	TokenHeader = Prefix + "Token"
	// RateHeader on a request is how many bytes per second of its response the sender can
	// receive, set if its link is narrow.
	RateHeader = Prefix + "Rate"
	// LoadHeader on an inlet's response has the numbers of running requests, waiting requests and
	// slots, followed by the times in Load.
	LoadHeader = Prefix + "Load"
	// ServerHeader has what the backend server behind an inlet has said about itself (package notice):
	// on an inlet's response as known to the inlet, on a request as known to its outlet.
	ServerHeader = Prefix + "Server"
	// SlotTimesHeader on an inlet's response has the milliseconds for which the request waited
	// for a slot and held it, separated by a slash.
	SlotTimesHeader = Prefix + "Spent"
)

// The headers in which a backend server says how many requests per second it takes from all callers
// together, and that it is leaving. Callers receive them as well.
const (
	ServerLimitHeader   = "Server-Limit"
	ServerLeavingHeader = "Server-Leaving"
)

// AuthScheme precedes the API key in the Authorization header.
const AuthScheme = "Token"

// HeaderNames are the names of the headers that callers and backend servers exchange with this
// system. An empty name means this system's own header, if there is one, or that the header is
// not used.
type HeaderNames struct {
	// Timeout is how many milliseconds the sender of a request waits.
	Timeout string
	// RequestID is the id that a caller gives each request and that a backend server echoes in
	// its response, so that a response to another request is recognized.
	RequestID string
	// Caller is set to the service of the VM on which the request originated.
	Caller string
	// Tenant is set to the tenant of the request, and removed if it has none.
	Tenant string
	// Instance is set to the lifetime of the intended backend server. Any other one answers 421
	// and does not run the request.
	Instance string
	// Stamp is set on every response that a backend server produces, so that bytes from another
	// source are not taken for its response.
	Stamp string
	// NotRun on a backend server's refusal says that it has not started to run the request.
	NotRun string
	// Lifetime is the header in which a backend server returns its lifetime on a readiness check,
	// Load the one in which it returns its running and waiting requests and its slots.
	Lifetime, Load string
	// Limit on a backend server's response is how many requests per second it takes from all callers
	// together, Leaving is 1 if it is to get no more requests.
	Limit, Leaving string
	// FractionalRetryAfter allows fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// WithDefaults returns the names, with this system's own for Timeout, NotRun, Tenant, Limit and
// Leaving if they are empty.
func (hn HeaderNames) WithDefaults() HeaderNames {
	if hn.Timeout == "" {
		hn.Timeout = TimeoutHeader
	}
	if hn.NotRun == "" {
		hn.NotRun = NotRunHeader
	}
	if hn.Tenant == "" {
		hn.Tenant = TenantHeader
	}
	if hn.Limit == "" {
		hn.Limit = ServerLimitHeader
	}
	if hn.Leaving == "" {
		hn.Leaving = ServerLeavingHeader
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
	// RetryAfter is when the caller should retry; zero for no advice.
	RetryAfter time.Duration
	Detail     string
	// Check is the check of the admission control that refused the request, for logs only.
	Check Check
	// Served is the value of ServedHeader, 0 if it is missing.
	Served float64
	// Cause is the error of the connection, for logs only; nil if none failed.
	Cause error
	// Crashes is how many backend servers crashed while they ran the request, if one did in this
	// attempt.
	Crashes int
}

// CauseAttr returns the cause for a log line, or an empty attribute without one.
func (rf *Refusal) CauseAttr() slog.Attr {
	if rf.Cause == nil {
		return slog.Attr{}
	}
	return slog.Any(logs.Error, rf.Cause)
}

// CheckAttr returns the check for a log line, or an empty attribute without one.
func (rf *Refusal) CheckAttr() slog.Attr {
	if rf.Check == "" {
		return slog.Attr{}
	}
	return slog.String(logs.Check, string(rf.Check))
}

// Overloaded reports whether the request was refused for lack of capacity, or its deadline passed
// before it ran.
func (rf *Refusal) Overloaded() bool {
	if rf.Outcome != NotRun {
		return false
	}
	return rf.Reason.NoCapacity() || rf.Reason == ReasonDeadlinePassed
}

// NoCapacity reports whether the reason is that a VM had no capacity for a request.
func (re Reason) NoCapacity() bool {
	return re == ReasonSlotsFull || re == ReasonDeadlineTooNear || re == ReasonLinkFull || re == ReasonSuspectRunning
}

// StatusFor returns the HTTP status for an outcome and reason.
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
	case ReasonNoKey:
		return http.StatusUnauthorized
	case ReasonOverLimit:
		return http.StatusTooManyRequests
	}
	switch {
	case re == ReasonDeadlinePassed && oc != NotRun:
		return http.StatusGatewayTimeout
	case oc == MayHaveRun:
		return http.StatusBadGateway
	}
	// This includes a deadline that passed or was too near before the request ran: 503 guarantees
	// that it did not run, so that the caller may send it again.
	return http.StatusServiceUnavailable
}

// Write sends the refusal to a caller as status, headers and a small JSON body. With fractions,
// Retry-After has millisecond precision.
func (rf *Refusal) Write(w http.ResponseWriter, fractions bool) {
	hdr := w.Header()
	hdr.Set(OutcomeHeader, rf.Outcome.String())
	hdr.Set(ReasonHeader, string(rf.Reason))
	hdr.Set("Content-Type", "application/json")
	hdr.Set("Cache-Control", "no-store")
	if rf.RetryAfter > 0 {
		hdr.Set("Retry-After", FormatRetryAfter(rf.RetryAfter, fractions))
	}
	if rf.Reason == ReasonNoKey {
		hdr.Set("WWW-Authenticate", AuthScheme)
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

// FormatRetryAfter formats a duration for Retry-After: in whole seconds, rounded up and at least
// 1, or, with fractions, in seconds with three decimals.
func FormatRetryAfter(d time.Duration, fractions bool) string {
	if fractions {
		return strconv.FormatFloat(max(0.001, d.Seconds()), 'f', 3, 64)
	}
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

// FromResponse reads the refusal of an inlet from its response. It returns nil for a response of
// a backend server.
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
	rf.Served = ParseProbability(res.Header.Get(ServedHeader))
	return rf
}

// ParseRetryAfter parses a Retry-After in seconds, with or without fractions. It returns 0 if
// that is missing, invalid or longer than maxRetryAfter.
func ParseRetryAfter(s string) time.Duration {
	sec, err := strconv.ParseFloat(s, 64)
	if err != nil || !(sec > 0) || sec > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(sec * float64(time.Second))
}

// maxRetryAfter is the longest Retry-After that is accepted.
const maxRetryAfter = time.Hour

// FormatProbability formats a probability from 0 to 1 for ParseProbability.
func FormatProbability(probability float64) string {
	return strconv.FormatFloat(probability, 'f', 2, 64)
}

// ParseProbability parses what FormatProbability returns. It returns 0 for invalid text.
func ParseProbability(s string) float64 {
	probability, err := strconv.ParseFloat(s, 64)
	if err != nil || !(probability >= 0 && probability <= 1) {
		return 0
	}
	return probability
}

// SlotTimes are the times of a request at an inlet.
type SlotTimes struct {
	// Wait is the time until the request got a slot, ServiceTime the time for which it held the
	// slot until the response was read.
	Wait, ServiceTime time.Duration
}

// String formats the times for ParseSlotTimes.
func (st SlotTimes) String() string {
	return strconv.FormatInt(st.Wait.Milliseconds(), 10) + "/" + strconv.FormatInt(st.ServiceTime.Milliseconds(), 10)
}

// ParseSlotTimes parses what String returns. It returns the zero value for invalid text.
func ParseSlotTimes(s string) SlotTimes {
	wait, held, _ := strings.Cut(s, "/")
	w, werr := strconv.ParseUint(wait, 10, 31)
	h, herr := strconv.ParseUint(held, 10, 31)
	if werr != nil || herr != nil {
		// An older release does not send the header.
		return SlotTimes{}
	}
	return SlotTimes{Wait: time.Duration(w) * time.Millisecond, ServiceTime: time.Duration(h) * time.Millisecond}
}

// Load is what an inlet reports about its backend server.
type Load struct {
	Running, Waiting, Slots int
	// ServiceTime is the mean time for which a slot is held, in whole milliseconds; 0 if unknown.
	ServiceTime time.Duration
	// Backlog is how long the VM's link needs to send the data that waits for it, in whole
	// milliseconds.
	Backlog time.Duration
	// Waits is how long a request of each rank would wait for a slot, in whole milliseconds.
	Waits [Ranks]time.Duration
}

// Ranks is the number of ranks of requests. The first is for requests whose callers cannot retry,
// the others are by priority.
const Ranks = 4

// Rank returns the rank of a request.
func Rank(priority int, final bool) int {
	if final {
		return 0
	}
	return min(max(0, priority)+1, Ranks-1)
}

// String formats the load for ParseLoad. Trailing times that are zero are omitted.
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

// ParseLoad parses what String returns. An older release omits the times.
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
