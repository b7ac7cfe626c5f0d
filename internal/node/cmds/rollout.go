package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/flamingomast/flamingomast/internal/plat/store"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
	"github.com/flamingomast/flamingomast/internal/roll/order"
)

func (ap *app) rolloutCmd() *ffcli.Command {
	fs := ap.newFlagSet("rollout")
	return &ffcli.Command{
		Name: "rollout", ShortUsage: "flamingomast rollout start|status|abort [flags] [arguments]", FlagSet: fs, Options: envOption(),
		ShortHelp: "Move the requests of a service to another version of its software.",
		LongHelp: "The servers of the new version are started beside the others and announce it. The fleet sends\n" +
			"them a few requests, compares both versions, and completes the rollout or rolls it back.",
		Subcommands: []*ffcli.Command{ap.rolloutStartCmd(), ap.rolloutStatusCmd(), ap.rolloutAbortCmd()},
		Exec: func(context.Context, []string) error {
			return usageError("flamingomast rollout: name start, status or abort")
		},
	}
}

func (ap *app) rolloutStartCmd() *ffcli.Command {
	fs := ap.newFlagSet("rollout start")
	ap.platformFlag(fs)
	within := fs.Duration("within", time.Minute, "time limit of the rollout")
	wait := fs.Bool("wait", false, "wait for the end; exit status 1 if it was rolled back")
	return &ffcli.Command{
		Name: "start", ShortUsage: "flamingomast rollout start --platform ADDR [--within DURATION] [--wait] SERVICE VERSION", FlagSet: fs, Options: envOption(),
		ShortHelp: "Order a rollout.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return usageError("name a service and the version that its new servers announce")
			}
			or := order.Order{Service: args[0], Target: args[1], DurationMs: within.Milliseconds()}
			kv, orderRev, err := ap.writeOrder(ctx, or)
			if err != nil || !*wait {
				return err
			}
			return ap.waitRollout(ctx, kv, or, orderRev)
		},
	}
}

func (ap *app) rolloutAbortCmd() *ffcli.Command {
	fs := ap.newFlagSet("rollout abort")
	ap.platformFlag(fs)
	return &ffcli.Command{
		Name: "abort", ShortUsage: "flamingomast rollout abort --platform ADDR SERVICE", FlagSet: fs, Options: envOption(),
		ShortHelp: "End a rollout at once, and keep the servers of the previous version.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("name one service")
			}
			kv, err := ap.store()
			if err != nil {
				return err
			}
			or, err := readOrder(ctx, kv, args[0])
			if err != nil {
				return err
			}
			or.Abort = true
			_, _, err = ap.writeOrder(ctx, or)
			return err
		},
	}
}

// readOrder reads the order for a service.
func readOrder(ctx context.Context, kv store.Store, service string) (or order.Order, err error) {
	ent, err := kv.Get(ctx, order.Prefix+service)
	if err != nil {
		return or, err
	}
	if !ent.Revision.Exists() {
		return or, fmt.Errorf("no rollout of %q was ordered; see flamingomast rollout status", service)
	}
	return or, json.Unmarshal(ent.Value, &or)
}

// writeOrder writes an order, which replaces an earlier one for the service, and returns its
// revision.
func (ap *app) writeOrder(ctx context.Context, or order.Order) (kv store.Store, orderRev store.Revision, err error) {
	if err := or.Check(); err != nil {
		return kv, orderRev, usageError(err.Error())
	}
	kv, err = ap.store()
	if err != nil {
		return kv, orderRev, err
	}
	value, err := json.Marshal(or)
	if err != nil {
		return kv, orderRev, err
	}
	cur, err := kv.Get(ctx, or.Key())
	if err != nil {
		return kv, orderRev, err
	}
	ok, ent, err := kv.Swap(ctx, store.Change{Key: or.Key(), Revision: cur.Revision, Value: value})
	if err == nil && !ok {
		err = fmt.Errorf("another order for %q was written at the same time; see flamingomast rollout status", or.Service)
	}
	if err == nil {
		fmt.Fprintf(ap.out, "ordered: %s to %s within %s\n", or.Service, or.Target, time.Duration(or.DurationMs)*time.Millisecond)
	}
	return kv, ent.Revision, err
}

