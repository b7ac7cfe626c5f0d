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

// TestWeightedTargetFull: a new service is given a quarter of a route's requests and has no
// capacity. If its share went to the other service, that one would get more load than configured
// and could be overloaded next. Requests to the full service must be refused as not run, and the
// other service must get no more than its weight.
func TestWeightedTargetFull(t *testing.T) {
	const requests = 800
	for _, tc := range []struct {
		name string
		// slots is the number of slots of the new service.
		slots int
		// refused is the expected share of refused requests.
		refused float64
	}{
		{"capacity in both", 4, 0},
		{"no capacity in one", 0, 0.25},
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
				rp := send(cl, rg.request("GET", "/split", ""))
				counts[fmt.Sprintf("%d %s", rp.status, rp.outcome)]++
			}
			toOther := outcomeCounts(rg, "booking")["answered"]
			// Four standard deviations of the measured share.
			const tolerance = 0.062
			if got := float64(toOther) / requests; got < 0.75-tolerance || got > 0.75+tolerance {
				t.Errorf("the other service got %.3f of the requests, its weight is 0.75: %v", got, counts)
			}
			refused := float64(counts["503 not-run"]) / requests
			if refused < tc.refused-tolerance || refused > tc.refused+tolerance {
				t.Errorf("%.3f were refused, want %.3f: %v", refused, tc.refused, counts)
			}
		})
	}
}

// outcomeCounts returns how many requests of a service ended with each outcome at the outlet.
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
