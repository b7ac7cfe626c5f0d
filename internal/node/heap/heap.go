package heap

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// MinPercent is the growth in percent that a daemon starts with, well below the runtime's
	// own: a calm daemon collects seldom, and its memory is dear.
	MinPercent = 25
	// maxPercent bounds the growth of a pressed daemon.
	maxPercent = 100
	// targetInterval is the time that should be between two collections of a pressed daemon. A
	// collection keeps a VM with a small part of a core from its requests for a tenth of
	// a second.
	targetInterval = 15 * time.Second
	// highUtilization and calm are the parts of its processor time that a daemon uses, above
	// which memory is spent to save it, and below which that is given back. At a
	// quarter a request waits a third longer than it takes.
	highUtilization = 0.25
	lowUtilization  = 0.12
	// quietInterval is the time without a collection after which memory is given back.
	quietInterval = 60 * time.Second
	// pollInterval is the time between two looks at the runtime.
	pollInterval = time.Second
)

// NextPercent returns by how much the heap may grow, in percent, after collections that came
// apart by interval at the growth of percent, while the daemon used a part of its
// processor time.
func NextPercent(percent int, interval time.Duration, utilization float64) int {
	if utilization < lowUtilization || interval > quietInterval {
		return max(percent/2, MinPercent)
	}
	for utilization > highUtilization && percent < maxPercent && interval < targetInterval {
		percent, interval = 2*percent, 2*interval
	}
	return percent
}

// Stats is what the runtime tells of a process since its start.
type Stats struct {
	// Collections counts those that the runtime began by itself.
	Collections uint64
	// Idle and Total are processor time in seconds, as of the last collection. Time in
	// which a process that has something to run is kept from it counts as used.
	Idle, Total float64
}

// Tuner follows the collections of a process. The zero value is ready for use.
type Tuner struct {
	percent int
	// last is what was seen at the last collection, at collected; eased is when the
	// growth was last lowered for want of one.
	last                        Stats
	lastCollection, lastLowered time.Time
	// lowered is set until the collection that a lower growth itself brings about.
	lowered bool
}

// Observe takes what the runtime tells now and returns the growth in percent, and whether
// it has changed.
func (tu *Tuner) Observe(st Stats, now time.Time) (percent int, changed bool) {
	old := tu.percent
	switch {
	case tu.lastCollection.IsZero():
		tu.percent, tu.last, tu.lastCollection = MinPercent, st, now
	case st.Collections != tu.last.Collections:
		interval := now.Sub(tu.lastCollection) / time.Duration(st.Collections-tu.last.Collections)
		if !tu.lowered {
			tu.percent = NextPercent(old, interval, tu.last.utilization(st))
		}
		tu.last, tu.lastCollection, tu.lowered = st, now, tu.percent < old
	case now.Sub(tu.lastCollection) > quietInterval && now.Sub(tu.lastLowered) > quietInterval:
		tu.percent, tu.lastLowered = max(old/2, MinPercent), now
		tu.lowered = tu.lowered || tu.percent < old
	}
	return tu.percent, tu.percent != old
}

// utilization returns the part of the processor time that was used between two looks.
func (st *Stats) utilization(next Stats) float64 {
	if total := next.Total - st.Total; total > 0 {
		return 1 - (next.Idle-st.Idle)/total
	}
	return 0
}

// Run sets the growth of this process's heap until ctx ends.
func Run(ctx context.Context) {
	var tu Tuner
	samples := []metrics.Sample{
		{Name: "/gc/cycles/automatic:gc-cycles"}, {Name: "/cpu/classes/idle:cpu-seconds"}, {Name: "/cpu/classes/total:cpu-seconds"},
	}
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		metrics.Read(samples)
		st := Stats{Collections: samples[0].Value.Uint64(), Idle: samples[1].Value.Float64(), Total: samples[2].Value.Float64()}
		if percent, changed := tu.Observe(st, time.Now()); changed {
			debug.SetGCPercent(percent)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
