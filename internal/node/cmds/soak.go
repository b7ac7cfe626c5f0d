package cmds

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/flamingomast/flamingomast/internal/node/soak"
)

func (ap *app) soakCmd() *ffcli.Command {
	fs := ap.newFlagSet("soak")
	ap.jsonFlag(fs)
	seeds := fs.Int("seeds", 1, "number of seeds to run, one after the other")
	seed := fs.Uint64("seed", 1, "first seed")
	duration := fs.Duration("for", 30*time.Second, "how long faults are injected in each run")
	vms := fs.Int("vms", 6, "number of VMs, besides three of the new version")
	planned := fs.Bool("planned", false, "run only planned operations: stops, reloads, replaced servers and changes, in series")
	dir := fs.String("dir", "", "directory for the logs of the processes; a new one if empty")
	return &ffcli.Command{
		Name: "soak", ShortUsage: "flamingomast soak [--seeds N] [--seed S] [--for DURATION] [--vms N] [--planned] [--dir DIR]", FlagSet: fs, Options: envOption(),
		ShortHelp: "Run a mesh of real processes under random faults from seeds, and check its guarantees.",
		Exec: func(ctx context.Context, _ []string) error {
			binary, err := os.Executable()
			if err != nil {
				return err
			}
			if *dir == "" {
				if *dir, err = os.MkdirTemp("", "flamingomast-soak"); err != nil {
					return err
				}
			}
			failed := 0
			for i := range uint64(*seeds) {
				op := soak.Options{Binary: binary, Seed: *seed + i, Duration: *duration, VMs: *vms, Planned: *planned, Log: slog.New(slog.NewJSONHandler(ap.err, nil))}
				op.Dir = filepath.Join(*dir, fmt.Sprint("seed-", op.Seed))
				if err := os.MkdirAll(op.Dir, 0o755); err != nil {
					return err
				}
				re, err := soak.Run(ctx, op)
				if err != nil {
					return fmt.Errorf("seed %d: %w", op.Seed, err)
				}
				if len(re.Failed()) > 0 {
					failed++
				}
				if err := ap.printSoakReport(re, op.Dir); err != nil {
					return err
				}
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d seeds failed; logs in %s", failed, *seeds, *dir)
			}
			return nil
		},
	}
}

// printSoakReport prints one line per check, or the whole report as JSON.
func (ap *app) printSoakReport(re *soak.Report, dir string) error {
	if ap.json {
		return ap.printJSON(re)
	}
	fmt.Fprintf(ap.out, "seed %d: %d requests, rollout %s, logs in %s\n", re.Seed, re.Sent, re.Rollout, dir)
	for _, result := range re.Results {
		verdict := "ok"
		if len(result.Failures) > 0 {
			verdict = fmt.Sprintf("FAILED: %s", result.Failures[0])
		}
		fmt.Fprintf(ap.out, "  %-14s %6d cases  %s\n", result.Check, result.Cases, verdict)
	}
	return nil
}
