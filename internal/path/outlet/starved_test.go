package outlet_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/outlet"
	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// kindFlow is the load of one kind of request in a kindRig.
type kindFlow struct {
	name string
	// rate is in requests per second, work the mean time for which a request holds a slot.
	rate float64
	work time.Duration
	// rule is the end of the kind's route: priority, objective and so on.
	rule string
	// timeout is how long callers wait, tries how often they try in that time. A call is made while the
	// VM's own server is busy, and never retried.
	timeout time.Duration
	tries   int
	call    bool
	// service is that of the route, booking if empty. outlet is the only outlet that gets the requests,
	// 0 for any.
	service string
	outlet  int
	key     string
}

// kindRig is a loadRig with several outlets, several services and routes of several kinds.
type kindRig struct {
	*loadRig
	outlets []*outlet.Outlet
	mu      sync.Mutex
	counts  map[string]*kindCount
}

type kindCount struct {
	offered, served int
	// refusals are the requests in a row that were not served, by caller.
	refusals   map[int]int
	mostInARow int
}

func (kc *kindCount) share() float64 { return float64(kc.served) / float64(max(1, kc.offered)) }

// newKindRig returns a rig whose VMs run the services of the list.
func newKindRig(t *testing.T, services []string, outlets int, flows []kindFlow, more string) *kindRig {
	kr := &kindRig{loadRig: newLoadRig(t, len(services), ""), counts: map[string]*kindCount{}}
	var b strings.Builder
	b.WriteString("regions: [{name: r}]\nfailure-domains: [{name: a, region: r}, {name: b, region: r}, {name: c, region: r}]\nservices:\n")
	for _, name := range slices.Compact(slices.Sorted(slices.Values(services))) {
		fmt.Fprintf(&b, "- {name: %s, port: 1, slots: %d, deadline: 3s}\n", name, slots)
	}
	b.WriteString("routes:\n")
	for _, fl := range flows {
		fmt.Fprintf(&b, "- {name: %s, match: {host: mesh, path-prefix: /%s}, to: [{service: %s, weight: 1}]%s}\n", fl.name, fl.name, fl.serviceName(), fl.rule)
	}
	b.WriteString("vms:\n")
	for i, name := range services {
		fmt.Fprintf(&b, "- {name: vm-%d, failure-domain: %s, service: %s}\n", i, kr.recs[i].Domain, name)
		kr.recs[i].Service = name
		kr.inlets[i].Handler.(*inlet.Inlet).SetTarget(inlet.Target{VM: kr.recs[i].VM, Process: pick.Process(kr.recs[i]), Service: name, Addr: kr.recs[i].VM + ":1"})
		kr.gates[i].Configure(slots, []limit.Class{{Name: "default", Queue: 16}})
		kr.backends[i].fail = runFor
	}
	kr.rules = b.String() + more
	var work limit.Activity
	if slices.ContainsFunc(flows, func(fl kindFlow) bool { return fl.call }) {
		// Requests of callers who never return are taken for calls while the VM's own server is busy.
		work = limit.Activity{Running: 1, Priority: 2}
	}
	busy := func() limit.Activity { return work }
	for range outlets {
		kr.outlets = append(kr.outlets, outlet.New(outlet.Options{Forwarder: kr.forwarder(), Names: fractional, Work: busy}))
	}
	kr.updateOutlets(kr.recs)
	return kr
}

// updateOutlets gives all outlets a table of the servers in recs.
func (kr *kindRig) updateOutlets(recs []*member.Record) {
	vw, _ := (&member.View{}).Merge(recs)
	sn := compile(kr.t, kr.rules)
	for i, ou := range kr.outlets {
		ou.SetTable(pick.Build(sn, pick.Fleet{Members: vw, Self: fmt.Sprint("outlet-", i)}, ou.Table()))
	}
}

func (fl *kindFlow) serviceName() string {
	if fl.service == "" {
		return "booking"
	}
	return fl.service
}