const (
	// rolloutPollInterval is the interval at which the state of a rollout is read while waiting
	// for its end.
	rolloutPollInterval = 500 * time.Millisecond
	// rolloutWaitMargin is added to the time limit of a rollout when waiting for its end, as the
	// store may be unavailable when the end is to be written.
	rolloutWaitMargin = time.Minute
)

// waitRollout waits for the end of a rollout, and keeps waiting while the store cannot be reached.
func (ap *app) waitRollout(ctx context.Context, kv store.Store, or order.Order, orderRev store.Revision) error {
	timeout := time.Duration(or.DurationMs)*time.Millisecond + rolloutWaitMargin
	expired := time.After(timeout)
	var lastErr error
	for {
		st, err := rolloutState(ctx, kv, or, orderRev)
		if err != nil && lastErr == nil {
			fmt.Fprintf(ap.err, "cannot read the state of the rollout, retrying: %v\n", err)
		}
		lastErr = err
		if st.Final() {
			fmt.Fprintf(ap.out, "%s\n", st)
			if st == canary.RolledBack {
				return fmt.Errorf("%s was rolled back; see the event rollout-decided in the daemons' logs", or.Target)
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-expired:
			if lastErr != nil {
				return fmt.Errorf("no end of the rollout was seen in %s: %w", timeout, lastErr)
			}
			return fmt.Errorf("no end of the rollout was seen in %s; check that daemons of %s are running", timeout, or.Service)
		case <-time.After(rolloutPollInterval):
		}
	}
}

// rolloutState returns the stored state of the rollout that the order started, or 0 if there is
// none. A state written before the order belongs to an earlier order.
func rolloutState(ctx context.Context, kv store.Store, or order.Order, orderRev store.Revision) (canary.State, error) {
	ent, err := kv.Get(ctx, order.StatusKey(or.Service))
	if err != nil || !ent.Revision.Exists() {
		return 0, err
	}
	if ent.Revision.Epoch == orderRev.Epoch && ent.Revision.Number < orderRev.Number {
		return 0, nil
	}
	target, st, err := order.DecodeStatus(ent.Value)
	if err != nil || target != or.Target {
		return 0, err
	}
	return st, nil
}

func (ap *app) rolloutStatusCmd() *ffcli.Command {
	fs := ap.newFlagSet("rollout status")
	ap.platformFlag(fs)
	ap.jsonFlag(fs)
	return &ffcli.Command{
		Name: "status", ShortUsage: "flamingomast rollout status --platform ADDR [--json]", FlagSet: fs, Options: envOption(),
		ShortHelp: "Show the newest rollout of each service.",
		Exec:      func(ctx context.Context, _ []string) error { return ap.rolloutStatus(ctx) },
	}
}

// rolloutLine is the printed form of a rollout.
type rolloutLine struct {
	order.Order
	State string `json:"state"`
}

func (ap *app) rolloutStatus(ctx context.Context) error {
	kv, err := ap.store()
	if err != nil {
		return err
	}
	items, err := kv.List(ctx, order.Prefix)
	if err != nil {
		return err
	}
	if !ap.json {
		fmt.Fprintf(ap.out, "%-20s %-16s %-14s %s\n", "SERVICE", "TARGET", "STATE", "WITHIN")
	}
	for _, it := range items {
		line := rolloutLine{State: "not-seen-yet"}
		if err := json.Unmarshal(it.Value, &line.Order); err != nil {
			fmt.Fprintf(ap.err, "the order for %s cannot be decoded: %v\n", strings.TrimPrefix(it.Key, order.Prefix), err)
			continue
		}
		ent, err := kv.Get(ctx, order.StatusKey(line.Service))
		if err != nil {
			return err
		}
		if target, st, err := order.DecodeStatus(ent.Value); err == nil && target == line.Target {
			line.State = st.String()
		}
		if ap.json {
			if err := ap.printJSON(line); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(ap.out, "%-20s %-16s %-14s %s\n", line.Service, line.Target, line.State, time.Duration(line.DurationMs)*time.Millisecond)
	}
	return nil
}
