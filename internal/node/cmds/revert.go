package cmds

import (
	"context"
	"fmt"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/flamingomast/flamingomast/internal/conf/accept"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

func (ap *app) revertCmd() *ffcli.Command {
	var op applyOptions
	fs := ap.newFlagSet("revert")
	ap.platformFlag(fs)
	ap.daemonFlag(fs)
	ap.jsonFlag(fs)
	op.addFlags(fs)
	return &ffcli.Command{
		Name: "revert", ShortUsage: "flamingomast revert --platform ADDR VERSION", FlagSet: fs, Options: envOption(),
		ShortHelp: "Put the content of an earlier version in force again, under a new version number.",
		LongHelp:  "Version numbers never go back: the fleet gets a new, higher one with the old content. It replaces\nwhatever is in force now; if that changes meanwhile, nothing is applied.",
		Exec: func(ctx context.Context, args []string) error {
			version, err := versionArg(args)
			if err != nil {
				return err
			}
			return ap.revert(ctx, version, op)
		},
	}
}

// versionArg parses the only argument of a command that takes a version.
func versionArg(args []string) (uint64, error) {
	if len(args) != 1 {
		return 0, usageError("name one version")
	}
	version, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return 0, usageError(fmt.Sprintf("%q is not a version; see flamingomast history", args[0]))
	}
	return version, nil
}

func (ap *app) revert(ctx context.Context, version uint64, op applyOptions) error {
	kv, err := ap.store()
	if err != nil {
		return err
	}
	tctx, cancel := context.WithTimeout(ctx, op.timeout)
	defer cancel()
	sub, err := revertSubmission(tctx, kv, version)
	if err != nil {
		return err
	}
	sub.ID, sub.Author = op.submissionID(), op.author
	return ap.submit(ctx, tctx, kv, sub, op.wait)
}

// revertSubmission returns a submission with the content of the given version, based on the version
// in force.
func revertSubmission(ctx context.Context, kv store.Store, version uint64) (accept.Submission, error) {
	hd, err := loadHeadWithRetry(ctx, kv)
	if err != nil {
		return accept.Submission{}, fmt.Errorf("not accepted: %w", err)
	}
	en, err := accept.Find(ctx, kv, hd, version)
	if err != nil {
		return accept.Submission{}, err
	}
	co, err := accept.Content(ctx, kv, en)
	if err != nil {
		return accept.Submission{}, err
	}
	return accept.Submission{
		Base: hd.Last.Version, Content: co, Commit: en.Commit, NoRebase: true,
	}, nil
}
