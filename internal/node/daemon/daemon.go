package daemon

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/ctrl"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/node/admin"
	"github.com/flamingomast/flamingomast/internal/node/setup"
	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/outlet"
	"github.com/flamingomast/flamingomast/internal/path/pacer"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/dialer"
	"github.com/flamingomast/flamingomast/internal/plat/guard"
	"github.com/flamingomast/flamingomast/internal/plat/remote"
	"github.com/flamingomast/flamingomast/internal/plat/store"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
	"github.com/flamingomast/flamingomast/internal/stat/meter"
	"github.com/flamingomast/flamingomast/internal/stat/usage"
)

// The phases of a shutdown, measured from its start. Each is cut to a fraction of the drain timeout
// when that is short.
const (
	// callerLeaveTime is how long callers need to leave: they poll readiness once a second and
	// leave after two failures. Until then the backend server, which may outlive the daemon, serves
	// as before. It gets no requests while the daemon restarts, so the time is kept short.
	callerLeaveTime = 2 * time.Second
	// inletGrace is how long the inlet then still accepts requests. The record that says this
	// daemon is draining reaches the outlets within tens of milliseconds; until then a refusal
	// would only cost them a second attempt.
	inletGrace = 300 * time.Millisecond
	// idleCloseInterval is how often connections that have become idle are closed.
	idleCloseInterval = 20 * time.Millisecond
	// shutdownReserve is the part of the drain timeout that is kept for the steps after the last
	// request.
	shutdownReserve = 400 * time.Millisecond
)

// The idle connections that an outlet keeps to each inlet. A connection uses memory at both ends,
// and opening another one costs the backend server nothing.
const (
	maxIdlePerInlet  = 12
	inletIdleTimeout = 3 * time.Second
)

// Daemon connects the backend server of one VM to the mesh.
type Daemon struct {
	Node   *ctrl.Node
	Outlet *outlet.Outlet
	Inlet  *inlet.Inlet

	se    setup.Settings
	log   *slog.Logger
	guard *guard.Guard
	// controlBytes counts the bytes that the control plane sends and receives, pathBytes those that
	// the outlet and the inlet exchange with other VMs.
	controlBytes, pathBytes meter.Meter
	drainOnce               sync.Once
	// draining is closed when a drain begins.
	draining chan struct{}
	// stopping is set once the process is to end, inletClosed once the inlet must not accept
	// requests again.
	stopping, inletClosed atomic.Bool
	// drainTimeout is the current setting in nanoseconds.
	drainTimeout atomic.Int64
	// store is the platform's key-value store, called through the guard.
	store store.Store
	local localServer
	// departure is the newest one that the backend server announced.
	departure board.Cell[storedDeparture]
	adapter   Adapter
}

// Adapter connects a daemon to a platform that has its own names, formats and calls. The zero value
// uses those of this project.
type Adapter struct {
	// Store returns the key-value store at an address.
	Store func(addr string) store.Store
	// Source returns the source of configuration versions, given the region of each failure domain.
	Source func(domains map[string]string) ctrl.Source
	// Names are the headers exchanged with callers and backend servers.
	Names result.HeaderNames
	// Pages returns the handler for the readiness and announcement addresses in the settings.
	Pages func(admin.Handlers) http.Handler
}

// Options replaces parts of a daemon. The zero value uses the defaults.
type Options struct {
	Log     *slog.Logger
	Store   *store.Store
	Adapter Adapter
}

