package cmds

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/flamingomast/flamingomast/internal/node/demo"
	"github.com/flamingomast/flamingomast/internal/plat/stand"
)

// defaultExample is what dev shows when no directory is named.
const defaultExample = "examples/vale-sul"

func (ap *app) devCmd() *ffcli.Command {
	fs := ap.flags("dev")
	dur := fs.Duration("for", 10*time.Second, "how long to send requests")
	return &ffcli.Command{
		Name: "dev", ShortUsage: "flamingomast dev [--for DURATION] [DIR]", FlagSet: fs, Options: envOption(),
		ShortHelp: "A first look: run the declarations of DIR on loopback, with requests, a change and a replaced VM.",
		Exec: func(ctx context.Context, args []string) error {
			dir := defaultExample
			if len(args) > 0 {
				dir = args[0]
			}
			log := slog.New(slog.NewJSONHandler(ap.out, nil))
			sm, err := demo.Run(ctx, demo.Options{Dir: dir, For: *dur, Log: log})
			if sm != nil {
				if perr := ap.printJSON(sm); perr != nil {
					return perr
				}
			}
			if err == nil && !sm.OK() {
				err = errors.New("requests failed or doubled, or a daemon is behind; see the log above")
			}
			return err
		},
	}
}

func (ap *app) devPlatformCmd() *ffcli.Command {
	fs := ap.flags("dev-platform")
	listen := fs.String("listen", "127.0.0.1:7070", "address to serve, IP:PORT")
	return &ffcli.Command{
		Name: "dev-platform", ShortUsage: "flamingomast dev-platform [--listen ADDR]", FlagSet: fs, Options: envOption(),
		ShortHelp: "Run a stand-in of the platform's key-value service, in memory, for tests.",
		Exec: func(ctx context.Context, _ []string) error {
			ln, err := net.Listen("tcp", *listen)
			if err != nil {
				return err
			}
			return demo.ServePlatform(ctx, ln, stand.New())
		},
	}
}

func (ap *app) devServerCmd() *ffcli.Command {
	fs := ap.flags("dev-server")
	sr := &demo.Server{Ledger: &demo.Ledger{}}
	fs.StringVar(&sr.VM, "vm", "", "name of the VM")
	fs.StringVar(&sr.Service, "service", "", "service to announce")
	fs.StringVar(&sr.Listen, "listen", "127.0.0.1:0", "address to serve, IP:PORT")
	fs.StringVar(&sr.Admin, "daemon", "", "admin address of the VM's daemon, IP:PORT")
	fs.DurationVar(&sr.Work, "work", 0, "mean time that a request takes")
	return &ffcli.Command{
		Name: "dev-server", ShortUsage: "flamingomast dev-server --vm VM --service SERVICE --daemon ADDR", FlagSet: fs, Options: envOption(),
		ShortHelp: "Run a small backend server that announces itself, for tests.",
		Exec: func(ctx context.Context, _ []string) error {
			if sr.VM == "" || sr.Service == "" || sr.Admin == "" {
				return usageError("set --vm, --service and --daemon")
			}
			if err := sr.Run(ctx); err != nil {
				return fmt.Errorf("backend server: %w", err)
			}
			return nil
		},
	}
}
