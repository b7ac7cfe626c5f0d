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

// reportLimit is the time after a server's crash within which all daemons that can reach the store
// must know of it.
const reportLimit = 3 * time.Second

// poisonRequest is the key of the request that servers crash under in these tests.
const poisonRequest ident.Key = 7

// reportCrashes makes the daemon of each of the VMs report that its server crashed under the poison
// request.
func (fl *fleet) reportCrashes(vms ...string) {
	for _, vm := range vms {
		tn := fl.nodes[vm]
		tn.ReportCrashes([]poison.Report{{Head: uint64(poisonRequest), Key: poisonRequest, Crash: poison.CrashID(tn.Board.Self.Get().Nonce), At: time.Now()}})
		time.Sleep(time.Millisecond)
	}
}

// vmNotRefusing returns a VM whose daemon does not refuse the poison request; empty if there is none.
func (fl *fleet) vmNotRefusing() string {
	for name, tn := range fl.nodes {
		if !tn.Board.Poison.Get().Refuses(poisonRequest, time.Now(), 0) {
			return name
		}
	}
	return ""
}

// vmPerDomain returns the VM at the given index of each failure domain, as many as it takes for a
// request that crashed their servers to be refused.
func (fl *fleet) vmPerDomain(rank int) (list []string) {
	count := map[string]int{}
	for _, vm := range fl.ms.VMs {
		if count[vm.Domain]++; count[vm.Domain] == rank+1 && len(list) < poison.RefuseThreshold {
			list = append(list, vm.Name)
		}
	}
	return list
}

// TestCrashReportsReachAll: a request crashes one server in each of three failure domains. All
// daemons must learn of all three crashes, even if the store, relays or the reporting daemons fail.
func TestCrashReportsReachAll(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*fleet)
	}{
		{"calm", func(*fleet) {}},
		{"the store is unreachable", func(fl *fleet) {
			cut := map[string]bool{}
			for _, vm := range fl.ms.VMs {
				cut[vm.Domain] = true
			}
			fl.platformCut.Store(&cut)
		}},
		{"the relays of a failure domain are killed", func(fl *fleet) { fl.kill(fl.relaysOf(fl.ms.VMs[0].Domain)...) }},
		{"the reporting daemons are killed after 50 ms", func(fl *fleet) {
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
				took := fl.waitFor("all daemons refuse the poison request", reportLimit, func() bool { return fl.vmNotRefusing() == "" })
				t.Logf("after %s", took)
				vm := fl.ms.VMs[len(fl.ms.VMs)-1]
				fl.kill(vm.Name)
				fl.startNode(vm)
				fl.waitFor("a new daemon refuses the poison request as well", reportLimit, func() bool { return fl.vmNotRefusing() == "" })
			})
		})
	}
}

// TestCrashReportsSurviveRestart: three servers crash under a request, and then all daemons are
// killed at once. If only the daemons kept the reports, the new processes would know nothing of them
// and three more servers would crash. The daemons that follow the store must write the reports to
// it, and read them first when they start.
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
		t.Logf("after %s", fl.waitFor("all daemons refuse the poison request", reportLimit, func() bool { return fl.vmNotRefusing() == "" }))
		fl.waitHeld(1, 20*time.Second)
	})
}

// TestCrashReportsAcrossPartition: a failure domain is cut off from the others, but not from the
// store. Three servers crash under a request on one side of the partition. No link carries the
// reports to the other side, so if the caller retried there, three more servers would crash. The
// daemons that follow the store on the other side must find the reports in the store.
func TestCrashReportsAcrossPartition(t *testing.T) {
	for _, inside := range []bool{false, true} {
		t.Run(fmt.Sprint("crashes in the isolated failure domain ", inside), func(t *testing.T) {
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
					if (vm.Domain == isolated) == inside && len(crashed) < poison.RefuseThreshold {
						crashed = append(crashed, vm.Name)
					}
				}
				fl.reportCrashes(crashed...)
				t.Logf("after %s", fl.waitFor("both sides refuse the poison request", reportLimit, func() bool { return fl.vmNotRefusing() == "" }))
				fl.nw.SetPartition(nil)
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestCrashReportsBounded: a faulty version makes all servers crash every five seconds, each time with
// eight requests not seen before. If daemons bound only the reports of their own servers, the busiest
// relay sends 44.6 KB/s of reports. Each daemon must bound the reports that it forwards, and a
// request that crashes three servers meanwhile must still become known to all.
func TestCrashReportsBounded(t *testing.T) {
	const (
		requests = 8
		rounds   = 6
		interval = 5 * time.Second
		// linkBound is the limit of a daemon's control traffic in bytes per second.
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
					list = append(list, poison.Report{Head: key, Key: ident.Key(key), Crash: poison.CrashID(key / requests), At: time.Now()})
				}
				fl.nodes[vm.Name].ReportCrashes(list)
			}
			time.Sleep(interval)
		}
		fl.reportCrashes(fl.vmPerDomain(5)...)
		fl.waitFor("all daemons refuse the poison request", reportLimit, func() bool { return fl.vmNotRefusing() == "" })
		sent, busiest := fl.sentReportBytes()
		t.Logf("%.0f B/s of reports per daemon", float64(sent-before)/float64(len(fl.nodes))/(rounds*interval).Seconds())
		if rate := float64(busiest) / (rounds * interval).Seconds(); rate > linkBound {
			t.Errorf("%.0f B/s of reports sent by the busiest relay, want at most %d", rate, linkBound)
		} else {
			t.Logf("%.0f B/s of reports sent by the busiest relay", rate)
		}
	})
}

// sentReportBytes returns the bytes of crash reports that all daemons together have sent, and those
// of the daemon that sent most.
func (fl *fleet) sentReportBytes() (total, highest int64) {
	for _, tn := range fl.nodes {
		n := tn.sentCount("within/ends") + tn.sentCount("across/ends")
		total, highest = total+n, max(highest, n)
	}
	return total, highest
}
