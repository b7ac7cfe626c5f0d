package demo

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/conf/accept"
	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/node/addrs"
	"github.com/flamingomast/flamingomast/internal/node/daemon"
	"github.com/flamingomast/flamingomast/internal/node/setup"
	"github.com/flamingomast/flamingomast/internal/plat/stand"
)

// Options sets a demonstration.
type Options struct {
	// Dir holds the declarations, For is how long requests are sent.
	Dir      string
	Duration time.Duration
	Log      *slog.Logger
}

// Summary is what a demonstration ends with.
type Summary struct {
	Event         string `json:"event"`
	Requests      int64  `json:"requests"`
	Answered      int64  `json:"answered"`
	NotRun        int64  `json:"refused-not-run"`
	Failed        int64  `json:"failed"`
	Doubled       int    `json:"doubled"`
	Version       uint64 `json:"version"`
	ConvergenceMs int64  `json:"convergence-ms"`
	// Behind is how many daemons do not hold the last version.
	Behind int `json:"behind"`
}

// OK reports whether nothing went wrong.
func (sm *Summary) OK() bool { return sm.Failed == 0 && sm.Doubled == 0 && sm.Behind == 0 }

// The times of a demonstration.
const (
	workTime   = 5 * time.Millisecond
	startLimit = 15 * time.Second
	holdLimit  = 10 * time.Second
	minFor     = 4 * time.Second
)

// fleet is everything that a demonstration runs.
type fleet struct {
	op       Options
	ms       *decl.Mesh
	st       *stand.Service
	platform string
	ledger   RunCounter

	mu    sync.Mutex
	units map[string]*unit // by VM
	wg    conc.WaitGroup
}

// unit is a VM with its daemon and backend server.
type unit struct {
	vm   decl.VM
	dm   *daemon.Daemon
	se   setup.Settings
	stop context.CancelFunc
	done chan struct{}
}

// Run runs a demonstration and returns its summary.
func Run(ctx context.Context, op Options) (*Summary, error) {
	ms, err := decl.Read(op.Dir)
	if err != nil {
		return nil, err
	}
	if len(ms.VMs) == 0 {
		return nil, fmt.Errorf("%s declares no VMs", op.Dir)
	}
	op.Duration = max(op.Duration, minFor)
	ctx, cancel := context.WithCancel(ctx)
	fl := &fleet{op: op, ms: ms, st: stand.New(), units: map[string]*unit{}}
	// The order of the deferred calls matters: cancel, then wait.
	defer fl.wg.Wait()
	defer cancel()
	if err := fl.start(ctx); err != nil {
		return nil, err
	}
	return fl.play(ctx)
}

func (fl *fleet) event(name string, attrs ...any) { fl.op.Log.Info(name, attrs...) }

func (fl *fleet) start(ctx context.Context) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fl.platform = ln.Addr().String()
	fl.wg.Go(func() { _ = ServePlatform(ctx, ln, fl.st) })
	fl.event("platform-start", slog.String("address", fl.platform))
	if _, err := fl.apply(ctx, fl.ms, 0); err != nil {
		return err
	}
	for _, vm := range fl.ms.VMs {
		if err := fl.startUnit(ctx, vm); err != nil {
			return err
		}
	}
	return fl.waitServing(ctx)
}

func (fl *fleet) settings(vm decl.VM) (setup.Settings, error) {
	se := setup.Settings{VM: vm.Name, Domain: vm.Domain, Platform: fl.platform, DrainTimeout: 10 * time.Second}
	var err error
	for _, addr := range []*string{&se.Outlet, &se.Inlet, &se.Control, &se.Admin} {
		var e error
		*addr, e = addrs.Free()
		err = errors.Join(err, e)
	}
	return se, err
}

func (fl *fleet) startUnit(ctx context.Context, vm decl.VM) error {
	se, err := fl.settings(vm)
	if err != nil {
		return err
	}
	uctx, stop := context.WithCancel(ctx)
	un := &unit{vm: vm, se: se, stop: stop, done: make(chan struct{})}
	un.dm = daemon.New(se, daemon.Options{Log: fl.op.Log})
	sctx, stopServer := context.WithCancel(context.WithoutCancel(ctx))
	fl.wg.Go(func() {
		defer close(un.done)
		// The server outlives its daemon's drain.
		defer stopServer()
		if err := un.dm.Run(uctx); err != nil {
			fl.op.Log.Error("daemon-failed", slog.String("vm", vm.Name), slog.Any("error", err))
		}
	})
	sr := &Server{VM: vm.Name, Service: vm.Service, Listen: "127.0.0.1:0", Admin: se.Admin, ServiceTime: workTime, RunCounter: &fl.ledger}
	fl.wg.Go(func() {
		if err := sr.Run(sctx); err != nil {
			fl.op.Log.Error("backend-server-failed", slog.String("vm", vm.Name), slog.Any("error", err))
		}
	})
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.units[vm.Name] = un
	return nil
}

