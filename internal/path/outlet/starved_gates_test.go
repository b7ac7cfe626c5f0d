package outlet_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/pacer"
	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// TestKindStarvedAtGate guards against a kind that reaches its floor at the queue of an inlet and is
// starved by another check on its way.
func TestKindStarvedAtGate(t *testing.T) {
	low, high := lists.at(40), lists.at(160)
	low.name, low.key = "low-tenant", acmeKey
	high.name, high.key = "high-tenant", otherKey
	low.rule, high.rule = ", objective: 200ms, deadline: 2s", ", objective: 200ms, deadline: 2s"
	confirms := lists.at(160)
	confirms.rule += ", class: confirm"
	documents := sheets.at(16)
	documents.name, documents.rule = "documents", ", priority: 2, objective: 120ms, deadline: 3s"
	small := lists.at(160)
	for _, tc := range []struct {
		name    string
		outlets int
		flows   []kindFlow
		more    string
		prepare func(kr *kindRig)
	}{
		{
			"server limits", 3, []kindFlow{lists.at(60), sheets.at(30), orders.at(100)}, "",
			func(kr *kindRig) {
				for _, be := range kr.backends[:2] {
					be.fail = func(w http.ResponseWriter, r *http.Request) bool {
						w.Header().Set(limitHeader, "20")
						return runFor(w, r)
					}
				}
			},
		},
		{
			"priorities of tenants", 3, []kindFlow{low, high}, "tenants:\n- {name: acme, keys: [" + acmeKey + "], priority: 2}\n- {name: other, keys: [" + otherKey + "], priority: 1}\n",
			func(*kindRig) {},
		},
		{
			"slots reserved for another class", 3, []kindFlow{confirms, sheets.at(40), orders.at(100)},
			"classes: [{name: confirm, share: 100, queue: 16}, {name: default, queue: 16}]\n",
			func(kr *kindRig) {
				for _, ga := range kr.gates[:2] {
					ga.Configure(slots, []limit.Class{{Name: "confirm", Share: 100, Queue: 16}, {Name: "default", Queue: 16}})
				}
			},
		},
		{"large responses on a narrow link", 3, []kindFlow{small, documents, orders.at(100)}, "", narrowLinks},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kr := newKindRig(t, twoServices, tc.outlets, tc.flows, tc.more)
				defer kr.close()
				tc.prepare(kr)
				kr.play(tc.flows, 2*time.Second)
				check(t, kr.play(tc.flows, sharesSpan), minServed)
			})
		})
	}
}

// narrowLinks gives the VMs of booking links of 5 Mbit/s, on which a document takes 144 ms.
func narrowLinks(kr *kindRig) {
	for i, rec := range kr.recs[:2] {
		in := inlet.New(proxy.Options{Dial: kr.dial}, pacer.New(5e6))
		kr.closes = append(kr.closes, in.Close)
		in.SetTarget(inlet.Target{VM: rec.VM, Process: pick.Process(rec), Service: "booking", Addr: rec.VM + ":1"})
		in.Gate.Configure(slots, []limit.Class{{Name: "default", Queue: 16}})
		kr.inlets[i].Handler = in
		kr.backends[i].fail = func(w http.ResponseWriter, r *http.Request) bool {
			runFor(w, r)
			if r.URL.Path[:4] == "/doc" {
				w.Header().Set("Content-Length", "90000")
				_, _ = w.Write(make([]byte, 90_000))
			}
			return true
		}
	}
}

// TestKindStarvedInCutDomain guards against a kind that is hardly served in a failure domain whose
// outlets reach the servers there only.
func TestKindStarvedInCutDomain(t *testing.T) {
	inside := func(fl kindFlow) kindFlow {
		fl.outlet = 1
		return fl
	}
	flows := []kindFlow{inside(lists.at(90)), inside(sheets.at(30)), inside(orders.at(60))}
	synctest.Test(t, func(t *testing.T) {
		kr := newKindRig(t, twoServices, 2, flows, "")
		defer kr.close()
		kr.updateOutlets([]*member.Record{kr.recs[0], kr.recs[2]})
		kr.play(flows, 2*time.Second)
		check(t, kr.play(flows, sharesSpan), minServed)
	})
}

