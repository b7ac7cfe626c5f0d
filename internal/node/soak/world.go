package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/conf/accept"
	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/node/addrs"
	"github.com/flamingomast/flamingomast/internal/node/demo"
	"github.com/flamingomast/flamingomast/internal/plat/remote"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// service is the one that most backend servers serve and that is rolled out, called the one
// that they call.
const (
	service = "booking"
	called  = "records"
)

// calledEvery is how many VMs there are to each one whose server is called.
const calledEvery = 4

// domains are the failure domains.
var domains = []string{"north", "south", "west"}

// vm is a VM with its processes.
type vm struct {
	name, domain, service, software string
	// settings is the file of its daemon's settings.
	settings                      string
	outlet, inlet, control, admin string

	mu             sync.Mutex
	daemon, server *proc
	// down and away are set while the plan has ended the daemon or the server.
	down, away bool
	held       uint64
}

// world is a mesh of processes.
type world struct {
	op       Options
	la       *launcher
	kv       store.Store
	platform *proc
	address  string
	vms      []*vm
	// spare are VMs of the new version, whose servers start with the rollout.
	spare  []*vm
	board  *board
	ledger ledger
	stops  stops
	// version is the newest one that was accepted.
	version atomic.Uint64
	failing string
	wg      sync.WaitGroup
}

