package ctrl

import (
	"bytes"
	"context"
	"errors"
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
	"github.com/flamingomast/flamingomast/internal/plat/memnet"
	"github.com/flamingomast/flamingomast/internal/plat/stand"
)

// The bounds of the promises, in virtual time.
const (
	convergeLimit = 10 * time.Second
	settleTime    = 12 * time.Second
)

// scenario starts a fleet of 24 VMs in three failure domains, lets it settle on
// version 1, and ends it after fn. Throughout, watchVersion fails the test when
// any VM goes back.
func scenario(t *testing.T, fn func(fl *fleet)) {
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

// domain returns the names of a failure domain's VMs.
func (fl *fleet) domain(name string) []string {
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
	set := map[string]bool{}
	for _, dm := range domains {
		set[dm] = true
	}
	fl.noPlatform.Store(&set)
}

// cutDomain cuts a failure domain off from all others.
func (fl *fleet) cutDomain(domain string) {
	fl.nw.SetPartition(func(a, b *memnet.Host) bool { return (a.Domain == domain) != (b.Domain == domain) })
}

// allKnown waits until the fleet is whole again: all VMs current and known.
func (fl *fleet) allKnown(version uint64) {
	fl.t.Helper()
	took := fl.waitHeld(version, convergeLimit)
	members := fl.waitMembers(20 * time.Second)
	fl.t.Logf("all hold version %d after %s, all know all after %s more", version, took, members)
}

func (fl *fleet) declared(name string) decl.VM {
	i := slices.IndexFunc(fl.ms.VMs, func(vm decl.VM) bool { return vm.Name == name })
	return fl.ms.VMs[i]
}

// TestRelayDiesInTransfer: the relays of a failure domain die at the moment at
// which they have a new version. Their members must find others and hold it.
func TestRelayDiesInTransfer(t *testing.T) {
	scenario(t, func(fl *fleet) {
		relays := fl.relaysOf("d2")
		v := fl.apply(sample.Change(fl.ms, 3), 1)
		fl.waitFor("a relay of d2 has the version", convergeLimit, func() bool {
			return slices.ContainsFunc(relays, func(n string) bool { return fl.nodes[n].Board.LatestVersion() == v })
		})
		fl.kill(relays...)
		fl.t.Logf("held by the rest after %s", fl.waitHeld(v, convergeLimit))
		fl.restart(relays...)
		fl.allKnown(v)
	})
}

// TestCuts: a failure domain is cut off from the platform, from the other
// failure domains, or from both, while a version is accepted. Cut off from one
// of them it still follows through the other; cut off from both it goes on
// with what it holds, and is named as cut off; once healed it follows.
func TestCuts(t *testing.T) {
	for _, tc := range []struct {
		name              string
		platform, domains bool
	}{{"platform", true, false}, {"domains", false, true}, {"both", true, true}} {
		t.Run(tc.name, func(t *testing.T) {
			scenario(t, func(fl *fleet) {
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
					if got := fl.behind(v); !slices.Equal(got, fl.domain("d1")) {
						fl.t.Errorf("behind during the cut: %v", got)
					}
					if res := fl.nodes["vm-000"].Status(context.Background(), false); !slices.Equal(res.Cut, []string{"d1"}) {
						fl.t.Errorf("status names %v as cut off", res.Cut)
					}
				} else {
					fl.waitHeld(v, convergeLimit)
				}
				for _, name := range fl.domain("d1") {
					for rc := range fl.nodes[name].Board.Members.Get().All {
						if rc.Domain == "d1" && !rc.Serving() {
							fl.t.Errorf("%s does not use %s of its own failure domain during the cut", name, rc.VM)
						}
					}
				}
				fl.setPlatformCut()
				fl.nw.SetPartition(nil)
				fl.allKnown(v)
			})
		})
	}
}

// TestPlatformOutage: the platform is out for a minute, its answers come late,
// or an answer is lost after the write. Daemons keep what they hold, and an
// operator's submission is in force within seconds of the platform's return.
func TestPlatformOutage(t *testing.T) {
	scenario(t, func(fl *fleet) {
		fl.st.SetFaults(stand.Faults{Down: true})
		time.Sleep(time.Minute)
		if got := fl.behind(1); got != nil {
			fl.t.Errorf("behind during the outage: %v", got)
		}
		fl.st.SetFaults(stand.Faults{Delay: 2 * time.Second, LoseResponses: 5})
		began := time.Now()
		v := fl.apply(sample.Change(fl.ms, 5), 1)
		accepted := time.Since(began)
		fl.t.Logf("slowest platform: accepted after %s, held after %s more", accepted, fl.waitHeld(v, convergeLimit))
		if v != 2 {
			fl.t.Errorf("a submission whose answers were lost became version %d, want 2", v)
		}
	})
}

// TestPlatformSetBack: the platform comes back from a backup with an older
// head. No daemon follows it back; it is reported; submissions are refused
// until an operator says to go on, and then the version rises above all.
func TestPlatformSetBack(t *testing.T) {
	scenario(t, func(fl *fleet) {
		bk := fl.st.Backup()
		v := fl.apply(sample.Change(fl.ms, 6), 1)
		fl.waitHeld(v, convergeLimit)
		fl.st.Restore(bk)
		relay := fl.nodes[fl.relays()[0]]
		fl.waitFor("a relay reports the platform", convergeLimit, func() bool { return relay.Board.Platform.Get().Behind })
		// A daemon that starts now must not take the old version.
		name := fl.domain("d0")[3]
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
			fl.t.Fatalf("submitting to a platform that was set back: %v", err)
		}
		sub.Resume = true
		res, err := accept.Submit(fl.t.Context(), fl.st.Store(), sub)
		if err != nil || res.Entry.Version != v+1 {
			fl.t.Fatalf("resumed with version %d, error %v", res.Entry.Version, err)
		}
		fl.allKnown(v + 1)
	})
}

