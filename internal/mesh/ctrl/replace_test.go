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
	"github.com/flamingomast/flamingomast/internal/plat/memnet"
	"github.com/flamingomast/flamingomast/internal/plat/stand"
)

// TestDaemonReplaced: a VM's daemon dies and a new process comes at the same
// address, with a clock that is behind. Callers must find the new process, the
// record of the dead one must not come back, and the floor must hold.
func TestDaemonReplaced(t *testing.T) {
	scenario(t, func(fl *fleet) {
		name := "vm-007"
		old := fl.nodes[name].Board.Self.Get()
		fl.kill(name)
		v := fl.apply(sample.Change(fl.ms, 1), 1)
		tn := fl.startNode(fl.declared(name))
		// The new process starts with an incarnation below the old one's.
		tn.Announce(func(rc *member.Record) { rc.Incarnation = old.Incarnation - 1000 })
		fl.waitFor("all know the new process", convergeLimit, func() bool {
			for _, tn := range fl.nodes {
				if rc := tn.Board.Members.Get().Get(name); rc.Nonce == old.Nonce || rc.Incarnation <= old.Incarnation {
					return false
				}
			}
			return true
		})
		fl.allKnown(v)
	})
}

// TestHerdWithClocksBehind: a whole failure domain restarts with clocks that
// are a minute behind, so that each new process has a lower incarnation than
// the one before, and its first peers know nothing of that. None may take its
// forerunner for a newer process and end.
func TestHerdWithClocksBehind(t *testing.T) {
	scenario(t, func(fl *fleet) {
		names := fl.domain("d1")
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
				fl.t.Errorf("%s took itself for replaced by %+v", name, by)
			}
		}
	})
}

// TestTwinStepsDown: a VM's daemon is cut off, a new process of the VM is
// started elsewhere, and the cut heals. Two processes would then serve under
// one name; the old one must learn that it was replaced.
func TestTwinStepsDown(t *testing.T) {
	scenario(t, func(fl *fleet) {
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
			fl.t.Error("the new process took itself for replaced")
		}
		old.cancel()
		<-old.done
	})
}

// TestDomainHerd: all daemons of a failure domain die at once and come back at
// once, while a version was accepted. All must hold it within seconds, and
// nobody may take the others for dead for good.
func TestDomainHerd(t *testing.T) {
	scenario(t, func(fl *fleet) {
		names := fl.domain("d1")
		fl.kill(names...)
		v := fl.apply(sample.Change(fl.ms, 2), 1)
		time.Sleep(3 * time.Second)
		fl.restart(names...)
		fl.allKnown(v)
	})
}

// TestHerdWithPlatformOut: the same with the platform out. The failure domain
// gets its configuration from the others, and no VM holds less than before.
func TestHerdWithPlatformOut(t *testing.T) {
	scenario(t, func(fl *fleet) {
		v := fl.apply(sample.Change(fl.ms, 2), 1)
		fl.waitHeld(v, convergeLimit)
		time.Sleep(time.Second)
		fl.st.SetFaults(stand.Faults{Down: true})
		names := fl.domain("d1")
		fl.kill(names[1:]...)
		fl.restart(names[1:]...)
		fl.allKnown(v)
	})
}

// TestCutAndHerd is a pair: a failure domain is cut off from everything, its
// daemons but one die and come back within the cut. They must get from the one
// that lived what they held before, and nothing older.
func TestCutAndHerd(t *testing.T) {
	scenario(t, func(fl *fleet) {
		v := fl.apply(sample.Change(fl.ms, 12), 1)
		fl.waitHeld(v, convergeLimit)
		time.Sleep(time.Second)
		fl.cutDomain("d2")
		fl.setPlatformCut("d2")
		names := fl.domain("d2")
		fl.kill(names[1:]...)
		fl.restart(names[1:]...)
		fl.waitHeld(v, 2*convergeLimit)
		next := fl.apply(sample.Change(fl.ms, 13), v)
		fl.nw.SetPartition(nil)
		fl.setPlatformCut()
		fl.allKnown(next)
	})
}

// TestManyVersions: operators accept fifty versions in five seconds while
// daemons come and go. Every daemon ends at the last one and never goes back.
func TestManyVersions(t *testing.T) {
	scenario(t, func(fl *fleet) {
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
		fl.allKnown(v)
	})
}

// TestFloorOfNewProcess: the process before held version 2, and the only other
// daemon that is left holds version 1. The new process must not hold version 1,
// and holds the first one that is not below 2.
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

// TestLoneDomainKnowsItsFloor: a failure domain has one VM. The platform is set
// back and the VM's daemon is replaced, so no peer of its own failure domain
// can tell what it held. The relays of the others can, but for some seconds
// they are cut off. It must wait for their word and not take the platform's
// older version.
func TestLoneDomainKnowsItsFloor(t *testing.T) {
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
		name := fl.domain("d2")[0]
		fl.kill(name)
		fl.cutDomain("d2")
		fl.restart(name)
		time.Sleep(8 * time.Second)
		fl.nw.SetPartition(nil)
		fl.allKnown(v)
	})
}

// TestLeaverOutlivesRecord: a process that acknowledged a drain is replaced. The
// new one's first Hello is read and its answer lost; its second link is welcomed
// by a peer that holds the new record by then. The peer must still tell which
// lifetime leaves: without it the new process took a late announcement of that
// lifetime and sent requests to a server that had left.
func TestLeaverOutlivesRecord(t *testing.T) {
	nd := New(Config{VM: "a", Domain: "d"})
	defer nd.end()
	old := &member.Record{VM: "b", Domain: "d", Incarnation: 1, Sequence: 3, Leaving: member.Departure{Lifetime: "i-1", Number: 5}}
	next := &member.Record{VM: "b", Domain: "d", Incarnation: 2, Sequence: 1}
	nd.merge([]*member.Record{old})
	nd.merge([]*member.Record{next})
	want := member.Departure{Lifetime: "i-1", Number: 5}
	if got := nd.leavers["b"]; got != want {
		t.Errorf("the peer remembers %+v, want %+v", got, want)
	}
	var fresh Node
	fresh.Board = &board.Board{}
	for i, lv := range []member.Departure{{}, want, {}} {
		fresh.learnForerunner([]string{"p", "q", "q"}[i], lv)
	}
	if got := fresh.Board.Predecessor.Get(); got == nil || got.Departure != want || len(got.Peers) != 2 {
		t.Errorf("the new process learned %+v, want %+v of two peers", got, want)
	}
}
