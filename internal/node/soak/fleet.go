package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strconv"
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

// service is the service that most backend servers serve and that is rolled out; its servers
// call calledService.
const (
	service       = "booking"
	calledService = "records"
)

// calledEvery is the number of VMs for each one that serves calledService.
const calledEvery = 4

// domains are the names of the failure domains.
var domains = []string{"north", "south", "west"}

// vm is a VM with the processes of its daemon and its backend server.
type vm struct {
	name, domain, service, software string
	// settingsFile is the path of the daemon's settings.
	settingsFile                  string
	settings                      settingsTracker
	outlet, inlet, control, admin string

	mu             sync.Mutex
	daemon, server *proc
	// daemonDown and serverDown are set from when a step ends the process until it is
	// started again.
	daemonDown, serverDown bool
	// maxHeld is the newest version that the daemon was seen to hold.
	maxHeld uint64

	// rateLimit is the rate limit in requests per second that its server names, 0 for none.
	rateLimit float64
	limited   limitedRuns
}

// fleet is a mesh of processes: the platform, and a daemon and a backend server on each VM.
type fleet struct {
	op           Options
	la           *launcher
	kv           store.Store
	platform     *proc
	platformAddr string
	vms          []*vm
	// targetVMs are the VMs of the new version; their servers start with the rollout.
	targetVMs []*vm
	results   *resultSet
	requests  requestLog
	stops     stopTracker
	// newestVersion is the newest version that was accepted.
	newestVersion atomic.Uint64
	// failureRate is the share of the requests that servers of the new version fail, empty
	// for none.
	failureRate string
	wg          sync.WaitGroup
}

