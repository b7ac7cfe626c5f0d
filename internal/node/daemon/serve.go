package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/node/admin"
	"github.com/flamingomast/flamingomast/internal/path/idle"
	"github.com/flamingomast/flamingomast/internal/path/piping"
)

type servers struct {
	outlet, inlet, control, admin, pages *http.Server
	// callers and peers are the connections of the outlet and of the inlet.
	callers, peers idle.Set
	// front serves what callers send ahead.
	front *piping.Front
}

// The limits of what callers may send.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

func (dm *Daemon) servers() *servers {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	newServer := func(h http.Handler) *http.Server {
		return &http.Server{
			Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: slog.NewLogLogger(dm.log.Handler(), slog.LevelWarn),
		}
	}
	hs := dm.handlers()
	sv := &servers{
		inlet:   newServer(dm.closeWhenDraining(dm.Inlet)),
		control: dm.Node.NewServer(), admin: newServer(admin.New(hs)),
	}
	sv.pages = sv.admin
	if dm.adapter.Pages != nil {
		sv.pages = newServer(dm.adapter.Pages(hs))
	}
	sv.front = piping.New(dm.mayPipeline, sv.callers.State)
	// Whether an answer closes its connection is settled before what stands behind it begins.
	sv.outlet = newServer(dm.closeWhenDraining(sv.front.Handler(dm.Outlet)))
	sv.outlet.Protocols = &protocols
	sv.outlet.ConnState, sv.outlet.ConnContext = sv.front.ConnState, sv.front.ConnContext
	sv.inlet.ConnState = sv.peers.State
	sv.control.ErrorLog = sv.outlet.ErrorLog
	return sv
}

// mayPipeline reports whether a request may be begun before those that its caller sent
// before it are answered. Once the daemon drains, the next answer closes the
// connection, and what stands behind it counts as not read.
func (dm *Daemon) mayPipeline(r *http.Request) bool {
	select {
	case <-dm.draining:
		return false
	default:
	}
	return dm.Outlet.Repeatable(r)
}

// closeWhenDraining tells callers and outlets to drop their connections once the daemon
// drains, so that none of them is in use when the listener goes.
func (dm *Daemon) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-dm.draining:
			w.Header().Set("Connection", "close")
		default:
		}
		next.ServeHTTP(w, r)
	})
}

// beginDrain says everywhere that this daemon ends, and that it is not ready.
func (dm *Daemon) beginDrain() {
	dm.drainOnce.Do(func() {
		dm.log.Info("drain")
		close(dm.draining)
	})
	dm.local.notify()
}

// Drain refuses new requests for the backend server, here at once and, by the
// news, everywhere soon. It returns how many requests are running.
func (dm *Daemon) Drain() int {
	dm.beginDrain()
	dm.inletClosed.Store(true)
	running, _ := dm.Inlet.Gate.Drain()
	return running
}

// shutDown ends the daemon without cutting off a request: callers leave, the
// news goes out, running requests end, and only then do connections close. A
// process that was replaced takes its leave without delay.
func (dm *Daemon) shutDown(sv *servers, ls *listeners, replaced bool) {
	began := time.Now()
	timeout := time.Duration(dm.drainTimeout.Load())
	total := max(timeout-shutdownReserve, timeout/2)
	ctx, cancel := context.WithTimeout(context.Background(), total)
	defer cancel()
	dm.stopping.Store(true)
	dm.log.Info("stopping", slog.Int("connections", sv.callers.Len()))
	if !replaced {
		sleep(ctx, min(callerLeaveTime, total/2))
	}
	dm.beginDrain()
	if !replaced {
		sleep(ctx, min(inletGrace, total/8))
	}
	dm.Drain()
	var wg conc.WaitGroup
	wg.Go(func() {
		// What the backend server still runs makes its calls by the outlet.
		dm.waitForBackend(ctx, began.Add(total/2))
		dm.closeServer(ctx, sv.outlet, ls.outlet, &sv.callers)
	})
	wg.Go(func() { dm.closeServer(ctx, sv.inlet, ls.inlet, &sv.peers) })
	wg.Wait()
	if !replaced {
		dm.Node.Leave(context.Background())
	}
	for _, hs := range []*http.Server{sv.control, sv.admin, sv.pages} {
		if err := hs.Close(); err != nil {
			dm.log.Info("listener-close", slog.Any("error", err))
		}
	}
	dm.Inlet.Close()
	dm.Outlet.Close()
	dm.log.Info("drained", slog.Duration("took", time.Since(began)))
}

// waitForBackend waits until the backend server has answered what it runs, or until a moment.
func (dm *Daemon) waitForBackend(ctx context.Context, until time.Time) {
	_, idle := dm.Inlet.Gate.Drain()
	timeout := time.NewTimer(time.Until(until))
	defer timeout.Stop()
	select {
	case <-idle:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// closeServer ends a server once its requests have ended, or with ctx. It takes no
// new connections, so that those callers who have not left go elsewhere at once,
// and each answer from now on ends its connection.
func (dm *Daemon) closeServer(ctx context.Context, hs *http.Server, ln net.Listener, conns *idle.Set) {
	if err := ln.Close(); err != nil {
		dm.log.Info("listener-close", slog.Any("error", err))
	}
	for conns.End(0) > 0 && ctx.Err() == nil {
		sleep(ctx, idleCloseInterval)
	}
	err := hs.Shutdown(ctx)
	if err == nil {
		return
	}
	dm.log.Error("cut-off", slog.Int("connections", conns.Len()), slog.Any("error", err))
	if err := hs.Close(); err != nil {
		dm.log.Info("listener-close", slog.Any("error", err))
	}
}

// The ending of callers' idle connections.
const (
	// idleCheckInterval is how often they are looked at, and also how much longer than
	// the operators say they are kept, so that no caller who keeps to the limit
	// meets the end.
	idleCheckInterval = 2 * time.Second
	// maxCallerConns is how many connections are kept at most; beyond it the idle
	// ones go earlier. A descriptor more than the process may have stops it from
	// accepting any.
	maxCallerConns = 1500
)

// closeIdleCallers ends the connections that callers have left idle for longer than the
// configuration in force allows.
func (dm *Daemon) closeIdleCallers(ctx context.Context, callers *idle.Set) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		limit := idleTimeout
		if sn := dm.Node.Board.Held.Get(); sn != nil && sn.Limits.Idle > 0 {
			limit = time.Duration(sn.Limits.Idle)
		}
		if open := callers.End(limit + idleCheckInterval); open > maxCallerConns {
			dm.log.Warn("many-connections", slog.Int("connections", open))
			callers.End(idleCheckInterval)
		}
	}
}
