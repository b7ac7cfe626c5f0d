package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/conf/accept"
	"github.com/flamingomast/flamingomast/internal/conf/strict"
	"github.com/flamingomast/flamingomast/internal/node/daemon"
	"github.com/flamingomast/flamingomast/internal/node/heap"
	"github.com/flamingomast/flamingomast/internal/node/setup"
	"github.com/flamingomast/flamingomast/internal/plat/store"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// Exit codes, which scripts can rely on.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2 // the command line, settings or declarations are wrong
	ExitConflict = 3 // another submission changed the same resources
	ExitWaiting  = 4 // accepted, but not yet in force everywhere
	ExitUnknown  = 5 // whether the submission was accepted is not known
	ExitPlatform = 6 // the platform does not answer or was set back
)

// minMemoryLimit is the lowest soft memory limit set for the Go runtime. It lies below the 32 MB
// that the whole process may use, which include the program text.
const minMemoryLimit = 22 << 20

// memoryFraction is the fraction of a larger memory setting that the runtime may use. With a limit
// below what the load needs, the garbage collector would run all the time.
const memoryFraction = 0.7

// app holds the state that the commands share.
type app struct {
	out, err io.Writer
	// platform and daemon are addresses set by the flags of the operators' commands.
	platform, daemon string
	adapters         Adapters
	json             bool
	// hangups receives SIGHUP; nil if the process does not handle it.
	hangups <-chan os.Signal
}

// Adapters maps names to the platform adapters that a daemon can use.
type Adapters map[string]daemon.Adapter

// Main runs the command line and returns the exit code. The daemon reloads its settings when a
// signal arrives on hangups, and the other commands ignore it.
func Main(args []string, out, errOut io.Writer, ads Adapters, hangups <-chan os.Signal) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return (&app{out: out, err: errOut, adapters: ads, hangups: hangups}).run(ctx, args)
}

// Run runs the command line until the command returns or ctx is canceled, and returns the exit
// code.
func Run(ctx context.Context, args []string, out, errOut io.Writer, ads Adapters) int {
	return (&app{out: out, err: errOut, adapters: ads}).run(ctx, args)
}

func (ap *app) run(ctx context.Context, args []string) int {
	root := ap.root()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		fmt.Fprintln(ap.err, "flamingomast:", err)
		return ExitUsage
	}
	return ap.exitCode(root.Run(ctx))
}

// exitCode prints err and returns the exit code for it.
func (ap *app) exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	fmt.Fprintln(ap.err, err)
	var (
		prs strict.Problems
		ce  *accept.ConflictError
		che *accept.CheckError
		be  *accept.BehindError
		ue  *accept.UnknownError
		we  *waitError
		se  *store.Error
		use usageError
	)
	switch {
	case errors.As(err, &prs), errors.As(err, &use):
		return ExitUsage
	case errors.As(err, &ce), errors.As(err, &che):
		return ExitConflict
	case errors.As(err, &we):
		return ExitWaiting
	case errors.As(err, &ue):
		return ExitUnknown
	case errors.As(err, &be), errors.As(err, &se):
		return ExitPlatform
	}
	return ExitFailed
}

// usageError reports wrong arguments or flags.
type usageError string

// Error returns the message.
func (ue usageError) Error() string { return string(ue) }

func (ap *app) root() *ffcli.Command {
	fs := flag.NewFlagSet("flamingomast", flag.ContinueOnError)
	fs.SetOutput(ap.err)
	return &ffcli.Command{
		Name:       "flamingomast",
		ShortUsage: "flamingomast COMMAND [flags] [arguments]",
		ShortHelp:  "Distribute the configuration of a service mesh and carry its requests.",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			ap.daemonCmd(), ap.checkCmd(), ap.planCmd(), ap.applyCmd(), ap.statusCmd(), ap.historyCmd(),
			ap.showCmd(), ap.revertCmd(), ap.rolloutCmd(), ap.routeCmd(), ap.statsCmd(), ap.explainCmd(), ap.accountCmd(), ap.drainCmd(), ap.devCmd(), ap.devPlatformCmd(), ap.devServerCmd(), ap.devLoadCmd(), ap.devMeshCmd(), ap.soakCmd(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usageError(fmt.Sprintf("flamingomast: no command %q; see flamingomast -h", args[0]))
			}
			return usageError("flamingomast: name a command; see flamingomast -h")
		},
	}
}

// newFlagSet returns an empty flag set for the command name.
func (ap *app) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet("flamingomast "+name, flag.ContinueOnError)
	fs.SetOutput(ap.err)
	return fs
}

func envOption() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(setup.EnvPrefix)} }

func (ap *app) daemonCmd() *ffcli.Command {
	fs := ap.newFlagSet("daemon")
	setup.New(fs)
	return &ffcli.Command{
		Name: "daemon", ShortUsage: "flamingomast daemon [--config FILE] [--SETTING VALUE ...]", FlagSet: fs,
		ShortHelp: "Run the daemon of a VM.",
		LongHelp:  "Settings come from flags, then from FLAMINGOMAST_* in the environment, then from the YAML file.",
		Exec: func(ctx context.Context, rest []string) error {
			args := commandLine(fs, rest)
			se, rd, err := readSettings(args)
			if err != nil {
				return err
			}
			ad, ok := ap.adapters[se.Adapter]
			if !ok && se.Adapter != "" {
				return usageError(fmt.Sprintf("no adapter %q; %s", se.Adapter, strict.Suggest(se.Adapter, slices.Sorted(maps.Keys(ap.adapters)))))
			}
			// Allocation profiling costs memory, and nothing reads the profile.
			runtime.MemProfileRate = 0
			debug.SetMemoryLimit(max(minMemoryLimit, int64(memoryFraction*float64(se.MemoryLimit))))
			var level slog.LevelVar
			level.Set(se.LogLevel)
			wr := logs.NewWriter(ap.out)
			bgCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
			var wg conc.WaitGroup
			wg.Go(func() { wr.Run(bgCtx) })
			wg.Go(func() { heap.Run(bgCtx) })
			defer wg.Wait()
			defer cancel()
			log := slog.New(logs.NewHandler(slog.NewJSONHandler(wr, &slog.HandlerOptions{Level: &level})))
			// Lines that libraries log through the default logger become JSON too.
			slog.SetDefault(log)
			dm := daemon.New(se, daemon.Options{Log: log, Adapter: ad})
			wg.Go(func() { ap.watchSettings(bgCtx, dm, rd, args, &level, log) })
			return dm.Run(ctx)
		},
	}
}
