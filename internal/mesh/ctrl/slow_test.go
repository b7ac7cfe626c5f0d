package ctrl

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/sample"
	"github.com/flamingomast/flamingomast/internal/plat/memnet"
	"github.com/flamingomast/flamingomast/internal/plat/stall"
)

// TestLargeVersionOnSlowLinks: a failure domain is cut off from the store, and a version is so large
// and the links are so slow that its transfer takes longer than a link may be silent and a response
// may take. The daemons must still hold it.
func TestLargeVersionOnSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, sample.Mesh(6, 3, 1))
		var rate atomic.Int64
		fl.nw.Rate = func(_, _ *memnet.Host) int { return int(rate.Load()) }
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		fl.waitHeld(1, 20*time.Second)
		fl.waitMembers(20 * time.Second)
		time.Sleep(settleTime)
		fl.platformCut.Store(&map[string]bool{"d1": true})
		rate.Store(stall.MinSendRate)
		rnd := rand.New(rand.NewPCG(1, 1))
		next := *fl.ms
		next.Routes = slices.Clone(next.Routes)
		for i := range 2000 {
			route := next.Routes[0]
			route.Name = fmt.Sprintf("r-%d", i)
			route.Match.PathPrefix = "/"
			for range 16 {
				route.Match.PathPrefix += fmt.Sprintf("%016x", rnd.Uint64())
			}
			next.Routes = append(next.Routes, route)
		}
		fl.apply(&next, 1)
		t.Logf("held by all after %s", fl.waitHeld(2, time.Minute))
	})
}
