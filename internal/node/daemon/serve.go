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
	front *piping.Pipeliner
}

// The limits of what callers may send.
const (
	headTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
	maxHead     = 64 << 10
)

func (dm *Daemon) servers() *servers {
	var both http.Protocols
	both.SetHTTP1(true)
	both.SetUnencryptedHTTP2(true)
	plain := func(h http.Handler) *http.Server {
		return &http.Server{
			Handler: h, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead,
			ErrorLog: slog.NewLogLogger(dm.log.Handler(), slog.LevelWarn),
		}
	}
	hs := dm.handlers()
	sv := &servers{
		inlet:   plain(dm.leaving(dm.Inlet)),
		control: dm.Node.NewServer(), admin: plain(admin.New(hs)),
	}
	sv.pages = sv.admin
	if dm.ad.Pages != nil {
		sv.pages = plain(dm.ad.Pages(hs))
	}
	sv.front = piping.New(dm.mayRunAhead, sv.callers.ConnState)
	// Whether an answer closes its connection is settled before what stands behind it begins.
	sv.outlet = plain(dm.leaving(sv.front.Handler(dm.Outlet)))
	sv.outlet.Protocols = &both
	sv.outlet.ConnState, sv.outlet.ConnContext = sv.front.ConnState, sv.front.ConnContext
	sv.inlet.ConnState = sv.peers.ConnState
	sv.control.ErrorLog = sv.outlet.ErrorLog
	return sv
}

// mayRunAhead reports whether a request may be begun before those that its caller sent
// before it are answered. Once the daemon drains, the next answer closes the
// connection, and what stands behind it counts as not read.
func (dm *Daemon) mayRunAhead(r *http.Request) bool {
	select {
	case <-dm.drained:
		return false
	default:
	}
	return dm.Outlet.Retryable(r)
}

// leaving tells callers and outlets to drop their connections once the daemon
// drains, so that none of them is in use when the listener goes.
func (dm *Daemon) leaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-dm.drained:
			w.Header().Set("Connection", "close")
		default:
		}
		next.ServeHTTP(w, r)
	})
}

// leave says everywhere that this daemon ends, and that it is not ready.
func (dm *Daemon) leave() {
	dm.drain.Do(func() {
		dm.log.Info("drain")
		close(dm.drained)
	})
	dm.local.poke()
}

// Drain refuses new requests for the backend server, here at once and, by the
// news, everywhere soon. It returns how many requests are running.
func (dm *Daemon) Drain() int {
	dm.leave()
	dm.closing.Store(true)
	running, _ := dm.Inlet.Gate.Drain()
	return running
}

// shutDown ends the daemon without cutting off a request: callers leave, the
// news goes out, running requests end, and only then do connections close. A
// process that was replaced takes its leave without delay.
func (dm *Daemon) shutDown(sv *servers, ls *listeners, replaced bool) {
	began := time.Now()
	timeout := time.Duration(dm.drainTimeout.Load())
	total := max(timeout-reserve, timeout/2)
	ctx, cancel := context.WithTimeout(context.Background(), total)
	defer cancel()
	dm.stopping.Store(true)
	dm.log.Info("stopping", slog.Int("connections", sv.callers.Len()))
	if !replaced {
		sleep(ctx, min(noticed, total/2))
	}
	dm.leave()
	if !replaced {
		sleep(ctx, min(handover, total/8))
	}
	dm.Drain()
	var wg conc.WaitGroup
	wg.Go(func() {
		// What the backend server still runs makes its calls by the outlet.
		dm.awaitServer(ctx, began.Add(total/2))
		dm.endServer(ctx, sv.outlet, ls.outlet, &sv.callers)
	})
	wg.Go(func() { dm.endServer(ctx, sv.inlet, ls.inlet, &sv.peers) })
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

// awaitServer waits until the backend server has answered what it runs, or until a moment.
func (dm *Daemon) awaitServer(ctx context.Context, until time.Time) {
	_, idle := dm.Inlet.Gate.Drain()
	late := time.NewTimer(time.Until(until))
	defer late.Stop()
	select {
	case <-idle:
	case <-late.C:
	case <-ctx.Done():
	}
}

// endServer ends a server once its requests have ended, or with ctx. It takes no
// new connections, so that those callers who have not left go elsewhere at once,
// and each answer from now on ends its connection.
func (dm *Daemon) endServer(ctx context.Context, hs *http.Server, ln net.Listener, conns *idle.Set) {
	if err := ln.Close(); err != nil {
		dm.log.Info("listener-close", slog.Any("error", err))
	}
	for conns.CloseIdle(0) > 0 && ctx.Err() == nil {
		sleep(ctx, endEvery)
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
	// idleEvery is how often they are looked at, and also how much longer than
	// the operators say they are kept, so that no caller who keeps to the limit
	// meets the end.
	idleEvery = 2 * time.Second
	// maxCallers is how many connections are kept at most; beyond it the idle
	// ones go earlier. A descriptor more than the process may have stops it from
	// accepting any.
	maxCallers = 1500
)

// endIdle ends the connections that callers have left idle for longer than the
// configuration in force allows.
func (dm *Daemon) endIdle(ctx context.Context, callers *idle.Set) {
	tick := time.NewTicker(idleEvery)
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
		if left := callers.CloseIdle(limit + idleEvery); left > maxCallers {
			dm.log.Warn("many-connections", slog.Int("connections", left))
			callers.CloseIdle(idleEvery)
		}
	}
}
