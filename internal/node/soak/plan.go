package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a step.
type Kind string

// The kinds of steps.
const (
	KillDaemon      Kind = "kill-daemon"
	StopDaemon      Kind = "stop-daemon"
	ReloadDaemon    Kind = "reload-daemon"
	PauseDaemon     Kind = "pause-daemon"
	KillServer      Kind = "kill-server"
	DrainServer     Kind = "drain-server"
	PausePlatform   Kind = "pause-platform"
	BackUpPlatform  Kind = "copy-platform"
	RestorePlatform Kind = "older-platform"
	ChangeConfig    Kind = "change"
	RolloutGood     Kind = "roll-good"
	RolloutBad      Kind = "roll-bad"
)

// Step is one action of a plan.
type Step struct {
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	// VM is the index of the VM, Duration how long the step lasts, for the kinds that have
	// one.
	VM       int           `json:"vm,omitempty"`
	Duration time.Duration `json:"for,omitempty"`
}

// String formats the step for the log.
func (st Step) String() string {
	text := fmt.Sprintf("%6.2fs %s", st.At.Seconds(), st.Kind)
	switch st.Kind {
	case PausePlatform, BackUpPlatform, RestorePlatform, ChangeConfig, RolloutGood, RolloutBad:
	default:
		text += fmt.Sprintf(" vm-%d", st.VM)
	}
	if st.Duration > 0 {
		text += fmt.Sprintf(" for %s", st.Duration)
	}
	return text
}

// faultKinds are the kinds of the random steps of GeneratePlan, plannedKinds those of
// GeneratePlanned: the operator actions, with stops of daemons twice as likely as others.
var (
	faultKinds   = []Kind{KillDaemon, StopDaemon, ReloadDaemon, PauseDaemon, KillServer, DrainServer, PausePlatform, ChangeConfig}
	plannedKinds = []Kind{StopDaemon, StopDaemon, ReloadDaemon, DrainServer, ChangeConfig}
)

// The timing of a plan.
const (
	// quietPeriod has no random steps, at the beginning and at the end of a plan.
	quietPeriod = 2 * time.Second
	// rolloutDuration is the duration that the order of the rollout states.
	rolloutDuration = 12 * time.Second
	// meanStepInterval is the mean time between two random steps.
	meanStepInterval = 1500 * time.Millisecond
)

// GeneratePlan returns the plan of a seed: a rollout, a restore of the platform from an older
// backup, and random faults that may overlap.
func GeneratePlan(seed uint64, vms int, length time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 11))
	kind := RolloutGood
	if rnd.IntN(2) == 0 {
		kind = RolloutBad
	}
	restoreAt := quietPeriod + time.Duration(rnd.Int64N(int64(max(1, length-3*quietPeriod))))
	steps := []Step{
		{At: quietPeriod / 2, Kind: kind},
		{At: max(0, restoreAt-quietPeriod), Kind: BackUpPlatform},
		{At: restoreAt, Kind: RestorePlatform},
	}
	for at := quietPeriod; at < length-quietPeriod; at += time.Duration(rnd.ExpFloat64() * float64(meanStepInterval)) {
		steps = append(steps, Step{
			At: at, Kind: faultKinds[rnd.IntN(len(faultKinds))], VM: rnd.IntN(vms),
			Duration: time.Duration(200+rnd.IntN(2000)) * time.Millisecond,
		})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// Series of stops of several daemons.
const (
	// maxSeriesGap bounds the time between two stops of a series.
	maxSeriesGap = 800 * time.Millisecond
	// seriesOdds is the number of stops of which one, on average, begins a series.
	seriesOdds = 3
)

// GeneratePlanned returns the plan of a seed with operator actions only: stops of one daemon or
// of several in a row, reloads, replaced servers and configuration changes, which may overlap.
func GeneratePlanned(seed uint64, vms int, length time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 12))
	var steps []Step
	downtime := func() time.Duration { return time.Duration(200+rnd.IntN(1000)) * time.Millisecond }
	for at := quietPeriod; at < length-quietPeriod; at += time.Duration(rnd.ExpFloat64() * float64(meanStepInterval)) {
		st := Step{At: at, Kind: plannedKinds[rnd.IntN(len(plannedKinds))], VM: rnd.IntN(vms), Duration: downtime()}
		steps = append(steps, st)
		if st.Kind != StopDaemon || rnd.IntN(seriesOdds) > 0 {
			continue
		}
		gap := time.Duration(rnd.Int64N(int64(maxSeriesGap)))
		for i := 1; i < vms/2 && st.At+gap < length-quietPeriod; i++ {
			st = Step{At: st.At + gap, Kind: StopDaemon, VM: (st.VM + 1) % vms, Duration: downtime()}
			steps = append(steps, st)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
