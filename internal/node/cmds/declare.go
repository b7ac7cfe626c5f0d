package cmds

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/flamingomast/flamingomast/internal/conf/accept"
	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/plat/remote"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

func (ap *app) platformFlag(fs *flag.FlagSet) {
	fs.StringVar(&ap.platform, "platform", "", "address of the platform's key-value service, IP:PORT")
}

func (ap *app) daemonFlag(fs *flag.FlagSet) {
	fs.StringVar(&ap.daemon, "daemon", "", "admin address of any daemon, IP:PORT")
}

func (ap *app) jsonFlag(fs *flag.FlagSet) {
	fs.BoolVar(&ap.json, "json", false, "print JSON, for scripts")
}

func (ap *app) store() (store.Store, error) {
	if ap.platform == "" {
		return store.Store{}, usageError("--platform is not set; give the address of the key-value service")
	}
	return remote.New(ap.platform).Store(), nil
}

// printJSON writes v as one line of JSON.
func (ap *app) printJSON(v any) error { return json.NewEncoder(ap.out).Encode(v) }

func dirArg(args []string) (string, error) {
	if len(args) != 1 {
		return "", usageError("name one directory that holds the declarations")
	}
	return args[0], nil
}

func readDir(args []string) (*decl.Mesh, *pack.Content, error) {
	dir, err := dirArg(args)
	if err != nil {
		return nil, nil, err
	}
	ms, err := decl.Read(dir)
	if err != nil {
		return nil, nil, err
	}
	co, err := pack.Encode(ms)
	return ms, co, err
}

func (ap *app) checkCmd() *ffcli.Command {
	fs := ap.newFlagSet("check")
	canonical := fs.Bool("print", false, "print the declarations in their canonical form")
	return &ffcli.Command{
		Name: "check", ShortUsage: "flamingomast check [--print] DIR", FlagSet: fs, Options: envOption(),
		ShortHelp: "Check declarations and list all errors in them.",
		Exec: func(_ context.Context, args []string) error {
			ms, co, err := readDir(args)
			if err != nil {
				return err
			}
			if *canonical {
				text, err := decl.Print(ms)
				if err != nil {
					return err
				}
				_, err = ap.out.Write(text)
				return err
			}
			fmt.Fprintf(ap.out, "ok: %d resources, digest %.12s\n", len(co.Resources), co.Digest)
			return nil
		},
	}
}

func (ap *app) planCmd() *ffcli.Command {
	fs := ap.newFlagSet("plan")
	ap.platformFlag(fs)
	ap.jsonFlag(fs)
	return &ffcli.Command{
		Name: "plan", ShortUsage: "flamingomast plan --platform ADDR DIR", FlagSet: fs, Options: envOption(),
		ShortHelp: "Show what applying the declarations would change in the version in force.",
		Exec: func(ctx context.Context, args []string) error {
			_, co, err := readDir(args)
			if err != nil {
				return err
			}
			kv, err := ap.store()
			if err != nil {
				return err
			}
			hd, old, err := loadHead(ctx, kv)
			if err != nil {
				return err
			}
			list := changes(old, co)
			if ap.json {
				return ap.printJSON(struct {
					Base    uint64   `json:"base"`
					Changes []change `json:"changes"`
				}{hd.Last.Version, list})
			}
			for _, ch := range list {
				fmt.Fprintf(ap.out, "%-6s %s\n", ch.Change, ch.Resource)
				for _, fd := range ch.Fields {
					fmt.Fprintf(ap.out, "         %s: %s -> %s\n", fd.Name, fd.Old, fd.New)
				}
			}
			fmt.Fprintf(ap.out, "%d changes from version %d; apply with --base %d\n", len(list), hd.Last.Version, hd.Last.Version)
			return nil
		},
	}
}

func loadHead(ctx context.Context, kv store.Store) (*accept.Head, *pack.Content, error) {
	hd, _, err := accept.Load(ctx, kv)
	if err != nil || hd.Last.Version == 0 {
		return hd, nil, err
	}
	co, err := accept.Content(ctx, kv, hd.Last)
	return hd, co, err
}

// applyOptions holds the flags of apply and revert.
type applyOptions struct {
	base, author, commit, submission string
	wait, timeout                    time.Duration
	resume                           bool
}

