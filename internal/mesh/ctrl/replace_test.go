package ctrl

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/sample"
	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/memnet"
)

// TestDaemonReplaced: a VM's daemon is killed and a new process starts at the same address with a
// clock that is behind. The record of the new process must replace that of the old one everywhere,
// and the VM must not hold an older version than before.
func TestDaemonReplaced(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		name := "vm-007"
		old := fl.nodes[name].Board.Self.Get()
		fl.kill(name)
		v := fl.apply(sample.Change(fl.ms, 1), 1)
		tn := fl.startNode(fl.declared(name))
		// The new process starts with a lower incarnation than the old one had.
		tn.Announce(func(rc *member.Record) { rc.Incarnation = old.Incarnation - 1000 })
		fl.waitFor("all know the new process", convergeLimit, func() bool {
			for _, tn := range fl.nodes {
				if rc := tn.Board.Members.Get().Get(name); rc.Nonce == old.Nonce || rc.Incarnation <= old.Incarnation {
					return false
				}
			}
			return true
		})
		fl.waitConverged(v)
	})
}

// TestDomainRestartWithClocksBehind: a whole failure domain restarts with clocks that are a minute
// behind. Each new process has a lower incarnation than its predecessor, and its first peers do not
// know the predecessor's. No process may take its predecessor for a newer process and shut down.
func TestDomainRestartWithClocksBehind(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		names := fl.domainVMs("d1")
		fl.kill(names...)
		fl.restart(names...)
		for _, name := range names {
			fl.nodes[name].Announce(func(rc *member.Record) { rc.Incarnation -= 60_000 })
		}
		fl.waitFor("all know the new processes", convergeLimit, func() bool {
			for _, tn := range fl.nodes {
				for _, name := range names {
					rc := tn.Board.Members.Get().Get(name)
					if rc == nil || rc.Nonce != fl.nodes[name].Board.Self.Get().Nonce || !rc.Serving() {
						return false
					}
				}
			}
			return true
		})
		for _, name := range names {
			if by := fl.nodes[name].Board.Replaced.Get(); by != nil {
				fl.t.Errorf("%s assumes that it was replaced by %+v", name, by)
			}
		}
	})
}

// TestOldProcessLearnsOfReplacement: a VM's daemon is cut off, a new process of the VM is started
// elsewhere, and the partition ends. The old process must learn that it was replaced, or two
// processes would serve under one name.
func TestOldProcessLearnsOfReplacement(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		name := "vm-004"
		old := fl.nodes[name]
		fl.nw.SetPartition(func(a, b *memnet.Host) bool { return a == old.ho || b == old.ho })
		time.Sleep(15 * time.Second)
		delete(fl.nodes, name)
		fresh := fl.startNode(fl.declared(name))
		fl.waitFor("the new process is known", convergeLimit, func() bool {
			rc := fl.nodes["vm-000"].Board.Members.Get().Get(name)
			return rc.Nonce == fresh.Board.Self.Get().Nonce && rc.Serving()
		})
		fl.nw.SetPartition(nil)
		fl.waitFor("the old process knows that it was replaced", convergeLimit, func() bool { return old.Board.Replaced.Get() != nil })
		if fresh.Board.Replaced.Get() != nil {
			fl.t.Error("the new process assumes that it was replaced")
		}
		old.cancel()
		<-old.done
	})
}

// TestDomainRestart: all daemons of a failure domain are killed at once, a version is accepted, and
// they start again at once. All must hold the version within seconds, and every daemon must know
// every other one as serving again.
func TestDomainRestart(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		names := fl.domainVMs("d1")
		fl.kill(names...)
		v := fl.apply(sample.Change(fl.ms, 2), 1)
		time.Sleep(3 * time.Second)
		fl.restart(names...)
		fl.waitConverged(v)
	})
}

// TestDomainRestartDuringPlatformOutage: all daemons of a failure domain but one restart while the
// platform is down. They must get the configuration from other daemons, and none may hold an older
// version than before.
func TestDomainRestartDuringPlatformOutage(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		v := fl.apply(sample.Change(fl.ms, 2), 1)
		fl.waitHeld(v, convergeLimit)
		time.Sleep(time.Second)
		fl.st.SetFaults(fakekv.Faults{Down: true})
		names := fl.domainVMs("d1")
		fl.kill(names[1:]...)
		fl.restart(names[1:]...)
		fl.waitConverged(v)
	})
}

