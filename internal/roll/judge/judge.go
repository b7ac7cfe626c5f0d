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
	// sums are the counts of the last look.
	sums map[string]tally.Cohorts
	// times are the looks whose counts are kept, the starts of the windows.
	times []time.Duration
	// requests is how many the target has run, all how many the service has since the
	// first look.
	requests, all uint64
	// first and looked are when the first and the last look were.
	first, looked time.Duration
	began         bool
}

// serverKey identifies a backend server. Servers without a VM go by their place in the sum.
type serverKey struct {
	domain, software, vm string
}

// server is what is known of a backend server.
type server struct {
	target bool
	seen   map[string]tally.Counts
	routes map[string]*series
}

// series has the counts of a server on one route: all of them, and those that it had at each
// of the judge's times.
type series struct {
	total tally.Counts
	marks []tally.Counts
}

// New returns a judge of a rollout.
func New(target string, duration time.Duration) *Judge {
	return &Judge{target: target, duration: duration, servers: map[serverKey]*server{}}
}

// Observe takes what the servers of the service did by failure domain, some time after the
// order. Failure domains that are not heard are left out.
func (ju *Judge) Observe(elapsed time.Duration, sums map[string]tally.Cohorts) {
	for domain, sum := range sums {
		for software, list := range sum {
			for i, ch := range list {
				vm := ch.VM
				if vm == "" {
					vm = "#" + strconv.Itoa(i)
				}
				ju.update(serverKey{domain, software, vm}, ch.Routes, elapsed)
			}
		}
	}
	if !ju.began {
		ju.first = elapsed
	}
	ju.sums, ju.looked, ju.began = sums, elapsed, true
	ju.mark(elapsed)
}

const (
	// lateLook is from when on a first look is that of a judge that takes over.
	lateLook = 2 * time.Second
	// historyWeight is how many requests of a server's history count to such a judge.
	historyWeight = 20
)

// update adds what a server counted since it was seen last. What servers of other versions did
// before that was at another load; a judge that takes over needs some of it, as there may be
// no time left for enough requests.
func (ju *Judge) update(key serverKey, routes map[string]*tally.Counts, elapsed time.Duration) {
	sr := ju.servers[key]
	if sr == nil {
		sr = &server{target: key.software == ju.target, seen: map[string]tally.Counts{}, routes: map[string]*series{}}
		ju.servers[key] = sr
		for name, ro := range routes {
			if sr.target {
				break
			}
			sr.seen[name] = *ro
			if !ju.began && elapsed >= lateLook {
				sr.routes[name] = &series{total: ro.Scaled(historyWeight)}
			}
		}
	}
	for name, ro := range routes {
		before := sr.seen[name]
		sr.seen[name] = *ro
		next, ok := ro.Since(&before)
		if !ok {
			// A process was replaced, and its counts begin anew.
			continue
		}
		if sr.routes[name] == nil {
			sr.routes[name] = &series{marks: make([]tally.Counts, len(ju.times))}
		}
		sr.routes[name].total.Add(&next)
		ju.all += next.Requests
		if sr.target {
			ju.requests += next.Requests
		}
	}
}

// markSpacing is the least ratio of the ages of two kept times that have one between them.
const markSpacing = 2.0

// mark keeps the counts of this look as the start of a window. Kept times get sparser with
// their age, so that there are a few more each time the elapsed time doubles.
func (ju *Judge) mark(elapsed time.Duration) {
	ju.times = append(ju.times, elapsed)
	for _, sr := range ju.servers {
		for _, se := range sr.routes {
			se.marks = append(se.marks, se.total)
		}
	}
	for i := len(ju.times) - 3; i >= 0; i-- {
		if float64(elapsed-ju.times[i]) > markSpacing*float64(elapsed-ju.times[i+2]) {
			continue
		}
		ju.times = append(ju.times[:i+1], ju.times[i+2:]...)
		for _, sr := range ju.servers {
			for _, se := range sr.routes {
				se.marks = append(se.marks[:i+1], se.marks[i+2:]...)
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
	// Evidence is the evidence against the target, and Cause what it comes from. Requests is
	// how many the target has run.
	Evidence float64
	Cause    Cause
	Requests uint64
}

// count returns how many servers of the target and of others there are, and how many
// requests the others run.
func (ju *Judge) count() (targets, others, running int) {
	for _, sum := range ju.sums {
		for software, list := range sum {
			for _, ch := range list {
				if software == ju.target {
					targets += ch.Servers
					continue
				}
				others += ch.Servers
				running += ch.Running
			}
		}
	}
	return targets, others, running
}
