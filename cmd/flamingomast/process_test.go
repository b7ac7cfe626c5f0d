package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/node/addrs"
	"github.com/flamingomast/flamingomast/internal/node/admin"
)

// waitTimeout bounds each wait for a condition. It is far longer than needed, so
// that tests do not fail on a busy machine.
const waitTimeout = 60 * time.Second

var (
	buildOnce sync.Once
	binary    string
	buildErr  error
)

// build builds the command once for all tests.
func build(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "flamingomast-test")
		if err != nil {
			buildErr = err
			return
		}
		binary = filepath.Join(dir, "flamingomast")
		out, err := exec.Command("go", "build", "-race", "-o", binary, ".").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("%w: %s", err, out)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return binary
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binary != "" {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// proc is a process that a test has started.
type proc struct {
	t    *testing.T
	cmd  *exec.Cmd
	log  *bytes.Buffer
	done chan struct{}
}

func start(t *testing.T, args ...string) *proc {
	t.Helper()
	pr := &proc{t: t, cmd: exec.Command(build(t), args...), log: &bytes.Buffer{}, done: make(chan struct{})}
	pr.cmd.Stdout, pr.cmd.Stderr = pr.log, pr.log
	if err := pr.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(pr.done)
		_ = pr.cmd.Wait()
	}()
	t.Cleanup(func() {
		pr.signal(syscall.SIGKILL)
		<-pr.done
		if t.Failed() {
			t.Logf("%s:\n%s", strings.Join(args, " "), pr.log)
		}
	})
	return pr
}

func (pr *proc) signal(sig syscall.Signal) { _ = pr.cmd.Process.Signal(sig) }

func (pr *proc) kill() {
	pr.signal(syscall.SIGKILL)
	<-pr.done
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			t.Fatalf("condition not met within %s: %s", waitTimeout, what)
		case <-tick.C:
		}
	}
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := addrs.Free()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// run runs a command of the binary and returns its output and exit code.
func run(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), build(t), args...)
	text, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(text), cmd.ProcessState.ExitCode()
}

// vm is a VM with a daemon and a backend server.
type vm struct {
	name, domain, service         string
	outlet, inlet, control, admin string
	daemon, server                *proc
}

// mesh is a platform and VMs, all as processes.
type mesh struct {
	t        *testing.T
	platform string
	seeds    string
	plat     *proc
	vms      []*vm
	dir      string
}

// newMesh starts a platform and the daemon of one VM in each of three failure
// domains, and writes an inventory of the VMs.
func newMesh(t *testing.T) *mesh {
	t.Helper()
	me := &mesh{t: t, platform: freeAddr(t), dir: t.TempDir()}
	me.plat = start(t, "dev-platform", "--listen", me.platform)
	for _, dm := range []string{"sala-centro", "sala-norte", "sala-porto"} {
		me.vms = append(me.vms, &vm{
			name: dm + "-1", domain: dm, service: "booking",
			outlet: freeAddr(t), inlet: freeAddr(t), control: freeAddr(t), admin: freeAddr(t),
		})
		me.seeds += "," + me.vms[len(me.vms)-1].control
	}
	me.seeds = me.seeds[1:]
	me.write("rules.yaml", "routes: []\n")
	me.write("inventory.yaml", me.inventory())
	for _, v := range me.vms {
		me.startDaemon(v)
	}
	return me
}

func (me *mesh) inventory() string {
	var b strings.Builder
	b.WriteString("regions: [{name: vale-sul}]\nservices:\n- {name: booking, port: 9001, slots: 10}\n- {name: portal, port: 9002, slots: 10}\nfailure-domains:\n")
	for _, v := range me.vms {
		fmt.Fprintf(&b, "- {name: %s, region: vale-sul}\n", v.domain)
	}
	b.WriteString("vms:\n")
	for _, v := range me.vms {
		fmt.Fprintf(&b, "- {name: %s, failure-domain: %s, service: %s}\n", v.name, v.domain, v.service)
	}
	return b.String()
}

func (me *mesh) write(name, text string) {
	me.t.Helper()
	if err := os.WriteFile(filepath.Join(me.dir, name), []byte(text), 0o600); err != nil {
		me.t.Fatal(err)
	}
}

func (me *mesh) startDaemon(v *vm) {
	v.daemon = start(me.t, "daemon", "--vm", v.name, "--failure-domain", v.domain, "--outlet", v.outlet, "--inlet", v.inlet,
		"--control", v.control, "--admin", v.admin, "--platform", me.platform, "--seeds", me.seeds, "--mesh-token", "proof")
	eventually(me.t, "the daemon "+v.name+" answers", func() bool {
		_, err := v.status()
		return err == nil
	})
}