// TestDomainRestartDuringPartition: a failure domain is cut off from the other ones and the platform,
// and all its daemons but one restart. They must get the version that they held before, and no older
// one, from the remaining daemon.
func TestDomainRestartDuringPartition(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		v := fl.apply(sample.Change(fl.ms, 12), 1)
		fl.waitHeld(v, convergeLimit)
		time.Sleep(time.Second)
		fl.cutDomain("d2")
		fl.setPlatformCut("d2")
		names := fl.domainVMs("d2")
		fl.kill(names[1:]...)
		fl.restart(names[1:]...)
		fl.waitHeld(v, 2*convergeLimit)
		next := fl.apply(sample.Change(fl.ms, 13), v)
		fl.nw.SetPartition(nil)
		fl.setPlatformCut()
		fl.waitConverged(next)
	})
}

// TestManyVersions: fifty versions are accepted in five seconds while daemons are replaced. Every
// daemon must hold the last one in the end, and never an older one than before.
func TestManyVersions(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		v := uint64(1)
		for i := range 50 {
			v = fl.apply(sample.Change(fl.ms, i), v)
			if i%10 == 5 {
				name := fl.ms.VMs[i%len(fl.ms.VMs)].Name
				fl.kill(name)
				fl.restart(name)
			}
			time.Sleep(100 * time.Millisecond)
		}
		fl.waitConverged(v)
	})
}

// TestFloorOfNewProcess: the predecessor of a VM's process held version 2. The new process must not
// install version 1, which another daemon may still offer, but the first one that is not below 2.
func TestFloorOfNewProcess(t *testing.T) {
	bd := &board.Board{}
	co, err := pack.Encode(sample.Mesh(2, 1, 1))
	if err != nil {
		t.Fatal(err)
	}
	bd.RaiseFloor(2, true)
	for _, tc := range []struct {
		version uint64
		want    bool
	}{{1, false}, {2, true}, {1, false}, {3, true}, {2, false}, {3, false}} {
		sn := mustCompile(t, tc.version, co)
		if got := bd.Install(sn); got != tc.want {
			t.Errorf("Install(version %d) = %t, want %t", tc.version, got, tc.want)
		}
	}
	if got := fmt.Sprint(bd.HeldVersion()); got != "3" {
		t.Errorf("held version %s, want 3", got)
	}
}

func mustCompile(t *testing.T, version uint64, co *pack.Content) *snap.Snapshot {
	t.Helper()
	sn, err := snap.Compile(version, co, "d0")
	if err != nil {
		t.Fatal(err)
	}
	return sn
}

// TestFloorOfSingleVMDomain: a failure domain has one VM. The platform is restored from a backup and
// the VM's daemon is replaced, so no peer of its failure domain knows which version it held. The
// relays of the other failure domains know, but cannot be reached for some seconds. The new process
// must wait for them and not install the platform's older version.
func TestFloorOfSingleVMDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, sample.Mesh(3, 3, 1))
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		fl.waitHeld(1, 20*time.Second)
		fl.waitMembers(20 * time.Second)
		bk := fl.st.Backup()
		v := fl.apply(sample.Change(fl.ms, 0), 1)
		fl.waitHeld(v, convergeLimit)
		time.Sleep(settleTime)
		fl.st.Restore(bk)
		name := fl.domainVMs("d2")[0]
		fl.kill(name)
		fl.cutDomain("d2")
		fl.restart(name)
		time.Sleep(8 * time.Second)
		fl.nw.SetPartition(nil)
		fl.waitConverged(v)
	})
}

// TestDepartureOutlivesRecord: a process that acknowledged a drain is replaced. A peer reads the new
// process's first Hello, but the Welcome is lost, and on the second link the peer already has the new
// record. It must still report which lifetime of the backend server is leaving. Otherwise the new
// process accepts a late announcement of that lifetime and sends requests to a server that has left.
func TestDepartureOutlivesRecord(t *testing.T) {
	nd := New(Config{VM: "a", Domain: "d"})
	defer nd.cancel()
	old := &member.Record{VM: "b", Domain: "d", Incarnation: 1, Sequence: 3, Leaving: member.Departure{Lifetime: "i-1", Number: 5}}
	next := &member.Record{VM: "b", Domain: "d", Incarnation: 2, Sequence: 1}
	nd.merge([]*member.Record{old})
	nd.merge([]*member.Record{next})
	want := member.Departure{Lifetime: "i-1", Number: 5}
	if got := nd.leaving["b"]; got != want {
		t.Errorf("the peer remembers the departure %+v, want %+v", got, want)
	}
	var fresh Node
	fresh.Board = &board.Board{}
	for i, lv := range []member.Departure{{}, want, {}} {
		fresh.recordPredecessor([]string{"p", "q", "q"}[i], lv)
	}
	if got := fresh.Board.Predecessor.Get(); got == nil || got.Departure != want || len(got.Peers) != 2 {
		t.Errorf("the new process learned %+v, want the departure %+v from two peers", got, want)
	}
}
