package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what happens in a step of a plan.
type Kind string

// The kinds of steps.
const (
	KillDaemon    Kind = "kill-daemon"
	StopDaemon    Kind = "stop-daemon"
	ReloadDaemon  Kind = "reload-daemon"
	PauseDaemon   Kind = "pause-daemon"
	KillServer    Kind = "kill-server"
	DrainServer   Kind = "drain-server"
	PausePlatform Kind = "pause-platform"
	CopyPlatform  Kind = "copy-platform"
	OlderPlatform Kind = "older-platform"
	Change        Kind = "change"
	RollGood      Kind = "roll-good"
	RollBad       Kind = "roll-bad"
)

// Step is one thing that happens to one process.
type Step struct {
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	// VM is the index of the VM, For how long it lasts, where the kind has either.
	VM  int           `json:"vm,omitempty"`
	For time.Duration `json:"for,omitempty"`
}

// String returns the step as it is printed.
func (st Step) String() string {
	text := fmt.Sprintf("%6.2fs %s", st.At.Seconds(), st.Kind)
	switch st.Kind {
	case PausePlatform, CopyPlatform, OlderPlatform, Change, RollGood, RollBad:
	default:
		text += fmt.Sprintf(" vm-%d", st.VM)
	}
	if st.For > 0 {
		text += fmt.Sprintf(" for %s", st.For)
	}
	return text
}

// faults are the kinds that are drawn any number of times, planned those of them that
// operators bring about.
var (
	faults  = []Kind{KillDaemon, StopDaemon, ReloadDaemon, PauseDaemon, KillServer, DrainServer, PausePlatform, Change}
	planned = []Kind{StopDaemon, StopDaemon, ReloadDaemon, DrainServer, Change}
)

// The times of a plan.
const (
	// quietTime is without a fault at its beginning and end.
	quietTime = 2 * time.Second
	// rollTime is the time that an order of a rollout gives.
	rollTime = 12 * time.Second
	// faultEvery is the mean time between two faults.
	faultEvery = 1500 * time.Millisecond
)

// Draw returns the plan of a seed: a rollout, a store that comes back older, and faults in
// series that overlap.
func Draw(seed uint64, vms int, length time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 11))
	kind := RollGood
	if rnd.IntN(2) == 0 {
		kind = RollBad
	}
	older := quietTime + time.Duration(rnd.Int64N(int64(max(1, length-3*quietTime))))
	steps := []Step{
		{At: quietTime / 2, Kind: kind},
		{At: max(0, older-quietTime), Kind: CopyPlatform},
		{At: older, Kind: OlderPlatform},
	}
	for at := quietTime; at < length-quietTime; at += time.Duration(rnd.ExpFloat64() * float64(faultEvery)) {
		steps = append(steps, Step{
			At: at, Kind: faults[rnd.IntN(len(faults))], VM: rnd.IntN(vms),
			For: time.Duration(200+rnd.IntN(2000)) * time.Millisecond,
		})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// The stops of a series.
const (
	// seriesGap is the most time between two of them.
	seriesGap = 800 * time.Millisecond
	// seriesChance is how likely a stop begins a series, as one in so many.
	seriesChance = 3
)

// DrawPlanned returns the plan of a seed with what operators do alone: stops of daemons, one
// or many in turn, reloads, replaced servers and changes, in series that overlap.
func DrawPlanned(seed uint64, vms int, length time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 12))
	var steps []Step
	away := func() time.Duration { return time.Duration(200+rnd.IntN(1000)) * time.Millisecond }
	for at := quietTime; at < length-quietTime; at += time.Duration(rnd.ExpFloat64() * float64(faultEvery)) {
		st := Step{At: at, Kind: planned[rnd.IntN(len(planned))], VM: rnd.IntN(vms), For: away()}
		steps = append(steps, st)
		if st.Kind != StopDaemon || rnd.IntN(seriesChance) > 0 {
			continue
		}
		gap := time.Duration(rnd.Int64N(int64(seriesGap)))
		for i := 1; i < vms/2 && st.At+gap < length-quietTime; i++ {
			st = Step{At: st.At + gap, Kind: StopDaemon, VM: (st.VM + 1) % vms, For: away()}
			steps = append(steps, st)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