// newVM returns a VM with free addresses and the path of a settings file in dir.
func newVM(i int, software, dir string) (*vm, error) {
	v := &vm{name: fmt.Sprintf("vm-%d", i), domain: domains[i%len(domains)], service: service, software: software}
	v.settingsFile = filepath.Join(dir, v.name+".yaml")
	for _, addr := range []*string{&v.outlet, &v.inlet, &v.control, &v.admin} {
		free, err := addrs.FreeOn(addrs.ProcessIP())
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	return v, nil
}

// all returns the VMs of both versions.
func (fl *fleet) all() []*vm { return append(append([]*vm{}, fl.vms...), fl.targetVMs...) }

// mesh returns the declarations. The number of slots depends on n, so that successive
// versions differ.
func (fl *fleet) mesh(n int) *decl.Mesh {
	ms := &decl.Mesh{Regions: []decl.Region{{Name: "r"}}, Services: []decl.Service{
		{Name: service, Port: 9001, Slots: 16 + n%4}, {Name: calledService, Port: 9002, Slots: 16},
	}}
	for _, dm := range domains {
		ms.Domains = append(ms.Domains, decl.Domain{Name: dm, Region: "r"})
	}
	for _, v := range fl.all() {
		ms.VMs = append(ms.VMs, decl.VM{Name: v.name, Domain: v.domain, Service: v.service})
	}
	return ms
}

// start starts the platform and all VMs, and waits until each holds the first version.
func (fl *fleet) start(ctx context.Context) (err error) {
	if fl.platformAddr, err = addrs.FreeOn(addrs.ProcessIP()); err != nil {
		return err
	}
	if fl.platform, err = fl.la.start("platform", nil, "dev-platform", "--listen", fl.platformAddr); err != nil {
		return err
	}
	fl.kv = remote.New(fl.platformAddr).Store()
	for i := range fl.op.VMs + len(domains) {
		software := "v1"
		if i >= fl.op.VMs {
			software = "v2"
		}
		v, err := newVM(i, software, fl.op.Dir)
		if err != nil {
			return err
		}
		if software == "v2" {
			fl.targetVMs = append(fl.targetVMs, v)
		} else {
			if i%calledEvery == calledEvery-1 {
				v.service = calledService
			}
			if i == limitedVM {
				v.rateLimit = limitedRate
			}
			fl.vms = append(fl.vms, v)
		}
	}
	if err := fl.submitChange(ctx); err != nil {
		return err
	}
	for _, v := range fl.all() {
		if err := fl.startDaemon(v); err != nil {
			return err
		}
	}
	for _, v := range fl.vms {
		if err := fl.startServer(v); err != nil {
			return err
		}
	}
	return fl.waitHeld(ctx, startTimeout)
}

// startTimeout bounds the start of all processes; it allows for a busy machine.
const startTimeout = 20 * time.Second

// submitChange submits a configuration version as an operator does: based on the newest one in
// the store, with a number above every version that the fleet may hold. A store restored from a
// backup may have lost a version that no daemon holds, so the floor is the newest version that
// was accepted.
func (fl *fleet) submitChange(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	hd, err := fl.waitHead(ctx)
	if err != nil {
		return err
	}
	floor := fl.newestVersion.Load()
	co, err := pack.Encode(fl.mesh(int(floor)))
	if err != nil {
		return err
	}
	res, err := accept.Submit(ctx, fl.kv, accept.Submission{
		ID: fmt.Sprintf("soak-%d-%d", floor, rand.Uint32()), Base: hd.Last.Version, Content: co, NoRebase: true, Floor: floor, Resume: true,
	})
	for err == nil {
		newest := fl.newestVersion.Load()
		if res.Entry.Version <= newest || fl.newestVersion.CompareAndSwap(newest, res.Entry.Version) {
			break
		}
	}
	return err
}

// waitHead waits until the store answers and returns its head record.
func (fl *fleet) waitHead(ctx context.Context) (*accept.Head, error) {
	for {
		hd, _, err := accept.Load(ctx, fl.kv)
		if err == nil {
			return hd, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(pollInterval):
		}
	}
}

func (fl *fleet) startDaemon(v *vm) (err error) {
	var seeds []string
	for _, other := range fl.all() {
		seeds = append(seeds, other.control)
	}
	if _, err := v.settings.write(v.settingsFile); err != nil {
		return err
	}
	v.limited.recordStart()
	pr, err := fl.la.start("daemon-"+v.name, v.settings.recordLine, "daemon", "--config", v.settingsFile, "--vm", v.name, "--failure-domain", v.domain, "--outlet", v.outlet,
		"--inlet", v.inlet, "--control", v.control, "--admin", v.admin, "--platform", fl.platformAddr,
		"--seeds", strings.Join(seeds[:min(3, len(seeds))], ","), "--mesh-token", "soak")
	v.mu.Lock()
	defer v.mu.Unlock()
	v.daemon, v.daemonDown = pr, false
	return err
}

func (fl *fleet) startServer(v *vm) error {
	args := []string{"dev-server", "--vm", v.name, "--service", v.service, "--daemon", v.admin, "--software", v.software, "--work", "20ms", "--print-runs"}
	if v.service != calledService {
		args = append(args, "--calls", calledService, "--outlet", v.outlet)
	}
	if v.software == "v2" && fl.failureRate != "" {
		args = append(args, "--failing", fl.failureRate)
	}
	if v.rateLimit > 0 {
		args = append(args, "--rate-limit", strconv.FormatFloat(v.rateLimit, 'f', -1, 64))
	}
	v.limited.recordStart()
	pr, err := fl.la.start("server-"+v.name, func(line string) { fl.recordRunLine(line, v) }, args...)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.server, v.serverDown = pr, false
	return err
}

func (fl *fleet) recordRunLine(line string, v *vm) {
	var ran demo.RunEvent
	if json.Unmarshal([]byte(line), &ran) == nil && ran.ID != "" {
		fl.requests.recordRun(ran.ID, v.software == "v2")
		v.limited.recordRun(time.Now())
	}
}

// statusTimeout bounds a status request to one daemon. With many processes on a busy machine,
// daemons answer late.
const statusTimeout = 5 * time.Second

// heldVersion returns the version that a daemon holds, or 0 if it does not answer.
func heldVersion(ctx context.Context, v *vm) uint64 {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
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

// checkVersions checks that no daemon holds an older version than before, and returns the
// lowest version that a daemon holds: 0 if one does not answer.
func (fl *fleet) checkVersions(ctx context.Context) (lowest uint64) {
	lowest = fl.newestVersion.Load()
	all := fl.all()
	versions := make([]uint64, len(all))
	var wg conc.WaitGroup
	for i, v := range all {
		wg.Go(func() { versions[i] = heldVersion(ctx, v) })
	}
	wg.Wait()
	for i, v := range all {
		held := versions[i]
		lowest = min(lowest, held)
		if held == 0 {
			continue
		}
		failure := ""
		if held < v.maxHeld {
			failure = fmt.Sprintf("%s holds version %d after version %d", v.name, held, v.maxHeld)
		}
		fl.results.record(MonotonicVersion, failure)
		v.maxHeld = max(v.maxHeld, held)
	}
	return lowest
}

// waitHeld waits until all daemons hold the newest version.
func (fl *fleet) waitHeld(ctx context.Context, limit time.Duration) error {
	for end := time.Now().Add(limit); fl.checkVersions(ctx) < fl.newestVersion.Load(); {
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("not all daemons hold version %d after %s", fl.newestVersion.Load(), limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// runStep executes a step.
func (fl *fleet) runStep(ctx context.Context, st Step) error {
	v := fl.vms[st.VM%len(fl.vms)]
	switch st.Kind {
	case KillDaemon, StopDaemon:
		sig := syscall.SIGKILL
		if st.Kind == StopDaemon {
			sig = syscall.SIGTERM
		}
		end := fl.recordDisruption(v, st.Kind)
		fl.restart(v, &v.daemonDown, func() *proc { return v.daemon }, sig, st.Duration, end, fl.startDaemon)
	case KillServer, DrainServer:
		sig := syscall.SIGKILL
		if st.Kind == DrainServer {
			sig = syscall.SIGTERM
		}
		end := fl.recordDisruption(v, st.Kind)
		fl.restart(v, &v.serverDown, func() *proc { return v.server }, sig, st.Duration, end, fl.startServer)
	case ReloadDaemon:
		version, err := v.settings.write(v.settingsFile)
		if err != nil {
			return err
		}
		fl.daemonOf(v).signal(syscall.SIGHUP)
		fl.results.require(SettingsInForce)
		fl.wg.Go(func() {
			failure := v.settings.wait(version, settingsTimeout)
			if failure != "" {
				failure = v.name + ": " + failure
			}
			fl.results.record(SettingsInForce, failure)
		})
	case PauseDaemon:
		fl.pause(fl.daemonOf(v), st.Duration, fl.stops.beginFault())
	case PausePlatform:
		// No fault is recorded: requests must not be lost while the store is unavailable.
		fl.pause(fl.platform, st.Duration, func() {})
	case BackUpPlatform:
		fl.platform.signal(syscall.SIGUSR1)
	case RestorePlatform:
		fl.platform.signal(syscall.SIGUSR2)
	case ChangeConfig:
		fl.wg.Go(func() {
			if err := fl.submitChange(ctx); err != nil {
				fl.op.Log.Warn("soak-change-failed", "error", err.Error())
			}
		})
	case RolloutGood, RolloutBad:
		return fl.startRollout(ctx, st.Kind == RolloutBad)
	}
	return nil
}

// recordDisruption records the stop or fault that begins with a step. It lasts until end is
// called.
func (fl *fleet) recordDisruption(v *vm, kind Kind) (end func()) {
	switch kind {
	case StopDaemon:
		return fl.stops.beginStop(v)
	case KillDaemon, KillServer:
		return fl.stops.beginFault()
	}
	return func() {}
}

// daemonOf returns the process of a VM's daemon.
func (fl *fleet) daemonOf(v *vm) *proc {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.daemon
}

// restart ends a process of a VM with sig and starts a new one after downtime, unless the
// process is down already. It calls onDone when it has finished.
func (fl *fleet) restart(v *vm, down *bool, current func() *proc, sig syscall.Signal, downtime time.Duration, onDone func(), start func(*vm) error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	pr := current()
	if *down || pr == nil {
		onDone()
		return
	}
	*down = true
	fl.wg.Go(func() {
		defer onDone()
		pr.terminate(sig)
		time.Sleep(downtime)
		if err := start(v); err != nil {
			fl.op.Log.Error("soak-start-failed", "vm", v.name, "error", err.Error())
		}
	})
}

// pause suspends a process with SIGSTOP, resumes it after length, and calls onDone.
func (fl *fleet) pause(pr *proc, length time.Duration, onDone func()) {
	pr.signal(syscall.SIGSTOP)
	fl.wg.Go(func() {
		defer onDone()
		time.Sleep(length)
		pr.signal(syscall.SIGCONT)
	})
}
