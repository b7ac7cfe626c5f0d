package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// mesh is a small deployment on loopback addresses: a store, machines with a daemon and a worker
// each, and the record of what happens.
type mesh struct {
	dir      string
	store    *kvStore
	platform string
	zones    []string
	machines []*machine

	mu     sync.Mutex
	record *os.File
	began  time.Time
	runs   map[string][]string // attempt id: instances that began to run it
	runAt  map[string]time.Time
	onRun  func(instance, attempt string)
	nextID atomic.Int64
	taken  map[string]bool
	// host is the host that clients name.
	host string
}

// machine is one VM: a daemon and the worker beside it.
type machine struct {
	ms                                             *mesh
	name, zone, service                            string
	outlet, inlet, control, admin, ready, announce string
	app                                            string
	slots                                          int
	work                                           string
	daemon, worker                                 *exec.Cmd
	starts                                         int
	instance                                       string
	misses                                         atomic.Int64
}

// defaultHost is the host of most cases.
const defaultHost = "mesh.example"

// bounds are those of the small deployments.
const (
	boundConfig   = 2 * time.Second
	boundRecovery = 15 * time.Second
)

// newMesh starts the store of a deployment without machines.
func newMesh(zones []string) (*mesh, error) {
	rec, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ms := &mesh{dir: tmp, store: newStore(), zones: zones, record: rec, began: time.Now(), runs: map[string][]string{}, runAt: map[string]time.Time{}, taken: map[string]bool{}, host: defaultHost}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ms.platform = ln.Addr().String()
	go func() { _ = http.Serve(ln, ms.store) }()
	return ms, nil
}

// logf writes one line to the record, with the seconds since the start.
func (ms *mesh) logf(format string, args ...any) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	fmt.Fprintf(ms.record, "%8.3f "+format+"\n", append([]any{time.Since(ms.began).Seconds()}, args...)...)
}

// The range of ports that daemons and workers listen on. It lies below the one from which the system
// takes the local ports of outgoing connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

