package ctrl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/accept"
	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/sample"
	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/memnet"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

const (
	// convergeLimit is the promised time within which all daemons hold a new version. It is virtual
	// time, as all times in these tests.
	convergeLimit = 10 * time.Second
	// settleTime is how long tests wait after a start for links and roles to become stable.
	settleTime = 12 * time.Second
)

// withFleet starts a fleet of 24 VMs in three failure domains, waits until it is stable with
// version 1, calls fn and stops the fleet. Throughout, watchVersion fails the test if any VM
// installs an older version than it held.
func withFleet(t *testing.T, fn func(fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, sample.Mesh(24, 3, 4))
		defer fl.stopAll()
		fl.apply(fl.ms, 0)
		fl.startAll()
		fl.waitHeld(1, 20*time.Second)
		fl.waitMembers(20 * time.Second)
		time.Sleep(settleTime)
		fn(fl)
	})
}

// domainVMs returns the names of the VMs of a failure domain.
func (fl *fleet) domainVMs(name string) []string {
	var list []string
	for _, vm := range fl.ms.VMs {
		if vm.Domain == name {
			list = append(list, vm.Name)
		}
	}
	return list
}

func (fl *fleet) relaysOf(domain string) []string {
	return slices.DeleteFunc(fl.relays(), func(n string) bool { return fl.nodes[n].vm.Domain != domain })
}

func (fl *fleet) restart(names ...string) {
	for _, vm := range fl.ms.VMs {
		if slices.Contains(names, vm.Name) {
			fl.startNode(vm)
		}
	}
}

func (fl *fleet) setPlatformCut(domains ...string) {
	cut := map[string]bool{}
	for _, dm := range domains {
		cut[dm] = true
	}
	fl.platformCut.Store(&cut)
}

// cutDomain cuts a failure domain off from all others.
func (fl *fleet) cutDomain(domain string) {
	fl.nw.SetPartition(func(a, b *memnet.Host) bool { return (a.Domain == domain) != (b.Domain == domain) })
}

// waitConverged waits until all daemons hold a version and know each other.
func (fl *fleet) waitConverged(version uint64) {
	fl.t.Helper()
	took := fl.waitHeld(version, convergeLimit)
	members := fl.waitMembers(20 * time.Second)
	fl.t.Logf("all hold version %d after %s, all members known after %s more", version, took, members)
}

func (fl *fleet) declared(name string) decl.VM {
	i := slices.IndexFunc(fl.ms.VMs, func(vm decl.VM) bool { return vm.Name == name })
	return fl.ms.VMs[i]
}

// TestRelaysKilledDuringTransfer: the relays of a failure domain are killed when the first of them
// has received a new version. Their members must find other relays and hold the version.
func TestRelaysKilledDuringTransfer(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		relays := fl.relaysOf("d2")
		v := fl.apply(sample.Change(fl.ms, 3), 1)
		fl.waitFor("a relay of d2 has received the version", convergeLimit, func() bool {
			return slices.ContainsFunc(relays, func(n string) bool { return fl.nodes[n].Board.LatestVersion() == v })
		})
		fl.kill(relays...)
		fl.t.Logf("held by the remaining daemons after %s", fl.waitHeld(v, convergeLimit))
		fl.restart(relays...)
		fl.waitConverged(v)
	})
}

// TestPartitions: a failure domain is cut off from the platform, from the other failure domains, or
// from both, while a version is accepted. If it is cut off from one of them, it receives the version
// through the other. If it is cut off from both, it keeps the held version, the status of the other
// daemons names it as cut off, and it receives the version once the partition ends.
func TestPartitions(t *testing.T) {
	for _, tc := range []struct {
		name              string
		platform, domains bool
	}{{"platform", true, false}, {"domains", false, true}, {"both", true, true}} {
		t.Run(tc.name, func(t *testing.T) {
			withFleet(t, func(fl *fleet) {
				if tc.platform {
					fl.setPlatformCut("d1")
				}
				if tc.domains {
					fl.cutDomain("d1")
				}
				time.Sleep(15 * time.Second)
				v := fl.apply(sample.Change(fl.ms, 4), 1)
				if tc.platform && tc.domains {
					time.Sleep(convergeLimit)
					if got := fl.behind(v); !slices.Equal(got, fl.domainVMs("d1")) {
						fl.t.Errorf("behind during the partition: %v, want the VMs of d1", got)
					}
					if res := fl.nodes["vm-000"].Status(context.Background(), false); !slices.Equal(res.Cut, []string{"d1"}) {
						fl.t.Errorf("status names %v as cut off, want d1", res.Cut)
					}
				} else {
					fl.waitHeld(v, convergeLimit)
				}
				for _, name := range fl.domainVMs("d1") {
					for rc := range fl.nodes[name].Board.Members.Get().All {
						if rc.Domain == "d1" && !rc.Serving() {
							fl.t.Errorf("%s does not count %s of its own failure domain as serving during the partition", name, rc.VM)
						}
					}
				}
				fl.setPlatformCut()
				fl.nw.SetPartition(nil)
				fl.waitConverged(v)
			})
		})
	}
}

