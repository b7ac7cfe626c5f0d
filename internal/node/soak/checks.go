package soak

import (
	"fmt"
	"slices"
	"sync"
)

// Check is a promise that is checked while the soak runs.
type Check string

// The checks.
const (
	IntactResponse     Check = "whole-answer"  // an answer is that of its request, whole
	AtMostOnce         Check = "at-most-once"  // a request that may not be repeated runs once at most
	NoFalseNotRun      Check = "not-run-true"  // a request refused as not run never runs
	MonotonicVersion   Check = "never-older"   // no VM holds an older version than before
	BadVersionStopped  Check = "bad-version"   // no bad version of the software is complete
	BadVersionExposure Check = "exposure"      // a bad version gets few requests
	Recovery           Check = "served-again"  // after the last fault requests are served
	Convergence        Check = "in-force"      // the last version is held by all in the end
	NoUnexpectedExit   Check = "no-own-end"    // no process ends by itself
	GracefulStop       Check = "graceful-stop" // a daemon that stops cuts off nothing that a server runs
)

// Result is what became of a check.
type Result struct {
	Check Check `json:"check"`
	// Cases is how often it was made, Failures what failed.
	Cases    int      `json:"cases"`
	Failures []string `json:"failures,omitempty"`
}

// maxFailures bounds the failures that are kept of a check.
const maxFailures = 20

// resultSet collects results.
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

// require makes a check part of the run; without a case it fails then.
func (rs *resultSet) require(ch Check) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.results[ch] == nil {
		rs.results[ch] = &Result{Check: ch}
	}
}

// record counts a case of a check, which failed where failure is not empty.
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

// list returns the results sorted by check. One without a case failed.
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

// requestRecord is what is known of one request.
type requestRecord struct {
	atMostOnce bool
	runs       int
	notRun     bool
}

// requestLog knows of each request how often it ran and what its caller was told.
type requestLog struct {
	mu       sync.Mutex
	requests map[string]*requestRecord
	// target and all count the runs at servers of the new version and at all, from when
	// both are counted.
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

// hasRun reports whether a server began a request.
func (rl *requestLog) hasRun(id string) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.requests[id] != nil && rl.requests[id].runs > 0
}

// recordRun notes that a server began a request.
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

// recordOutcome notes how a request ended for its caller.
func (rl *requestLog) recordOutcome(id string, atMostOnce, notRun bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rr := rl.entry(id)
	rr.atMostOnce, rr.notRun = atMostOnce, notRun
}

// check makes the checks of all requests.
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
				failure = fmt.Sprintf("%s ran, and its caller was told that it had not", id)
			}
			rs.record(NoFalseNotRun, failure)
		}
	}
}
