package outlet_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/outlet"
	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// The headers in which servers name their limit and say that they are leaving.
const (
	limitHeader   = "Server-Limit"
	leavingHeader = "Server-Leaving"
)

// The bound on requests to a server that has named a rate limit, as stated to operators: in any
// limitWindow from limitGrace after it was first named, limitFactor times what it allows, and
// limitSpare more.
const (
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
	limitFactor = 1.5
	limitSpare  = 5
	// toldMargin is how long before a request its outlet must have forwarded the limit for the
	// request to count.
	toldMargin = 500 * time.Millisecond
)

// limitedServer names a rate limit in its responses and records when requests reach it.
type limitedServer struct {
	mu       sync.Mutex
	limit    string
	leaving  bool
	arrivals []time.Time
	// from holds the outlet of each request.
	from []string
	// namedAt is when the limit was first named.
	namedAt time.Time
}

// respond records a request and sets the headers of its response, which is sent as usual.
func (ls *limitedServer) respond(w http.ResponseWriter, r *http.Request) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.arrivals = append(ls.arrivals, time.Now())
	ls.from = append(ls.from, r.Header.Get("Outlet"))
	if ls.limit != "" {
		w.Header().Set(limitHeader, ls.limit)
		if ls.namedAt.IsZero() {
			ls.namedAt = time.Now()
		}
	}
	if ls.leaving {
		w.Header().Set(leavingHeader, "1")
	}
	return false
}

// set changes what the server says.
func (ls *limitedServer) set(limit string, leaving bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.limit, ls.leaving = limit, leaving
}

// since returns how many requests arrived from at on.
func (ls *limitedServer) since(at time.Time) (n int) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, t := range ls.arrivals {
		if !t.Before(at) {
			n++
		}
	}
	return n
}

