package heap

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// Least is the growth in percent that a daemon starts with, well below the runtime's
	// own: a calm daemon collects seldom, and its memory is dear.
	Least = 25
	// most bounds the growth of a pressed daemon.
	most = 100
	// often is the time that should be between two collections of a pressed daemon. A
	// collection keeps a VM with a small part of a core from its requests for a tenth of
	// a second.
	often = 15 * time.Second
	// pressed and calm are the parts of its processor time that a daemon uses, above
	// which memory is spent to save it, and below which that is given back. At a
	// quarter a request waits a third longer than it takes.
	pressed = 0.25
	calm    = 0.12
	// seldom is the time without a collection after which memory is given back.
	seldom = 60 * time.Second
	// lookEvery is the time between two looks at the runtime.
	lookEvery = time.Second
)

// Next returns by how much the heap may grow, in percent, after collections that came
// apart by interval at the growth of percent, while the daemon used a part of its
// processor time.
func Next(percent int, interval time.Duration, busy float64) int {
	if busy < calm || interval > seldom {
		return max(percent/2, Least)
	}
	for busy > pressed && percent < most && interval < often {
		percent, interval = 2*percent, 2*interval
	}
	return percent
}

// Seen is what the runtime tells of a process since its start.
type Seen struct {
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
	last             Seen
	collected, eased time.Time
	// lowered is set until the collection that a lower growth itself brings about.
	lowered bool
}

// Look takes what the runtime tells now and returns the growth in percent, and whether
// it has changed.
func (tu *Tuner) Look(se Seen, now time.Time) (percent int, changed bool) {
	old := tu.percent
	switch {
	case tu.collected.IsZero():
		tu.percent, tu.last, tu.collected = Least, se, now
	case se.Collections != tu.last.Collections:
		interval := now.Sub(tu.collected) / time.Duration(se.Collections-tu.last.Collections)
		if !tu.lowered {
			tu.percent = Next(old, interval, tu.last.busy(se))
		}
		tu.last, tu.collected, tu.lowered = se, now, tu.percent < old
	case now.Sub(tu.collected) > seldom && now.Sub(tu.eased) > seldom:
		tu.percent, tu.eased = max(old/2, Least), now
		tu.lowered = tu.lowered || tu.percent < old
	}
	return tu.percent, tu.percent != old
}

// busy returns the part of the processor time that was used between two looks.
func (se *Seen) busy(next Seen) float64 {
	if total := next.Total - se.Total; total > 0 {
		return 1 - (next.Idle-se.Idle)/total
	}
	return 0
}

// Run sets the growth of this process's heap until ctx ends.
func Run(ctx context.Context) {
	var tu Tuner
	samples := []metrics.Sample{
		{Name: "/gc/cycles/automatic:gc-cycles"}, {Name: "/cpu/classes/idle:cpu-seconds"}, {Name: "/cpu/classes/total:cpu-seconds"},
	}
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		metrics.Read(samples)
		se := Seen{Collections: samples[0].Value.Uint64(), Idle: samples[1].Value.Float64(), Total: samples[2].Value.Float64()}
		if percent, changed := tu.Look(se, time.Now()); changed {
			debug.SetGCPercent(percent)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
