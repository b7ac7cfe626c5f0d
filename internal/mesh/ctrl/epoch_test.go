package ctrl

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/accept"
	"github.com/flamingomast/flamingomast/internal/conf/sample"
	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

const (
	// epochSeenLimit is the time after the store is restored within which a relay must have seen the
	// new epoch. Calls are held back for a while once many have failed.
	epochSeenLimit = 2500 * time.Millisecond
	// reregisterLimit is the time after that within which all relays must have registered again.
	reregisterLimit = 2 * time.Second
	// operatorRestoreDelay is how long after that restoration the operators rewrite the version that
	// the store has lost.
	operatorRestoreDelay = 1500 * time.Millisecond
	// poisonRestoreLimit is the time within which the store must have the poison requests again.
	poisonRestoreLimit = 3 * time.Second
)

// relaysRegistered reports whether the directory has, for each relay, a key that was written after
// the revision number since.
func (fl *fleet) relaysRegistered(since int64) bool {
	items, err := fl.st.Store().List(context.Background(), directoryPrefix)
	if err != nil {
		return false
	}
	for _, name := range fl.relays() {
		rewritten := func(it store.Item) bool { return strings.HasSuffix(it.Key, "/"+name) && it.Revision.Number > since }
		if !slices.ContainsFunc(items, rewritten) {
			return false
		}
	}
	return true
}

// storeCalls returns the number of calls that the daemons have made to the store.
func (fl *fleet) storeCalls() (n int64) {
	for _, tn := range fl.nodes {
		n += tn.guard.Calls.Load()
	}
	return n
}

// head returns the head in the store.
func (fl *fleet) head() *accept.Head {
	fl.t.Helper()
	hd, _, err := accept.Load(fl.t.Context(), fl.st.Store())
	if err != nil {
		fl.t.Fatal(err)
	}
	return hd
}

// epochCases are faults that coincide with the restoration of the store from an older copy.
var epochCases = []struct {
	name string
	// before is called immediately before the store is restored, after is called immediately after.
	before, after func(fl *fleet, bk fakekv.Backup)
}{
	{name: "no other fault"},
	{name: "the store is restored twice", after: func(fl *fleet, bk fakekv.Backup) {
		time.Sleep(700 * time.Millisecond)
		fl.st.RestoreInNewEpoch(bk)
	}},
	{name: "the store is slow", before: func(fl *fleet, _ fakekv.Backup) {
		fl.st.SetFaults(fakekv.Faults{Delay: 200 * time.Millisecond})
	}},
	{name: "the store was down before", before: func(fl *fleet, _ fakekv.Backup) {
		fl.st.SetFaults(fakekv.Faults{Down: true})
		time.Sleep(3 * time.Second)
		fl.st.SetFaults(fakekv.Faults{Delay: toPlatform})
	}},
	{name: "a member is replaced", before: func(fl *fleet, _ fakekv.Backup) {
		fl.kill(fl.domainVMs("d1")[5])
	}, after: func(fl *fleet, _ fakekv.Backup) {
		fl.restart(fl.domainVMs("d1")[5])
	}},
	{name: "relays are replaced", before: func(fl *fleet, _ fakekv.Backup) {
		fl.kill(fl.relaysOf("d0")...)
	}, after: func(fl *fleet, _ fakekv.Backup) {
		for _, name := range fl.domainVMs("d0") {
			if fl.nodes[name] == nil {
				fl.restart(name)
			}
		}
	}},
	{name: "a failure domain is replaced", before: func(fl *fleet, _ fakekv.Backup) {
		fl.kill(fl.domainVMs("d2")...)
	}, after: func(fl *fleet, _ fakekv.Backup) {
		for _, name := range fl.domainVMs("d2") {
			fl.restart(name)
		}
	}},
	{name: "a failure domain is cut off", before: func(fl *fleet, _ fakekv.Backup) {
		fl.cutDomain("d2")
	}, after: func(fl *fleet, _ fakekv.Backup) {
		time.Sleep(4 * time.Second)
		fl.nw.SetPartition(nil)
	}},
}

// TestStoreRestoredFromOlderCopy: the store is restored from an older copy and enters a new epoch. It
// has lost leases, versions and poison requests, and revisions no longer increase. Relays must
// register again, the poison requests must be rewritten, and the lost version restored exactly once,
// by the daemons or by the operators.
func TestStoreRestoredFromOlderCopy(t *testing.T) {
	for _, linearizable := range []bool{false, true} {
		for _, tc := range epochCases {
			name := "versions restored by daemons/" + tc.name
			if linearizable {
				name = "versions restored by operators/" + tc.name
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fl := newFleet(t, sample.Mesh(24, 3, 4))
					fl.linearizable = linearizable
					defer fl.stopAll()
					fl.apply(fl.ms, 0)
					fl.startAll()
					fl.waitHeld(1, 20*time.Second)
					fl.waitMembers(20 * time.Second)
					time.Sleep(settleTime)
					runEpochCase(fl, tc.before, tc.after)
				})
			})
		}
	}
}