func (me *mesh) startServer(v *vm) {
	v.server = start(me.t, "dev-server", "--vm", v.name, "--service", v.service, "--daemon", v.admin)
}

// apply applies the declarations and waits until they are in force everywhere.
func (me *mesh) apply(base string, more ...string) string {
	me.t.Helper()
	args := append([]string{"apply", "--platform", me.platform, "--daemon", me.vms[0].admin, "--base", base, "--wait", waitTimeout.String()}, more...)
	out, code := run(me.t, append(args, me.dir)...)
	if code != 0 {
		me.t.Fatalf("apply: exit %d\n%s", code, out)
	}
	return out
}

func (v *vm) status() (admin.Status, error) {
	var st admin.Status
	res, err := http.Get("http://" + v.admin + "/status")
	if err != nil {
		return st, err
	}
	defer res.Body.Close()
	return st, json.NewDecoder(res.Body).Decode(&st)
}

// get sends a request for a service through a VM's outlet.
func (v *vm) get(service, path string) (body string, status int, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+v.outlet+path, nil)
	if err != nil {
		return "", 0, err
	}
	req.Host = service
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", 0, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return string(text), res.StatusCode, err
}

// servedBy waits until a request through v's outlet is answered by the VM other.
func (me *mesh) servedBy(v *vm, other string) {
	me.t.Helper()
	eventually(me.t, "a response through the outlet of "+v.name+" from "+other, func() bool {
		body, status, err := v.get("booking", "/visits")
		return err == nil && status == http.StatusOK && strings.HasPrefix(body, other+" GET /visits")
	})
}

// TestWholePath is an end-to-end test: an operator applies declarations, every
// daemon holds them, and a request sent to one daemon is answered by a backend
// server behind another.
func TestWholePath(t *testing.T) {
	me := newMesh(t)
	// The server announces itself before there is a configuration.
	me.startServer(me.vms[1])
	me.apply("")
	for _, v := range me.vms {
		eventually(t, v.name+" holds version 1", func() bool {
			st, err := v.status()
			return err == nil && st.Version == 1
		})
		me.servedBy(v, "sala-norte-1")
	}

	me.write("rules.yaml", "routes: [{name: web, match: {host: vale-sul}, to: [{service: booking, weight: 1}]}]\n")
	if out := me.apply("1"); !strings.Contains(out, "version 2") {
		t.Errorf("apply printed %q, want version 2", out)
	}
	if _, status, err := me.vms[2].get("vale-sul", "/"); err != nil || status != http.StatusOK {
		t.Errorf("request for the new route: status %d, error %v", status, err)
	}
	out, code := run(t, "history", "--platform", me.platform)
	if code != 0 || strings.Count(out, "\n") != 2 {
		t.Errorf("history: exit %d\n%s", code, out)
	}
}

// TestKilledDaemonIsReplaced kills a daemon while the platform is down and starts
// a new one at the same addresses. The new daemon must serve callers on the other
// VMs again, and must not hold an older version than its predecessor, although it
// can learn the version only from its peers.
func TestKilledDaemonIsReplaced(t *testing.T) {
	me := newMesh(t)
	me.startServer(me.vms[1])
	me.apply("")
	me.write("rules.yaml", "classes: [{name: confirm, share: 50}]\n")
	me.apply("1")
	me.servedBy(me.vms[0], "sala-norte-1")

	me.plat.kill()
	me.vms[1].daemon.kill()
	me.startDaemon(me.vms[1])
	eventually(t, "the new daemon holds version 2", func() bool {
		st, err := me.vms[1].status()
		if err == nil && st.Version != 0 && st.Version < 2 {
			t.Fatalf("the new daemon holds version %d after version 2", st.Version)
		}
		return err == nil && st.Version == 2
	})
	me.servedBy(me.vms[0], "sala-norte-1")
}

