package daemon

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/accept"
	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/node/addrs"
	"github.com/flamingomast/flamingomast/internal/node/admin"
	"github.com/flamingomast/flamingomast/internal/node/setup"
	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			t.Fatal("timed out waiting for: " + what)
		case <-tick.C:
		}
	}
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := addrs.FreeOn(addrs.ProcessIP())
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// start runs a daemon of the VM vm-0 on kv.
func start(t *testing.T, kv store.Store) *Daemon {
	t.Helper()
	dm := New(setup.Settings{
		VM: "vm-0", Domain: "d", Outlet: freeAddr(t), Inlet: freeAddr(t), Control: freeAddr(t), Admin: freeAddr(t), DrainTimeout: time.Second,
	}, Options{Store: &kv})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- dm.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return dm
}

func apply(t *testing.T, kv store.Store, base uint64, ms *decl.Mesh) {
	t.Helper()
	co, err := pack.Encode(ms)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := accept.Submit(t.Context(), kv, accept.Submission{ID: t.Name() + string(rune('0'+base)), Base: base, Content: co}); err != nil {
		t.Fatal(err)
	}
}

func mesh(slots int) *decl.Mesh {
	return &decl.Mesh{
		Regions: []decl.Region{{Name: "r"}}, Domains: []decl.Domain{{Name: "d", Region: "r"}},
		Services: []decl.Service{{Name: "booking", Port: 9001, Slots: slots}, {Name: "portal", Port: 9002, Slots: 1}},
		VMs:      []decl.VM{{Name: "vm-0", Domain: "d", Service: "booking"}},
	}
}

// TestAnnounceBeforeConfiguration guards against a backend server without slots: it announces
// itself before the daemon has a configuration. It must get its slots as soon as one arrives, and
// others when that changes; otherwise all its requests are refused as full.
func TestAnnounceBeforeConfiguration(t *testing.T) {
	kv := fakekv.New().Store()
	dm := start(t, kv)
	if err := dm.announce(t.Context(), admin.Announcement{Service: "booking", TTLMs: 60_000}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the daemon's record says that the server serves", func() bool { return dm.State() == member.StateServing })
	if err := dm.ready(); err == nil {
		t.Error("ready without a configuration")
	}
	apply(t, kv, 0, mesh(7))
	eventually(t, "7 slots", func() bool { return dm.Inlet.Gate.Load().Slots == 7 })
	apply(t, kv, 1, mesh(9))
	eventually(t, "9 slots", func() bool { return dm.Inlet.Gate.Load().Slots == 9 })
	if err := dm.ready(); err != nil {
		t.Errorf("not ready: %v", err)
	}
	// The limiter and the routing table adopt a version independently of each other.
	eventually(t, "a table", func() bool { return dm.Outlet.Table() != nil })
	sv := dm.Outlet.Table().Snap.Services["booking"]
	eventually(t, "the server is in the routing table", func() bool { return dm.Outlet.Table().Group(sv).Len() == 1 })
}

// TestAnnouncementEnds checks that a server is removed when it no longer renews its announcement,
// or accepts no connection.
func TestAnnouncementEnds(t *testing.T) {
	dm := start(t, fakekv.New().Store())
	if err := dm.announce(t.Context(), admin.Announcement{Service: "booking", TTLMs: 3000}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "serving", func() bool { return dm.State() == member.StateServing })
	eventually(t, "absent after the announcement expired", func() bool { return dm.State() == member.StateAbsent })
	if err := dm.announce(t.Context(), admin.Announcement{Service: "booking", TTLMs: 60_000}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "serving again", func() bool { return dm.State() == member.StateServing })
	dm.serverUnreachable()
	eventually(t, "absent after no connection could be made", func() bool { return dm.State() == member.StateAbsent })
}

// TestWrongAnnouncement checks that the announcement of another service than the one declared for
// the VM is refused with the reason.
func TestWrongAnnouncement(t *testing.T) {
	kv := fakekv.New().Store()
	apply(t, kv, 0, mesh(7))
	dm := start(t, kv)
	eventually(t, "version 1", func() bool { return dm.Node.Board.HeldVersion() == 1 })
	err := dm.announce(t.Context(), admin.Announcement{Service: "portal"})
	if err == nil || !strings.Contains(err.Error(), `version 1 of the inventory says that VM "vm-0" runs "booking", not "portal"`) {
		t.Errorf("announcing another service: %v", err)
	}
}