// runEpochCase restores the store from an older copy, between calls of before and after, and checks
// that the daemons recover.
func runEpochCase(fl *fleet, before, after func(*fleet, fakekv.Backup)) {
	fl.t.Helper()
	bk, since := fl.st.Backup(), fl.st.LatestRevision()
	v := fl.apply(sample.Change(fl.ms, 1), 1)
	fl.waitHeld(v, convergeLimit)
	var reports []poison.Report
	for i := range poison.RefuseThreshold {
		reports = append(reports, poison.Report{Head: 1, Key: 7, Crash: poison.CrashID(i + 1), At: time.Now()})
	}
	fl.nodes[fl.relays()[0]].ReportCrashes(reports)
	time.Sleep(2 * time.Second)
	content := fl.nodes[fl.relays()[0]].Board.Latest.Get().Content
	if before != nil {
		before(fl, bk)
	}
	calls := fl.storeCalls()
	fl.st.RestoreInNewEpoch(bk)
	restored := time.Now()
	if after != nil {
		after(fl, bk)
	}
	epoch := fl.st.Epoch()
	fl.waitFor("a relay has seen the epoch", epochSeenLimit, func() bool {
		return slices.ContainsFunc(fl.relays(), func(name string) bool { return fl.nodes[name].Board.KnownEpoch() == epoch })
	})
	fl.waitFor("all relays are registered again", reregisterLimit, func() bool { return fl.relaysRegistered(since) })
	time.Sleep(operatorRestoreDelay - min(operatorRestoreDelay, time.Since(restored)))
	if fl.linearizable {
		if err := accept.Restore(fl.t.Context(), fl.st.Store(), v, content); err != nil {
			fl.t.Fatal(err)
		}
	}
	fl.waitFor("the store has the lost version again", convergeLimit, func() bool { return fl.head().Last.Version >= v })
	fl.waitFor("the store has the poison requests again", poisonRestoreLimit, func() bool {
		ent, err := fl.st.Store().Get(fl.t.Context(), poisonKey)
		list, decodeErr := poison.Decode(ent.Value, time.Now())
		return err == nil && decodeErr == nil && len(list) == len(reports)
	})
	hd := fl.head()
	if hd.Last.Version != v || len(hd.Recent) != 2 {
		fl.t.Errorf("the head has version %d and the submissions %+v, want version %d, restored once", hd.Last.Version, hd.Recent, v)
	}
	fl.t.Logf("%d calls to the store by %d daemons until then", fl.storeCalls()-calls, len(fl.nodes))
	fl.st.SetFaults(fakekv.Faults{Delay: toPlatform})
	fl.waitHeld(v, convergeLimit)
	next := fl.apply(sample.Change(fl.ms, 2), v)
	if next != v+1 {
		fl.t.Errorf("the next version is %d, want %d", next, v+1)
	}
	fl.waitConverged(next)
}

// TestProcessStartInNewEpoch: the store is restored from an older copy while a new process of a VM
// starts and can reach no peers. It must not install the store's older version.
func TestProcessStartInNewEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, sample.Mesh(24, 3, 4))
		fl.linearizable = true
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		fl.waitHeld(1, 20*time.Second)
		time.Sleep(settleTime)
		bk := fl.st.Backup()
		v := fl.apply(sample.Change(fl.ms, 1), 1)
		fl.waitHeld(v, convergeLimit)
		name := fl.domainVMs("d2")[0]
		fl.kill(name)
		fl.st.RestoreInNewEpoch(bk)
		fl.cutDomain("d2")
		fl.kill(fl.domainVMs("d2")[1:]...)
		fl.restart(name)
		time.Sleep(3 * time.Second)
		if got := fl.nodes[name].Board.HeldVersion(); got != 0 && got < v {
			t.Errorf("holds version %d of the older copy, but its VM held version %d before", got, v)
		}
		fl.nw.SetPartition(nil)
		fl.waitHeld(v, convergeLimit)
	})
}

// TestEmptyDirectoryInNewEpoch: the store is restored from a copy without directory entries while a
// new process starts and can reach no peers. It must not conclude from the empty directory that it
// is the first daemon of the mesh and install the store's older version.
func TestEmptyDirectoryInNewEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, sample.Mesh(3, 3, 1))
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		fl.waitHeld(1, 20*time.Second)
		time.Sleep(settleTime)
		fl.st.ExpireLeases()
		bk := fl.st.Backup()
		v := fl.apply(sample.Change(fl.ms, 1), 1)
		fl.waitHeld(v, convergeLimit)
		name := fl.domainVMs("d2")[0]
		fl.kill(name)
		fl.setPlatformCut("d0", "d1")
		fl.cutDomain("d2")
		fl.st.RestoreInNewEpoch(bk)
		fl.restart(name)
		time.Sleep(3 * time.Second)
		fl.setPlatformCut()
		fl.nw.SetPartition(nil)
		fl.waitConverged(v)
	})
}