// worst returns the most requests that counted reports as such in any limitWindow from a time on.
func (ls *limitedServer) worst(from time.Time, counted func(outlet string, at time.Time) bool) (most int) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var list []time.Time
	for i, t := range ls.arrivals {
		if !t.Before(from) && counted(ls.from[i], t) {
			list = append(list, t)
		}
	}
	for i, t := range list {
		n := 0
		for _, other := range list[i:] {
			if other.Sub(t) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// anyOutlet counts all requests.
func anyOutlet(string, time.Time) bool { return true }

// allowed returns how many requests a server that takes rate requests per second may get in a
// limitWindow.
func allowed(rate float64) float64 {
	return limitFactor*rate*limitWindow.Seconds() + limitSpare
}

// limitRig is a fleet of outlets before the servers of a loadRig.
type limitRig struct {
	*loadRig
	outlets []*outlet.Outlet
	// handlers are those of the VMs' inlets.
	handlers []*swapHandler
	mu       sync.Mutex
	// toldLimit and toldLeaving are when an outlet first forwarded a response with the header.
	toldLimit, toldLeaving map[string]time.Time
	// onlyToldLeaving is set if no other outlets get requests.
	onlyToldLeaving bool
}

// pickOutlet returns the index of a random outlet.
func (lr *limitRig) pickOutlet() int {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	for {
		i := rand.IntN(len(lr.outlets))
		if !lr.onlyToldLeaving || !lr.toldLeaving[fmt.Sprint(i)].IsZero() {
			return i
		}
	}
}

// ServeHTTP sends a request through a random outlet.
func (lr *limitRig) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i := lr.pickOutlet()
	name := fmt.Sprint(i)
	r.Header.Set("Outlet", name)
	lr.outlets[i].ServeHTTP(w, r)
	lr.mu.Lock()
	defer lr.mu.Unlock()
	for header, told := range map[string]map[string]time.Time{limitHeader: lr.toldLimit, leavingHeader: lr.toldLeaving} {
		if told[name].IsZero() && w.Header().Get(header) != "" {
			told[name] = time.Now()
		}
	}
}

// told reports whether an outlet had forwarded a response with the header some time before.
func told(by map[string]time.Time, before time.Duration) func(string, time.Time) bool {
	return func(name string, at time.Time) bool { return !by[name].IsZero() && at.Sub(by[name]) > before }
}

// newLimitRig returns a fleet of n outlets and the given number of servers, each of which has a
// lifetime.
func newLimitRig(t *testing.T, n, servers int) *limitRig {
	lr := &limitRig{loadRig: newLoadRig(t, servers, anyDomain), toldLimit: map[string]time.Time{}, toldLeaving: map[string]time.Time{}}
	for i := range lr.recs {
		lr.handlers = append(lr.handlers, &swapHandler{})
		lr.setInlet(i, lr.recs[i])
		lr.inlets[i].Handler = lr.handlers[i]
	}
	for range n {
		ou := outlet.New(outlet.Options{Forwarder: lr.forwarder(), Names: result.HeaderNames{FractionalRetryAfter: true}})
		lr.outlets = append(lr.outlets, ou)
		lr.closes = append(lr.closes, ou.Close)
	}
	lr.updateAll()
	lr.front = lr
	return lr
}

// swapHandler is a handler that can be replaced while it serves.
type swapHandler struct {
	current atomic.Pointer[inlet.Inlet]
}

// ServeHTTP calls the current handler.
func (sh *swapHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sh.current.Load().ServeHTTP(w, r)
}

// setInlet starts a new inlet, which knows nothing of the server's past, for the record of VM i.
func (lr *limitRig) setInlet(i int, rec *member.Record) {
	in := inlet.New(proxy.Options{Dial: lr.dial}, nil)
	lr.closes = append(lr.closes, in.Close)
	in.SetTarget(inlet.Target{VM: rec.VM, Process: pick.Process(rec), Service: "booking", Addr: rec.VM + ":1", Lifetime: rec.VM + "-1"})
	in.Gate.Configure(slots, []limit.Class{{Name: "confirm", Share: 50, Queue: 8}, {Name: "default", Share: 25, Queue: 4}})
	lr.handlers[i].current.Store(in)
	lr.gates[i], lr.recs[i] = in.Gate, rec
}

// restartInlet replaces the daemon of VM i by a new process.
func (lr *limitRig) restartInlet(i int) {
	rec := *lr.recs[i]
	rec.Incarnation++
	lr.setInlet(i, &rec)
	lr.updateAll()
}

// updateAll gives all outlets the records of the VMs.
func (lr *limitRig) updateAll() {
	vw, sn := lr.view()
	for i, ou := range lr.outlets {
		ou.SetTable(pick.Build(sn, pick.Fleet{Members: vw, Self: fmt.Sprint("outlet-", i)}, ou.Table()))
	}
}

// limitedFleet is the number of servers before which the outlets of the tests below stand, and
// their load per server, a third of what they can serve.
const (
	limitedFleet = 12
	serverLoad   = 60
)

// TestServerLimitOverAllOutlets guards against a rate limit that a server names for all callers
// together being ignored, or kept by each outlet for itself.
func TestServerLimitOverAllOutlets(t *testing.T) {
	for _, outlets := range outletCounts {
		for _, tc := range []struct {
			limit string
			rate  float64
		}{{"20.7", 20.7}, {"3.4", 3.4}, {"0.4", 0.4}, {"0", 0}} {
			t.Run(fmt.Sprint(outlets, " outlets/", tc.limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					lr := newLimitRig(t, outlets, limitedFleet)
					defer lr.close()
					ls := &limitedServer{limit: tc.limit}
					lr.backends[0].fail = ls.respond
					ta := lr.load(limitedFleet*serverLoad, 12*time.Second, constantPath("/lookup"))
					from := ls.namedAt.Add(limitGrace)
					got := ls.worst(from, anyOutlet)
					t.Logf("%d requests in the worst %v, %.0f allowed, %d in all; %d of %d answered, %.2f messages a request",
						got, limitWindow, allowed(tc.rate), ls.since(from), ta.good, ta.total(), float64(lr.inletRequests())/float64(ta.total()))
					if float64(got) > allowed(tc.rate) {
						t.Errorf("%d requests in %v, %.0f allowed", got, limitWindow, allowed(tc.rate))
					}
					if refused := ta.total() - ta.good; refused > ta.total()/1000 {
						t.Errorf("%d of %d refused, although the other servers have free slots", refused, ta.total())
					}
				})
			})
		}
	}
}

