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
	"github.com/flamingomast/flamingomast/internal/plat/stand"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

const (
	// seenLimit is how long after the store's return nobody may have seen its epoch: calls
	// are held back for a time once many have failed.
	seenLimit = 2500 * time.Millisecond
	// registeredLimit is how long leases may be missing then.
	registeredLimit = 2 * time.Second
	// rewriteAfter is when the operators write again what the store lost.
	rewriteAfter = 1500 * time.Millisecond
	// poisonLimit is how long a request that is not run may be missing in the store.
	poisonLimit = 3 * time.Second
)

// registered reports whether the directory has a key that was written after a copy of the
// store was taken, at the write given, for each relay.
func (fl *fleet) registered(since int64) bool {
	items, err := fl.st.Store().List(context.Background(), directoryPrefix)
	if err != nil {
		return false
	}
	for _, name := range fl.relays() {
		again := func(it store.Item) bool { return strings.HasSuffix(it.Key, "/"+name) && it.Revision.Number > since }
		if !slices.ContainsFunc(items, again) {
			return false
		}
	}
	return true
}

// calls returns how many calls to the store the daemons have made.
func (fl *fleet) calls() (n int64) {
	for _, tn := range fl.nodes {
		n += tn.guard.Calls.Load()
	}
	return n
}

// head returns the head that the store has.
func (fl *fleet) head() *accept.Head {
	fl.t.Helper()
	hd, _, err := accept.Load(fl.t.Context(), fl.st.Store())
	if err != nil {
		fl.t.Fatal(err)
	}
	return hd
}

// epochCases are what happens as the store comes back from an older copy.
var epochCases = []struct {
	name string
	// before happens at the same moment, after once the store is back.
	before, after func(fl *fleet, bk stand.Backup)
}{
	{name: "nothing else"},
	{name: "it does so twice", after: func(fl *fleet, bk stand.Backup) {
		time.Sleep(700 * time.Millisecond)
		fl.st.RestoreInNewEpoch(bk)
	}},
	{name: "it is slow", before: func(fl *fleet, _ stand.Backup) {
		fl.st.SetFaults(stand.Faults{Delay: 200 * time.Millisecond})
	}},
	{name: "it was down before", before: func(fl *fleet, _ stand.Backup) {
		fl.st.SetFaults(stand.Faults{Down: true})
		time.Sleep(3 * time.Second)
		fl.st.SetFaults(stand.Faults{Delay: toPlatform})
	}},
	{name: "a member is replaced", before: func(fl *fleet, _ stand.Backup) {
		fl.kill(fl.domain("d1")[5])
	}, after: func(fl *fleet, _ stand.Backup) {
		fl.restart(fl.domain("d1")[5])
	}},
	{name: "relays are replaced", before: func(fl *fleet, _ stand.Backup) {
		fl.kill(fl.relaysOf("d0")...)
	}, after: func(fl *fleet, _ stand.Backup) {
		for _, name := range fl.domain("d0") {
			if fl.nodes[name] == nil {
				fl.restart(name)
			}
		}
	}},
	{name: "a failure domain is replaced", before: func(fl *fleet, _ stand.Backup) {
		fl.kill(fl.domain("d2")...)
	}, after: func(fl *fleet, _ stand.Backup) {
		for _, name := range fl.domain("d2") {
			fl.restart(name)
		}
	}},
	{name: "a failure domain is cut off", before: func(fl *fleet, _ stand.Backup) {
		fl.cutDomain("d2")
	}, after: func(fl *fleet, _ stand.Backup) {
		time.Sleep(4 * time.Second)
		fl.nw.SetPartition(nil)
	}},
}

// TestStoreComesBackOlder guards against what a store loses that comes back from an older
// copy: leases, versions, requests that are not run, and the order of revisions.
func TestStoreComesBackOlder(t *testing.T) {
	for _, newest := range []bool{false, true} {
		for _, tc := range epochCases {
			name := "daemons restore versions/" + tc.name
			if newest {
				name = "operators restore versions/" + tc.name
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fl := newFleet(t, sample.Mesh(24, 3, 4))
					fl.newest = newest
					defer fl.stopAll()
					fl.apply(fl.ms, 0)
					fl.startAll()
					fl.waitHeld(1, 20*time.Second)
					fl.waitMembers(20 * time.Second)
					time.Sleep(settleTime)
					playEpoch(fl, tc.before, tc.after)
				})
			})
		}
	}
}

