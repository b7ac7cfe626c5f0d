package outlet_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/outlet"
	"github.com/flamingomast/flamingomast/internal/path/pick"
)

// randomOutlets sends each request to a random outlet.
type randomOutlets []*outlet.Outlet

func (ro randomOutlets) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ro[rand.IntN(len(ro))].ServeHTTP(w, r)
}

// TestManyOutlets: 60 outlets share 24 servers of 4 slots at two thirds of their capacity and
// above. Each outlet has about 50 requests a second and learns the load of a server twice a second,
// so its view is stale, and one server in ten is full by chance. Callers were refused although
// other servers had free slots, and calls made by backend servers were lost with all the work done
// for them.
func TestManyOutlets(t *testing.T) {
	for _, tc := range []struct {
		name string
		rate float64
		// refused bounds the share of refused requests, inletRequests the average number of
		// requests to inlets for each request of a caller.
		refused, inletRequests float64
	}{
		{"two thirds", 3200, 0.01, 1.5},
		{"nine tenths", 4320, 0.1, 2.4},
		{"one and a half", 7200, 0.55, 3.2},
	} {
		synctest.Test(t, func(t *testing.T) {
			lr := newLoadRig(t, 24, anyDomain)
			defer lr.close()
			lr.rules = strings.Replace(lr.rules, "routes: [", "routes: [{name: q, match: {host: booking, path-prefix: /quick}, to: [{service: booking, weight: 1}], objective: 60ms, priority: 2}, ", 1)
			vw, sn := lr.view()
			var ro randomOutlets
			for i := range 60 {
				ou := outlet.New(outlet.Options{Forwarder: lr.forwarder()})
				ou.SetTable(pick.Build(sn, pick.Fleet{Members: vw, Self: fmt.Sprint("outlet-", i)}, nil))
				ro = append(ro, ou)
			}
			lr.front = ro
			lr.load(tc.rate, time.Second, constantPath("/quick"))
			before := lr.inletRequests()
			ta := lr.load(tc.rate, 2*time.Second, constantPath("/quick"))
			refused := float64(ta.notRun) / float64(ta.total())
			inletRequests := float64(lr.inletRequests()-before) / float64(ta.total())
			t.Logf("%s: %.4f refused, %.2f messages a request, 99th of responses %v", tc.name, refused, inletRequests, quantile(ta.latency, 0.99))
			if refused > tc.refused || inletRequests > tc.inletRequests {
				t.Errorf("%s: %.4f refused, want at most %.4f; %.2f messages a request, want at most %.2f", tc.name, refused, tc.refused, inletRequests, tc.inletRequests)
			}
		})
	}
}