// TestPlatformOutage: the platform is down for a minute, and then answers late and loses answers to
// writes that it has made. Daemons keep the held version, and an operator's submission is in force
// within seconds after it was accepted, as one version only.
func TestPlatformOutage(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		fl.st.SetFaults(fakekv.Faults{Down: true})
		time.Sleep(time.Minute)
		if got := fl.behind(1); got != nil {
			fl.t.Errorf("behind during the outage: %v", got)
		}
		fl.st.SetFaults(fakekv.Faults{Delay: 2 * time.Second, LoseResponses: 5})
		began := time.Now()
		v := fl.apply(sample.Change(fl.ms, 5), 1)
		accepted := time.Since(began)
		fl.t.Logf("slow platform: accepted after %s, held by all after %s more", accepted, fl.waitHeld(v, convergeLimit))
		if v != 2 {
			fl.t.Errorf("a submission whose answers were lost became version %d, want 2", v)
		}
	})
}

// TestPlatformRestoredFromBackup: the platform is restored from a backup with an older head. No
// daemon installs the older version, the daemons report the platform as behind, and submissions are
// refused until an operator resumes; that version is numbered above all earlier ones.
func TestPlatformRestoredFromBackup(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		bk := fl.st.Backup()
		v := fl.apply(sample.Change(fl.ms, 6), 1)
		fl.waitHeld(v, convergeLimit)
		fl.st.Restore(bk)
		relay := fl.nodes[fl.relays()[0]]
		fl.waitFor("a relay reports the platform as behind", convergeLimit, func() bool { return relay.Board.Platform.Get().Behind })
		// A daemon that starts now must not install the older version.
		name := fl.domainVMs("d0")[3]
		fl.kill(name)
		fl.restart(name)
		fl.waitHeld(v, convergeLimit)

		co, err := pack.Encode(sample.Change(fl.ms, 7))
		if err != nil {
			fl.t.Fatal(err)
		}
		sub := accept.Submission{ID: "again", Base: 1, Content: co, Floor: relay.Board.LatestVersion()}
		var be *accept.BehindError
		if _, err := accept.Submit(fl.t.Context(), fl.st.Store(), sub); !errors.As(err, &be) {
			fl.t.Fatalf("submitting to a platform that is behind: error %v, want a BehindError", err)
		}
		sub.Resume = true
		res, err := accept.Submit(fl.t.Context(), fl.st.Store(), sub)
		if err != nil || res.Entry.Version != v+1 {
			fl.t.Fatalf("resumed with version %d, error %v", res.Entry.Version, err)
		}
		fl.waitConverged(v + 1)
	})
}

// TestLeasesExpire: all leases expire without notice to their holders, so the directory is empty for
// a moment. Daemons that start must still find relays, and the relays must register again.
func TestLeasesExpire(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		fl.st.ExpireLeases()
		v := fl.apply(sample.Change(fl.ms, 8), 1)
		name := fl.domainVMs("d1")[4]
		fl.kill(name)
		fl.restart(name)
		fl.waitConverged(v)
		fl.waitFor("the relays are registered again", convergeLimit, func() bool {
			items, err := fl.st.Store().List(context.Background(), directoryPrefix+"d0/")
			return err == nil && len(items) > 0
		})
	})
}