func playEpoch(fl *fleet, before, after func(*fleet, stand.Backup)) {
	fl.t.Helper()
	bk, since := fl.st.Backup(), fl.st.LatestRevision()
	v := fl.apply(sample.Change(fl.ms, 1), 1)
	fl.waitHeld(v, convergeLimit)
	var reports []poison.Report
	for end := range poison.RefuseThreshold {
		reports = append(reports, poison.Report{Head: 1, Key: 7, Crash: poison.CrashID(end + 1), At: time.Now()})
	}
	fl.nodes[fl.relays()[0]].ReportCrashes(reports)
	time.Sleep(2 * time.Second)
	content := fl.nodes[fl.relays()[0]].Board.Latest.Get().Content
	if before != nil {
		before(fl, bk)
	}
	calls := fl.calls()
	fl.st.RestoreInNewEpoch(bk)
	back := time.Now()
	if after != nil {
		after(fl, bk)
	}
	epoch := fl.st.Epoch()
	fl.waitFor("a relay has seen the epoch", seenLimit, func() bool {
		return slices.ContainsFunc(fl.relays(), func(name string) bool { return fl.nodes[name].Board.KnownEpoch() == epoch })
	})
	fl.waitFor("the relays are registered again", registeredLimit, func() bool { return fl.registered(since) })
	time.Sleep(rewriteAfter - min(rewriteAfter, time.Since(back)))
	if fl.newest {
		if err := accept.Restore(fl.t.Context(), fl.st.Store(), v, content); err != nil {
			fl.t.Fatal(err)
		}
	}
	fl.waitFor("the store has the version again", convergeLimit, func() bool { return fl.head().Last.Version >= v })
	fl.waitFor("the store has the requests that are not run again", poisonLimit, func() bool {
		ent, err := fl.st.Store().Get(fl.t.Context(), poisonKey)
		list, bad := poison.Decode(ent.Value, time.Now())
		return err == nil && bad == nil && len(list) == len(reports)
	})
	hd := fl.head()
	if hd.Last.Version != v || len(hd.Recent) != 2 {
		fl.t.Errorf("the head has version %d and the submissions %+v, want %d, restored once", hd.Last.Version, hd.Recent, v)
	}
	fl.t.Logf("%d calls to the store until then, of %d daemons", fl.calls()-calls, len(fl.nodes))
	fl.st.SetFaults(stand.Faults{Delay: toPlatform})
	fl.waitHeld(v, convergeLimit)
	next := fl.apply(sample.Change(fl.ms, 2), v)
	if next != v+1 {
		fl.t.Errorf("the next version is %d, want %d", next, v+1)
	}
	fl.allKnown(next)
}

// TestEpochAtStart guards against a new process that takes the older version of a store
// that has come back, as its peers cannot be reached.
func TestEpochAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, sample.Mesh(24, 3, 4))
		fl.newest = true
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		fl.waitHeld(1, 20*time.Second)
		time.Sleep(settleTime)
		bk := fl.st.Backup()
		v := fl.apply(sample.Change(fl.ms, 1), 1)
		fl.waitHeld(v, convergeLimit)
		name := fl.domain("d2")[0]
		fl.kill(name)
		fl.st.RestoreInNewEpoch(bk)
		fl.cutDomain("d2")
		fl.kill(fl.domain("d2")[1:]...)
		fl.restart(name)
		time.Sleep(3 * time.Second)
		if got := fl.nodes[name].Board.HeldVersion(); got != 0 && got < v {
			t.Errorf("holds version %d of the older copy, its VM held %d", got, v)
		}
		fl.nw.SetPartition(nil)
		fl.waitHeld(v, convergeLimit)
	})
}

// TestEpochEmptyDirectory guards against a process that takes itself for the first one of
// the mesh, as the store lost the entries of the others.
func TestEpochEmptyDirectory(t *testing.T) {
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
		name := fl.domain("d2")[0]
		fl.kill(name)
		fl.setPlatformCut("d0", "d1")
		fl.cutDomain("d2")
		fl.st.RestoreInNewEpoch(bk)
		fl.restart(name)
		time.Sleep(3 * time.Second)
		fl.setPlatformCut()
		fl.nw.SetPartition(nil)
		fl.allKnown(v)
	})
}