// addFlags registers the flags that apply and revert have in common.
func (op *applyOptions) addFlags(fs *flag.FlagSet) {
	fs.StringVar(&op.author, "author", os.Getenv("USER"), "author of the version")
	fs.StringVar(&op.submission, "submission", "", "id of the submission; repeat a submission with the same id (random if empty)")
	fs.DurationVar(&op.wait, "wait", 0, "wait up to this long until the version is in force everywhere, and list the VMs that lack it after that (needs --daemon)")
	fs.DurationVar(&op.timeout, "timeout", 30*time.Second, "how long to retry while the platform does not answer")
}

// submissionID returns the id of the submission. It generates a random one if none was given.
func (op *applyOptions) submissionID() string {
	if op.submission == "" {
		op.submission = strings.ToLower(rand.Text())
	}
	return op.submission
}

func (ap *app) applyCmd() *ffcli.Command {
	var op applyOptions
	fs := ap.newFlagSet("apply")
	ap.platformFlag(fs)
	ap.daemonFlag(fs)
	ap.jsonFlag(fs)
	fs.StringVar(&op.base, "base", "", "version that the declarations are based on: its number, or the commit it was applied with")
	op.addFlags(fs)
	fs.StringVar(&op.commit, "commit", "", "commit of the declarations in version control")
	fs.BoolVar(&op.resume, "resume", false, "continue above the highest version that the fleet holds after the platform was set back (needs --daemon)")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "flamingomast apply --platform ADDR [--base VERSION] [--daemon ADDR [--wait DURATION]] DIR",
		ShortHelp: "Make declarations the version in force.", FlagSet: fs, Options: envOption(),
		LongHelp: "DIR holds the complete set of declarations. Changes that others have made since the base are kept\nif they concern other resources; if they concern the same ones, nothing is applied.\n\nExit status: 0 done, 2 bad input, 3 conflict, 4 accepted but not yet in force everywhere,\n5 unknown (repeat with the same --submission), 6 the platform does not answer or was set back.",
		Exec: func(ctx context.Context, args []string) error {
			return ap.apply(ctx, args, op)
		},
	}
}

func (ap *app) apply(ctx context.Context, args []string, op applyOptions) error {
	_, co, err := readDir(args)
	if err != nil {
		return err
	}
	kv, err := ap.store()
	if err != nil {
		return err
	}
	if (op.wait > 0 || op.resume) && ap.daemon == "" {
		return usageError("--wait and --resume need --daemon, to ask what the fleet holds")
	}
	sub := accept.Submission{
		ID: op.submissionID(), Content: co, Author: op.author, Commit: op.commit, Resume: op.resume,
	}
	tctx, cancel := context.WithTimeout(ctx, op.timeout)
	defer cancel()
	if sub.Base, err = resolveBase(tctx, kv, op.base); err != nil {
		return err
	}
	return ap.submit(ctx, tctx, kv, sub, op.wait)
}

// submit sends a submission within tctx, prints the result and, if wait is above 0, waits until the
// version is in force.
func (ap *app) submit(ctx, tctx context.Context, kv store.Store, sub accept.Submission, wait time.Duration) error {
	if wait > 0 && ap.daemon == "" {
		return usageError("--wait and --resume need --daemon, to ask what the fleet holds")
	}
	sub.OnRemoveError = func(key string, err error) {
		fmt.Fprintf(ap.err, "the old key %s could not be deleted from the platform: %v\n", key, err)
	}
	if ap.daemon != "" {
		st, err := ap.fetchStatus(ctx)
		if err != nil {
			return fmt.Errorf("asking the daemon which versions the fleet holds: %w", err)
		}
		sub.Floor = st.Latest
	}
	start := time.Now()
	res, err := accept.Submit(tctx, kv, sub)
	if err != nil {
		return err
	}
	if !ap.json {
		fmt.Fprintf(ap.out, "%s: version %d, digest %.12s\n", res.Status, res.Entry.Version, res.Entry.Digest)
	}
	if wait > 0 {
		if err := ap.waitInForce(ctx, res.Entry.Version, wait); err != nil {
			return err
		}
	}
	if ap.json {
		return ap.printJSON(struct {
			Status  string       `json:"status"`
			Rebased bool         `json:"rebased"`
			Entry   accept.Entry `json:"version"`
			TookMs  int64        `json:"took-ms"`
		}{res.Status.String(), res.Rebased, res.Entry, time.Since(start).Milliseconds()})
	}
	return nil
}