// New returns a daemon. The settings must have been checked.
func New(se setup.Settings, op Options) *Daemon {
	dm := &Daemon{se: se, log: op.Log, draining: make(chan struct{}), adapter: op.Adapter}
	dm.drainTimeout.Store(int64(se.DrainTimeout))
	dm.local.recoveryDone = make(chan struct{})
	if dm.log == nil {
		dm.log = slog.New(slog.DiscardHandler)
	}
	dm.log = dm.log.With(slog.String("vm", se.VM))
	kv := op.Store
	if kv == nil {
		st := dm.openStore()
		kv = &st
	}
	dm.guard = guard.New(*kv)
	link := pacer.New(se.LinkRate)
	dm.controlBytes.OnSent, dm.pathBytes.OnSent = link.Sent, link.Sent
	var src ctrl.Source
	if dm.adapter.Source != nil {
		src = dm.adapter.Source(se.Domains)
	}
	quota := admit.New(func() *admit.Directive { return dm.Node.Board.Directive.Get() })
	quota.Outlets, quota.Tolerance = dm.outlets, se.QuotaTolerance
	dm.Node = ctrl.New(ctrl.Config{
		Quota:  ctrl.Quota{Usage: quota.Usage, Due: quota.Due, Tolerance: se.QuotaTolerance},
		Source: src,
		VM:     se.VM, Domain: se.Domain, Control: se.Control, Inlet: se.Inlet, Seeds: se.Seeds, Token: se.Token, Capacity: uint32(se.LinkRate / 1e6),
		Store: dm.guard.Store(), OnNewEpoch: dm.guard.ResetBreaker, Counts: dm.counts, FirstStart: se.FirstStart, Log: dm.log, Dial: dm.controlBytes.Dialer(dialer.Dial), Drain: dm.Drain,
	})
	dm.store = dm.Node.Store()
	dm.Outlet = outlet.New(outlet.Options{
		Log: dm.log, LogSample: se.LogSample, Token: se.Token, Names: dm.adapter.Names, Service: se.Service, LinkRate: se.LinkRate,
		Work: func() limit.Activity { return dm.Inlet.Gate.Activity() }, RetryBound: &se.RetryBound, Poison: dm.Node.Board.Poison.Get,
		FromServer: dm.isServer, Quota: quota,
		Forwarder: proxy.New(proxy.Options{Dial: dm.pathBytes.Dialer(dialer.Dial), MaxIdle: maxIdlePerInlet, IdleTimeout: inletIdleTimeout}),
	})
	dm.Inlet = inlet.New(proxy.Options{}, link)
	dm.Inlet.Names, dm.Inlet.Log = dm.adapter.Names, dm.log
	dm.Inlet.Token = se.Token
	dm.Inlet.Poison, dm.Inlet.Report = dm.Node.Board.Poison.Get, dm.Node.ReportCrashes
	dm.Inlet.Unreachable = func(inlet.Target) { dm.serverUnreachable() }
	dm.Inlet.Leaving = dm.serverLeaving
	return dm
}

// outlets returns the number of outlets of the mesh, 0 as long as it is unknown.
func (dm *Daemon) outlets() int {
	if n := dm.Node.Board.Outlets.Get(); n != nil {
		return *n
	}
	return 0
}

func (dm *Daemon) openStore() store.Store {
	if dm.adapter.Store != nil {
		return dm.adapter.Store(dm.se.Platform)
	}
	return remote.New(dm.se.Platform).Store()
}

// Reload applies those changed settings that can change while the daemon runs.
func (dm *Daemon) Reload(se setup.Settings) {
	dm.Outlet.SetLogSample(se.LogSample)
	dm.drainTimeout.Store(int64(se.DrainTimeout))
}

// listeners are the sockets of a daemon. ready and announce are nil unless configured.
type listeners struct {
	outlet, inlet, control, admin, ready, announce net.Listener
}

func (dm *Daemon) listen() (*listeners, error) {
	var ls listeners
	var errs []error
	for _, it := range []struct {
		name, addr string
		ln         *net.Listener
	}{
		{"outlet", dm.se.Outlet, &ls.outlet}, {"inlet", dm.se.Inlet, &ls.inlet},
		{"control", dm.se.Control, &ls.control}, {"admin", dm.se.Admin, &ls.admin},
		{"ready", dm.se.Ready, &ls.ready}, {"announce", dm.se.Announce, &ls.announce},
	} {
		if it.addr == "" {
			continue
		}
		ln, err := net.Listen("tcp", it.addr)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w; free the address or set --%s to another", it.name, err, it.name))
			continue
		}
		*it.ln = ln
	}
	return &ls, errors.Join(errs...)
}