// newVM returns a VM with addresses of its own and its settings in a directory.
func newVM(i int, software, dir string) (*vm, error) {
	v := &vm{name: fmt.Sprintf("vm-%d", i), domain: domains[i%len(domains)], service: service, software: software}
	v.settings = filepath.Join(dir, v.name+".yaml")
	for _, addr := range []*string{&v.outlet, &v.inlet, &v.control, &v.admin} {
		free, err := addrs.FreeOn(addrs.ProcessIP())
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	return v, nil
}

// all returns all VMs.
func (wo *world) all() []*vm { return append(append([]*vm{}, wo.vms...), wo.spare...) }

// mesh returns the declarations; each version differs in a number.
func (wo *world) mesh(n int) *decl.Mesh {
	ms := &decl.Mesh{Regions: []decl.Region{{Name: "r"}}, Services: []decl.Service{
		{Name: service, Port: 9001, Slots: 16 + n%4}, {Name: called, Port: 9002, Slots: 16},
	}}
	for _, dm := range domains {
		ms.Domains = append(ms.Domains, decl.Domain{Name: dm, Region: "r"})
	}
	for _, v := range wo.all() {
		ms.VMs = append(ms.VMs, decl.VM{Name: v.name, Domain: v.domain, Service: v.service})
	}
	return ms
}

// start starts the platform and all VMs, and waits until each holds the first version.
func (wo *world) start(ctx context.Context) (err error) {
	if wo.address, err = addrs.FreeOn(addrs.ProcessIP()); err != nil {
		return err
	}
	if wo.platform, err = wo.la.start("platform", nil, "dev-platform", "--listen", wo.address); err != nil {
		return err
	}
	wo.kv = remote.New(wo.address).Store()
	for i := range wo.op.VMs + len(domains) {
		software := "v1"
		if i >= wo.op.VMs {
			software = "v2"
		}
		v, err := newVM(i, software, wo.op.Dir)
		if err != nil {
			return err
		}
		if software == "v2" {
			wo.spare = append(wo.spare, v)
		} else {
			if i%calledEvery == calledEvery-1 {
				v.service = called
			}
			wo.vms = append(wo.vms, v)
		}
	}
	if err := wo.change(ctx); err != nil {
		return err
	}
	for _, v := range wo.all() {
		if err := wo.startDaemon(v); err != nil {
			return err
		}
	}
	for _, v := range wo.vms {
		if err := wo.startServer(v); err != nil {
			return err
		}
	}
	return wo.waitHeld(ctx, startLimit)
}

// startLimit bounds the start of all processes on a busy machine.
const startLimit = 20 * time.Second

// change makes a version, as an operator does: on the one that the store has, above all that
// the fleet may hold. A store that came back older may have lost one that nobody holds.
func (wo *world) change(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	hd, err := wo.head(ctx)
	if err != nil {
		return err
	}
	floor := wo.version.Load()
	co, err := pack.Encode(wo.mesh(int(floor)))
	if err != nil {
		return err
	}
	res, err := accept.Submit(ctx, wo.kv, accept.Submission{
		ID: fmt.Sprintf("soak-%d-%d", floor, rand.Uint32()), Base: hd.Last.Version, Content: co, NoRebase: true, Floor: floor, Resume: true,
	})
	for err == nil {
		newest := wo.version.Load()
		if res.Entry.Version <= newest || wo.version.CompareAndSwap(newest, res.Entry.Version) {
			break
		}
	}
	return err
}

// head waits until the store answers and returns what it has.
func (wo *world) head(ctx context.Context) (*accept.Head, error) {
	for {
		hd, _, err := accept.Load(ctx, wo.kv)
		if err == nil {
			return hd, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(lookInterval):
		}
	}
}

func (wo *world) startDaemon(v *vm) (err error) {
	var seeds []string
	for _, other := range wo.all() {
		seeds = append(seeds, other.control)
	}
	if err := wo.writeSettings(v); err != nil {
		return err
	}
	pr, err := wo.la.start("daemon-"+v.name, nil, "daemon", "--config", v.settings, "--vm", v.name, "--failure-domain", v.domain, "--outlet", v.outlet,
		"--inlet", v.inlet, "--control", v.control, "--admin", v.admin, "--platform", wo.address,
		"--seeds", strings.Join(seeds[:min(3, len(seeds))], ","), "--mesh-token", "soak")
	v.mu.Lock()
	defer v.mu.Unlock()
	v.daemon, v.down = pr, false
	return err
}

// writeSettings writes those settings of a daemon that it can take while it runs.
func (wo *world) writeSettings(v *vm) error {
	text := fmt.Sprintf("drain-timeout: 6s\naccess-log-sample: %d\n", rand.IntN(2))
	return os.WriteFile(v.settings, []byte(text), 0o600)
}

func (wo *world) startServer(v *vm) error {
	args := []string{"dev-server", "--vm", v.name, "--service", v.service, "--daemon", v.admin, "--software", v.software, "--work", "20ms", "--print-runs"}
	if v.service != called {
		args = append(args, "--calls", called, "--outlet", v.outlet)
	}
	if v.software == "v2" && wo.failing != "" {
		args = append(args, "--failing", wo.failing)
	}
	pr, err := wo.la.start("server-"+v.name, func(line string) { wo.readRun(line, v.software == "v2") }, args...)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.server, v.away = pr, false
	return err
}

func (wo *world) readRun(line string, target bool) {
	var ran demo.RunEvent
	if json.Unmarshal([]byte(line), &ran) == nil && ran.ID != "" {
		wo.ledger.ran(ran.ID, target)
	}
}

// lookLimit bounds the asking of one daemon. Many processes on a busy machine answer late.
const lookLimit = 5 * time.Second

// heldBy asks a daemon which version it holds, 0 where it does not answer.
func heldBy(ctx context.Context, v *vm) uint64 {
	ctx, cancel := context.WithTimeout(ctx, lookLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.admin+"/debug/vars", nil)
	if err != nil {
		return 0
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	var vars struct {
		Daemon struct {
			Held uint64 `json:"version-held"`
		} `json:"flamingomast"`
	}
	if json.NewDecoder(res.Body).Decode(&vars) != nil {
		return 0
	}
	return vars.Daemon.Held
}

// look makes the checks of the versions that daemons hold.
func (wo *world) look(ctx context.Context) (lowest uint64) {
	lowest = wo.version.Load()
	all := wo.all()
	holds := make([]uint64, len(all))
	var wg conc.WaitGroup
	for i, v := range all {
		wg.Go(func() { holds[i] = heldBy(ctx, v) })
	}
	wg.Wait()
	for i, v := range all {
		held := holds[i]
		lowest = min(lowest, held)
		if held == 0 {
			continue
		}
		failure := ""
		if held < v.held {
			failure = fmt.Sprintf("%s holds version %d after version %d", v.name, held, v.held)
		}
		wo.board.note(NeverOlder, failure)
		v.held = max(v.held, held)
	}
	return lowest
}

// waitHeld waits until all daemons hold the newest version.
func (wo *world) waitHeld(ctx context.Context, limit time.Duration) error {
	for end := time.Now().Add(limit); wo.look(ctx) < wo.version.Load(); {
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("not all daemons hold version %d after %s", wo.version.Load(), limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// play does what a step says.
func (wo *world) play(ctx context.Context, st Step) error {
	v := wo.vms[st.VM%len(wo.vms)]
	switch st.Kind {
	case KillDaemon, StopDaemon:
		sig := syscall.SIGKILL
		if st.Kind == StopDaemon {
			sig = syscall.SIGTERM
		}
		ended := wo.spanOf(v, st.Kind)
		wo.replace(v, &v.down, func() *proc { return v.daemon }, sig, st.For, ended, wo.startDaemon)
	case KillServer, DrainServer:
		sig := syscall.SIGKILL
		if st.Kind == DrainServer {
			sig = syscall.SIGTERM
		}
		ended := wo.spanOf(v, st.Kind)
		wo.replace(v, &v.away, func() *proc { return v.server }, sig, st.For, ended, wo.startServer)
	case ReloadDaemon:
		if err := wo.writeSettings(v); err != nil {
			return err
		}
		wo.daemonOf(v).signal(syscall.SIGHUP)
	case PauseDaemon:
		wo.pause(wo.daemonOf(v), st.For, wo.stops.fault())
	case PausePlatform:
		// A store that is away excuses no lost request.
		wo.pause(wo.platform, st.For, func() {})
	case CopyPlatform:
		wo.platform.signal(syscall.SIGUSR1)
	case OlderPlatform:
		wo.platform.signal(syscall.SIGUSR2)
	case Change:
		wo.wg.Go(func() {
			if err := wo.change(ctx); err != nil {
				wo.op.Log.Warn("soak-change-failed", "error", err.Error())
			}
		})
	case RollGood, RollBad:
		return wo.roll(ctx, st.Kind == RollBad)
	}
	return nil
}

// spanOf records what begins with a step, until the function that it returns is called.
func (wo *world) spanOf(v *vm, kind Kind) (end func()) {
	switch kind {
	case StopDaemon:
		return wo.stops.stop(v)
	case KillDaemon, KillServer:
		return wo.stops.fault()
	}
	return func() {}
}

// daemonOf returns the process of a VM's daemon.
func (wo *world) daemonOf(v *vm) *proc {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.daemon
}

// replace ends a process of a VM and starts another one after a while, unless the plan has
// ended it already. Then it calls ended.
func (wo *world) replace(v *vm, down *bool, of func() *proc, sig syscall.Signal, after time.Duration, ended func(), start func(*vm) error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	pr := of()
	if *down || pr == nil {
		ended()
		return
	}
	*down = true
	wo.wg.Go(func() {
		defer ended()
		pr.end(sig)
		time.Sleep(after)
		if err := start(v); err != nil {
			wo.op.Log.Error("soak-start-failed", "vm", v.name, "error", err.Error())
		}
	})
}

// pause stops a process for a while, then calls ended.
func (wo *world) pause(pr *proc, span time.Duration, ended func()) {
	pr.signal(syscall.SIGSTOP)
	wo.wg.Go(func() {
		defer ended()
		time.Sleep(span)
		pr.signal(syscall.SIGCONT)
	})
}