// resolveBase returns the version that a submission is based on. There is no default once a version
// is in force: with the newest version as the default, an operator with an old checkout would
// silently undo the changes of others.
func resolveBase(ctx context.Context, kv store.Store, base string) (uint64, error) {
	hd, err := loadHeadWithRetry(ctx, kv)
	if err != nil {
		return 0, fmt.Errorf("not accepted: %w", err)
	}
	switch {
	case base == "" && hd.Last.Version == 0:
		return 0, nil
	case base == "":
		return 0, usageError(fmt.Sprintf("--base is not set and version %d (commit %q) is in force; give the version that the declarations were made from", hd.Last.Version, hd.Last.Commit))
	}
	if n, err := strconv.ParseUint(base, 10, 64); err == nil {
		return n, nil
	}
	entries, err := entries(ctx, kv, hd, commitSearchDepth)
	if err != nil {
		return 0, err
	}
	i := slices.IndexFunc(entries, func(en accept.Entry) bool { return en.Commit == base })
	if i < 0 {
		return 0, usageError(fmt.Sprintf("--base %q is neither a version nor the commit of one of the last %d", base, commitSearchDepth))
	}
	return entries[i].Version, nil
}

// commitSearchDepth is the number of versions searched for a commit.
const commitSearchDepth = 100

// loadHeadWithRetry loads the head, and retries while the store returns errors, until ctx is done.
func loadHeadWithRetry(ctx context.Context, kv store.Store) (*accept.Head, error) {
	for {
		hd, _, err := accept.Load(ctx, kv)
		var se *store.Error
		if err == nil || !errors.As(err, &se) {
			return hd, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// entries returns up to limit versions, newest first.
func entries(ctx context.Context, kv store.Store, hd *accept.Head, limit int) ([]accept.Entry, error) {
	var list []accept.Entry
	for en := hd.Last; en.Version > 0; {
		list = append(list, en)
		if len(list) == limit || en.Parent == 0 {
			break
		}
		parent, err := accept.Find(ctx, kv, hd, en.Parent)
		var me *accept.MissingError
		if errors.As(err, &me) {
			break
		}
		if err != nil {
			return nil, err
		}
		en = parent
	}
	return list, nil
}

func (ap *app) historyCmd() *ffcli.Command {
	fs := ap.newFlagSet("history")
	ap.platformFlag(fs)
	ap.jsonFlag(fs)
	limit := fs.Int("most", 20, "number of versions to list")
	return &ffcli.Command{
		Name: "history", ShortUsage: "flamingomast history --platform ADDR", FlagSet: fs, Options: envOption(),
		ShortHelp: "List the accepted versions, newest first.",
		Exec: func(ctx context.Context, _ []string) error {
			kv, err := ap.store()
			if err != nil {
				return err
			}
			hd, _, err := accept.Load(ctx, kv)
			if err != nil {
				return err
			}
			list, err := entries(ctx, kv, hd, *limit)
			if err != nil {
				return err
			}
			for _, en := range list {
				if ap.json {
					if err := ap.printJSON(en); err != nil {
						return err
					}
					continue
				}
				fmt.Fprintf(ap.out, "%6d  %s  %.12s  base %d  %s  %s\n", en.Version, en.Time.Format(time.RFC3339), en.Digest, en.Base, en.Author, en.Commit)
			}
			return nil
		},
	}
}

func (ap *app) showCmd() *ffcli.Command {
	fs := ap.newFlagSet("show")
	ap.platformFlag(fs)
	return &ffcli.Command{
		Name: "show", ShortUsage: "flamingomast show --platform ADDR VERSION", FlagSet: fs, Options: envOption(),
		ShortHelp: "Print the declarations of a version in their canonical form.",
		Exec: func(ctx context.Context, args []string) error {
			version, err := versionArg(args)
			if err != nil {
				return err
			}
			kv, err := ap.store()
			if err != nil {
				return err
			}
			text, err := show(ctx, kv, version)
			if err != nil {
				return err
			}
			_, err = ap.out.Write(text)
			return err
		},
	}
}

func show(ctx context.Context, kv store.Store, version uint64) ([]byte, error) {
	hd, _, err := accept.Load(ctx, kv)
	if err != nil {
		return nil, err
	}
	en, err := accept.Find(ctx, kv, hd, version)
	if err != nil {
		return nil, err
	}
	co, err := accept.Content(ctx, kv, en)
	if err != nil {
		return nil, err
	}
	ms, err := pack.Decode(co)
	if err != nil {
		return nil, err
	}
	return decl.Print(ms)
}
