package heap

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// MinPercent is the GC percentage that a daemon starts with, well below the runtime's default:
	// an idle daemon collects seldom, and memory is its scarce resource.
	MinPercent = 25
	// maxPercent bounds the GC percentage of a busy daemon.
	maxPercent = 100
	// targetInterval is the time that should pass between two collections in a busy daemon. On
	// a VM with a small share of a core, a collection delays requests by a tenth of a second.
	targetInterval = 15 * time.Second
	// highUtilization and lowUtilization are fractions of the CPU time. Above the first,
	// memory is spent to save CPU time; below the second, it is given back. At a utilization
	// of a quarter, a request takes a third longer because of waiting.
	highUtilization = 0.25
	lowUtilization  = 0.12
	// quietInterval is the time without a collection after which memory is given back.
	quietInterval = 60 * time.Second
	// pollInterval is the time between two readings of the runtime's metrics.
	pollInterval = time.Second
)

// NextPercent returns the next GC percentage, given the present one, the interval between
// collections under it, and the fraction of its CPU time that the daemon used.
func NextPercent(percent int, interval time.Duration, utilization float64) int {
	if utilization < lowUtilization || interval > quietInterval {
		return max(percent/2, MinPercent)
	}
	for utilization > highUtilization && percent < maxPercent && interval < targetInterval {
		percent, interval = 2*percent, 2*interval
	}
	return percent
}

// Stats are the runtime's metrics of a process since its start.
type Stats struct {
	// Collections counts those that the runtime started by itself.
	Collections uint64
	// Idle and Total are CPU time in seconds, as of the last collection. Time in which a
	// runnable process waits for a processor counts as used.
	Idle, Total float64
}

// Tuner adjusts the GC percentage of a process. The zero value is ready for use.
type Tuner struct {
	percent int
	// last is what was observed at the last collection, at lastCollection. lastLowered is when the
	// percentage was last lowered for lack of a collection.
	last                        Stats
	lastCollection, lastLowered time.Time
	// lowered is set until the collection that a lower percentage itself causes.
	lowered bool
}

// Observe handles a reading of the metrics, and returns the GC percentage and whether it has
// changed.
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

// utilization returns the fraction of the CPU time that was used between two readings.
func (st *Stats) utilization(next Stats) float64 {
	if total := next.Total - st.Total; total > 0 {
		return 1 - (next.Idle-st.Idle)/total
	}
	return 0
}

// Run adjusts the GC percentage of this process until ctx ends.
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
