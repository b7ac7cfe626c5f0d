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
	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
)

// Options configures a demonstration.
type Options struct {
	// Dir is the directory of the declarations, Duration how long requests are sent.
	Dir      string
	Duration time.Duration
	Log      *slog.Logger
}

// Summary is the outcome of a demonstration.
type Summary struct {
	Event         string `json:"event"`
	Requests      int64  `json:"requests"`
	Answered      int64  `json:"answered"`
	NotRun        int64  `json:"refused-not-run"`
	Failed        int64  `json:"failed"`
	Duplicated    int    `json:"doubled"`
	Version       uint64 `json:"version"`
	ConvergenceMs int64  `json:"convergence-ms"`
	// Behind is the number of daemons that do not hold the last version.
	Behind int `json:"behind"`
}

// OK reports whether no request failed or ran twice, and every daemon holds the last version.
func (sm *Summary) OK() bool { return sm.Failed == 0 && sm.Duplicated == 0 && sm.Behind == 0 }

// The timing of a demonstration.
const (
	serviceTime        = 5 * time.Millisecond
	startTimeout       = 15 * time.Second
	convergenceTimeout = 10 * time.Second
	minDuration        = 4 * time.Second
)

// fleet is everything that a demonstration runs.
type fleet struct {
	op Options
	ms *decl.Mesh
	// apiKey is that of the demonstration's own tenant, empty if no tenants are declared.
	apiKey       string
	st           *fakekv.Service
	platformAddr string
	runs         RunCounter

	mu  sync.Mutex
	vms map[string]*runningVM // by name
	wg  conc.WaitGroup
}

// runningVM is a VM with its daemon and its backend server.
type runningVM struct {
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
	op.Duration = max(op.Duration, minDuration)
	ctx, cancel := context.WithCancel(ctx)
	fl := &fleet{op: op, ms: ms, st: fakekv.New(), vms: map[string]*runningVM{}}
	// Wait has to run after cancel, since the goroutines end only when ctx does.
	defer fl.wg.Wait()
	defer cancel()
	fl.addTenant()
	if err := fl.start(ctx); err != nil {
		return nil, err
	}
	return fl.runScenario(ctx)
}

// addTenant declares a tenant for the requests of the demonstration if any tenant is declared:
// declarations may hold only the digests of keys.
func (fl *fleet) addTenant() {
	if len(fl.ms.Tenants) == 0 {
		return
	}
	fl.apiKey = rand.Text()
	fl.ms.Tenants = append(fl.ms.Tenants, decl.Tenant{Name: demoTenant, Keys: []decl.KeyDigest{decl.HashKey(fl.apiKey)}})
}

// demoTenant is the tenant of the demonstration's requests.
const demoTenant = "dev-callers"

func (fl *fleet) logEvent(name string, attrs ...any) { fl.op.Log.Info(name, attrs...) }

func (fl *fleet) start(ctx context.Context) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fl.platformAddr = ln.Addr().String()
	fl.wg.Go(func() { _ = ServePlatform(ctx, ln, fl.st) })
	fl.logEvent("platform-start", slog.String("address", fl.platformAddr))
	if _, err := fl.apply(ctx, fl.ms, 0); err != nil {
		return err
	}
	for _, vm := range fl.ms.VMs {
		if err := fl.startVM(ctx, vm); err != nil {
			return err
		}
	}
	return fl.waitServing(ctx)
}

func (fl *fleet) settings(vm decl.VM) (setup.Settings, error) {
	se := setup.Settings{VM: vm.Name, Domain: vm.Domain, Platform: fl.platformAddr, DrainTimeout: 10 * time.Second}
	var err error
	for _, addr := range []*string{&se.Outlet, &se.Inlet, &se.Control, &se.Admin} {
		var e error
		*addr, e = addrs.Free()
		err = errors.Join(err, e)
	}
	return se, err
}