// Run serves until ctx ends, then drains and returns. It returns an error if it cannot start, or if
// another process has taken over this VM's name.
func (dm *Daemon) Run(ctx context.Context) error {
	ls, err := dm.listen()
	if err != nil {
		return err
	}
	dm.log.Info("daemon-start", slog.Any("settings", dm.se))
	// The components outlive ctx by the duration of the drain.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	for _, fn := range []func(context.Context){dm.Node.Run, dm.runRouting, dm.runLocalServer, dm.runStoreDeparture, dm.runRecovery, dm.runProbe, dm.runUsage} {
		wg.Go(func() { fn(runCtx) })
	}
	servers := dm.servers()
	for _, sv := range []struct {
		hs *http.Server
		ln net.Listener
	}{
		{servers.outlet, servers.front.Listener(servers.callers.Listener(ls.outlet))}, {servers.inlet, servers.peers.Listener(dm.pathBytes.Listener(ls.inlet))},
		{servers.control, dm.controlBytes.Listener(ls.control)}, {servers.admin, ls.admin},
		{servers.pages, ls.ready}, {servers.pages, ls.announce},
	} {
		if sv.ln == nil {
			continue
		}
		wg.Go(func() {
			if err := sv.hs.Serve(sv.ln); !errors.Is(err, http.ErrServerClosed) && !dm.inletClosed.Load() {
				dm.log.Error("listener-failed", slog.Any("error", err))
			}
		})
	}
	wg.Go(func() { dm.closeIdleCallers(runCtx, &servers.callers) })
	err = dm.waitForStop(ctx)
	dm.shutDown(servers, ls, err != nil)
	cancel()
	wg.Wait()
	dm.log.Info("daemon-end")
	return err
}

// ReplacedError reports that another process runs under the VM's name.
type ReplacedError struct {
	VM string
}

// Error implements the error interface.
func (er *ReplacedError) Error() string {
	return fmt.Sprintf("another daemon has taken over the VM name %q; shutting down", er.VM)
}

