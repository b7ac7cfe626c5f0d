package ctrl

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/sample"
	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/path/ident"
)

// newsLimit is how long after the end of a server all daemons that are in touch with the
// store must know of it.
const newsLimit = 3 * time.Second

// deadly names a request that servers end under in these tests.
const deadly ident.Key = 7

// endUnder lets a server beside each of the VMs end under the deadly request.
func (fl *fleet) endUnder(vms ...string) {
	for _, vm := range vms {
		tn := fl.nodes[vm]
		tn.ReportCrashes([]poison.Report{{Head: uint64(deadly), Key: deadly, Crash: poison.CrashID(tn.Board.Self.Get().Nonce), At: time.Now()}})
		time.Sleep(time.Millisecond)
	}
}

// ignorant names a daemon that does not refuse the deadly request, empty for none.
func (fl *fleet) ignorant() string {
	for name, tn := range fl.nodes {
		if !tn.Board.Poison.Get().Refuses(deadly, time.Now(), 0) {
			return name
		}
	}
	return ""
}

// threeVMs returns a VM of each failure domain, of the given rank there.
func (fl *fleet) threeVMs(rank int) (list []string) {
	of := map[string]int{}
	for _, vm := range fl.ms.VMs {
		if of[vm.Domain]++; of[vm.Domain] == rank+1 && len(list) < poison.RefuseThreshold {
			list = append(list, vm.Name)
		}
	}
	return list
}

// TestEndsReachAll: a request ended a server in each of three failure domains, and each
// daemon knew of the one beside it. All must know of all three, whatever fails beside it.
func TestEndsReachAll(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*fleet)
	}{
		{"calm", func(*fleet) {}},
		{"the store is away", func(fl *fleet) {
			away := map[string]bool{}
			for _, vm := range fl.ms.VMs {
				away[vm.Domain] = true
			}
			fl.noPlatform.Store(&away)
		}},
		{"the relays of a failure domain die", func(fl *fleet) { fl.kill(fl.relaysOf(fl.ms.VMs[0].Domain)...) }},
		{"the daemons that saw it die after a moment", func(fl *fleet) {
			time.Sleep(50 * time.Millisecond)
			fl.kill(fl.threeVMs(5)...)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, sample.Mesh(30, 3, 2))
				defer fl.stopAll()
				fl.apply(fl.ms, 0)
				fl.startAll()
				fl.waitHeld(1, 20*time.Second)
				fl.waitMembers(20 * time.Second)
				time.Sleep(10 * time.Second)
				fl.endUnder(fl.threeVMs(5)...)
				tc.fault(fl)
				took := fl.waitFor("all know of three ends", newsLimit, func() bool { return fl.ignorant() == "" })
				t.Logf("after %s", took)
				vm := fl.ms.VMs[len(fl.ms.VMs)-1]
				fl.kill(vm.Name)
				fl.startNode(vm)
				fl.waitFor("a daemon that starts knows as well", newsLimit, func() bool { return fl.ignorant() == "" })
			})
		})
	}
}

// TestEndsOutliveAll: three servers had ended under a request, and then all daemons were
// killed at once. The new ones knew nothing, and it ended three more: what was known lived
// in the daemons alone. The ones that follow the store keep it there and read it first.
func TestEndsOutliveAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, sample.Mesh(30, 3, 2))
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		fl.waitHeld(1, 20*time.Second)
		time.Sleep(10 * time.Second)
		fl.endUnder(fl.threeVMs(5)...)
		time.Sleep(newsLimit)
		var names []string
		for _, vm := range fl.ms.VMs {
			names = append(names, vm.Name)
		}
		fl.kill(names...)
		fl.startAll()
		t.Logf("after %s", fl.waitFor("all know of three ends", newsLimit, func() bool { return fl.ignorant() == "" }))
		fl.waitHeld(1, 20*time.Second)
	})
}

// TestEndsBehindCut: a failure domain is cut off from the others, not from the store.
// Three servers end under a request on one side of the cut, and its caller comes to the
// other one, where three more ended: the news goes by links between daemons, and there is
// none. Those who follow the store on either side find it there.
func TestEndsBehindCut(t *testing.T) {
	for _, behind := range []bool{false, true} {
		t.Run(fmt.Sprint("ended behind the cut ", behind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, sample.Mesh(30, 3, 2))
				defer fl.stopAll()
				fl.apply(fl.ms, 0)
				fl.startAll()
				fl.waitHeld(1, 20*time.Second)
				time.Sleep(10 * time.Second)
				cut := fl.ms.VMs[0].Domain
				fl.cutDomain(cut)
				time.Sleep(5 * time.Second)
				var side []string
				for _, vm := range fl.ms.VMs {
					if (vm.Domain == cut) == behind && len(side) < poison.RefuseThreshold {
						side = append(side, vm.Name)
					}
				}
				fl.endUnder(side...)
				t.Logf("after %s", fl.waitFor("both sides know of three ends", newsLimit, func() bool { return fl.ignorant() == "" }))
				fl.nw.SetPartition(nil)
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestEndsBounded: a bad version lets all servers end every five seconds, each time under
// eight requests that nobody has seen before. Relays sent 44.6 KB a second of it, as each
// daemon bounded what it reported and nobody what all of them did. Now each daemon bounds
// what it passes on, and a request that ended three servers meanwhile is known to all.
func TestEndsBounded(t *testing.T) {
	const (
		slots  = 8
		rounds = 6
		every  = 5 * time.Second
		// linkBound is what control may take of a daemon's link, in bytes a second.
		linkBound = 13_000
	)
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, sample.Mesh(90, 3, 4))
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		fl.waitHeld(1, 20*time.Second)
		time.Sleep(10 * time.Second)
		before, _ := fl.sentEnds()
		key := uint64(100)
		for range rounds {
			for _, vm := range fl.ms.VMs {
				var list []poison.Report
				for range slots {
					key++
					list = append(list, poison.Report{Head: key, Key: ident.Key(key), Crash: poison.CrashID(key / slots), At: time.Now()})
				}
				fl.nodes[vm.Name].ReportCrashes(list)
			}
			time.Sleep(every)
		}
		fl.endUnder(fl.threeVMs(5)...)
		fl.waitFor("all know of three ends", newsLimit, func() bool { return fl.ignorant() == "" })
		sent, busiest := fl.sentEnds()
		t.Logf("%.0f bytes a second and daemon", float64(sent-before)/float64(len(fl.nodes))/(rounds*every).Seconds())
		if rate := float64(busiest) / (rounds * every).Seconds(); rate > linkBound {
			t.Errorf("%.0f bytes a second at the busiest relay, bound %d", rate, linkBound)
		} else {
			t.Logf("%.0f bytes a second at the busiest relay", rate)
		}
	})
}

// sentEnds returns the bytes of reports that all daemons have sent, and those of the
// daemon that sent most.
func (fl *fleet) sentEnds() (all, most int64) {
	for _, tn := range fl.nodes {
		n := tn.sentCount("within/ends") + tn.sentCount("across/ends")
		all, most = all+n, max(most, n)
	}
	return all, most
}