func (fl *fleet) startVM(ctx context.Context, vm decl.VM) error {
	se, err := fl.settings(vm)
	if err != nil {
		return err
	}
	dctx, stop := context.WithCancel(ctx)
	rv := &runningVM{vm: vm, se: se, stop: stop, done: make(chan struct{})}
	rv.dm = daemon.New(se, daemon.Options{Log: fl.op.Log})
	sctx, stopServer := context.WithCancel(context.WithoutCancel(ctx))
	fl.wg.Go(func() {
		defer close(rv.done)
		// The backend server has to run until its daemon has drained.
		defer stopServer()
		if err := rv.dm.Run(dctx); err != nil {
			fl.op.Log.Error("daemon-failed", slog.String("vm", vm.Name), slog.Any("error", err))
		}
	})
	sr := &Server{VM: vm.Name, Service: vm.Service, Listen: "127.0.0.1:0", Admin: se.Admin, ServiceTime: serviceTime, RunCounter: &fl.runs}
	fl.wg.Go(func() {
		if err := sr.Run(sctx); err != nil {
			fl.op.Log.Error("backend-server-failed", slog.String("vm", vm.Name), slog.Any("error", err))
		}
	})
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.vms[vm.Name] = rv
	return nil
}

// eachVM calls fn for the VMs, sorted by name.
func (fl *fleet) eachVM(fn func(*runningVM)) {
	fl.mu.Lock()
	var list []*runningVM
	for _, rv := range fl.vms {
		list = append(list, rv)
	}
	fl.mu.Unlock()
	slices.SortFunc(list, func(a, b *runningVM) int { return strings.Compare(a.vm.Name, b.vm.Name) })
	for _, rv := range list {
		fn(rv)
	}
}

// waitServing waits until every daemon routes to every backend server.
func (fl *fleet) waitServing(ctx context.Context) error {
	timeout := time.After(startTimeout)
	for {
		missing := 0
		fl.eachVM(func(rv *runningVM) {
			tb := rv.dm.Outlet.Table()
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
		case <-timeout:
			return fmt.Errorf("%d of %d daemons did not find all backend servers within %s", missing, len(fl.ms.VMs), startTimeout)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// apply submits ms as the next version and returns its number.
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
	fl.logEvent("applied", slog.Uint64("version", res.Entry.Version))
	return res.Entry.Version, nil
}

// countBehind returns how many daemons do not hold version.
func (fl *fleet) countBehind(version uint64) int {
	n := 0
	fl.eachVM(func(rv *runningVM) {
		if rv.dm.Node.Board.HeldVersion() < version {
			n++
		}
	})
	return n
}

// waitHeld waits until every daemon holds version, or convergenceTimeout is over, and returns
// how long it took.
func (fl *fleet) waitHeld(ctx context.Context, version uint64) time.Duration {
	began := time.Now()
	for fl.countBehind(version) > 0 && time.Since(began) < convergenceTimeout && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// runScenario sends requests, and changes a rule and replaces a VM meanwhile.
func (fl *fleet) runScenario(ctx context.Context) (*Summary, error) {
	sm := &Summary{Event: "summary", Version: 1}
	cl := newCallers(fl)
	cctx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers conc.WaitGroup
	callers.Go(func() { cl.run(cctx) })
	fl.logEvent("requests-start", slog.Int("vms", len(fl.ms.VMs)))

	step := fl.op.Duration / 4
	err := sleep(ctx, step)
	if err == nil {
		err = fl.changeRule(ctx, sm)
	}
	if err == nil {
		err = sleep(ctx, step)
	}
	if err == nil {
		err = fl.replaceVM(ctx, cl)
	}
	if err == nil {
		err = sleep(ctx, fl.op.Duration-2*step)
	}
	stopCallers()
	callers.Wait()
	sm.Requests, sm.Answered, sm.NotRun, sm.Failed = cl.requests.Load(), cl.answered.Load(), cl.notRun.Load(), cl.failed.Load()
	sm.Duplicated = fl.runs.Duplicates()
	sm.Behind = fl.countBehind(sm.Version)
	return sm, err
}

func sleep(ctx context.Context, d time.Duration) error {
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
	fl.logEvent("in-force-everywhere", slog.Uint64("version", version), slog.Duration("took", took))
	return nil
}

// replaceVM drains the first VM, stops its daemon and backend server and starts new ones.
func (fl *fleet) replaceVM(ctx context.Context, cl *callers) error {
	vm := fl.ms.VMs[0]
	fl.mu.Lock()
	rv := fl.vms[vm.Name]
	delete(fl.vms, vm.Name)
	fl.mu.Unlock()
	cl.refresh()
	fl.logEvent("replace", slog.String("vm", vm.Name))
	rv.stop()
	select {
	case <-rv.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := fl.startVM(ctx, vm); err != nil {
		return err
	}
	err := fl.waitServing(ctx)
	cl.refresh()
	fl.logEvent("replaced", slog.String("vm", vm.Name))
	return err
}