func (dm *Daemon) waitForStop(ctx context.Context) error {
	_, replaced := dm.Node.Board.Replaced.Watch()
	select {
	case <-ctx.Done():
		return nil
	case <-replaced:
		return &ReplacedError{VM: dm.se.VM}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (dm *Daemon) handlers() admin.Handlers {
	return admin.Handlers{
		Announce: dm.announce, Withdraw: dm.withdraw, OnBadAnnouncement: dm.announcementRefused, Ready: dm.ready, Status: dm.Status, Drain: dm.drainVM,
		SetLogSample: dm.Outlet.SetLogSample, Vars: dm.vars(),
		OnWriteError: func(err error) { dm.log.Debug("page-unsent", slog.Any("error", err)) },
	}
}

func (dm *Daemon) ready() error {
	select {
	case <-dm.draining:
		return errors.New("draining")
	default:
	}
	if dm.stopping.Load() {
		return errors.New("stopping")
	}
	if dm.Node.Board.Held.Get() == nil {
		return errors.New("no configuration in force yet")
	}
	return nil
}

// Status returns the daemon's view of the fleet.
func (dm *Daemon) Status(ctx context.Context) admin.Status {
	var domains []string
	if sn := dm.Node.Board.Held.Get(); sn != nil {
		domains = sn.Domains
	}
	st := admin.NewStatus(dm.se.VM, dm.Node.Board.HeldVersion(), domains, dm.Node.Status(ctx, false))
	st.Server = dm.serverStatus()
	st.Kinds = dm.leastServed()
	return st
}

// serverStatus returns what the VM's own backend server has said about itself, nil if nothing is in
// force.
func (dm *Daemon) serverStatus() *admin.ServerStatus {
	no := dm.Inlet.Notice()
	if no.Empty() {
		return nil
	}
	st := &admin.ServerStatus{Lifetime: no.Lifetime, Leaving: no.Leaving}
	if no.Limited {
		st.RateLimit = &no.Limit
	}
	return st
}

// maxKindsInStatus bounds the kinds of requests in a status.
const maxKindsInStatus = 16

// leastServed returns the kinds of requests of which this daemon's outlet serves the least.
func (dm *Daemon) leastServed() []outlet.KindStatus {
	kinds := dm.Outlet.Kinds(time.Now())
	return kinds[:min(len(kinds), maxKindsInStatus)]
}

// drainVM drains a VM, through its own daemon if it is another VM.
func (dm *Daemon) drainVM(ctx context.Context, vm string) (int, error) {
	if vm == dm.se.VM {
		return dm.Drain(), nil
	}
	rc := dm.Node.Board.Members.Get().Get(vm)
	if rc == nil || !rc.Live() {
		return 0, fmt.Errorf("no running daemon is known for VM %q; see flamingomast status", vm)
	}
	res, err := dm.Node.Client(rc.Control).Drain(ctx, connect.NewRequest(&wirepb.DrainRequest{Vm: vm}))
	if err != nil {
		return 0, fmt.Errorf("daemon of VM %s at %s: %w", vm, rc.Control, err)
	}
	return int(res.Msg.Running), nil
}

// vars returns the daemon's metrics.
func (dm *Daemon) vars() *expvar.Map {
	m := new(expvar.Map)
	num := func(name string, fn func() int64) { m.Set(name, expvar.Func(func() any { return fn() })) }
	bd := dm.Node.Board
	num("version-held", func() int64 { return int64(bd.HeldVersion()) })
	num("version-refused", func() int64 { return int64(bd.RefusedVersion()) })
	num("version-latest", func() int64 { return int64(bd.LatestVersion()) })
	num("members", func() int64 { return int64(bd.Members.Get().Len()) })
	num("links", func() int64 { return int64(len(bd.Links.Get().Peers)) })
	m.Set("relay", expvar.Func(func() any { return bd.Links.Get().Relay }))
	num("control-bytes-in", dm.controlBytes.In.Load)
	num("control-bytes-out", dm.controlBytes.Out.Load)
	num("platform-calls", dm.guard.Calls.Load)
	num("platform-epoch", func() int64 { return int64(bd.KnownEpoch()) })
	num("platform-calls-held", dm.guard.Rejected.Load)
	m.Set("platform-calls-by-purpose", &dm.guard.CallsByPurpose)
	m.Set("platform-bytes-by-purpose", &dm.guard.BytesByPurpose)
	m.Set("link-bytes-by-kind", dm.Node.Traffic)
	num("requests-suspected", func() int64 { n, _ := bd.Poison.Get().Counts(); return int64(n) })
	num("requests-poison", func() int64 { _, n := bd.Poison.Get().Counts(); return int64(n) })
	num("slots-running", func() int64 { return int64(dm.Inlet.Gate.Load().Running) })
	num("slots-waiting", func() int64 { return int64(dm.Inlet.Gate.Load().Waiting) })
	m.Set("server-rate-limit", expvar.Func(func() any {
		if st := dm.serverStatus(); st != nil && st.RateLimit != nil {
			return *st.RateLimit
		}
		return nil
	}))
	m.Set("server-leaving", expvar.Func(func() any { return dm.Inlet.Notice().Leaving }))
	num("resident-bytes", func() int64 { return ownUsage().Resident })
	num("processor-ms", func() int64 { return ownUsage().CPUTime.Milliseconds() })
	m.Set("outlet", dm.Outlet.Stats.Var())
	m.Set("inlet", dm.Inlet.Stats.Var())
	m.Set("outlet-kinds", dm.Outlet.KindsVar())
	m.Set("inlet-slot-ms", &dm.Inlet.SlotTime)
	m.Set("outlet-tenants", dm.Outlet.TenantStats.Var())
	return m
}

// ownUsage returns the resource usage of this process, or the zero value if it cannot be read.
func ownUsage() usage.Usage {
	us, err := usage.Of(0)
	if err != nil {
		return usage.Usage{}
	}
	return us
}

// State returns the published state of the backend server.
func (dm *Daemon) State() member.State { return dm.Node.Board.Self.Get().State }
