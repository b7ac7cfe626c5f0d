package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machine is one VM with a daemon and a worker, at a loopback address of its own.
type machine struct {
	vm, zone, ip string
	fl           *fleet
	wk           *worker
	// storeGate is the machine's path to the store.
	storeGate *gate
	cmd       *exec.Cmd
	done      chan struct{}
	starts    int
}

// fleet is a deployment: the store, the machines and their programs.
type fleet struct {
	rec      *record
	st       *kvStore
	dir      string
	port     int
	machines []*machine
	zones    []string
	extra    map[string]string
}

// The ports of a machine, added to the first one.
const (
	portReady = iota
	portAnnounce
	portServer
	portInlet
	portOutlet
	portControl
	portAdmin
	portStore
	ports
)

func (mc *machine) addr(port int) string { return fmt.Sprintf("%s:%d", mc.ip, mc.fl.port+port) }

// newFleet makes a deployment of one machine for each "zone/service".
func newFleet(rec *record, places []string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	fl := &fleet{rec: rec, st: newStore(), dir: dir, extra: map[string]string{}}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		fl.stop()
		os.Exit(notRun)
	}()
	for i, place := range places {
		zone, service, _ := strings.Cut(place, "/")
		mc := &machine{fl: fl, zone: zone, ip: fmt.Sprintf("127.0.71.%d", i+1), storeGate: newGate()}
		mc.vm = fmt.Sprintf("sidecar-%s-%d", zone, i+1)
		mc.wk = &worker{rec: rec, vm: mc.vm, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, slots: 9, work: 20 * time.Millisecond}
		fl.machines = append(fl.machines, mc)
		if !strings.Contains(" "+strings.Join(fl.zones, " ")+" ", " "+zone+" ") {
			fl.zones = append(fl.zones, zone)
		}
	}
	for try := 0; try < 50; try++ {
		fl.port = 21000 + 10*rand.IntN(900)
		if fl.portsFree() {
			return fl, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (fl *fleet) portsFree() bool {
	for _, mc := range fl.machines {
		for p := range ports {
			ln, err := net.Listen("tcp", mc.addr(p))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// start starts the store and all machines.
func (fl *fleet) start() error {
	for _, mc := range fl.machines {
		if err := serve(mc.addr(portStore), mc.storeGate, fl.st.handler(mc.vm)); err != nil {
			return err
		}
	}
	for _, mc := range fl.machines {
		mc.wk.addr, mc.wk.control = mc.addr(portServer), mc.addr(portAnnounce)
		if err := mc.wk.start(); err != nil {
			return err
		}
		if err := mc.startDaemon(); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts the machine's daemon with the command of the deploy file and settings as the
// template there gives them.
func (mc *machine) startDaemon() error {
	fl := mc.fl
	var domains []string
	for _, zone := range fl.zones {
		domains = append(domains, zone+"=vale-sul")
	}
	settings := map[string]string{
		"vm": mc.vm, "failure-domain": mc.zone, "failure-domains": strings.Join(domains, ","), "service": mc.wk.service,
		"server": mc.addr(portServer), "outlet": mc.addr(portOutlet), "inlet": mc.addr(portInlet), "control": mc.addr(portControl),
		"admin": mc.addr(portAdmin), "ready": mc.addr(portReady), "announce": mc.addr(portAnnounce), "adapter": "municipal",
		"platform": mc.addr(portStore), "drain-timeout": "6s", "memory-mb": "284", "link-mbps": "1000.0", "retry-ratio": "0.2",
		"retry-spare": "56", "first-start": fmt.Sprint(mc.starts == 0), "quota-spare": "", "quota-overage": "", "quota-window": "",
	}
	for name, value := range fl.extra {
		settings[name] = value
	}
	var sb strings.Builder
	for name, value := range settings {
		fmt.Fprintf(&sb, "%s: %q\n", name, value)
	}
	path := filepath.Join(fl.dir, mc.vm+".yaml")
	if err := os.WriteFile(path, []byte(sb.String()), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(fl.dir, mc.vm+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command("target/flamingomast", "daemon")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + fl.dir, "FLAMINGOMAST_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	mc.starts++
	mc.cmd, mc.done = cmd, make(chan struct{})
	fl.rec.add("daemon-started", "vm", mc.vm)
	go func(done chan struct{}) {
		err := cmd.Wait()
		fl.rec.add("daemon-ended", "vm", mc.vm, "state", fmt.Sprint(err))
		close(done)
	}(mc.done)
	return nil
}

func (mc *machine) signal(sig syscall.Signal) {
	mc.fl.rec.add("signal", "vm", mc.vm, "signal", sig.String())
	_ = mc.cmd.Process.Signal(sig)
}

// stop ends all daemons.
func (fl *fleet) stop() {
	for _, mc := range fl.machines {
		mc.wk.stopped.Store(true)
		if mc.cmd != nil {
			_ = mc.cmd.Process.Signal(syscall.SIGCONT)
			_ = mc.cmd.Process.Kill()
		}
	}
	for _, mc := range fl.machines {
		if mc.done != nil {
			<-mc.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fl.dir)
	} else {
		fmt.Println("logs in", fl.dir)
	}
}

// ready reports whether a machine's daemon is ready, by the platform's call.
func (mc *machine) ready() bool {
	res, err := (&http.Client{Timeout: 500 * time.Millisecond}).Get("http://" + mc.addr(portReady) + "/flamingomast/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == 200
}

func (fl *fleet) waitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, mc := range fl.machines {
		for !mc.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready after %v", mc.vm, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	hdr    http.Header
	err    error
}

// send sends one client attempt with an id of its own, on a new channel, and records it.
func (mc *machine) send(method, host, path, id string, body io.Reader, timeout time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+mc.addr(portOutlet)+path, body)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	req.Close = true
	sent := time.Now()
	res, err := (&http.Client{Timeout: timeout, Transport: &http.Transport{}}).Do(req)
	an := answer{err: err}
	if err == nil {
		var text []byte
		text, an.err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		an.status, an.body, an.hdr = res.StatusCode, string(text), res.Header
	}
	mc.fl.rec.addAt(sent, "sent", "vm", mc.vm, "id", id, "method", method, "path", path)
	mc.fl.rec.add("answered", "vm", mc.vm, "id", id, "status", an.status, "error", fmt.Sprint(an.err), "after_ms", time.Since(sent).Milliseconds())
	return an
}