// TestLeaseLapses: all leases end while their holders know nothing of it. The
// directory is empty for a moment; daemons that start must still find relays.
func TestLeaseLapses(t *testing.T) {
	scenario(t, func(fl *fleet) {
		fl.st.ExpireLeases()
		v := fl.apply(sample.Change(fl.ms, 8), 1)
		name := fl.domain("d1")[4]
		fl.kill(name)
		fl.restart(name)
		fl.allKnown(v)
		fl.waitFor("the relays are registered again", convergeLimit, func() bool {
			items, err := fl.st.Store().List(context.Background(), directoryPrefix+"d0/")
			return err == nil && len(items) > 0
		})
	})
}

// TestUnknownKind: a version holds a kind of resource that this release does
// not know, as during a rolling replacement. It is refused whole, the one held
// stays, status says so, and the next version that compiles is taken.
func TestUnknownKind(t *testing.T) {
	scenario(t, func(fl *fleet) {
		co, err := pack.Encode(fl.ms)
		if err != nil {
			fl.t.Fatal(err)
		}
		odd := pack.New(append(slices.Clone(co.Resources), pack.Resource{Key: pack.Key{Kind: "mirror", Name: "x"}, Body: []byte(`{}`)}))
		if _, err := accept.Submit(fl.t.Context(), fl.st.Store(), accept.Submission{ID: "odd", Base: 1, Content: odd}); err != nil {
			fl.t.Fatal(err)
		}
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
				fl.t.Errorf("status of %s: refused %v", su.Domain, su.Refused)
			}
		}
		fl.allKnown(fl.apply(sample.Change(fl.ms, 9), 2))
	})
}

// TestTwoReleases: a rolling replacement is half done; every other VM runs a
// release that knows a kind of resource which the other release does not. The
// older ones refuse the version and keep theirs, relays among them pass it on
// all the same, and every newer one holds it.
func TestTwoReleases(t *testing.T) {
	scenario(t, func(fl *fleet) {
		newer := func(name string) bool {
			return strings.HasSuffix(name, "1") || strings.HasSuffix(name, "4") || strings.HasSuffix(name, "7")
		}
		for name, tn := range fl.nodes {
			if newer(name) {
				tn.cf.Compile = func(v uint64, co *pack.Content, domain string) (*snap.Snapshot, error) {
					known := slices.DeleteFunc(slices.Clone(co.Resources), func(rs pack.Resource) bool { return rs.Key.Kind == "mirror" })
					return snap.Compile(v, pack.New(known), domain)
				}
			}
		}
		co, err := pack.Encode(fl.ms)
		if err != nil {
			fl.t.Fatal(err)
		}
		odd := pack.New(append(slices.Clone(co.Resources), pack.Resource{Key: pack.Key{Kind: "mirror", Name: "x"}, Body: []byte(`{}`)}))
		if _, err := accept.Submit(fl.t.Context(), fl.st.Store(), accept.Submission{ID: "odd", Base: 1, Content: odd}); err != nil {
			fl.t.Fatal(err)
		}
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

// TestDamagedDelta: a relay's delta is damaged on its way, in each of its
// bytes' values. It must not be applied, and the version must come by another
// transfer.
func TestDamagedDelta(t *testing.T) {
	scenario(t, func(fl *fleet) {
		var damaged atomic.Int64
		fl.nw.SetCorrupt(func(_, _ *memnet.Host, p []byte) []byte {
			// zstd frames begin with this number; what follows is content.
			if i := bytes.Index(p, []byte{0x28, 0xb5, 0x2f, 0xfd}); i >= 0 && i+12 < len(p) && damaged.Load() < 10 {
				p[i+8+int(damaged.Add(1)%4)] ^= 0x55
			}
			return p
		})
		v := fl.apply(sample.Change(fl.ms, 10), 1)
		fl.allKnown(v)
		if damaged.Load() == 0 {
			fl.t.Error("nothing was damaged")
		}
		want := fl.nodes["vm-000"].Board.Held.Get().Digest
		for name, tn := range fl.nodes {
			if got := tn.Board.Held.Get().Digest; got != want {
				fl.t.Errorf("%s holds digest %s, want %s", name, got, want)
			}
		}
	})
}

// TestFrozenHosts: three hosts of a failure domain stop answering while their
// connections stay open, as frozen processes do, for longer than every
// timeout. The others must end those links and go on; nobody is lost for good.
func TestFrozenHosts(t *testing.T) {
	scenario(t, func(fl *fleet) {
		frozen := fl.relaysOf("d0")
		fl.nw.SetPartition(func(a, b *memnet.Host) bool {
			return slices.Contains(frozen, strings.TrimSuffix(a.Addr, ":7000")) != slices.Contains(frozen, strings.TrimSuffix(b.Addr, ":7000"))
		})
		v := fl.apply(sample.Change(fl.ms, 11), 1)
		fl.waitFor("all others hold the version", convergeLimit, func() bool {
			return slices.Equal(fl.behind(v), fl.behind(v)) && len(slices.DeleteFunc(fl.behind(v), func(n string) bool { return slices.Contains(frozen, n) })) == 0
		})
		time.Sleep(30 * time.Second)
		fl.nw.SetPartition(nil)
		fl.allKnown(v)
	})
}
