//go:build measure

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/sample"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/usage"
)

// These measurements report times, so they do not run in CI:
//
//	go test -tags measure -run TestMeasure -v ./cmd/flamingomast

// plainBuild builds the command without the race detector.
func plainBuild(t *testing.T) {
	t.Helper()
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "flamingomast-measure")
		if err != nil {
			buildErr = err
			return
		}
		binary = filepath.Join(dir, "flamingomast")
		out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("%w: %s", err, out)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
}

// use returns the resident set of a process in megabytes and its processor time.
func use(t *testing.T, pr *proc) (mb float64, cpu time.Duration) {
	t.Helper()
	us, err := usage.Of(pr.cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	return float64(us.Resident) / (1 << 20), us.CPUTime
}

// targetInventory declares a mesh of the target size: 790 VMs and 73 services in 5
// failure domains. The deadline of one route depends on n.
func targetInventory(t *testing.T, n int) string {
	t.Helper()
	ms := sample.Mesh(790, 5, 73)
	ms.Routes[0].Deadline = decl.Duration(time.Duration(1000+n) * time.Millisecond)
	text, err := decl.Print(ms)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestMeasureDaemons runs real daemons of one failure domain of the target size and
// measures their memory and processor time when idle and during 20 changes, and
// their memory after all but the relays were killed and restarted.
func TestMeasureDaemons(t *testing.T) {
	plainBuild(t)
	for _, n := range []int{10, 80, 158} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { measureDaemons(t, n) })
	}
}

func measureDaemons(t *testing.T, n int) {
	me := &mesh{t: t, platform: freeAddr(t), dir: t.TempDir()}
	me.plat = start(t, "dev-platform", "--listen", me.platform)
	me.write("m.yaml", targetInventory(t, 0))
	for i := range n {
		me.vms = append(me.vms, &vm{
			name: fmt.Sprintf("vm-%03d", 5*i), domain: "d0", service: fmt.Sprint("service-", 5*i%73),
			outlet: freeAddr(t), inlet: freeAddr(t), control: freeAddr(t), admin: freeAddr(t),
		})
	}
	for _, v := range me.vms[:3] {
		me.seeds += "," + v.control
	}
	me.seeds = me.seeds[1:]
	eventually(t, "the platform accepts version 1", func() bool {
		_, code := run(t, "apply", "--platform", me.platform, me.dir)
		return code == 0
	})
	var wg sync.WaitGroup
	launch := func(list []*vm) {
		for _, v := range list {
			wg.Add(1)
			go func() {
				defer wg.Done()
				me.startDaemon(v)
			}()
		}
		wg.Wait()
	}
	launch(me.vms)
	held := func() bool {
		for _, v := range me.vms {
			st, err := v.status()
			if err != nil || st.Version == 0 {
				return false
			}
		}
		return true
	}
	eventually(t, "all hold the version", held)
	pause := time.NewTimer(20 * time.Second)
	<-pause.C
	report := func(what string, span time.Duration, before map[*vm]time.Duration) {
		var mem, cpu [2][]float64
		for _, v := range me.vms {
			rss, used := use(t, v.daemon)
			k := 0
			if v.relay(t) {
				k = 1
			}
			mem[k] = append(mem[k], rss)
			if before != nil {
				cpu[k] = append(cpu[k], 100*(used-before[v]).Seconds()/span.Seconds())
			}
		}
		for k, role := range []string{"member", "relay"} {
			if len(mem[k]) > 0 {
				t.Logf("%d daemons, %s, %s (%d): resident MB median %.1f most %.1f; processor %% median %.2f most %.2f", n, what, role, len(mem[k]), mid(mem[k]), slices.Max(mem[k]), mid(cpu[k]), top(cpu[k]))
			}
		}
	}
	before := map[*vm]time.Duration{}
	for _, v := range me.vms {
		_, before[v] = use(t, v.daemon)
	}
	span := 20 * time.Second
	pause.Reset(span)
	<-pause.C
	report("idle", span, before)
	for _, v := range me.vms {
		_, before[v] = use(t, v.daemon)
	}
	began := time.Now()
	for i := range 20 {
		me.write("m.yaml", targetInventory(t, i+1))
		if out, code := run(t, "apply", "--platform", me.platform, "--base", fmt.Sprint(i+1), me.dir); code != 0 {
			t.Fatal(out)
		}
	}
	eventually(t, "all hold version 21", func() bool {
		for _, v := range me.vms {
			if st, err := v.status(); err != nil || st.Version != 21 {
				return false
			}
		}
		return true
	})
	report("20 changes", time.Since(began), before)
	// Kill all daemons but the relays, and restart them at once.
	var again []*vm
	for _, v := range me.vms {
		if !v.relay(t) {
			again = append(again, v)
			v.daemon.signal(syscall.SIGKILL)
		}
	}
	for _, v := range again {
		<-v.daemon.done
	}
	began = time.Now()
	launch(again)
	eventually(t, "all hold the version again", held)
	t.Logf("%d daemons: %d die and come back at once: all hold the version after %s (with the start of the processes)", n, len(again), time.Since(began).Round(time.Millisecond))
	report("storm", time.Since(began), nil)
}

