package outlet_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/outlet"
	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/plat/memnet"
)

// serve starts a server for h at addr on the in-memory network.
func (lr *loadRig) serve(addr string, h http.Handler) {
	_, ln := lr.nw.Listen(addr, "")
	hs := &http.Server{Handler: h}
	go func() { _ = hs.Serve(ln) }()
	lr.stops = append(lr.stops, func() { _ = hs.Close() })
}

func (lr *loadRig) dial(ctx context.Context, addr string) (net.Conn, error) {
	return lr.nw.Dial(ctx, lr.caller, addr)
}

// countingHandler counts the requests that reach a handler.
type countingHandler struct {
	http.Handler
	requests atomic.Int64
}

// ServeHTTP counts the request and calls the handler.
func (ch *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ch.requests.Add(1)
	ch.Handler.ServeHTTP(w, r)
}

func (ch *countingHandler) n() int { return int(ch.requests.Load()) }

// backend is a backend server with as many workers as slots. It runs requests in the order in which
// they arrive, also those whose callers have given up.
type backend struct {
	work    func() time.Duration
	workers chan struct{}
	// fail, if set, may answer the request without doing the work.
	fail func(w http.ResponseWriter, r *http.Request) bool
	// call, if set, calls another service and returns the status of its response.
	call func(r *http.Request) int

	mu  sync.Mutex
	ran int
}

func (be *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	be.mu.Lock()
	be.ran++
	be.mu.Unlock()
	if be.fail != nil && be.fail(w, r) {
		return
	}
	be.workers <- struct{}{}
	time.Sleep(be.work())
	<-be.workers
	if be.call != nil {
		if status := be.call(r); status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
	}
	_, _ = io.WriteString(w, "ok")
}

func (be *backend) runs() int {
	be.mu.Lock()
	defer be.mu.Unlock()
	return be.ran
}

const (
	slots    = 4
	workTime = 20 * time.Millisecond
)

func uniform(mean time.Duration) func() time.Duration {
	return func() time.Duration { return mean/2 + rand.N(mean) }
}

// loadRig is one outlet with inlets and backend servers on an in-memory network, for load tests in
// virtual time.
type loadRig struct {
	t      *testing.T
	nw     *memnet.Network
	caller *memnet.Host
	outlet *outlet.Outlet
	// front receives the requests: outlet or a baseline.
	front    http.Handler
	rules    string
	recs     []*member.Record
	gates    []*limit.Limiter
	inlets   []*countingHandler
	backends []*backend
	stops    []func()
	closes   []func()
}

// loadRules declares two classes and the given number of VMs of the service booking, distributed
// over the failure domains a, b and c in turn.
func loadRules(vms int, more string) string {
	var b strings.Builder
	b.WriteString("regions: [{name: r}]\nfailure-domains: [{name: a, region: r}, {name: b, region: r}, {name: c, region: r}]\n")
	fmt.Fprintf(&b, "services: [{name: booking, port: 1, slots: %d, deadline: 1s}]\n", slots)
	b.WriteString("classes: [{name: confirm, share: 50, queue: 8}, {name: default, share: 25, queue: 4}]\n")
	b.WriteString("routes: [{name: c, match: {host: booking, path-prefix: /confirm}, to: [{service: booking, weight: 1}], class: confirm}]\nvms:\n")
	for i := range vms {
		fmt.Fprintf(&b, "- {name: vm-%d, failure-domain: %s, service: booking}\n", i, []string{"a", "b", "c"}[i%3])
	}
	b.WriteString(more)
	return b.String()
}

const anyDomain = "placements: [{service: booking, order: [any], spill: true}]\n"

func newLoadRig(t *testing.T, vms int, more string) *loadRig {
	lr := &loadRig{t: t, nw: memnet.New(), rules: loadRules(vms, more)}
	lr.nw.Latency = func(*memnet.Host, *memnet.Host) time.Duration { return 0 }
	lr.caller, _ = lr.nw.Listen("caller:1", "")
	lr.outlet = outlet.New(outlet.Options{Forwarder: lr.forwarder()})
	lr.front = lr.outlet
	for i := range vms {
		lr.addVM(i)
	}
	lr.update()
	return lr
}

func (lr *loadRig) forwarder() *proxy.Forwarder {
	fw := proxy.New(proxy.Options{Dial: lr.dial})
	lr.closes = append(lr.closes, fw.Close)
	return fw
}

