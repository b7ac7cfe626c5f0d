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

// reportLimit is how long after the end of a server all daemons that are in touch with the
// store must know of it.
const reportLimit = 3 * time.Second

// poisonRequest names a request that servers end under in these tests.
const poisonRequest ident.Key = 7

// reportCrashes lets a server beside each of the VMs end under the deadly request.
func (fl *fleet) reportCrashes(vms ...string) {
	for _, vm := range vms {
		tn := fl.nodes[vm]
		tn.ReportEnds([]poison.Report{{Head: uint64(poisonRequest), Key: poisonRequest, End: poison.End(tn.Board.Self.Get().Nonce), At: time.Now()}})
		time.Sleep(time.Millisecond)
	}
}

// vmNotRefusing names a daemon that does not refuse the deadly request, empty for none.
func (fl *fleet) vmNotRefusing() string {
	for name, tn := range fl.nodes {
		if !tn.Board.Poison.Get().Refuses(poisonRequest, time.Now(), 0) {
			return name
		}
	}
	return ""
}

// vmPerDomain returns a VM of each failure domain, of the given rank there.
func (fl *fleet) vmPerDomain(rank int) (list []string) {
	count := map[string]int{}
	for _, vm := range fl.ms.VMs {
		if count[vm.Domain]++; count[vm.Domain] == rank+1 && len(list) < poison.Most {
			list = append(list, vm.Name)
		}
	}
	return list
}

// TestCrashReportsReachAll: a request ended a server in each of three failure domains, and each
// daemon knew of the one beside it. All must know of all three, whatever fails beside it.
func TestCrashReportsReachAll(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*fleet)
	}{
		{"calm", func(*fleet) {}},
		{"the store is away", func(fl *fleet) {
			cut := map[string]bool{}
			for _, vm := range fl.ms.VMs {
				cut[vm.Domain] = true
			}
			fl.platformCut.Store(&cut)
		}},
		{"the relays of a failure domain die", func(fl *fleet) { fl.kill(fl.relaysOf(fl.ms.VMs[0].Domain)...) }},
		{"the daemons that saw it die after a moment", func(fl *fleet) {
			time.Sleep(50 * time.Millisecond)
			fl.kill(fl.vmPerDomain(5)...)
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
				fl.reportCrashes(fl.vmPerDomain(5)...)
				tc.fault(fl)
				took := fl.waitFor("all know of three ends", reportLimit, func() bool { return fl.vmNotRefusing() == "" })
				t.Logf("after %s", took)
				vm := fl.ms.VMs[len(fl.ms.VMs)-1]
				fl.kill(vm.Name)
				fl.startNode(vm)
				fl.waitFor("a daemon that starts knows as well", reportLimit, func() bool { return fl.vmNotRefusing() == "" })
			})
		})
	}
}

// TestCrashReportsSurviveRestart: three servers had ended under a request, and then all daemons were
// killed at once. The new ones knew nothing, and it ended three more: what was known lived
// in the daemons alone. The ones that follow the store keep it there and read it first.
func TestCrashReportsSurviveRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, sample.Mesh(30, 3, 2))
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		fl.waitHeld(1, 20*time.Second)
		time.Sleep(10 * time.Second)
		fl.reportCrashes(fl.vmPerDomain(5)...)
		time.Sleep(reportLimit)
		var names []string
		for _, vm := range fl.ms.VMs {
			names = append(names, vm.Name)
		}
		fl.kill(names...)
		fl.startAll()
		t.Logf("after %s", fl.waitFor("all know of three ends", reportLimit, func() bool { return fl.vmNotRefusing() == "" }))
		fl.waitHeld(1, 20*time.Second)
	})
}

// TestCrashReportsAcrossPartition: a failure domain is cut off from the others, not from the store.
// Three servers end under a request on one side of the cut, and its caller comes to the
// other one, where three more ended: the news goes by links between daemons, and there is
// none. Those who follow the store on either side find it there.
func TestCrashReportsAcrossPartition(t *testing.T) {
	for _, inside := range []bool{false, true} {
		t.Run(fmt.Sprint("ended behind the cut ", inside), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, sample.Mesh(30, 3, 2))
				defer fl.stopAll()
				fl.apply(fl.ms, 0)
				fl.startAll()
				fl.waitHeld(1, 20*time.Second)
				time.Sleep(10 * time.Second)
				isolated := fl.ms.VMs[0].Domain
				fl.cutDomain(isolated)
				time.Sleep(5 * time.Second)
				var crashed []string
				for _, vm := range fl.ms.VMs {
					if (vm.Domain == isolated) == inside && len(crashed) < poison.Most {
						crashed = append(crashed, vm.Name)
					}
				}
				fl.reportCrashes(crashed...)
				t.Logf("after %s", fl.waitFor("both sides know of three ends", reportLimit, func() bool { return fl.vmNotRefusing() == "" }))
				fl.nw.SetCut(nil)
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestCrashReportsBounded: a bad version lets all servers end every five seconds, each time under
// eight requests that nobody has seen before. Relays sent 44.6 KB a second of it, as each
// daemon bounded what it reported and nobody what all of them did. Now each daemon bounds
// what it passes on, and a request that ended three servers meanwhile is known to all.
func TestCrashReportsBounded(t *testing.T) {
	const (
		requests = 8
		rounds   = 6
		interval = 5 * time.Second
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
		before, _ := fl.sentReportBytes()
		key := uint64(100)
		for range rounds {
			for _, vm := range fl.ms.VMs {
				var list []poison.Report
				for range requests {
					key++
					list = append(list, poison.Report{Head: key, Key: ident.Key(key), End: poison.End(key / requests), At: time.Now()})
				}
				fl.nodes[vm.Name].ReportEnds(list)
			}
			time.Sleep(interval)
		}
		fl.reportCrashes(fl.vmPerDomain(5)...)
		fl.waitFor("all know of three ends", reportLimit, func() bool { return fl.vmNotRefusing() == "" })
		sent, busiest := fl.sentReportBytes()
		t.Logf("%.0f bytes a second and daemon", float64(sent-before)/float64(len(fl.nodes))/(rounds*interval).Seconds())
		if rate := float64(busiest) / (rounds * interval).Seconds(); rate > linkBound {
			t.Errorf("%.0f bytes a second at the busiest relay, bound %d", rate, linkBound)
		} else {
			t.Logf("%.0f bytes a second at the busiest relay", rate)
		}
	})
}

// sentReportBytes returns the bytes of reports that all daemons have sent, and those of the
// daemon that sent most.
func (fl *fleet) sentReportBytes() (total, highest int64) {
	for _, tn := range fl.nodes {
		n := tn.sentCount("within/ends") + tn.sentCount("across/ends")
		total, highest = total+n, max(highest, n)
	}
	return total, highest
}
