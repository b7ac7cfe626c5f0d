package cmds

import (
	"context"
	"flag"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/flamingomast/flamingomast/internal/node/daemon"
	"github.com/flamingomast/flamingomast/internal/node/setup"
)

// lookEvery is how often the settings file is looked at. It may change without a
// signal; one look costs a system call.
const lookEvery = 5 * time.Second

// reload takes changed settings, at a SIGHUP or when the file has changed, until
// ctx ends. The log level, the share of requests that is logged and the drain
// timeout take effect; all else, such as addresses, holds for the next start.
// Settings that cannot be read change nothing.
func (ap *app) reload(ctx context.Context, dm *daemon.Daemon, fs *flag.FlagSet, level *slog.LevelVar, log *slog.Logger) {
	file := fs.Lookup("config").Value.String()
	if file == "" {
		return
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	last := modified(file)
	for {
		cause := "file"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			cause = "signal"
		case <-tick.C:
			if modified(file).Equal(last) {
				continue
			}
		}
		last = modified(file)
		se, err := reread(file)
		if err != nil {
			log.Error("reload-failed", slog.String("cause", cause), slog.Any("error", err))
			continue
		}
		level.Set(se.LogLevel)
		dm.Reload(se)
		log.Info("reload", slog.String("cause", cause), slog.Any("settings", se))
	}
}

// modified returns when a file was changed last, the zero time where that cannot
// be told.
func modified(file string) time.Time {
	fi, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return fi.ModTime()
}

// reread reads settings from the environment and the file as at a start.
func reread(file string) (setup.Settings, error) {
	fs := flag.NewFlagSet("daemon", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	rd := setup.New(fs)
	if err := ff.Parse(fs, []string{"--config", file}, rd.Options()...); err != nil {
		return setup.Settings{}, err
	}
	return rd.Settings()
}