// freePorts returns free ports of 127.0.0.1, each of them once.
func (ms *mesh) freePorts(n int) ([]string, error) {
	var list []string
	for tries := 0; len(list) < n; tries++ {
		if tries > 1000 {
			return nil, errors.New("no free ports")
		}
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if ms.taken[addr] {
			continue
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		ms.taken[addr] = true
		list = append(list, addr)
	}
	return list, nil
}

func (ms *mesh) addMachine(name, zone, service, work string) (*machine, error) {
	ports, err := ms.freePorts(7)
	if err != nil {
		return nil, err
	}
	mc := &machine{
		ms: ms, name: name, zone: zone, service: service, work: work, slots: 9,
		outlet: ports[0], inlet: ports[1], control: ports[2], admin: ports[3], ready: ports[4], announce: ports[5], app: ports[6],
	}
	ms.machines = append(ms.machines, mc)
	return mc, nil
}

// startDaemon starts the daemon with the command and the settings of the deploy file.
func (mc *machine) startDaemon() error {
	var zones []string
	for _, zn := range mc.ms.zones {
		zones = append(zones, zn+"=vale-sul")
	}
	file := filepath.Join(mc.ms.dir, mc.name+".yaml")
	settings := map[string]string{
		"vm": mc.name, "failure-domain": mc.zone, "failure-domains": strings.Join(zones, ","), "service": mc.service,
		"server": mc.app, "outlet": mc.outlet, "inlet": mc.inlet, "control": mc.control, "admin": mc.admin, "ready": mc.ready,
		"announce": mc.announce, "adapter": "municipal", "platform": mc.ms.platform, "drain-timeout": "6s", "memory-mb": "284",
		"link-mbps": "1000.0", "retry-ratio": "0.2", "retry-spare": "56", "first-start": fmt.Sprint(mc.starts == 0),
		"quota-spare": "", "quota-overage": "", "quota-window": "",
	}
	var sb strings.Builder
	for key, value := range settings {
		fmt.Fprintf(&sb, "%s: %q\n", key, value)
	}
	if err := os.WriteFile(file, []byte(sb.String()), 0o600); err != nil {
		return err
	}
	mc.starts++
	log, err := os.OpenFile(filepath.Join(mc.ms.dir, mc.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(os.Getenv("PROGRAM"), "daemon")
	cmd.Env = []string{"FLAMINGOMAST_CONFIG=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + mc.ms.dir}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	mc.daemon = cmd
	go func() { _ = cmd.Wait() }()
	return nil
}

// startWorker starts a new lifetime of the worker.
func (mc *machine) startWorker(flags ...string) error {
	mc.instance = fmt.Sprintf("i-%s-%d", mc.name, mc.ms.nextID.Add(1))
	args := append([]string{"worker", "--id", mc.instance, "--service", mc.service, "--addr", mc.app, "--zone", mc.zone,
		"--control", mc.announce, "--slots", fmt.Sprint(mc.slots), "--work", mc.work}, flags...)
	cmd := exec.Command(os.Args[0], args...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	mc.worker = cmd
	go func() {
		sc := bufio.NewScanner(out)
		for sc.Scan() {
			mc.ms.workerLine(sc.Text())
		}
		_ = cmd.Wait()
	}()
	return nil
}

func (ms *mesh) workerLine(text string) {
	fields := strings.Fields(text)
	if len(fields) > 2 && fields[0] == "run" {
		ms.mu.Lock()
		ms.runs[fields[2]] = append(ms.runs[fields[2]], fields[1])
		if len(ms.runs[fields[2]]) == 1 {
			ms.runAt[fields[2]] = time.Now()
		}
		ms.mu.Unlock()
	}
	ms.logf("worker %s", text)
}

// signal sends a signal to a process that this program started.
func signalTo(cmd *exec.Cmd, sig syscall.Signal) {
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(sig)
	}
}

// close ends all processes.
func (ms *mesh) close() {
	for _, mc := range ms.machines {
		signalTo(mc.daemon, syscall.SIGKILL)
		signalTo(mc.worker, syscall.SIGKILL)
	}
	time.Sleep(100 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(ms.dir)
	} else {
		fmt.Println("logs:", ms.dir)
	}
	_ = ms.record.Close()
}

// readiness polls the ready address of each daemon once a second, as the platform does.
func (ms *mesh) readiness() {
	hc := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(time.Second) {
		for _, mc := range ms.machines {
			go func() {
				res, err := hc.Get("http://" + mc.ready + "/flamingomast/ready")
				if err == nil {
					_ = res.Body.Close()
				}
				if err == nil && res.StatusCode == http.StatusOK {
					mc.misses.Store(0)
					return
				}
				mc.misses.Add(1)
			}()
		}
	}
}

// takesClients reports whether clients send new work to the machine.
func (mc *machine) takesClients() bool { return mc.misses.Load() < 2 }

// waitReady waits until all daemons are ready.
func (ms *mesh) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	hc := &http.Client{Timeout: time.Second}
	for _, mc := range ms.machines {
		for {
			res, err := hc.Get("http://" + mc.ready + "/flamingomast/ready")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("daemon %s isn't ready after %s", mc.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// route and configuration are what the operator writes.
type route struct {
	Name        string `json:"name"`
	Prefix      string `json:"path_prefix"`
	Kind        string `json:"kind"`
	Timeout     string `json:"timeout"`
	Target      string `json:"target_latency"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
}

// configure writes a version of the configuration as the operator does. hosts has the routes of each host.
func (ms *mesh) configure(version int, services []string, hosts map[string][]route) error {
	var list []map[string]any
	for _, sv := range services {
		list = append(list, map[string]any{"name": sv, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false})
	}
	var vhosts []map[string]any
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		vhosts = append(vhosts, map[string]any{"host": name, "route_paths": hosts[name]})
	}
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": list,
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"virtual_hosts": vhosts,
	})
	if err != nil {
		return err
	}
	ms.store.operatorPut("op/config", value)
	ms.logf("operator writes version %08x, acknowledged", version)
	return nil
}
