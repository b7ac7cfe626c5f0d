package main

import (
	"log/slog"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/node/soak"
)

// TestSoak runs real processes under a short plan: the rollout of a bad version, a store that is
// restored from an older backup, and daemons and servers that are killed, stopped and paused.
func TestSoak(t *testing.T) {
	plan := []soak.Step{
		{At: 500 * time.Millisecond, Kind: soak.RolloutBad},
		{At: time.Second, Kind: soak.BackUpPlatform},
		{At: 2 * time.Second, Kind: soak.ChangeConfig},
		{At: 2500 * time.Millisecond, Kind: soak.KillDaemon, VM: 1, Duration: 500 * time.Millisecond},
		{At: 3 * time.Second, Kind: soak.RestorePlatform},
		{At: 4 * time.Second, Kind: soak.StopDaemon, VM: 2, Duration: 300 * time.Millisecond},
		{At: 5 * time.Second, Kind: soak.KillServer, VM: 0, Duration: 300 * time.Millisecond},
		{At: 6 * time.Second, Kind: soak.PauseDaemon, VM: 3, Duration: time.Second},
		{At: 7 * time.Second, Kind: soak.DrainServer, VM: 4, Duration: 300 * time.Millisecond},
	}
	runSoak(t, soak.Options{Duration: 14 * time.Second, Plan: plan})
}

// TestSoakPlanned guards against requests that are lost when several daemons are stopped one
// shortly after the other.
func TestSoakPlanned(t *testing.T) {
	runSoak(t, soak.Options{Seed: 1, Duration: 15 * time.Second, Planned: true})
}

// runSoak runs a small mesh of processes and reports the checks that failed.
func runSoak(t *testing.T, op soak.Options) {
	t.Helper()
	op.Binary, op.Dir, op.VMs, op.Log = build(t), t.TempDir(), 6, slog.New(slog.DiscardHandler)
	re, err := soak.Run(t.Context(), op)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests, rollout %s", re.Sent, re.Rollout)
	for _, result := range re.Failed() {
		t.Errorf("%s: %d cases, %q", result.Check, result.Cases, result.Failures)
	}
}
