package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/store"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
	"github.com/flamingomast/flamingomast/internal/roll/order"
)

// Options sets a run.
type Options struct {
	// Binary is the command whose processes run, Dir where their output goes.
	Binary, Dir string
	Seed        uint64
	Duration    time.Duration
	VMs         int
	// Planned draws only what operators do, in place of faults.
	Planned bool
	// Plan replaces the one that is drawn from the seed.
	Plan []Step
	Log  *slog.Logger
}

// Report is what a run ends with.
type Report struct {
	Seed    uint64   `json:"seed"`
	Plan    []Step   `json:"plan"`
	Sent    int      `json:"sent"`
	Rollout string   `json:"rollout"`
	Results []Result `json:"results"`
}

// Failed returns the checks that failed.
func (re *Report) Failed() []Result {
	var list []Result
	for _, one := range re.Results {
		if len(one.Failures) > 0 {
			list = append(list, one)
		}
	}
	return list
}

// The bounds of a rollout of a bad version.
const (
	exposureShare = 0.1
	exposureSlack = 50
)

// settleLimit is how long after the last fault all must be well again.
const settleLimit = 20 * time.Second

// Run starts a mesh, plays a plan, and reports what the checks found.
func Run(ctx context.Context, op Options) (*Report, error) {
	switch {
	case op.Plan != nil:
	case op.Planned:
		op.Plan = DrawPlanned(op.Seed, op.VMs, op.Duration)
	default:
		op.Plan = Draw(op.Seed, op.VMs, op.Duration)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wo := &world{
		op: op, la: &launcher{ctx: context.WithoutCancel(ctx), binary: op.Binary, dir: op.Dir},
		board: newBoard(WholeAnswer, AtMostOnce, NeverOlder, ServedAgain, InForce, NoOwnEnd),
	}
	defer wo.la.endAll()
	if err := wo.start(ctx); err != nil {
		return nil, err
	}
	re := &Report{Seed: op.Seed, Plan: op.Plan}
	callers, stop := context.WithCancel(ctx)
	defer stop()
	sent := make(chan int)
	all := wo.all()
	for i, v := range all {
		go func() { sent <- wo.call(callers, i, v) }()
		go func() { sent <- wo.callAhead(callers, i, v) }()
	}
	if op.Planned {
		wo.board.add(GracefulStop)
	}
	err := wo.playPlan(ctx)
	wo.wg.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	wo.settle(ctx)
	stop()
	for range 2 * len(all) {
		re.Sent += <-sent
	}
	re.Rollout = wo.endOfRollout(ctx)
	wo.ledger.check(wo.board)
	wo.stops.check(wo.board, wo.ledger.hasRun)
	wo.checkEnds()
	re.Results = wo.board.list()
	return re, err
}

// lookInterval is how often the versions that daemons hold are looked at.
const lookInterval = 200 * time.Millisecond

// playPlan plays the steps at their times.
func (wo *world) playPlan(ctx context.Context) error {
	began := time.Now()
	tick := time.NewTicker(lookInterval)
	defer tick.Stop()
	for _, st := range wo.op.Plan {
		for time.Since(began) < st.At {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-tick.C:
				wo.look(ctx)
			case <-time.After(st.At - time.Since(began)):
			}
		}
		wo.op.Log.Info("soak-step", slog.String("step", st.String()))
		if err := wo.play(ctx, st); err != nil {
			return fmt.Errorf("%s: %w", st, err)
		}
	}
	for time.Since(began) < wo.op.Duration && ctx.Err() == nil {
		time.Sleep(lookInterval)
		wo.look(ctx)
	}
	return nil
}

// settle waits until all is well after the last fault.
func (wo *world) settle(ctx context.Context) {
	failure := ""
	if err := wo.change(ctx); err != nil {
		failure = err.Error()
	} else if err := wo.waitHeld(ctx, settleLimit); err != nil {
		failure = err.Error()
	}
	wo.board.note(InForce, failure)
	for _, v := range wo.vms {
		failure := fmt.Sprintf("%s serves nothing", v.name)
		for end := time.Now().Add(settleLimit); time.Now().Before(end) && failure != ""; time.Sleep(lookInterval) {
			qu := query{id: "settle-" + v.name, method: http.MethodGet, host: service}
			if re := ask(ctx, http.DefaultClient, v, qu); re.err == nil && re.status == http.StatusOK {
				failure = ""
			}
		}
		wo.board.note(ServedAgain, failure)
	}
}

// roll starts the servers of the new version and orders the rollout.
func (wo *world) roll(ctx context.Context, bad bool) error {
	if bad {
		wo.failing = "0.4"
		wo.board.add(BadVersion)
		wo.board.add(Exposure)
	}
	or := order.Order{Service: service, Target: "v2", DurationMs: rollTime.Milliseconds()}
	value, err := json.Marshal(or)
	if err != nil {
		return err
	}
	if _, _, err := wo.kv.Swap(ctx, store.Change{Key: or.Key(), Value: value}); err != nil {
		return err
	}
	wo.ledger.mu.Lock()
	wo.ledger.counting = true
	wo.ledger.mu.Unlock()
	for _, v := range wo.spare {
		if err := wo.startServer(v); err != nil {
			return err
		}
	}
	return nil
}

// endOfRollout checks how the rollout ended and returns its state.
func (wo *world) endOfRollout(ctx context.Context) string {
	ent, err := wo.kv.Get(ctx, order.StatusKey(service))
	if err != nil || !ent.Revision.Exists() {
		return "none"
	}
	_, st, err := order.DecodeStatus(ent.Value)
	if err != nil {
		return err.Error()
	}
	failure := ""
	if st == canary.Complete {
		failure = "a bad version is complete"
	}
	wo.board.note(BadVersion, failure)
	failure = ""
	if most := int(exposureShare*float64(wo.ledger.all)) + exposureSlack; wo.ledger.target > most {
		failure = fmt.Sprintf("%d of %d requests reached a bad version, %d may", wo.ledger.target, wo.ledger.all, most)
	}
	wo.board.note(Exposure, failure)
	return st.String()
}

// checkEnds looks for processes that ended though no step ended them.
func (wo *world) checkEnds() {
	for _, v := range wo.all() {
		for _, pr := range []*proc{v.daemon, v.server} {
			if pr == nil {
				continue
			}
			failure := ""
			if pr.ended() {
				failure = v.name + ": a process ended by itself"
			}
			wo.board.note(NoOwnEnd, failure)
		}
	}
}
