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
	WholeAnswer  Check = "whole-answer"  // an answer is that of its request, whole
	AtMostOnce   Check = "at-most-once"  // a request that may not be repeated runs once at most
	NotRunIsTrue Check = "not-run-true"  // a request refused as not run never runs
	NeverOlder   Check = "never-older"   // no VM holds an older version than before
	BadVersion   Check = "bad-version"   // no bad version of the software is complete
	Exposure     Check = "exposure"      // a bad version gets few requests
	ServedAgain  Check = "served-again"  // after the last fault requests are served
	InForce      Check = "in-force"      // the last version is held by all in the end
	NoOwnEnd     Check = "no-own-end"    // no process ends by itself
	GracefulStop Check = "graceful-stop" // a daemon that stops cuts off nothing that a server runs
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

// board collects results.
type board struct {
	mu      sync.Mutex
	results map[Check]*Result
}

func newBoard(checks ...Check) *board {
	bo := &board{results: map[Check]*Result{}}
	for _, ch := range checks {
		bo.results[ch] = &Result{Check: ch}
	}
	return bo
}

// add makes a check part of the run; without a case it fails then.
func (bo *board) add(ch Check) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if bo.results[ch] == nil {
		bo.results[ch] = &Result{Check: ch}
	}
}

// note counts a case of a check, which failed where failure is not empty.
func (bo *board) note(ch Check, failure string) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	re := bo.results[ch]
	if re == nil {
		return
	}
	re.Cases++
	if failure != "" && len(re.Failures) < maxFailures {
		re.Failures = append(re.Failures, failure)
	}
}

// list returns the results sorted by check. One without a case failed.
func (bo *board) list() []Result {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	var list []Result
	for _, re := range bo.results {
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

// run is what is known of one request.
type run struct {
	once   bool
	ran    int
	notRun bool
}

// ledger knows of each request how often it ran and what its caller was told.
type ledger struct {
	mu   sync.Mutex
	runs map[string]*run
	// target and all count the runs at servers of the new version and at all, from when
	// both are counted.
	counting    bool
	target, all int
}

func (le *ledger) of(id string) *run {
	if le.runs == nil {
		le.runs = map[string]*run{}
	}
	if le.runs[id] == nil {
		le.runs[id] = &run{}
	}
	return le.runs[id]
}

// hasRun reports whether a server began a request.
func (le *ledger) hasRun(id string) bool {
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.runs[id] != nil && le.runs[id].ran > 0
}

// ran notes that a server began a request.
func (le *ledger) ran(id string, target bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.of(id).ran++
	if !le.counting {
		return
	}
	le.all++
	if target {
		le.target++
	}
}

// told notes how a request ended for its caller.
func (le *ledger) told(id string, once, notRun bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	ru := le.of(id)
	ru.once, ru.notRun = once, notRun
}

// check makes the checks of all requests.
func (le *ledger) check(bo *board) {
	le.mu.Lock()
	defer le.mu.Unlock()
	for id, ru := range le.runs {
		if ru.once && ru.ran > 0 {
			failure := ""
			if ru.ran > 1 {
				failure = fmt.Sprintf("%s ran %d times", id, ru.ran)
			}
			bo.note(AtMostOnce, failure)
		}
		if ru.notRun {
			bo.add(NotRunIsTrue)
			failure := ""
			if ru.ran > 0 {
				failure = fmt.Sprintf("%s ran, and its caller was told that it had not", id)
			}
			bo.note(NotRunIsTrue, failure)
		}
	}
}
