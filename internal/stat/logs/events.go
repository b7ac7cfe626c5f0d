package logs

// The events that touch a request, and the fields of their lines.
const (
	// Request is the end of a request at the outlet that took it.
	Request = "request"
	// Attempt is a try at one backend server that did not end in an answer.
	Attempt = "attempt"
	// InletRefused is a request that an inlet did not hand over, Failed one that it
	// handed over and that was not answered.
	InletRefused = "inlet-refused"
	InletFailed  = "inlet-failed"
	// SetDeadlineFailed is a deadline of a caller's connection that could not be set: the
	// caller has gone, or its connection knows none.
	SetDeadlineFailed = "caller-deadline-unset"
	// ServerCrashed is the end of a backend server that was running requests.
	ServerCrashed = "backend-server-ended"
	// RunningAtCrash is a request that a backend server was running when it ended.
	RunningAtCrash = "ended-under"
	// PoisonFound is a request that is not run any more, as servers end under it;
	// PoisonCleared is one that was answered since.
	PoisonFound   = "poison-found"
	PoisonCleared = "poison-cleared"
	// PoisonRefused is a request that an outlet did not send for that.
	PoisonRefused = "poison-refused"

	// Usage is what a daemon has taken and sent since its start; Calls groups its calls
	// to the platform's store by purpose, Read the bytes that came back, Links what its
	// links have sent by kind.
	Usage          = "usage"
	StoreCalls     = "calls"
	StoreBytesRead = "read"
	LinkBytes      = "links"

	// ID is the caller's id of a request.
	ID = "id"
	// RequestKey is what package ident names a request by: the same for each try of its caller,
	// and for another caller that asks for the same.
	RequestKey = "request-key"
	// Crashes is how many backend servers are known to have ended under a request.
	Crashes = "ends"
	// Version is the configuration that a request was routed by.
	Version = "version"
	// Outcome and Reason are those of package result.
	Outcome = "outcome"
	Reason  = "reason"
	// TargetVM is the one that a request was sent to, Lifetime its backend server.
	TargetVM = "to-vm"
	// Service is the one that a line is about.
	Service = "service"
	// Software is the version of its software, on the lines of services that are being
	// rolled out.
	Software = "software"
	Lifetime = "lifetime"
	// Took is the time from the arrival to the end, in nanoseconds.
	Took = "took"
	// Queued is how long a request had been read when the outlet began to handle it,
	// Limit how long after that reading it is given up on, in nanoseconds.
	Queued = "queued"
	Limit  = "limit"
	// Error is what broke the last attempt at a request.
	Error = "error"
	// Objective is the time within which the answer has its full worth, in
	// nanoseconds, 0 where none is declared.
	Objective = "objective"
	// Elapsed is how long the caller had been at a request before it came.
	Elapsed = "elapsed"
	// Wait is how long a request waited for a slot, Held for how long it held it
	// until its answer had been read, in nanoseconds, as its inlet says.
	Wait        = "wait"
	ServiceTime = "held"
	// Load is running, waiting, slots and the mean time in ms that a slot is
	// held, joined by slashes; LoadAge is its age in milliseconds.
	Load    = "load"
	LoadAge = "load-age"
)
