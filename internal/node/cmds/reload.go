package cmds

import (
	"context"
	"flag"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/flamingomast/flamingomast/internal/node/daemon"
	"github.com/flamingomast/flamingomast/internal/node/setup"
)

// filePollInterval is the interval at which the settings file is checked for changes, as it may
// change without a signal. A check costs one system call.
const filePollInterval = 5 * time.Second

// watchSettings reloads the settings on SIGHUP or when the file has changed, until ctx is done. The
// log level, the share of logged requests and the drain timeout take effect at once; all other
// settings, such as addresses, take effect at the next start. Settings with errors change nothing.
// rd has read the settings at the start, with the command line args.
func (ap *app) watchSettings(ctx context.Context, dm *daemon.Daemon, rd *setup.Reader, args []string, level *slog.LevelVar, log *slog.Logger) {
	file := rd.File()
	if file == "" {
		return
	}
	tick := time.NewTicker(filePollInterval)
	defer tick.Stop()
	// A change between the reading at the start and now shows at the first poll.
	last := rd.ModTime()
	for {
		cause := "file"
		select {
		case <-ctx.Done():
			return
		case <-ap.hangups:
			cause = "signal"
		case <-tick.C:
			if modTime(file).Equal(last) {
				continue
			}
		}
		last = modTime(file)
		se, _, err := readSettings(args)
		if err != nil {
			log.Error("reload-failed", slog.String("cause", cause), slog.Any("error", err))
			continue
		}
		level.Set(se.LogLevel)
		dm.Reload(se)
		log.Info("reload", slog.String("cause", cause), slog.Any("settings", se))
	}
}

// modTime returns the modification time of a file, or the zero time if it cannot be read.
func modTime(file string) time.Time {
	fi, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return fi.ModTime()
}

// commandLine returns the flags that were set, and the arguments after them, as a command line.
func commandLine(fs *flag.FlagSet, rest []string) []string {
	var args []string
	fs.Visit(func(fl *flag.Flag) { args = append(args, "--"+fl.Name+"="+fl.Value.String()) })
	return append(args, rest...)
}

// readSettings reads the settings from a command line, the environment and the file that they name.
func readSettings(args []string) (setup.Settings, *setup.Reader, error) {
	fs := flag.NewFlagSet("daemon", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	rd := setup.New(fs)
	if err := ff.Parse(fs, args, rd.Options()...); err != nil {
		return setup.Settings{}, rd, usageError("flamingomast: " + err.Error())
	}
	se, err := rd.Settings()
	return se, rd, err
}
