package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/sample"
	"github.com/flamingomast/flamingomast/internal/node/demo"
	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// defaultExample is the directory that dev uses when none is given.
const defaultExample = "examples/vale-sul"

func (ap *app) devCmd() *ffcli.Command {
	fs := ap.newFlagSet("dev")
	dur := fs.Duration("for", 10*time.Second, "how long to send requests")
	return &ffcli.Command{
		Name: "dev", ShortUsage: "flamingomast dev [--for DURATION] [DIR]", FlagSet: fs, Options: envOption(),
		ShortHelp: "Demo: run the declarations of DIR on loopback, with requests, a configuration change and a replaced VM.",
		Exec: func(ctx context.Context, args []string) error {
			dir := defaultExample
			if len(args) > 0 {
				dir = args[0]
			}
			log := slog.New(slog.NewJSONHandler(ap.out, nil))
			summary, err := demo.Run(ctx, demo.Options{Dir: dir, Duration: *dur, Log: log})
			if summary != nil {
				if perr := ap.printJSON(summary); perr != nil {
					return perr
				}
			}
			if err == nil && !summary.OK() {
				err = errors.New("requests failed or ran twice, or a daemon is behind; see the log above")
			}
			return err
		},
	}
}

func (ap *app) devPlatformCmd() *ffcli.Command {
	fs := ap.newFlagSet("dev-platform")
	listen := fs.String("listen", "127.0.0.1:7070", "address to serve, IP:PORT")
	return &ffcli.Command{
		Name: "dev-platform", ShortUsage: "flamingomast dev-platform [--listen ADDR]", FlagSet: fs, Options: envOption(),
		ShortHelp: "Run an in-memory stand-in for the platform's key-value service, for tests.",
		LongHelp:  "SIGUSR1 takes a backup of its content, SIGUSR2 restores the last backup in a new epoch.",
		Exec: func(ctx context.Context, _ []string) error {
			ln, err := net.Listen("tcp", *listen)
			if err != nil {
				return err
			}
			st := fakekv.New()
			go backupOnSignals(ctx, st, ap.out)
			return demo.ServePlatform(ctx, ln, st)
		},
	}
}

// backupOnSignals backs up the stand-in on SIGUSR1 and restores the last backup, in a new epoch, on
// SIGUSR2, until ctx is done.
func backupOnSignals(ctx context.Context, st *fakekv.Service, out io.Writer) {
	log := slog.New(slog.NewJSONHandler(out, nil))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	defer signal.Stop(signals)
	bk := st.Backup()
	for {
		select {
		case <-ctx.Done():
			return
		case sg := <-signals:
			if sg == syscall.SIGUSR1 {
				bk = st.Backup()
				log.Info("platform-copied", slog.Int64("revision", st.LatestRevision()))
				continue
			}
			st.RestoreInNewEpoch(bk)
			log.Info("platform-came-back", slog.Int64("revision", st.LatestRevision()), slog.Int64("epoch", int64(st.Epoch())))
		}
	}
}