// runFor runs a request for the time that its query names.
func runFor(w http.ResponseWriter, r *http.Request) bool {
	us, err := strconv.Atoi(r.URL.Query().Get("us"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return true
	}
	select {
	case <-time.After(time.Duration(us) * time.Microsecond):
	case <-r.Context().Done():
	}
	return true
}

// callersPerKind is how many callers share the requests of a kind.
const callersPerKind = 20

// play sends the flows for a time and waits for all responses. It returns the counts by kind.
func (kr *kindRig) play(flows []kindFlow, span time.Duration) map[string]*kindCount {
	kr.counts = map[string]*kindCount{}
	var wg conc.WaitGroup
	for _, fl := range flows {
		kr.counts[fl.name] = &kindCount{refusals: map[int]int{}}
	}
	for _, fl := range flows {
		wg.Go(func() {
			for end := time.Now().Add(span); ; {
				time.Sleep(time.Duration(rand.ExpFloat64() / fl.rate * float64(time.Second)))
				if time.Now().After(end) {
					return
				}
				wg.Go(func() { kr.count(&fl, kr.request(&fl)) })
			}
		})
	}
	wg.Wait()
	return kr.counts
}

func (kr *kindRig) count(fl *kindFlow, served bool) {
	kr.mu.Lock()
	defer kr.mu.Unlock()
	kc, caller := kr.counts[fl.name], rand.IntN(callersPerKind)
	kc.offered++
	kc.refusals[caller]++
	if served {
		kc.served++
		kc.refusals[caller] = 0
	}
	kc.mostInARow = max(kc.mostInARow, kc.refusals[caller])
}

// request sends one request with the retries of its caller and reports whether it was served.
func (kr *kindRig) request(fl *kindFlow) bool {
	us := fl.work.Microseconds()
	path := fmt.Sprintf("/%s/%d?us=%d", fl.name, rand.Int64(), us/2+rand.Int64N(us))
	ou := kr.outlets[rand.IntN(len(kr.outlets))]
	if fl.outlet > 0 {
		ou = kr.outlets[fl.outlet-1]
	}
	deadline := time.Now().Add(fl.timeout)
	for range max(1, fl.tries) {
		r := httptest.NewRequest(http.MethodGet, path, nil)
		r.Host = "mesh"
		left := time.Until(deadline)
		r.Header.Set(result.TimeoutHeader, strconv.FormatInt(left.Milliseconds(), 10))
		if fl.key != "" {
			r.Header.Set("Authorization", "Token "+fl.key)
		}
		rec := httptest.NewRecorder()
		ou.ServeHTTP(rec, r)
		if rec.Code == http.StatusOK {
			return true
		}
		wait := result.ParseRetryAfter(rec.Header().Get("Retry-After"))
		if left = time.Until(deadline); fl.call || wait == 0 || wait > left/3 {
			return false
		}
		time.Sleep(wait)
	}
	return false
}

// check reports the kinds whose served share is below the floor.
func check(t *testing.T, counts map[string]*kindCount, floor float64) {
	t.Helper()
	offered, served := 0, 0
	for _, kc := range counts {
		offered += kc.offered
		served += kc.served
	}
	mean := float64(served) / float64(offered)
	for name, kc := range counts {
		t.Logf("%s: %d of %d served, %.3f; of all %.3f; a caller's longest run of refusals %d", name, kc.served, kc.offered, kc.share(), mean, kc.mostInARow)
		if checkShares && kc.share() < floor*mean {
			t.Errorf("%s: %.3f were served, of all %.3f; the floor is %.3f", name, kc.share(), mean, floor*mean)
		}
	}
}

// minServed is the floor: the least part of the served share of all that a kind gets under any lasting
// overload.
const minServed = 1.0 / 3

// The kinds of the tests. A booking server of four slots runs about 62 lists, 31 sheets or 100 calls a
// second.
var (
	lists  = kindFlow{name: "lists", work: 64 * ms, rule: ", priority: 1, objective: 200ms, deadline: 2s", timeout: 1200 * ms, tries: 3}
	sheets = kindFlow{name: "sheets", work: 130 * ms, rule: ", priority: 2, objective: 400ms, deadline: 3s", timeout: 2500 * ms, tries: 3}
	calls  = kindFlow{name: "calls", work: 40 * ms, rule: ", priority: 2, objective: 150ms, deadline: 1s", timeout: 500 * ms, call: true}
	orders = kindFlow{name: "orders", work: 40 * ms, rule: ", priority: 1, objective: 600ms, deadline: 4s", timeout: 3 * time.Second, tries: 3, service: "orders"}
)

// twoServices are the VMs of the tests: two for booking and two for orders.
var twoServices = []string{"booking", "booking", "orders", "orders"}

const ms = time.Millisecond

func (fl kindFlow) at(rate float64) kindFlow {
	fl.rate = rate
	return fl
}

// TestKindsStarved guards against a kind of request that is hardly served at all while others are,
// because it comes last at a service with too few slots.
func TestKindsStarved(t *testing.T) {
	plain, long, large := sheets, sheets, calls
	plain.name, plain.rule = "plain", ", priority: 3, deadline: 3s"
	long.name, long.work, long.rule = "long", 700*ms, ", priority: 3, objective: 1500ms, deadline: 4s"
	large.name, large.rule = "low-calls", ", priority: 3, objective: 150ms, deadline: 1s"
	alone := sheets.at(40)
	alone.outlet = 1
	elsewhere := func(fl kindFlow) kindFlow {
		fl.outlet = 2
		return fl
	}
	for _, tc := range []starvedCase{
		{"behind calls and lists", 3, []kindFlow{lists.at(90), sheets.at(40), calls.at(150), orders.at(100)}},
		{"behind calls", 3, []kindFlow{sheets.at(40), calls.at(240), orders.at(150)}},
		{"behind lists", 3, []kindFlow{lists.at(160), sheets.at(40), orders.at(150)}},
		{"behind lists, five times the slots", 3, []kindFlow{lists.at(600), sheets.at(40), orders.at(150)}},
		{"without an objective", 3, []kindFlow{lists.at(160), plain.at(40), orders.at(150)}},
		{"long requests", 3, []kindFlow{lists.at(160), long.at(8), orders.at(150)}},
		{"calls for less urgent requests", 3, []kindFlow{lists.at(160), large.at(80), orders.at(150)}},
		{"nothing else at its outlet", 2, []kindFlow{elsewhere(lists.at(160)), alone, elsewhere(orders.at(150))}},
	} {
		tc.run(t)
	}
}

// starvedCase is a load of a service with too few slots, sent through some outlets.
type starvedCase struct {
	name    string
	outlets int
	flows   []kindFlow
}

// run sends the load and checks the floor of each kind.
func (sc *starvedCase) run(t *testing.T) {
	t.Run(sc.name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			kr := newKindRig(t, twoServices, sc.outlets, sc.flows, "")
			defer kr.close()
			kr.play(sc.flows, 2*time.Second)
			check(t, kr.play(sc.flows, sharesSpan), minServed)
		})
	})
}