func (lr *loadRig) addVM(i int) {
	name := fmt.Sprint("vm-", i)
	be := &backend{work: uniform(workTime), workers: make(chan struct{}, slots)}
	lr.serve(name+":1", be)
	in := inlet.New(proxy.Options{Dial: lr.dial}, nil)
	lr.closes = append(lr.closes, in.Close)
	rec := &member.Record{
		VM: name, Domain: []string{"a", "b", "c"}[i%3], Incarnation: 1, Sequence: 1, State: member.StateServing,
		Service: "booking", Slots: slots, Inlet: name + ":2",
	}
	in.SetTarget(inlet.Target{VM: name, Process: pick.Process(rec), Service: "booking", Addr: name + ":1"})
	in.Gate.Configure(slots, []limit.Class{{Name: "confirm", Share: 50, Queue: 8}, {Name: "default", Share: 25, Queue: 4}})
	ch := &countingHandler{Handler: in}
	lr.serve(rec.Inlet, ch)
	lr.inlets = append(lr.inlets, ch)
	lr.recs, lr.gates, lr.backends = append(lr.recs, rec), append(lr.gates, in.Gate), append(lr.backends, be)
}

// view returns the members and the configuration that outlets build their tables from.
func (lr *loadRig) view() (*member.View, *snap.Snapshot) {
	vw, _ := (&member.View{}).Merge(lr.recs)
	return vw, compile(lr.t, lr.rules)
}

func (lr *loadRig) update() {
	vw, sn := lr.view()
	lr.outlet.SetTable(pick.Build(sn, pick.Fleet{Members: vw, Self: "outlet"}, lr.outlet.Table()))
}

// inletRequests returns how many requests have reached the inlets.
func (lr *loadRig) inletRequests() int {
	n := 0
	for _, in := range lr.inlets {
		n += in.n()
	}
	return n
}

func (lr *loadRig) close() {
	for _, fn := range lr.closes {
		fn()
	}
	for _, stop := range lr.stops {
		stop()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

// tally counts the outcomes that callers saw.
type tally struct {
	mu                            sync.Mutex
	good, notRun, mayHaveRun, bad int
	latency, refusalLatency       []time.Duration
}

func (ta *tally) add(rec *httptest.ResponseRecorder, took time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	switch oc := rec.Header().Get("Flamingomast-Outcome"); {
	case oc == "not-run":
		ta.notRun++
		ta.refusalLatency = append(ta.refusalLatency, took)
	case oc != "":
		ta.mayHaveRun++
	case rec.Code != http.StatusOK:
		ta.bad++
	default:
		ta.good++
		ta.latency = append(ta.latency, took)
	}
}

func (ta *tally) total() int { return ta.good + ta.notRun + ta.mayHaveRun + ta.bad }

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

// send sends one request to front.
func (lr *loadRig) send(path string, ta *tally) {
	lr.sendTo(lr.front, "booking", path, nil, ta)
}

func (lr *loadRig) sendTo(h http.Handler, host, path string, hdr http.Header, ta *tally) int {
	req := httptest.NewRequest(http.MethodGet, path, nil)
	req.Host = host
	for k, v := range hdr {
		req.Header[k] = v
	}
	rec := httptest.NewRecorder()
	began := time.Now()
	func() {
		defer func() {
			if v := recover(); v != nil {
				rec.Code = http.StatusTeapot
			}
		}()
		h.ServeHTTP(rec, req)
	}()
	if ta != nil {
		ta.add(rec, time.Since(began))
	}
	return rec.Code
}

// load sends requests at the given rate with random intervals.
func (lr *loadRig) load(rate float64, span time.Duration, path func() string) *tally {
	ta := &tally{}
	var wg conc.WaitGroup
	mean := time.Duration(float64(time.Second) / rate)
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(mean)))
		p := path()
		wg.Go(func() { lr.send(p, ta) })
	}
	wg.Wait()
	return ta
}

func constantPath(path string) func() string { return func() string { return path } }

