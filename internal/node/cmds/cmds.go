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

// The exit codes, for pipelines.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2 // the command line, settings or declarations are wrong
	ExitConflict = 3 // another submission changed the same resources
	ExitWaiting  = 4 // accepted, but not yet in force everywhere
	ExitUnknown  = 5 // it is not known whether the submission was accepted
	ExitPlatform = 6 // the platform does not answer, or was set back
)

// memoryLimit is the soft limit of what the runtime takes, below the 32 MB that the
// whole process may take with its program text.
const memoryLimit = 22 << 20

// memoryPart is the part of a larger allowance that the runtime may take. Below
// what the load needs the collector runs all the time.
const memoryPart = 0.7

// app holds what the commands share.
type app struct {
	out, err io.Writer
	// platform and daemons are set by flags of the operators' commands.
	platform, daemon string
	adapters         Adapters
	json             bool
}

// Adapters are the platforms that a daemon can be joined to, by name.
type Adapters map[string]daemon.Adapter

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer, ads Adapters) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Left to itself the runtime ends the process at a SIGHUP. The daemon takes
	// it as news of changed settings; other commands have none.
	signal.Ignore(syscall.SIGHUP)
	return Run(ctx, args, out, errOut, ads)
}

// Run runs the command line until it is done or ctx ends.
func Run(ctx context.Context, args []string, out, errOut io.Writer, ads Adapters) int {
	ap := &app{out: out, err: errOut, adapters: ads}
	root := ap.root()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		fmt.Fprintln(errOut, "flamingomast:", err)
		return ExitUsage
	}
	return ap.code(root.Run(ctx))
}

// code prints an error and returns its exit code.
func (ap *app) code(err error) int {
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

// usageError says that a command was called in a wrong way.
type usageError string

// Error returns the text.
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

// flags returns a flag set whose flags can also be given by environment.
func (ap *app) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet("flamingomast "+name, flag.ContinueOnError)
	fs.SetOutput(ap.err)
	return fs
}

func envOption() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(setup.EnvPrefix)} }

func (ap *app) daemonCmd() *ffcli.Command {
	fs := ap.flags("daemon")
	rd := setup.New(fs)
	return &ffcli.Command{
		Name: "daemon", ShortUsage: "flamingomast daemon [--config FILE] [--SETTING VALUE ...]", FlagSet: fs, Options: rd.Options(),
		ShortHelp: "Run the daemon of a VM.",
		LongHelp:  "Settings come from flags, then from FLAMINGOMAST_* in the environment, then from the YAML file.",
		Exec: func(ctx context.Context, _ []string) error {
			se, err := rd.Settings()
			if err != nil {
				return err
			}
			ad, ok := ap.adapters[se.Adapter]
			if !ok && se.Adapter != "" {
				return usageError(fmt.Sprintf("no adapter %q; %s", se.Adapter, strict.Suggest(se.Adapter, slices.Sorted(maps.Keys(ap.adapters)))))
			}
			// The profile of allocations costs memory, and nothing reads it.
			runtime.MemProfileRate = 0
			debug.SetMemoryLimit(max(memoryLimit, int64(memoryPart*float64(se.MemoryLimit))))
			var level slog.LevelVar
			level.Set(se.LogLevel)
			wr := logs.NewWriter(ap.out)
			life, end := context.WithCancel(context.WithoutCancel(ctx))
			var wg conc.WaitGroup
			wg.Go(func() { wr.Run(life) })
			wg.Go(func() { heap.Run(life) })
			defer wg.Wait()
			defer end()
			log := slog.New(logs.NewHandler(slog.NewJSONHandler(wr, &slog.HandlerOptions{Level: &level})))
			// What libraries log by themselves becomes JSON lines too.
			slog.SetDefault(log)
			dm := daemon.New(se, daemon.Options{Log: log, Adapter: ad})
			wg.Go(func() { ap.reload(life, dm, fs, &level, log) })
			return dm.Run(ctx)
		},
	}
}