func mid(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

func top(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return slices.Max(list)
}

// relay reports whether a VM's daemon is a relay.
func (v *vm) relay(t *testing.T) bool {
	res, err := http.Get("http://" + v.admin + "/debug/vars")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var vars struct {
		Flamingomast struct {
			Relay bool `json:"relay"`
		} `json:"flamingomast"`
	}
	if err := json.NewDecoder(res.Body).Decode(&vars); err != nil {
		t.Fatal(err)
	}
	return vars.Flamingomast.Relay
}

// TestMeasurePath compares, with alternating requests in one run, a direct call, a
// call through one bare forwarding hop, and the path through outlet and inlet. Each
// part is a separate process.
func TestMeasurePath(t *testing.T) {
	plainBuild(t)
	me := newMesh(t)
	v := me.vms[1]
	server := freeAddr(t)
	v.server = start(t, "dev-server", "--vm", v.name, "--service", v.service, "--daemon", v.admin, "--listen", server)
	me.apply("")
	me.servedBy(me.vms[0], v.name)
	hop := startBareHop(t, server)
	eventually(t, "the bare hop answers", func() bool {
		_, err := http.Get("http://" + hop.addr)
		return err == nil
	})
	load := func(args ...string) {
		out, code := run(t, append([]string{"dev-load"}, args...)...)
		if t.Log(out); code != 0 {
			t.Fatal("dev-load failed")
		}
	}
	load("direct="+server, "bare-hop="+hop.addr, "outlet-and-inlet="+me.vms[0].outlet, "of-one-vm="+v.outlet)
	// perCore returns the throughput in requests per core-second.
	perCore := func(addr string, pr *proc) float64 {
		const requests = 16_000
		_, before := use(t, pr)
		load("--workers", "8", "--pause", "0", "--requests", fmt.Sprint(requests), "x="+addr)
		_, after := use(t, pr)
		return requests / (after - before).Seconds()
	}
	outlet, bare := perCore(me.vms[0].outlet, me.vms[0].daemon), perCore(hop.addr, hop.proc)
	t.Logf("requests a core-second: outlet daemon %.0f, bare forwarder on the same transport %.0f, ratio %.2f", outlet, bare, outlet/bare)
}

// bareProc is a bare forwarding hop in a separate process.
type bareProc struct {
	*proc
	addr string
}

// bareHopTo is the environment variable that turns the test binary into a bare
// forwarding hop. Its value is the address to listen on, ">", and the address to
// forward to.
const bareHopTo = "FLAMINGOMAST_TEST_BARE_HOP"

func init() {
	listen, to, ok := strings.Cut(os.Getenv(bareHopTo), ">")
	if !ok {
		return
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		panic(err)
	}
	panic((&http.Server{Handler: bareHandler(to)}).Serve(ln))
}

func startBareHop(t *testing.T, to string) bareProc {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	bp := bareProc{proc: &proc{t: t, cmd: exec.Command(self), log: &bytes.Buffer{}, done: make(chan struct{})}, addr: freeAddr(t)}
	bp.cmd.Env = append(os.Environ(), bareHopTo+"="+bp.addr+">"+to)
	if err := bp.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = bp.cmd.Process.Kill()
		_ = bp.cmd.Wait()
	})
	return bp
}

func bareHandler(to string) http.Handler {
	fw := proxy.New(proxy.Options{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := proxy.Outgoing(r.Context(), r, to, result.TimeoutHeader)
		out.Body = proxy.Body(nil)
		at := fw.Do(out)
		if at.Response == nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer at.Response.Body.Close()
		proxy.CopyHeader(w, at.Response, nil)
		_ = proxy.Copy(w, at, proxy.Pace{})
	})
}