// eachUnit calls fn for the units, sorted by VM.
func (fl *fleet) eachUnit(fn func(*unit)) {
	fl.mu.Lock()
	var list []*unit
	for _, un := range fl.units {
		list = append(list, un)
	}
	fl.mu.Unlock()
	slices.SortFunc(list, func(a, b *unit) int { return strings.Compare(a.vm.Name, b.vm.Name) })
	for _, un := range list {
		fn(un)
	}
}

// waitServing waits until every daemon routes to every backend server.
func (fl *fleet) waitServing(ctx context.Context) error {
	limit := time.After(startLimit)
	for {
		missing := 0
		fl.eachUnit(func(un *unit) {
			tb := un.dm.Outlet.Table()
			if tb == nil {
				missing++
				return
			}
			have := 0
			for _, sv := range tb.Snap.ServiceList {
				have += tb.Group(sv).Len()
			}
			if have < len(fl.ms.VMs) {
				missing++
			}
		})
		if missing == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-limit:
			return fmt.Errorf("%d of %d daemons did not find all backend servers in %s", missing, len(fl.ms.VMs), startLimit)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// apply makes ms the version in force and returns its number.
func (fl *fleet) apply(ctx context.Context, ms *decl.Mesh, base uint64) (uint64, error) {
	co, err := pack.Encode(ms)
	if err != nil {
		return 0, err
	}
	res, err := accept.Submit(ctx, fl.st.Store(), accept.Submission{
		ID: strings.ToLower(rand.Text()), Base: base, Content: co, Author: "dev",
	})
	if err != nil {
		return 0, err
	}
	fl.event("applied", slog.Uint64("version", res.Entry.Version))
	return res.Entry.Version, nil
}

// behind returns how many daemons do not hold version.
func (fl *fleet) behind(version uint64) int {
	n := 0
	fl.eachUnit(func(un *unit) {
		if un.dm.Node.Board.HeldVersion() < version {
			n++
		}
	})
	return n
}

// waitHeld waits until every daemon holds version and returns how long it took.
func (fl *fleet) waitHeld(ctx context.Context, version uint64) time.Duration {
	began := time.Now()
	for fl.behind(version) > 0 && time.Since(began) < holdLimit && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// play sends requests, changes a rule and replaces a VM meanwhile.
func (fl *fleet) play(ctx context.Context) (*Summary, error) {
	sm := &Summary{Event: "summary", Version: 1}
	cl := newCallers(fl)
	cctx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers conc.WaitGroup
	callers.Go(func() { cl.run(cctx) })
	fl.event("requests-start", slog.Int("vms", len(fl.ms.VMs)))

	step := fl.op.Duration / 4
	err := wait(ctx, step)
	if err == nil {
		err = fl.changeRule(ctx, sm)
	}
	if err == nil {
		err = wait(ctx, step)
	}
	if err == nil {
		err = fl.replaceVM(ctx, cl)
	}
	if err == nil {
		err = wait(ctx, fl.op.Duration-2*step)
	}
	stopCallers()
	callers.Wait()
	sm.Requests, sm.Answered, sm.NotRun, sm.Failed = cl.requests.Load(), cl.answered.Load(), cl.notRun.Load(), cl.failed.Load()
	sm.Doubled = fl.ledger.Doubled()
	sm.Behind = fl.behind(sm.Version)
	return sm, err
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// changeRule changes the placement of the first service.
func (fl *fleet) changeRule(ctx context.Context, sm *Summary) error {
	next := *fl.ms
	first := fl.ms.Services[0].Name
	next.Placements = slices.DeleteFunc(slices.Clone(fl.ms.Placements), func(pl decl.Placement) bool { return pl.Service == first })
	next.Placements = append(next.Placements, decl.Placement{Service: first, Order: []string{decl.OrderRegion, decl.OrderAny}, Spill: true})
	version, err := fl.apply(ctx, &next, sm.Version)
	if err != nil {
		return err
	}
	took := fl.waitHeld(ctx, version)
	sm.Version, sm.ConvergenceMs = version, took.Milliseconds()
	fl.event("in-force-everywhere", slog.Uint64("version", version), slog.Duration("took", took))
	return nil
}

// replaceVM drains the first VM, ends its processes and starts new ones.
func (fl *fleet) replaceVM(ctx context.Context, cl *callers) error {
	vm := fl.ms.VMs[0]
	fl.mu.Lock()
	un := fl.units[vm.Name]
	delete(fl.units, vm.Name)
	fl.mu.Unlock()
	cl.refresh()
	fl.event("replace", slog.String("vm", vm.Name))
	un.stop()
	select {
	case <-un.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := fl.startUnit(ctx, vm); err != nil {
		return err
	}
	err := fl.waitServing(ctx)
	cl.refresh()
	fl.event("replaced", slog.String("vm", vm.Name))
	return err
}
