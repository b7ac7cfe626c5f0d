package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/node/admin"
	"github.com/flamingomast/flamingomast/internal/path/gone"
	"github.com/flamingomast/flamingomast/internal/path/idle"
	"github.com/flamingomast/flamingomast/internal/path/piping"
)

type servers struct {
	outlet, inlet, control, admin, pages *http.Server
	// callers and peers track the connections of the outlet and of the inlet.
	callers, peers idle.Set
	// front serves pipelined requests.
	front *piping.Pipeliner
}

// The limits for callers' connections and headers.
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
	sv.front = piping.New(dm.mayPipeline, sv.callers.ConnState)
	// It must be settled whether a response closes its connection before a pipelined request behind
	// it starts, so closeWhenDraining comes first.
	sv.outlet = newServer(dm.closeWhenDraining(sv.front.Handler(dm.Outlet)))
	sv.outlet.Protocols = &protocols
	sv.outlet.ConnState, sv.outlet.ConnContext = sv.front.ConnState, sv.front.ConnContext
	sv.inlet.ConnState, sv.inlet.ConnContext = sv.peers.ConnState, gone.ConnContext
	sv.control.ErrorLog = sv.outlet.ErrorLog
	return sv
}

// mayPipeline reports whether a request may start before the earlier requests on its connection are
// answered. Once the daemon drains, the next response closes the connection, and the requests
// behind it count as not read.
func (dm *Daemon) mayPipeline(r *http.Request) bool {
	select {
	case <-dm.draining:
		return false
	default:
	}
	return dm.Outlet.Retryable(r)
}

// closeWhenDraining makes callers and outlets close their connections once the daemon drains, so
// that none is in use when the listener closes.
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

// beginDrain publishes that this daemon is draining, and makes it not ready.
func (dm *Daemon) beginDrain() {
	dm.drainOnce.Do(func() {
		dm.log.Info("drain")
		close(dm.draining)
	})
	dm.local.notify()
}

// Drain refuses new requests for the backend server: here at once, and at the other daemons as soon
// as the updated record reaches them. It returns the number of running requests.
func (dm *Daemon) Drain() int {
	dm.beginDrain()
	dm.inletClosed.Store(true)
	running, _ := dm.Inlet.Gate.Drain()
	return running
}

// shutDown ends the daemon without interrupting requests: callers leave, the drain is published,
// running requests end, and only then do connections close. A process that was replaced does not
// wait for callers and outlets.
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
		// Requests that the backend server still runs make their calls through the outlet.
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

// waitForBackend waits until the backend server has answered its running requests, until the given
// time, or until ctx ends.
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

// closeServer closes a server once its requests have ended, or when ctx ends. It accepts no new
// connections, so that callers that have not left go elsewhere at once, and each response from now
// on closes its connection.
func (dm *Daemon) closeServer(ctx context.Context, hs *http.Server, ln net.Listener, conns *idle.Set) {
	if err := ln.Close(); err != nil {
		dm.log.Info("listener-close", slog.Any("error", err))
	}
	for conns.CloseIdle(0) > 0 && ctx.Err() == nil {
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

// The closing of callers' idle connections.
const (
	// idleCheckInterval is how often idle connections are checked. It is also added to the idle
	// time that operators state, so that a caller that keeps to the limit never meets a closed
	// connection.
	idleCheckInterval = 2 * time.Second
	// maxCallerConns is the number of connections above which idle ones are closed earlier. A
	// process that has used up its file descriptors cannot accept any connection.
	maxCallerConns = 1500
)

// closeIdleCallers closes callers' connections that have been idle for longer than the
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
		if open := callers.CloseIdle(limit + idleCheckInterval); open > maxCallerConns {
			dm.log.Warn("many-connections", slog.Int("connections", open))
			callers.CloseIdle(idleCheckInterval)
		}
	}
}