// TestUnknownKind: a version contains a kind of resource that this release does not know, as happens
// during a rolling upgrade. It is refused as a whole, the held version stays in force, the status
// reports the refusal, and the next version that compiles is installed.
func TestUnknownKind(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		fl.submitUnknownKind(1)
		fl.waitFor("all refuse version 2", convergeLimit, func() bool {
			for _, tn := range fl.nodes {
				if rf := tn.Board.Refused.Get(); rf == nil || rf.Version != 2 || tn.Board.HeldVersion() != 1 {
					return false
				}
			}
			return true
		})
		time.Sleep(time.Second)
		res := fl.nodes[fl.relays()[0]].Status(context.Background(), false)
		for _, su := range res.Summaries {
			if len(su.Refused) == 0 || !strings.Contains(su.Refused[0], "does not know the kind") {
				fl.t.Errorf("status of %s lists the refusals %v, want an unknown kind", su.Domain, su.Refused)
			}
		}
		fl.waitConverged(fl.apply(sample.Change(fl.ms, 9), 2))
	})
}

// submitUnknownKind submits a version with a kind of resource that no release knows yet.
func (fl *fleet) submitUnknownKind(base uint64) {
	fl.t.Helper()
	co, err := pack.Encode(fl.ms)
	if err != nil {
		fl.t.Fatal(err)
	}
	extended := pack.New(append(slices.Clone(co.Resources), pack.Resource{Key: pack.Key{Kind: "mirror", Name: "x"}, Body: []byte(`{}`)}))
	if _, err := accept.Submit(fl.t.Context(), fl.st.Store(), accept.Submission{ID: "odd", Base: base, Content: extended}); err != nil {
		fl.t.Fatal(err)
	}
}

// compileKnown compiles a version like a release that knows the kind of submitUnknownKind.
func compileKnown(v uint64, co *pack.Content, domain string) (*snap.Snapshot, error) {
	known := slices.DeleteFunc(slices.Clone(co.Resources), func(rs pack.Resource) bool { return rs.Key.Kind == "mirror" })
	return snap.Compile(v, pack.New(known), domain)
}

// waitRefused waits until all daemons refuse a version and hold another one.
func (fl *fleet) waitRefused(refused, held uint64) {
	fl.t.Helper()
	fl.waitFor(fmt.Sprintf("all hold version %d and refuse %d", held, refused), convergeLimit, func() bool {
		for _, tn := range fl.nodes {
			if tn.Board.RefusedVersion() != refused || tn.Board.HeldVersion() != held {
				return false
			}
		}
		return true
	})
}

// TestRestartWithRefusedVersion guards against daemons that hold no configuration after a restart, since
// the newest version is refused.
func TestRestartWithRefusedVersion(t *testing.T) {
	for _, linearizable := range []bool{false, true} {
		t.Run(fmt.Sprintf("linearizable=%t", linearizable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, sample.Mesh(9, 3, 2))
				fl.linearizable = linearizable
				defer fl.stopAll()
				fl.apply(fl.ms, 0)
				fl.startAll()
				fl.waitHeld(1, 20*time.Second)
				fl.waitMembers(20 * time.Second)
				fl.submitUnknownKind(1)
				fl.waitRefused(2, 1)
				var all []string
				for name := range fl.nodes {
					all = append(all, name)
				}
				slices.Sort(all)
				for _, names := range [][]string{all[:1], fl.domainVMs("d1"), all} {
					time.Sleep(settleTime)
					fl.kill(names...)
					for _, name := range names {
						fl.restart(name)
					}
					fl.waitRefused(2, 1)
				}
				v := fl.apply(sample.Change(fl.ms, 9), 2)
				fl.waitHeld(v, convergeLimit)
			})
		})
	}
}

// TestUnreadableVersion guards against daemons that hold no configuration after a restart of all, and
// against operators who see no refusal, when the newest version cannot even be read.
func TestUnreadableVersion(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		kv := fl.st.Store()
		head, err := kv.Get(fl.t.Context(), accept.HeadKey)
		if err != nil {
			fl.t.Fatal(err)
		}
		if _, _, err := kv.Swap(fl.t.Context(), store.Change{Key: accept.HeadKey, Revision: head.Revision, Value: []byte("no head")}); err != nil {
			fl.t.Fatal(err)
		}
		time.Sleep(settleTime)
		listed := 0
		for _, su := range fl.nodes[fl.relays()[0]].Status(context.Background(), false).Summaries {
			listed += len(su.Refused)
		}
		if listed == 0 {
			fl.t.Error("the status lists no refusal")
		}
		var all []string
		for name := range fl.nodes {
			all = append(all, name)
		}
		fl.kill(all...)
		for _, name := range all {
			fl.restart(name)
		}
		fl.waitHeld(1, 20*time.Second)
	})
}

