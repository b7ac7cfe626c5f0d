package outlet_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/pick"
)

// TestPartFull: operators give a new service a quarter of a route's requests, and it has
// no room. Were its part sent to the other service, that would get more than the operators
// have said and be the next without room. What does not fit is refused as not run, and
// the other part stays as large as its weight.
func TestWeightedTargetFull(t *testing.T) {
	const requests = 800
	for _, tc := range []struct {
		name string
		// slots are those of the part of a quarter.
		slots int
		// refused is the share of the requests that is turned away.
		refused float64
	}{
		{"room in both", 4, 0},
		{"no room in one", 0, 0.25},
	} {
		t.Run(tc.name, func(t *testing.T) {
			be := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.WriteString(w, r.Host)
			}))
			defer be.Close()
			addr := strings.TrimPrefix(be.URL, "http://")
			rg := newRig(t, addr, addr, addr)
			rg.sn = compile(t, rules+"- {name: split, match: {host: booking, path-prefix: /split}, to: [{service: booking, weight: 3}, {service: portal, weight: 1}], repeat: always, deadline: 2s}\n")
			portal := rg.vms[2]
			portal.rec.Service = "portal"
			portal.in.SetTarget(inlet.Target{VM: portal.rec.VM, Process: pick.Process(portal.rec), Service: "portal", Addr: addr})
			portal.in.Gate.Configure(tc.slots, []limit.Class{{Name: "default", Share: 10}})
			rg.update()
			counts := map[string]int{}
			cl := &http.Client{}
			for range requests {
				an := send(cl, rg.request("GET", "/split", ""))
				counts[fmt.Sprintf("%d %s", an.status, an.outcome)]++
			}
			toOther := outcomeCounts(rg, "booking")["answered"]
			// Four standard deviations of a draw.
			const tolerance = 0.062
			if got := float64(toOther) / requests; got < 0.75-tolerance || got > 0.75+tolerance {
				t.Errorf("the other part got %.3f of the requests, its weight is 0.75: %v", got, counts)
			}
			refused := float64(counts["503 not-run"]) / requests
			if refused < tc.refused-tolerance || refused > tc.refused+tolerance {
				t.Errorf("%.3f were refused, want %.3f: %v", refused, tc.refused, counts)
			}
		})
	}
}

// endAttempt returns how the requests of a service ended at the outlet, by outcome.
func outcomeCounts(rg *rig, service string) map[string]int {
	counts := map[string]int{}
	for _, part := range strings.Split(strings.Trim(rg.outlet.Stats.For(service, "default").Outcomes.String(), "{}"), ", ") {
		name, text, ok := strings.Cut(part, ": ")
		var n int
		if _, err := fmt.Sscan(text, &n); ok && err == nil {
			counts[strings.Trim(name, `"`)] += n
		}
	}
	return counts
}
