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

// Options configures a run.
type Options struct {
	// Binary is the executable to start, Dir the directory for the settings and logs of the
	// processes.
	Binary, Dir string
	Seed        uint64
	Duration    time.Duration
	VMs         int
	// Planned generates only operator actions, without faults.
	Planned bool
	// Plan replaces the plan that is generated from the seed.
	Plan []Step
	Log  *slog.Logger
}

// Report is the outcome of a run.
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
	for _, result := range re.Results {
		if len(result.Failures) > 0 {
			list = append(list, result)
		}
	}
	return list
}

// Since the start of its rollout, a bad version may get exposureShare of the requests and
// exposureSlack requests more.
const (
	exposureShare = 0.1
	exposureSlack = 50
)

// recoveryTimeout bounds each wait for recovery after the last fault.
const recoveryTimeout = 20 * time.Second

// Run starts a mesh, executes a plan, and reports the results of the checks.
func Run(ctx context.Context, op Options) (*Report, error) {
	switch {
	case op.Plan != nil:
	case op.Planned:
		op.Plan = GeneratePlanned(op.Seed, op.VMs, op.Duration)
	default:
		op.Plan = GeneratePlan(op.Seed, op.VMs, op.Duration)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fl := &fleet{
		op: op, la: &launcher{ctx: context.WithoutCancel(ctx), binary: op.Binary, dir: op.Dir},
		results: newResultSet(IntactResponse, AtMostOnce, MonotonicVersion, Recovery, Convergence, NoUnexpectedExit, ServerLimit),
	}
	defer fl.la.killAll()
	if err := fl.start(ctx); err != nil {
		return nil, err
	}
	re := &Report{Seed: op.Seed, Plan: op.Plan}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	sent := make(chan int)
	all := fl.all()
	for i, v := range all {
		go func() { sent <- fl.runCaller(callersCtx, i, v) }()
		go func() { sent <- fl.runPipelinedCaller(callersCtx, i, v) }()
	}
	if op.Planned {
		fl.results.require(GracefulStop)
	}
	err := fl.runPlan(ctx)
	fl.wg.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	fl.checkRecovery(ctx)
	stopCallers()
	for range 2 * len(all) {
		re.Sent += <-sent
	}
	re.Rollout = fl.checkRollout(ctx)
	fl.requests.check(fl.results)
	fl.stops.check(fl.results, fl.requests.hasRun)
	for _, v := range fl.vms {
		if v.rateLimit > 0 {
			fl.results.record(ServerLimit, v.limited.check(v.rateLimit, time.Now()))
		}
	}
	fl.checkExits()
	re.Results = fl.results.list()
	return re, err
}

// pollInterval is the interval at which daemons, and a store that does not answer, are polled.
const pollInterval = 200 * time.Millisecond

// runPlan executes the steps at their times, and checks the daemons' versions in between and
// until the run is over.
func (fl *fleet) runPlan(ctx context.Context) error {
	began := time.Now()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for _, st := range fl.op.Plan {
		for time.Since(began) < st.At {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-tick.C:
				fl.checkVersions(ctx)
			case <-time.After(st.At - time.Since(began)):
			}
		}
		fl.op.Log.Info("soak-step", slog.String("step", st.String()))
		if err := fl.runStep(ctx, st); err != nil {
			return fmt.Errorf("%s: %w", st, err)
		}
	}
	for time.Since(began) < fl.op.Duration && ctx.Err() == nil {
		time.Sleep(pollInterval)
		fl.checkVersions(ctx)
	}
	return nil
}

// checkRecovery submits a change after the last fault, waits until every daemon holds it, and
// then until every VM serves requests.
func (fl *fleet) checkRecovery(ctx context.Context) {
	failure := ""
	if err := fl.submitChange(ctx); err != nil {
		failure = err.Error()
	} else if err := fl.waitHeld(ctx, recoveryTimeout); err != nil {
		failure = err.Error()
	}
	fl.results.record(Convergence, failure)
	for _, v := range fl.vms {
		failure := fmt.Sprintf("%s does not serve requests after the last fault", v.name)
		for end := time.Now().Add(recoveryTimeout); time.Now().Before(end) && failure != ""; time.Sleep(pollInterval) {
			rq := request{id: "settle-" + v.name, method: http.MethodGet, host: service}
			if re := send(ctx, http.DefaultClient, v, rq); re.err == nil && re.status == http.StatusOK {
				failure = ""
			}
		}
		fl.results.record(Recovery, failure)
	}
}

// startRollout orders the rollout and starts the servers of the new version.
func (fl *fleet) startRollout(ctx context.Context, bad bool) error {
	if bad {
		fl.failureRate = "0.4"
		fl.results.require(BadVersionStopped)
		fl.results.require(BadVersionExposure)
	}
	or := order.Order{Service: service, Target: "v2", DurationMs: rolloutDuration.Milliseconds()}
	value, err := json.Marshal(or)
	if err != nil {
		return err
	}
	if _, _, err := fl.kv.Swap(ctx, store.Change{Key: or.Key(), Value: value}); err != nil {
		return err
	}
	fl.requests.mu.Lock()
	fl.requests.rolloutStarted = true
	fl.requests.mu.Unlock()
	for _, v := range fl.targetVMs {
		if err := fl.startServer(v); err != nil {
			return err
		}
	}
	return nil
}

// checkRollout checks how the rollout ended and returns its final state.
func (fl *fleet) checkRollout(ctx context.Context) string {
	ent, err := fl.kv.Get(ctx, order.StatusKey(service))
	if err != nil || !ent.Revision.Exists() {
		return "none"
	}
	_, st, err := order.DecodeStatus(ent.Value)
	if err != nil {
		return err.Error()
	}
	failure := ""
	if st == canary.Complete {
		failure = "the rollout of a bad version completed"
	}
	fl.results.record(BadVersionStopped, failure)
	failure = ""
	if limit := int(exposureShare*float64(fl.requests.allRuns)) + exposureSlack; fl.requests.targetRuns > limit {
		failure = fmt.Sprintf("%d of %d requests reached a bad version; the limit is %d", fl.requests.targetRuns, fl.requests.allRuns, limit)
	}
	fl.results.record(BadVersionExposure, failure)
	return st.String()
}

// checkExits checks that no process exited unless a step ended it.
func (fl *fleet) checkExits() {
	for _, v := range fl.all() {
		for _, pr := range []*proc{v.daemon, v.server} {
			if pr == nil {
				continue
			}
			failure := ""
			if pr.exited() {
				failure = v.name + ": a process exited unexpectedly"
			}
			fl.results.record(NoUnexpectedExit, failure)
		}
	}
}