// TestFrozenDaemonCatchesUp suspends a daemon (SIGSTOP) for longer than every
// timeout while a version is accepted. The other daemons must go on serving, and
// the daemon must fetch the version that it missed once it runs again.
func TestFrozenDaemonCatchesUp(t *testing.T) {
	me := newMesh(t)
	me.startServer(me.vms[0])
	me.startServer(me.vms[1])
	me.apply("")
	me.servedBy(me.vms[0], "sala-centro-1")
	me.servedBy(me.vms[1], "sala-norte-1")

	me.vms[1].daemon.signal(syscall.SIGSTOP)
	eventually(t, "the others see the failure domain of the frozen daemon as unreachable", func() bool {
		st, err := me.vms[2].status()
		return err == nil && st.Domains[1].Unreachable
	})
	me.write("rules.yaml", "classes: [{name: confirm, share: 50}]\n")
	out, code := run(t, "apply", "--platform", me.platform, "--daemon", me.vms[0].admin, "--base", "1", "--wait", "2s", me.dir)
	if code != 4 || !strings.Contains(out, "sala-norte") {
		t.Errorf("apply with a frozen daemon: exit %d\n%s", code, out)
	}
	me.servedBy(me.vms[2], "sala-centro-1")
	me.vms[1].daemon.signal(syscall.SIGCONT)
	eventually(t, "the daemon holds version 2 after it was resumed", func() bool {
		st, err := me.vms[1].status()
		return err == nil && st.Version == 2
	})
	me.servedBy(me.vms[1], "sala-norte-1")
}

// TestDrainCutsOffNothing stops a daemon (SIGTERM) while requests run at its VM.
// Each of them must get a complete response, the daemon must exit with status 0,
// and a request after the drain must be refused.
func TestDrainCutsOffNothing(t *testing.T) {
	me := newMesh(t)
	v := me.vms[1]
	v.server = start(t, "dev-server", "--vm", v.name, "--service", v.service, "--daemon", v.admin, "--work", "3s")
	me.apply("")
	me.servedBy(me.vms[0], v.name)

	const running = 8
	problems := make(chan string, running)
	for i := range running {
		go func() {
			body, status, err := me.vms[0].get("booking", fmt.Sprintf("/visits/%d", i))
			if err != nil || status != http.StatusOK || !strings.Contains(body, fmt.Sprintf("/visits/%d ", i)) {
				problems <- fmt.Sprintf("request %d: status %d, error %v, body %q", i, status, err, body)
				return
			}
			problems <- ""
		}()
	}
	eventually(t, "all requests run at the VM", func() bool {
		res, err := http.Get("http://" + v.admin + "/debug/vars")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		text, _ := io.ReadAll(res.Body)
		return strings.Contains(string(text), fmt.Sprintf(`"slots-running": %d`, running))
	})
	v.daemon.signal(syscall.SIGTERM)
	for range running {
		if msg := <-problems; msg != "" {
			t.Error(msg)
		}
	}
	<-v.daemon.done
	if code := v.daemon.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the daemon exited with status %d", code)
	}
	if body, status, err := me.vms[0].get("booking", "/after"); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("after the drain: status %d, error %v, body %q", status, err, body)
	}
}

// TestHangup changes the settings and sends SIGHUP. The daemon must keep running,
// apply the settings that can change while it runs and log that it did; invalid
// settings must change nothing. Without a handler, the Go runtime ends a process
// at SIGHUP.
func TestHangup(t *testing.T) {
	file := filepath.Join(t.TempDir(), "daemon.yaml")
	adminAddr := freeAddr(t)
	text := fmt.Sprintf("vm: centro-1\nfailure-domain: sala-centro\noutlet: %s\ninlet: %s\ncontrol: %s\nadmin: %s\nplatform: %s\n",
		freeAddr(t), freeAddr(t), freeAddr(t), adminAddr, freeAddr(t))
	write := func(more string) {
		if err := os.WriteFile(file, []byte(text+more), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("")
	logFile, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer logFile.Close()
	pr := &proc{t: t, cmd: exec.Command(build(t), "daemon", "--config", file), log: &bytes.Buffer{}, done: make(chan struct{})}
	pr.cmd.Stdout, pr.cmd.Stderr = logFile, logFile
	if err := pr.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(pr.done)
		_ = pr.cmd.Wait()
	}()
	defer pr.kill()
	logged := func(text string) func() bool {
		return func() bool {
			b, err := os.ReadFile(logFile.Name())
			return err == nil && strings.Contains(string(b), text)
		}
	}
	eventually(t, "the daemon answers", func() bool {
		res, err := http.Get("http://" + adminAddr + "/healthz")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	write("log-level: loud\n")
	pr.signal(syscall.SIGHUP)
	eventually(t, "invalid settings are rejected", logged(`"msg":"reload-failed"`))
	write("access-log-sample: 0.5\n")
	pr.signal(syscall.SIGHUP)
	eventually(t, "valid settings are applied", logged(`"msg":"reload","`))
	select {
	case <-pr.done:
		t.Error("the daemon exited")
	default:
	}
}