func (ap *app) devServerCmd() *ffcli.Command {
	fs := ap.newFlagSet("dev-server")
	sr := &demo.Server{RunCounter: &demo.RunCounter{}}
	fs.StringVar(&sr.VM, "vm", "", "name of the VM")
	fs.StringVar(&sr.Service, "service", "", "service to announce")
	fs.StringVar(&sr.Listen, "listen", "127.0.0.1:0", "address to serve, IP:PORT")
	fs.StringVar(&sr.Admin, "daemon", "", "admin address of the VM's daemon, IP:PORT")
	fs.DurationVar(&sr.ServiceTime, "work", 0, "mean processing time of a request")
	fs.StringVar(&sr.Software, "software", "", "software version to announce")
	fs.Float64Var(&sr.FailureRate, "failing", 0, "share of the requests, 0 to 1, that are answered with 500")
	fs.StringVar(&sr.FailurePath, "failing-path", "/", "path prefix of the requests that --failing applies to")
	fs.DurationVar(&sr.FailureDelay, "failing-after", 0, "time after the start before --failing applies")
	fs.StringVar(&sr.RateLimit, "rate-limit", "", "requests per second, from all callers together, that its responses name as its limit")
	fs.DurationVar(&sr.LeavingDelay, "leaving-after", 0, "time after the start from which its responses say that it is leaving")
	fs.StringVar(&sr.Calls, "calls", "", "service to call once for each request")
	fs.StringVar(&sr.Outlet, "outlet", "", "outlet of the VM's daemon for these calls, IP:PORT")
	printRuns := fs.Bool("print-runs", false, "print a line for each request that starts")
	fault := fs.String("fault", "", "fault to produce instead of a response: "+faultNames())
	return &ffcli.Command{
		Name: "dev-server", ShortUsage: "flamingomast dev-server --vm VM --service SERVICE --daemon ADDR", FlagSet: fs, Options: envOption(),
		ShortHelp: "Run a small backend server that announces itself, for tests.",
		Exec: func(ctx context.Context, _ []string) error {
			if sr.VM == "" || sr.Service == "" || sr.Admin == "" {
				return usageError("set --vm, --service and --daemon")
			}
			if (sr.Calls == "") != (sr.Outlet == "") {
				return usageError("set --calls and --outlet, or neither")
			}
			if *fault != "" {
				fa, ok := faulty.Find(*fault)
				if !ok {
					return usageError(fmt.Sprintf("no fault %q; known are %s", *fault, faultNames()))
				}
				sr.Fault = fa.Handler
			}
			if *printRuns {
				sr.OnRun = func(run demo.RunEvent) {
					// A write fails only if the reader of the output has closed it.
					_ = ap.printJSON(run)
				}
			}
			if err := sr.Run(ctx); err != nil {
				return fmt.Errorf("backend server: %w", err)
			}
			return nil
		},
	}
}

// maxSampleSize is the upper bound of each count of a sample. With larger counts the declarations
// would not fit into a file.
const maxSampleSize = 10_000

func (ap *app) devMeshCmd() *ffcli.Command {
	fs := ap.newFlagSet("dev-mesh")
	vms := fs.Int("vms", 9, "number of VMs")
	domains := fs.Int("failure-domains", 3, "number of failure domains")
	services := fs.Int("services", 2, "number of services")
	return &ffcli.Command{
		Name: "dev-mesh", ShortUsage: "flamingomast dev-mesh [--vms N] [--failure-domains N] [--services N]", FlagSet: fs, Options: envOption(),
		ShortHelp: "Print sample declarations of a given size, for tests.",
		Exec: func(_ context.Context, _ []string) error {
			for name, n := range map[string]int{"vms": *vms, "failure-domains": *domains, "services": *services} {
				if n < 1 || n > maxSampleSize {
					return usageError(fmt.Sprintf("--%s is %d; set it from 1 to %d", name, n, maxSampleSize))
				}
			}
			text, err := decl.Print(sample.Mesh(*vms, *domains, *services))
			if err != nil {
				return err
			}
			_, err = ap.out.Write(text)
			return err
		},
	}
}

// faultNames lists the faults that dev-server can produce.
func faultNames() string {
	var names []string
	for _, fa := range faulty.Faults {
		names = append(names, fa.Name)
	}
	return strings.Join(names, ", ")
}

func (ap *app) devLoadCmd() *ffcli.Command {
	fs := ap.newFlagSet("dev-load")
	op := demo.LoadOptions{}
	fs.StringVar(&op.Host, "host", "booking", "host of each request")
	fs.StringVar(&op.Path, "path", "/", "path of each request")
	fs.IntVar(&op.Requests, "requests", 5000, "number of requests to each target")
	fs.IntVar(&op.Workers, "workers", 1, "number of concurrent requests")
	fs.DurationVar(&op.MaxPause, "pause", 400*time.Microsecond, "longest pause between two requests of a worker")
	return &ffcli.Command{
		Name: "dev-load", ShortUsage: "flamingomast dev-load [flags] NAME=ADDR...", FlagSet: fs, Options: envOption(),
		ShortHelp: "Send requests to the addresses in turn, and compare their latencies with those of the first.",
		Exec: func(ctx context.Context, args []string) error {
			for _, arg := range args {
				name, addr, ok := strings.Cut(arg, "=")
				if !ok {
					return usageError(fmt.Sprintf("%q is not NAME=ADDR", arg))
				}
				op.Targets = append(op.Targets, demo.LoadTarget{Name: name, Addr: addr})
			}
			results, err := demo.Load(ctx, op)
			for _, lr := range results {
				if err := ap.printJSON(lr); err != nil {
					return err
				}
			}
			return err
		},
	}
}
