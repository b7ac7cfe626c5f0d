package outlet_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/outlet"
	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// rules is the configuration of the tests. Requests below /once must not be retried.
const rules = `
regions: [{name: r}]
failure-domains: [{name: a, region: r}, {name: b, region: r}]
services: [{name: booking, port: 1, slots: 4, deadline: 2s}, {name: portal, port: 1, slots: 4}]
classes: [{name: default, share: 10, queue: 4}]
vms: [{name: vm-0, failure-domain: a, service: booking}, {name: vm-1, failure-domain: b, service: booking}, {name: vm-2, failure-domain: a, service: portal}]
routes:
- {name: once, match: {host: booking, path-prefix: /once}, to: [{service: booking, weight: 1}], repeat: never, deadline: 2s}
- {name: short, match: {host: booking, path-prefix: /short}, to: [{service: booking, weight: 1}], deadline: 200ms}
- {name: long, match: {host: booking, path-prefix: /long}, to: [{service: booking, weight: 1}], deadline: 5m}
- {name: always, match: {host: booking, path-prefix: /always}, to: [{service: booking, weight: 1}], repeat: always, deadline: 2s}
`

func compile(t testing.TB, text string) *snap.Snapshot {
	t.Helper()
	ms, prs := decl.Parse(map[string][]byte{"t.yaml": []byte(text)})
	if len(prs) > 0 {
		t.Fatal(prs)
	}
	co, err := pack.Encode(ms)
	if err != nil {
		t.Fatal(err)
	}
	sn, err := snap.Compile(1, co, "a")
	if err != nil {
		t.Fatal(err)
	}
	return sn
}

// rig is an outlet with the inlets of some VMs, connected over loopback.
type rig struct {
	t      testing.TB
	sn     *snap.Snapshot
	outlet *outlet.Outlet
	front  *httptest.Server
	vms    []*rigVM
}

// rigVM is the inlet of a VM, in front of a backend server.
type rigVM struct {
	rec  *member.Record
	in   *inlet.Inlet
	http *httptest.Server
	// addr is the address of the backend server.
	addr string
}

// dialWithoutTimeout opens a connection without the usual dial timeout, which is in wall time and
// is exceeded on a busy machine even over loopback.
func dialWithoutTimeout(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// newRig starts an outlet and one VM for each address of a backend server.
func newRig(t testing.TB, servers ...string) *rig {
	t.Helper()
	rg := &rig{t: t, sn: compile(t, rules), outlet: outlet.New(outlet.Options{Forwarder: proxy.New(proxy.Options{Dial: dialWithoutTimeout})})}
	for i, addr := range servers {
		rg.addVM(i, addr)
	}
	rg.update()
	rg.front = httptest.NewUnstartedServer(rg.outlet)
	var ps http.Protocols
	ps.SetHTTP1(true)
	ps.SetUnencryptedHTTP2(true)
	rg.front.Config.Protocols = &ps
	rg.front.Config.MaxHeaderBytes = 64 << 10
	rg.front.Start()
	t.Cleanup(rg.front.Close)
	return rg
}

func (rg *rig) addVM(i int, addr string) {
	vm := &rigVM{in: inlet.New(proxy.Options{Dial: dialWithoutTimeout}, nil), addr: addr}
	vm.http = httptest.NewServer(vm.in)
	rg.t.Cleanup(vm.http.Close)
	vm.rec = &member.Record{
		VM: fmt.Sprint("vm-", i), Domain: []string{"a", "b"}[i%2], Incarnation: 1, Sequence: 1, Nonce: rand.Uint64(),
		State: member.StateServing, Service: "booking", Inlet: strings.TrimPrefix(vm.http.URL, "http://"),
	}
	vm.in.SetTarget(inlet.Target{VM: vm.rec.VM, Process: pick.Process(vm.rec), Service: "booking", Addr: addr})
	vm.in.Gate.Configure(4, []limit.Class{{Name: "default", Share: 10, Queue: 4}})
	rg.vms = append(rg.vms, vm)
}

// update builds the outlet's table from the records of the VMs.
func (rg *rig) update() {
	var recs []*member.Record
	for _, vm := range rg.vms {
		recs = append(recs, vm.rec)
	}
	vw, _ := (&member.View{}).Merge(recs)
	rg.outlet.SetTable(pick.Build(rg.sn, pick.Fleet{Members: vw, Self: "outlet"}, rg.outlet.Table()))
}

func (rg *rig) request(method, path, body string, hdr ...string) *http.Request {
	rg.t.Helper()
	var r io.Reader
	if body != "" {
		r = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, rg.front.URL+path, r)
	if err != nil {
		rg.t.Fatal(err)
	}
	req.Host = "booking"
	for i := 0; i+1 < len(hdr); i += 2 {
		req.Header.Set(hdr[i], hdr[i+1])
	}
	return req
}

// reply is what a caller received.
type reply struct {
	status     int
	outcome    string
	reason     string
	retryAfter string
	body       string
	err        error
	took       time.Duration
}

// do sends a request on its own connection.
func (rg *rig) do(req *http.Request) reply {
	cl := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return send(cl, req)
}

func send(cl *http.Client, req *http.Request) (rp reply) {
	began := time.Now()
	defer func() { rp.took = time.Since(began) }()
	res, err := cl.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return reply{
		status: res.StatusCode, outcome: res.Header.Get("Flamingomast-Outcome"), reason: res.Header.Get("Flamingomast-Reason"),
		retryAfter: res.Header.Get("Retry-After"), body: string(text), err: err,
	}
}

// newFaultyServer starts a faulty backend server for the test.
func newFaultyServer(t testing.TB, fn faulty.Handler) *faulty.Server {
	t.Helper()
	sr, err := faulty.New(fn)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sr.Close)
	return sr
}
