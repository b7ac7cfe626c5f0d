package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/flamingomast/flamingomast/internal/node/admin"
	"github.com/flamingomast/flamingomast/internal/node/probe"
	"github.com/flamingomast/flamingomast/internal/node/server"
)

// The probing of the backend server at start-up.
const (
	// probeInterval is the pause between two probes.
	probeInterval = 150 * time.Millisecond
	// probeTimeout is how long the server is probed: by then it has announced itself, which it does
	// every 1.5 s.
	probeTimeout = 1500 * time.Millisecond
	// probeTTL is how long a result is valid: three announcement intervals.
	probeTTL = 4500 * time.Millisecond
)

// runProbe probes the VM's own backend server until it is found to serve, has announced itself to
// this process, or probeTimeout is over. A server that outlives its daemon announces itself up to
// one interval after the next daemon has started; until then it would get no requests, though it
// could serve them.
func (dm *Daemon) runProbe(ctx context.Context) {
	path := dm.healthPath(ctx)
	if path == "" {
		return
	}
	pr := probe.Prober{Lifetime: dm.adapter.Names.Lifetime, Load: dm.adapter.Names.Load}
	for end := time.Now().Add(probeTimeout); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, probeInterval) {
		if !dm.awaitsAnnouncement() {
			return
		}
		re, err := pr.Probe(ctx, dm.se.Server, path)
		if err != nil {
			dm.log.Info("probe-failed", slog.Any("error", err))
			continue
		}
		dm.assumeServing(re)
		return
	}
}

// healthPath waits for a configuration and for the predecessor's state, and returns the path at
// which the VM's own backend server is probed, empty for none.
func (dm *Daemon) healthPath(ctx context.Context) string {
	if dm.se.Server == "" || dm.se.Service == "" || dm.adapter.Names.Lifetime == "" {
		return ""
	}
	select {
	case <-dm.local.recoveryDone:
	case <-ctx.Done():
		return ""
	}
	for ctx.Err() == nil {
		sn, changed := dm.Node.Board.Held.Watch()
		if sn != nil {
			if sv := sn.Services[dm.se.Service]; sv != nil {
				return sv.Health
			}
			return ""
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return ""
}

// awaitsAnnouncement reports whether no backend server has announced itself yet.
func (dm *Daemon) awaitsAnnouncement() bool {
	st, _ := dm.local.watch(time.Now())
	return st.Announcement == nil
}

func (dm *Daemon) assumeServing(re probe.Result) {
	accepted := false
	dm.local.update(func(tr *server.Tracker) {
		accepted = tr.Assume(admin.Announcement{
			Service: dm.se.Service, Address: dm.se.Server, Slots: re.Slots, Lifetime: re.Lifetime, TTLMs: int(probeTTL.Milliseconds()),
		}, time.Now())
	})
	dm.log.Info("server-found", slog.String("lifetime", re.Lifetime), slog.Int("slots", re.Slots), slog.Bool("taken", accepted))
}