// TestGoodput loads two servers with one, two and five times their capacity. The load of the
// protected class is 0.3 of the capacity, below its share of half the slots; the rest belongs to
// another class. The goodput must stay near the capacity, the latency of the protected class near
// its unloaded value, and refusals must be immediate.
func TestGoodput(t *testing.T) {
	const vms = 2
	capacity := float64(vms*slots) / workTime.Seconds()
	const span = 5 * time.Second
	const protected = 0.3
	run := func(times float64, injectFault func(*loadRig)) (lookup, confirm *tally) {
		synctest.Test(t, func(t *testing.T) {
			lr := newLoadRig(t, vms, anyDomain)
			defer lr.close()
			injectFault(lr)
			var wg conc.WaitGroup
			wg.Go(func() { confirm = lr.load(min(times, 1)*protected*capacity, span, constantPath("/confirm")) })
			lookup = lr.load((times-min(times, 1)*protected)*capacity, span, constantPath("/lookup"))
			wg.Wait()
		})
		return lookup, confirm
	}
	_, light := run(0.1, func(*loadRig) {})
	unloaded := quantile(light.latency, 0.99)
	t.Logf("capacity %.0f/s; unloaded 99th %s", capacity, unloaded)
	for _, times := range []float64{1, 2, 5} {
		lookup, confirm := run(times, func(*loadRig) {})
		good := float64(lookup.good+confirm.good) / span.Seconds()
		refused := quantile(slices.Concat(lookup.refusalLatency, confirm.refusalLatency), 0.99)
		t.Logf("%.0f x: goodput %.1f%% of capacity; protected: %d of %d answered, 99th %s; others: %d of %d; refused in %s (99th)",
			times, 100*good/capacity, confirm.good, confirm.total(), quantile(confirm.latency, 0.99), lookup.good, lookup.total(), refused)
		if times > 1 && good < 0.95*capacity {
			t.Errorf("%.0f x: goodput %.0f/s of %.0f/s", times, good, capacity)
		}
		if got := quantile(confirm.latency, 0.99); got > 2*unloaded {
			t.Errorf("%.0f x: protected 99th %s, unloaded %s", times, got, unloaded)
		}
		if confirm.good < confirm.total() {
			t.Errorf("%.0f x: %d of %d protected requests answered", times, confirm.good, confirm.total())
		}
	}
	// For comparison: no limit at the inlet.
	lookup, confirm := run(5, func(lr *loadRig) {
		for _, ga := range lr.gates {
			ga.Configure(1_000_000, nil)
		}
	})
	good := float64(lookup.good+confirm.good) / span.Seconds()
	t.Logf("5 x without limits: goodput %.1f%% of capacity, protected 99th %s", 100*good/capacity, quantile(confirm.latency, 0.99))
}

// attempts returns how many requests the backend servers have received.
func (lr *loadRig) attempts() int {
	n := 0
	for _, be := range lr.backends {
		n += be.runs()
	}
	return n
}

func abort(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }

// TestThirdFails: a third of the servers accept each request and break the connection. Safe
// requests are retried, but the servers must receive few more requests than the callers sent, and
// few requests may fail. After the servers have recovered, their load must return without a peak.
func TestThirdFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lr := newLoadRig(t, 6, anyDomain)
		defer lr.close()
		for _, be := range lr.backends[:2] {
			be.fail = abort
		}
		ta := lr.load(200, 10*time.Second, constantPath("/lookup"))
		per := float64(lr.attempts()) / float64(ta.total())
		t.Logf("attempts per request %.3f; %d of %d answered", per, ta.good, ta.total())
		if per > 1.2 || ta.good < ta.total()*99/100 {
			t.Errorf("attempts per request %.3f, answered %d of %d", per, ta.good, ta.total())
		}
		for _, be := range lr.backends[:2] {
			be.fail = nil
		}
		before := lr.attempts()
		ta = lr.load(200, 40*time.Second, constantPath("/lookup"))
		per = float64(lr.attempts()-before) / float64(ta.total())
		share := float64(lr.backends[0].runs()+lr.backends[1].runs()) / float64(lr.attempts())
		t.Logf("recovered: attempts per request %.3f, share of the recovered third %.2f", per, share)
		if per > 1.02 || ta.good < ta.total() {
			t.Errorf("after recovery: attempts per request %.3f, answered %d of %d", per, ta.good, ta.total())
		}
	})
}

// TestThirdFailsNestedCalls is TestThirdFails with a call nested in each request. Retries at both
// levels must not multiply.
func TestThirdFailsNestedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lr := newLoadRig(t, 6, anyDomain)
		defer lr.close()
		for i, be := range lr.backends {
			be.work = uniform(time.Millisecond)
			be.call = func(r *http.Request) int {
				if r.URL.Path == "/1/1" {
					return http.StatusOK
				}
				hdr := http.Header{"Flamingomast-Timeout-Ms": r.Header["Flamingomast-Timeout-Ms"]}
				return lr.sendTo(lr.outlet, "booking", r.URL.Path+"/1", hdr, nil)
			}
			if i < 2 {
				be.fail = abort
			}
		}
		ta := lr.load(60, 10*time.Second, constantPath("/1"))
		// Without failures, servers receive a request twice, once at each level.
		per := float64(lr.attempts()) / float64(2*ta.total())
		t.Logf("attempts per call %.3f; %d of %d answered", per, ta.good, ta.total())
		if per > 1.3 || ta.good < ta.total()*98/100 {
			t.Errorf("attempts per call %.3f, answered %d of %d", per, ta.good, ta.total())
		}
	})
}
