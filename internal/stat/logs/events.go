package logs

// The events that concern requests, and the fields of their lines.
const (
	// Request records the outcome of a request at the outlet that received it.
	Request = "request"
	// Attempt is an attempt at one backend server that did not yield an answer from it.
	Attempt = "attempt"
	// TenantRefused is a request that was refused for its API key or the limit of its tenant.
	TenantRefused = "tenant-refused"
	// TenantOutlets is that a process has settled how many outlets share the limits of tenants,
	// TenantCounting that it begins or ceases to count the requests of other daemons' outlets.
	TenantOutlets  = "tenant-outlets"
	TenantCounting = "tenant-counting"
	// InletRefused is a request that an inlet did not forward to its backend server, InletFailed
	// one that it forwarded and that was not answered, or not completely.
	InletRefused = "inlet-refused"
	InletFailed  = "inlet-failed"
	// SetDeadlineFailed is a failure to set the deadline of a caller's connection: the caller has
	// disconnected, or the connection does not support deadlines.
	SetDeadlineFailed = "caller-deadline-unset"
	// ResetFailed is a failure to reset a caller's connection: the caller has disconnected.
	ResetFailed = "caller-reset-failed"
	// ServerLimit is a backend server's rate limit that was named, changed or lifted, and
	// ServerNoticeInvalid a response header about it that cannot be used. ServerLeaving is a backend
	// server that says in a response that it is leaving.
	ServerLimit         = "backend-server-limit"
	ServerNoticeInvalid = "backend-server-notice-invalid"
	ServerLeaving       = "backend-server-leaving"
	// ServerCrashed is the crash of a backend server: its process ended while it ran requests.
	ServerCrashed = "backend-server-ended"
	// RunningAtCrash is a request that a backend server was running when it crashed.
	RunningAtCrash = "ended-under"
	// KindStarved is a kind of request of which much less is served than of all at an outlet,
	// KindRecovered its recovery.
	KindStarved   = "kind-below-floor"
	KindRecovered = "kind-above-floor"
	// PoisonFound is a request that is no longer sent because it is a poison request: backend
	// servers crash when they run it. PoisonCleared is one that has since been answered.
	PoisonFound   = "poison-found"
	PoisonCleared = "poison-cleared"
	// PoisonTrial is a request that an outlet sent to one server only, to learn whether it is a poison
	// request.
	PoisonTrial = "poison-trial"
	// PoisonRefused is a request that an outlet did not send because it is a poison request.
	PoisonRefused = "poison-refused"

	// Usage reports the resource usage of a daemon since its start. StoreCalls groups its calls to
	// the platform's store and StoreBytesRead the bytes that they returned, both by purpose.
	// LinkBytes groups the bytes sent on its links by kind.
	Usage          = "usage"
	StoreCalls     = "calls"
	StoreBytesRead = "read"
	LinkBytes      = "links"
	// SlotTime groups the milliseconds for which slots of the backend server were held, by route and by
	// whether the request was answered.
	SlotTime = "slot-ms"

	// ID is the ID that the caller gave to a request.
	ID = "id"
	// RequestKey is the key that package ident computes for a request. It is the same for each
	// attempt of its caller, and for other callers that send an equal request.
	RequestKey = "request-key"
	// Crashes is the number of backend servers known to have crashed while running a request.
	Crashes = "ends"
	// Version is the version of the configuration that a request was routed by.
	Version = "version"
	// Outcome and Reason are those of package result.
	Outcome = "outcome"
	Reason  = "reason"
	// Check is the check of an inlet's admission control that refused a request.
	Check = "check"
	// Floor is true for a request that went ahead of others because its kind was below its floor. It is
	// not set for others.
	Floor = "floor"
	// TargetVM is the VM that a request was sent to, Lifetime the lifetime of its backend server.
	TargetVM = "to-vm"
	// Tenant is the tenant of a request. It is not set if the request has none.
	Tenant = "tenant"
	// TenantRate and TenantBurst are the limit of a tenant over all outlets, TenantShare the part of
	// its requests that the outlet admits. DirectiveAge is the age of the directive that says so in
	// nanoseconds, negative if there was none. RetryAfter is when the caller was asked to retry.
	TenantRate   = "limit-rate"
	TenantBurst  = "limit-burst"
	TenantShare  = "admit"
	DirectiveAge = "directive-age"
	RetryAfter   = "retry-after"
	// TenantRank is the rank of a request among those of its tenant, 0 being the most urgent, and
	// RankShare the part of the tenant's requests of that rank that the outlet admits.
	TenantRank = "rank"
	RankShare  = "rank-admit"
	// ServerRate is the rate limit of a backend server in requests per second, negative if there is
	// none, and PreviousRate is the one before.
	ServerRate   = "rate"
	PreviousRate = "previous-rate"
	// Source is where a daemon learned something from.
	Source = "source"
	// Service is the service that a line concerns.
	Service = "service"
	// Software is the software version of the backend server. It is set only for services with a
	// rollout in progress.
	Software = "software"
	Lifetime = "lifetime"
	// Took is the time from the arrival of a request to its end, in nanoseconds.
	Took = "took"
	// Queued is the time from the reading of a request to the start of its handling at the outlet,
	// Limit the timeout counted from that reading, in nanoseconds.
	Queued = "queued"
	Limit  = "limit"
	// Error is the error that ended the last attempt at a request.
	Error = "error"
	// Objective is the declared target latency in nanoseconds, 0 if there is none.
	Objective = "objective"
	// Elapsed is the time that the caller had spent on a request before it arrived, in
	// nanoseconds.
	Elapsed = "elapsed"
	// Wait is the time that a request waited for a slot, ServiceTime the time from then until its
	// response had been read, in nanoseconds, as reported by the inlet.
	Wait        = "wait"
	ServiceTime = "held"
	// Load is, on lines of an inlet, a result.Load as text: running requests, waiting requests,
	// slots and times in milliseconds, joined by slashes. On lines of an outlet it is the number of
	// requests assumed at the server, and LoadAge is the age of that number in nanoseconds.
	Load    = "load"
	LoadAge = "load-age"
)