// TestFallbackNotBelowPredecessor guards against a daemon that goes back to the version before, where its
// predecessor, of another release, held the one that this daemon refuses.
func TestFallbackNotBelowPredecessor(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		names := fl.domainVMs("d1")
		for _, name := range names {
			fl.nodes[name].cf.Compile = compileKnown
		}
		fl.submitUnknownKind(1)
		time.Sleep(convergeLimit)
		for _, name := range names {
			if got := fl.nodes[name].Board.HeldVersion(); got != 2 {
				fl.t.Fatalf("%s holds version %d, want 2", name, got)
			}
		}
		fl.kill(names[0])
		fl.restart(names[0])
		time.Sleep(time.Minute)
		if bd := fl.nodes[names[0]].Board; bd.HeldVersion() != 0 || bd.RefusedVersion() != 2 {
			fl.t.Errorf("%s holds version %d and refuses %d, want none and 2", names[0], bd.HeldVersion(), bd.RefusedVersion())
		}
	})
}

// TestTwoReleases: during a rolling upgrade, some VMs run a release that knows a kind of resource
// which the other release does not. The older daemons refuse a version with it and keep theirs, but
// relays among them forward it, and every newer daemon holds it.
func TestTwoReleases(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		newer := func(name string) bool {
			return strings.HasSuffix(name, "1") || strings.HasSuffix(name, "4") || strings.HasSuffix(name, "7")
		}
		for name, tn := range fl.nodes {
			if newer(name) {
				tn.cf.Compile = compileKnown
			}
		}
		fl.submitUnknownKind(1)
		time.Sleep(convergeLimit)
		for name, tn := range fl.nodes {
			want := uint64(1)
			if newer(name) {
				want = 2
			}
			if got := tn.Board.HeldVersion(); got != want {
				fl.t.Errorf("%s holds version %d, want %d", name, got, want)
			}
		}
	})
}

// TestCorruptDelta: deltas are corrupted on the network, in several bytes. A corrupt delta must not
// be applied, and the version must arrive by another transfer.
func TestCorruptDelta(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		var corrupted atomic.Int64
		fl.nw.SetCorrupt(func(_, _ *memnet.Host, p []byte) []byte {
			// The magic number of a zstd frame, which the compressed content follows.
			if i := bytes.Index(p, []byte{0x28, 0xb5, 0x2f, 0xfd}); i >= 0 && i+12 < len(p) && corrupted.Load() < 10 {
				p[i+8+int(corrupted.Add(1)%4)] ^= 0x55
			}
			return p
		})
		v := fl.apply(sample.Change(fl.ms, 10), 1)
		fl.waitConverged(v)
		if corrupted.Load() == 0 {
			fl.t.Error("no packet was corrupted")
		}
		want := fl.nodes["vm-000"].Board.Held.Get().Digest
		for name, tn := range fl.nodes {
			if got := tn.Board.Held.Get().Digest; got != want {
				fl.t.Errorf("%s holds digest %s, want %s", name, got, want)
			}
		}
	})
}

// TestFrozenHosts: the relays of a failure domain stop answering for longer than every timeout while
// their connections stay open, as with suspended processes. The other daemons must close those links
// and receive a new version, and the frozen ones must rejoin afterwards.
func TestFrozenHosts(t *testing.T) {
	withFleet(t, func(fl *fleet) {
		frozen := fl.relaysOf("d0")
		fl.nw.SetPartition(func(a, b *memnet.Host) bool {
			return slices.Contains(frozen, strings.TrimSuffix(a.Addr, ":7000")) != slices.Contains(frozen, strings.TrimSuffix(b.Addr, ":7000"))
		})
		v := fl.apply(sample.Change(fl.ms, 11), 1)
		fl.waitFor("all daemons that are not frozen hold the version", convergeLimit, func() bool {
			return slices.Equal(fl.behind(v), fl.behind(v)) && len(slices.DeleteFunc(fl.behind(v), func(n string) bool { return slices.Contains(frozen, n) })) == 0
		})
		time.Sleep(30 * time.Second)
		fl.nw.SetPartition(nil)
		fl.waitConverged(v)
	})
}
