package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/node/admin"
	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/pick"
)

// gather bounds how often the routing table is built while records pour in.
const gather = 20 * time.Millisecond

// runRouting builds the outlet's table from the configuration in force, the
// members and the failure domains that are cut off.
func (dm *Daemon) runRouting(ctx context.Context) {
	bd := dm.Node.Board
	for {
		sn, held := bd.Held.Watch()
		vw, members := bd.Members.Watch()
		cut, reach := bd.Cut.Watch()
		if sn != nil {
			dm.Outlet.SetTable(pick.Build(sn, vw, cut, dm.Outlet.Table()))
		}
		select {
		case <-ctx.Done():
			return
		case <-held:
			continue
		case <-members:
		case <-reach:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(gather):
		}
	}
}

// local is what is known of the VM's own backend server.
type local struct {
	mu    sync.Mutex
	an    *admin.Announcement
	until time.Time
	since time.Time
	kick  chan struct{}
}

// poke lets runLocal look again.
func (lo *local) poke() {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if lo.kick != nil {
		close(lo.kick)
		lo.kick = nil
	}
}

// watch returns the announcement in force, nil for none, and a channel that is
// closed at the next change.
func (lo *local) watch(now time.Time) (*admin.Announcement, time.Time, time.Duration, <-chan struct{}) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if lo.kick == nil {
		lo.kick = make(chan struct{})
	}
	if lo.an == nil || !now.Before(lo.until) {
		return nil, time.Time{}, time.Hour, lo.kick
	}
	return lo.an, lo.since, lo.until.Sub(now), lo.kick
}

// announce takes an announcement of the backend server. A server of another
// service than the inventory has for this VM would get no requests.
func (dm *Daemon) announce(an admin.Announcement) error {
	if sn := dm.Node.Board.Held.Get(); sn != nil {
		vm, ok := sn.VMs[dm.se.VM]
		switch {
		case !ok:
			return fmt.Errorf("version %d of the inventory has no VM %q; declare it first", sn.Version, dm.se.VM)
		case vm.Service != an.Service:
			return fmt.Errorf("version %d of the inventory says that VM %q runs %q, not %q", sn.Version, dm.se.VM, vm.Service, an.Service)
		case vm.Domain != dm.se.Domain:
			return fmt.Errorf("version %d of the inventory has VM %q in failure domain %q, this daemon is in %q", sn.Version, dm.se.VM, vm.Domain, dm.se.Domain)
		}
	}
	now := time.Now()
	lo := &dm.local
	lo.mu.Lock()
	if lo.an == nil || !now.Before(lo.until) {
		lo.since = now
	}
	lo.an, lo.until = &an, now.Add(an.TTL())
	lo.mu.Unlock()
	lo.poke()
	return nil
}

// withdraw takes the backend server out.
func (dm *Daemon) withdraw() {
	dm.local.mu.Lock()
	dm.local.an = nil
	dm.local.mu.Unlock()
	dm.local.poke()
}

// lost takes the backend server out when it accepts no connection, until it
// announces itself again.
func (dm *Daemon) lost() {
	dm.log.Warn("backend-server-unreachable")
	dm.withdraw()
}

// runLocal keeps the inlet and the daemon's record as the backend server, the
// configuration and the drain say.
func (dm *Daemon) runLocal(ctx context.Context) {
	for {
		an, since, left, changed := dm.local.watch(time.Now())
		_, self := dm.Node.Board.Self.Watch()
		sn, held := dm.Node.Board.Held.Watch()
		dm.setGate(sn, an)
		dm.setRecord(an, since)
		dm.setTarget(sn, an)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-self:
		case <-held:
		case <-time.After(left):
		}
	}
}

// setGate gives the inlet its slots, classes and connections.
func (dm *Daemon) setGate(sn *snap.Snapshot, an *admin.Announcement) {
	if sn == nil || an == nil {
		return
	}
	sv := sn.Services[an.Service]
	if sv == nil {
		return
	}
	slots := sv.Slots
	if an.Slots > 0 {
		slots = an.Slots
	}
	var classes []limit.Class
	for _, cl := range sn.Classes {
		classes = append(classes, limit.Class{Name: cl.Name, Share: cl.Share, Queue: cl.Queue})
	}
	dm.Inlet.Gate.Configure(slots, classes)
	dm.Inlet.SetMaxConns(sv.Connections)
}

// setTarget tells the inlet which backend server is behind it.
func (dm *Daemon) setTarget(sn *snap.Snapshot, an *admin.Announcement) {
	self := dm.Node.Board.Self.Get()
	tg := inlet.Target{VM: self.VM, Process: pick.Process(self)}
	if an != nil {
		tg.Service, tg.Addr = an.Service, an.Address
		if tg.Addr == "" && sn != nil && sn.Services[an.Service] != nil {
			tg.Addr = fmt.Sprintf("127.0.0.1:%d", sn.Services[an.Service].Port)
		}
	}
	dm.Inlet.SetTarget(tg)
}

// setRecord states the backend server to the other daemons, if that changed.
func (dm *Daemon) setRecord(an *admin.Announcement, since time.Time) {
	next := member.Record{State: member.StateAbsent}
	if an != nil {
		next = member.Record{State: member.StateServing, Service: an.Service, Slots: an.Slots, Since: since}
	}
	select {
	case <-dm.drained:
		next.State = member.StateDraining
	default:
	}
	cur := dm.Node.Board.Self.Get()
	if cur.State == member.StateLeft ||
		cur.State == next.State && cur.Service == next.Service && cur.Slots == next.Slots && cur.Since.Equal(next.Since) {
		return
	}
	dm.log.Info("backend-server", slog.String("state", next.State.String()), slog.String("service", next.Service))
	dm.Node.Announce(func(rc *member.Record) {
		rc.State, rc.Service, rc.Slots, rc.Since = next.State, next.Service, next.Slots, next.Since
	})
}
