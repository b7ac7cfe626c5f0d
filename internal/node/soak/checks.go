package soak

import (
	"fmt"
	"slices"
	"sync"
)

// Check is a property that a run checks.
type Check string

// The checks.
const (
	IntactResponse     Check = "whole-answer"  // a response belongs to its request and is complete
	AtMostOnce         Check = "at-most-once"  // a request that must not be retried runs at most once
	NoFalseNotRun      Check = "not-run-true"  // a request that its caller was told has not run never runs
	MonotonicVersion   Check = "never-older"   // no daemon holds an older version than before
	BadVersionStopped  Check = "bad-version"   // the rollout of a bad version does not complete
	BadVersionExposure Check = "exposure"      // a bad version gets only a small share of the requests
	Recovery           Check = "served-again"  // every VM serves requests after the last fault
	Convergence        Check = "in-force"      // every daemon holds the last version at the end
	NoUnexpectedExit   Check = "no-own-end"    // no process exits unless a step ends it
	SettingsInForce    Check = "settings"      // a daemon that reloads its settings has them in force within a bounded time
	ServerLimit        Check = "server-limit"  // a server that names a rate limit gets no more requests than that
	GracefulStop       Check = "graceful-stop" // a daemon that stops interrupts no request that a server runs
)

// Result is the result of a check.
type Result struct {
	Check Check `json:"check"`
	// Cases is how often the property was checked; Failures describes the cases that failed.
	Cases    int      `json:"cases"`
	Failures []string `json:"failures,omitempty"`
}

// maxFailures bounds the failures that are kept for each check.
const maxFailures = 20

// resultSet collects the results of the checks of a run.
type resultSet struct {
	mu      sync.Mutex
	results map[Check]*Result
}

func newResultSet(checks ...Check) *resultSet {
	rs := &resultSet{results: map[Check]*Result{}}
	for _, ch := range checks {
		rs.results[ch] = &Result{Check: ch}
	}
	return rs
}

// require makes a check part of the run, which fails if no case of it is recorded.
func (rs *resultSet) require(ch Check) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.results[ch] == nil {
		rs.results[ch] = &Result{Check: ch}
	}
}

// record counts a case of a check if it is part of the run. The case failed if failure is not
// empty.
func (rs *resultSet) record(ch Check, failure string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	re := rs.results[ch]
	if re == nil {
		return
	}
	re.Cases++
	if failure != "" && len(re.Failures) < maxFailures {
		re.Failures = append(re.Failures, failure)
	}
}

// list returns the results sorted by check. A check without a case fails.
func (rs *resultSet) list() []Result {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var list []Result
	for _, re := range rs.results {
		next := *re
		if next.Cases == 0 {
			next.Failures = []string{"not exercised"}
		}
		list = append(list, next)
	}
	slices.SortFunc(list, func(a, b Result) int {
		if a.Check < b.Check {
			return -1
		}
		return 1
	})
	return list
}

// requestRecord is what is known of one request: whether it may run at most once, how often it
// ran, and whether its caller was told that it did not run.
type requestRecord struct {
	atMostOnce bool
	runs       int
	notRun     bool
}

// requestLog records how often each request ran and what its caller was told.
type requestLog struct {
	mu       sync.Mutex
	requests map[string]*requestRecord
	// targetRuns and allRuns count the runs on servers of the new version and on all servers
	// since the start of the rollout.
	rolloutStarted      bool
	targetRuns, allRuns int
}

func (rl *requestLog) entry(id string) *requestRecord {
	if rl.requests == nil {
		rl.requests = map[string]*requestRecord{}
	}
	if rl.requests[id] == nil {
		rl.requests[id] = &requestRecord{}
	}
	return rl.requests[id]
}

// hasRun reports whether a backend server began to run a request.
func (rl *requestLog) hasRun(id string) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.requests[id] != nil && rl.requests[id].runs > 0
}

// recordRun records that a backend server, of the new version if target is set, began to run a
// request.
func (rl *requestLog) recordRun(id string, target bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.entry(id).runs++
	if !rl.rolloutStarted {
		return
	}
	rl.allRuns++
	if target {
		rl.targetRuns++
	}
}

// recordOutcome records whether a request may run at most once, and whether its caller was told
// that it did not run.
func (rl *requestLog) recordOutcome(id string, atMostOnce, notRun bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rr := rl.entry(id)
	rr.atMostOnce, rr.notRun = atMostOnce, notRun
}

// check checks all requests for AtMostOnce and NoFalseNotRun.
func (rl *requestLog) check(rs *resultSet) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for id, rr := range rl.requests {
		if rr.atMostOnce && rr.runs > 0 {
			failure := ""
			if rr.runs > 1 {
				failure = fmt.Sprintf("%s ran %d times", id, rr.runs)
			}
			rs.record(AtMostOnce, failure)
		}
		if rr.notRun {
			rs.require(NoFalseNotRun)
			failure := ""
			if rr.runs > 0 {
				failure = fmt.Sprintf("%s ran although its caller was told that it had not", id)
			}
			rs.record(NoFalseNotRun, failure)
		}
	}
}