// TestUrgentKindsBesideFlood guards against a flood of a less urgent kind that takes the slots of more
// urgent ones because it is below its floor.
func TestUrgentKindsBesideFlood(t *testing.T) {
	fourServices := append([]string{"booking", "booking"}, twoServices...)
	for _, tc := range []struct {
		name     string
		services []string
		flows    []kindFlow
	}{
		{"flood", twoServices, []kindFlow{lists.at(25), sheets.at(600), orders.at(100)}},
		{"twice the flood", twoServices, []kindFlow{lists.at(25), sheets.at(1200), orders.at(100)}},
		{"twice the servers", fourServices, []kindFlow{lists.at(50), sheets.at(1200), orders.at(100)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kr := newKindRig(t, tc.services, 3, tc.flows, "")
				defer kr.close()
				kr.play(tc.flows, 2*time.Second)
				counts := kr.play(tc.flows, sharesSpan)
				check(t, counts, 0)
				if share := counts["lists"].share(); checkShares && share < 0.95 {
					t.Errorf("%.3f of the lists were served, whose requests need a fifth of the slots", share)
				}
			})
		})
	}
}

// TestFailingKind guards against a kind whose requests fail at the backend servers taking slots from others
// because it is never served.
func TestFailingKind(t *testing.T) {
	failing := sheets.at(40)
	failing.name = "failing"
	flows := []kindFlow{lists.at(160), failing, orders.at(150)}
	synctest.Test(t, func(t *testing.T) {
		kr := newKindRig(t, twoServices, 3, flows, "")
		defer kr.close()
		for _, be := range kr.backends[:2] {
			be.fail = func(w http.ResponseWriter, r *http.Request) bool {
				if r.URL.Path[:5] == "/fail" {
					w.WriteHeader(http.StatusInternalServerError)
				}
				return runFor(w, r)
			}
		}
		kr.play(flows, 2*time.Second)
		check(t, kr.play(flows, sharesSpan), 0)
		for _, ou := range kr.outlets {
			all, failing := 0.0, 0.0
			for _, st := range ou.Kinds(time.Now()) {
				all = max(all, st.Served)
				if st.Route == "failing" {
					failing = st.Served
				}
			}
			if checkShares && (failing < minServed*0.5 || failing > 0.5*all) {
				t.Errorf("%.3f of the failing kind got a slot, want its floor", failing)
			}
		}
	})
}

// TestKindsAfterFlood guards against kinds that stay behind after a flood has ended.
func TestKindsAfterFlood(t *testing.T) {
	flood := []kindFlow{lists.at(300), sheets.at(40), calls.at(200), orders.at(100)}
	usual := []kindFlow{lists.at(30), sheets.at(10), calls.at(40), orders.at(50)}
	synctest.Test(t, func(t *testing.T) {
		kr := newKindRig(t, twoServices, 3, flood, "")
		defer kr.close()
		kr.play(flood, sharesSpan)
		counts := kr.play(usual, 5*time.Second)
		for name, kc := range counts {
			t.Logf("%s: %d of %d served", name, kc.served, kc.offered)
			if checkShares && kc.share() < 0.97 {
				t.Errorf("%s: %.3f were served after the flood", name, kc.share())
			}
		}
	})
}

// TestServedShareOfNewOutlet guards against outlets that have just started, and have served nothing yet,
// lowering the share of all kinds that inlets report.
func TestServedShareOfNewOutlet(t *testing.T) {
	flows := []kindFlow{orders.at(100)}
	synctest.Test(t, func(t *testing.T) {
		kr := newKindRig(t, twoServices, 50, flows, "")
		defer kr.close()
		var mu sync.Mutex
		var reports []string
		for _, in := range kr.inlets {
			next := in.Handler
			in.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				reports = append(reports, r.Header.Get(result.ServedHeader))
				mu.Unlock()
				next.ServeHTTP(w, r)
			})
		}
		kr.play(flows, 5*time.Second)
		first := 0
		for _, text := range reports {
			if text == "" {
				first++
			} else if result.ParseProbability(text) < 0.9 {
				t.Errorf("an outlet that serves all requests reports %s", text)
			}
		}
		if first < 50 || first == len(reports) {
			t.Errorf("%d of %d requests of 50 outlets have no report, want the first of each", first, len(reports))
		}
	})
}
