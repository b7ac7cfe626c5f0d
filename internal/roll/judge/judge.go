package judge

import (
	"strconv"
	"time"

	"github.com/flamingomast/flamingomast/internal/roll/canary"
	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// Judge collects the counts of one rollout and weighs the evidence against its target. It is made
// by New and is not safe for concurrent use.
type Judge struct {
	target   string
	duration time.Duration
	servers  map[serverKey]*server
	// latest are the counts of the last observation.
	latest map[string]tally.Cohorts
	// checkpointTimes are the observations whose counts are kept; windows start at them.
	checkpointTimes []time.Duration
	// targetRequests is how many requests the target has served, totalRequests how many all servers
	// of the service have served since the first observation.
	targetRequests, totalRequests uint64
	// firstObserved and lastObserved are the times of the first and the last observation.
	firstObserved, lastObserved time.Duration
	started                     bool
}

// serverKey identifies a backend server. Servers without a VM are identified by their index in the
// list of their version.
type serverKey struct {
	domain, software, vm string
}

// server has the counts of one backend server.
type server struct {
	target     bool
	lastCounts map[string]tally.Counts
	routes     map[string]*series
}

// series has the counts of a server on one route: the total, and the total at each of the judge's
// checkpoints.
type series struct {
	total       tally.Counts
	checkpoints []tally.Counts
}

// New returns a Judge of a rollout to the target version, which has to end within duration.
func New(target string, duration time.Duration) *Judge {
	return &Judge{target: target, duration: duration, servers: map[serverKey]*server{}}
}

// Observe takes the counts of the service's servers by failure domain, at a time after the rollout
// order. Failure domains from which no counts arrive are left out.
func (ju *Judge) Observe(elapsed time.Duration, byDomain map[string]tally.Cohorts) {
	for domain, cohorts := range byDomain {
		for software, versionCohorts := range cohorts {
			for i, ch := range versionCohorts {
				vm := ch.VM
				if vm == "" {
					vm = "#" + strconv.Itoa(i)
				}
				ju.update(serverKey{domain, software, vm}, ch.Routes, elapsed)
			}
		}
	}
	if !ju.started {
		ju.firstObserved = elapsed
	}
	ju.latest, ju.lastObserved, ju.started = byDomain, elapsed, true
	ju.addCheckpoint(elapsed)
}

const (
	// takeoverAfter is the time of a first observation from which on the judge is taken to have
	// replaced another one in the middle of the rollout.
	takeoverAfter = 2 * time.Second
	// maxHistoryRequests is how many requests from before the first observation count, for each
	// baseline server and route, after such a takeover.
	maxHistoryRequests = 20
)

// update adds what a server has counted since the previous observation. What a baseline server had
// counted when it was first observed was served under a different load and is left out. A judge that
// takes over counts some of it, as there may not be time left for enough requests.
func (ju *Judge) update(key serverKey, routes map[string]*tally.Counts, elapsed time.Duration) {
	sr := ju.servers[key]
	if sr == nil {
		sr = &server{target: key.software == ju.target, lastCounts: map[string]tally.Counts{}, routes: map[string]*series{}}
		ju.servers[key] = sr
		for name, counts := range routes {
			if sr.target {
				break
			}
			sr.lastCounts[name] = *counts
			if !ju.started && elapsed >= takeoverAfter {
				sr.routes[name] = &series{total: counts.ScaledTo(maxHistoryRequests)}
			}
		}
	}
	for name, counts := range routes {
		previous := sr.lastCounts[name]
		sr.lastCounts[name] = *counts
		delta, ok := counts.Since(&previous)
		if !ok {
			// The process was replaced and its counts start again at zero.
			continue
		}
		if sr.routes[name] == nil {
			sr.routes[name] = &series{checkpoints: make([]tally.Counts, len(ju.checkpointTimes))}
		}
		sr.routes[name].total.Add(&delta)
		ju.totalRequests += delta.Requests
		if sr.target {
			ju.targetRequests += delta.Requests
		}
	}
}

// checkpointSpacing is how many times as old as the checkpoint after next a checkpoint may be for
// the one between them to be dropped.
const checkpointSpacing = 2.0

// addCheckpoint keeps the counts of this observation as the start of a window. Checkpoints get
// sparser with their age: each doubling of the elapsed time adds only a few.
func (ju *Judge) addCheckpoint(elapsed time.Duration) {
	ju.checkpointTimes = append(ju.checkpointTimes, elapsed)
	for _, sr := range ju.servers {
		for _, se := range sr.routes {
			se.checkpoints = append(se.checkpoints, se.total)
		}
	}
	for i := len(ju.checkpointTimes) - 3; i >= 0; i-- {
		if float64(elapsed-ju.checkpointTimes[i]) > checkpointSpacing*float64(elapsed-ju.checkpointTimes[i+2]) {
			continue
		}
		ju.checkpointTimes = append(ju.checkpointTimes[:i+1], ju.checkpointTimes[i+2:]...)
		for _, sr := range ju.servers {
			for _, se := range sr.routes {
				se.checkpoints = append(se.checkpoints[:i+1], se.checkpoints[i+2:]...)
			}
		}
	}
}

// Decision is the outcome of one step of the ramp.
type Decision struct {
	State canary.State
	// Share is the share of the requests that goes to the target, Servers the number of target
	// servers that take them.
	Share   float64
	Servers int
	// Evidence is the strongest evidence against the target, a log Bayes factor less the penalties
	// for its window and route, and Cause where it comes from. Requests is how many requests the
	// target has served.
	Evidence float64
	Cause    Cause
	Requests uint64
}

// countServers returns the number of servers of the target and of the baseline, and the number of
// requests that the baseline is running.
func (ju *Judge) countServers() (targets, baseline, running int) {
	for _, cohorts := range ju.latest {
		for software, versionCohorts := range cohorts {
			for _, ch := range versionCohorts {
				if software == ju.target {
					targets += ch.Servers
					continue
				}
				baseline += ch.Servers
				running += ch.Running
			}
		}
	}
	return targets, baseline, running
}