// TestServerLimitAcrossRestart guards against a limit being forgotten by a new process beside the
// server, which knows nothing, while the outlets that were told go on.
func TestServerLimitAcrossRestart(t *testing.T) {
	for _, outlets := range outletCounts {
		for _, interval := range []time.Duration{2900 * time.Millisecond, 200 * time.Millisecond} {
			t.Run(fmt.Sprint(outlets, " outlets/", interval), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const span = 13 * time.Second
					lr := newLimitRig(t, outlets, limitedFleet)
					defer lr.close()
					ls := &limitedServer{limit: "3.4"}
					lr.backends[0].fail = ls.respond
					var wg conc.WaitGroup
					wg.Go(func() {
						for at := interval; at < span; at += interval {
							time.Sleep(interval)
							lr.restartInlet(0)
						}
					})
					lr.load(limitedFleet*serverLoad, span, constantPath("/lookup"))
					wg.Wait()
					got := ls.worst(ls.namedAt.Add(limitGrace), told(lr.toldLimit, toldMargin))
					t.Logf("%d requests in the worst %v, %.0f allowed", got, limitWindow, allowed(3.4))
					if float64(got) > allowed(3.4) {
						t.Errorf("%d requests in %v, %.0f allowed", got, limitWindow, allowed(3.4))
					}
				})
			})
		}
	}
}

// TestLeavingServerWhoseRecordStays guards against requests to a server that says in its responses
// that it is leaving, while its record stays as it was, also in a new process beside it.
func TestLeavingServerWhoseRecordStays(t *testing.T) {
	// drainTime is how long an outlet may go on after such a response.
	const drainTime = 2 * time.Second
	for _, outlets := range outletCounts {
		for _, restarts := range []bool{false, true} {
			t.Run(fmt.Sprint(outlets, " outlets/the daemon beside it restarts: ", restarts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					lr := newLimitRig(t, outlets, limitedFleet)
					defer lr.close()
					ls := &limitedServer{}
					lr.backends[0].fail = ls.respond
					// All outlets hear it within these seconds.
					lr.load(limitedFleet*serverLoad, 2*time.Second, constantPath("/lookup"))
					atInlet := lr.inlets[0].n()
					ls.set("", true)
					var wg conc.WaitGroup
					wg.Go(func() {
						// Later than any outlet that was told may send a request.
						time.Sleep(drainTime + 200*time.Millisecond)
						if !restarts {
							return
						}
						lr.mu.Lock()
						lr.onlyToldLeaving = true
						lr.mu.Unlock()
						lr.restartInlet(0)
					})
					ta := lr.load(limitedFleet*serverLoad, 8*time.Second, constantPath("/lookup"))
					wg.Wait()
					if got := ls.worst(time.Time{}, told(lr.toldLeaving, drainTime)); got > 0 {
						t.Errorf("%d requests in %v from outlets that had forwarded such a response %v before", got, limitWindow, drainTime)
					}
					if ta.good < ta.total() {
						t.Errorf("%d of %d answered", ta.good, ta.total())
					}
					// Each outlet hears it from the inlet once for each of its processes.
					t.Logf("%d requests to the inlet beside the server, %d outlets were told", lr.inlets[0].n()-atInlet, len(lr.toldLeaving))
					if got := lr.inlets[0].n() - atInlet; got > 2*outlets+slots {
						t.Errorf("%d requests to the inlet beside the server, from %d outlets", got, outlets)
					}
				})
			})
		}
	}
}
