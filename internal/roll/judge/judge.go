package judge

import (
	"strconv"
	"time"

	"github.com/flamingomast/flamingomast/internal/roll/canary"
	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// Judge follows one rollout. It is made by New and is not safe for concurrent use.
type Judge struct {
	target   string
	duration time.Duration
	servers  map[serverKey]*server
	// latest are the counts of the last look.
	latest map[string]tally.Sum
	// withServiceTimes are the looks whose counts are kept, the starts of the windows.
	checkpointTimes []time.Duration
	// targetRequests is how many the target has run, all how many the service has since the
	// first look.
	targetRequests, totalRequests uint64
	// firstObserved and looked are when the first and the last look were.
	firstObserved, lastObserved time.Duration
	started                     bool
}

// serverKey identifies a backend server. Servers without a VM go by their place in the sum.
type serverKey struct {
	domain, software, vm string
}

// server is what is known of a backend server.
type server struct {
	target     bool
	lastCounts map[string]tally.Row
	routes     map[string]*series
}

// series has the counts of a server on one route: all of them, and those that it had at each
// of the judge's times.
type series struct {
	total       tally.Row
	checkpoints []tally.Row
}

// New returns a judge of a rollout.
func New(target string, duration time.Duration) *Judge {
	return &Judge{target: target, duration: duration, servers: map[serverKey]*server{}}
}

// Look takes what the servers of the service did by failure domain, some time after the
// order. Failure domains that are not heard are left out.
func (ju *Judge) Look(elapsed time.Duration, byDomain map[string]tally.Sum) {
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
	// takeoverAfter is from when on a first look is that of a judge that takes over.
	takeoverAfter = 2 * time.Second
	// maxHistoryRequests is how many requests of a server's history count to such a judge.
	maxHistoryRequests = 20
)

// update adds what a server counted since it was seen last. What servers of other versions did
// before that was at another load; a judge that takes over needs some of it, as there may be
// no time left for enough requests.
func (ju *Judge) update(key serverKey, routes map[string]*tally.Row, elapsed time.Duration) {
	sr := ju.servers[key]
	if sr == nil {
		sr = &server{target: key.software == ju.target, lastCounts: map[string]tally.Row{}, routes: map[string]*series{}}
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
			// A process was replaced, and its counts begin anew.
			continue
		}
		if sr.routes[name] == nil {
			sr.routes[name] = &series{checkpoints: make([]tally.Row, len(ju.checkpointTimes))}
		}
		sr.routes[name].total.Add(&delta)
		ju.totalRequests += delta.Requests
		if sr.target {
			ju.targetRequests += delta.Requests
		}
	}
}

// checkpointSpacing is the least ratio of the ages of two kept times that have one between them.
const checkpointSpacing = 2.0

// addCheckpoint keeps the counts of this look as the start of a window. Kept times get sparser with
// their age, so that there are a few more each time the elapsed time doubles.
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

// Decision is what is to be done now.
type Decision struct {
	State canary.State
	// Share is the part of the requests for servers of the target, Servers how many of
	// those take them.
	Share   float64
	Servers int
	// Against is the evidence against the target, and Cause what it comes from. Requests is
	// how many the target has run.
	Against  float64
	Cause    Cause
	Requests uint64
}

// countServers returns how many servers of the target and of others there are, and how many
// requests the others run.
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
