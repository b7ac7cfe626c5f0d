package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/mesh/ctrl"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/node/admin"
	"github.com/flamingomast/flamingomast/internal/node/server"
	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/pick"
)

// local is what is known of the VM's own backend server.
type local struct {
	mu sync.Mutex
	tr server.Tracker
	// recalled is set once it is known what a former process acknowledged;
	// until then requests are refused.
	recalled bool
	// known is closed once recalled is set.
	known chan struct{}
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

// watch returns the state of the server and a channel that is closed at the
// next change.
func (lo *local) watch(now time.Time) (server.Status, <-chan struct{}) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if lo.kick == nil {
		lo.kick = make(chan struct{})
	}
	if !lo.recalled {
		return server.Status{}, lo.kick
	}
	return lo.tr.Status(now), lo.kick
}

// update changes the tracker and lets runLocal look again.
func (lo *local) update(fn func(*server.Tracker)) {
	lo.mu.Lock()
	fn(&lo.tr)
	lo.mu.Unlock()
	lo.poke()
}

// announce takes an announcement of the backend server. A server of another
// service than the inventory has for this VM would get no requests. The answer
// acknowledges it, so a drain is in force and written down when it returns.
func (dm *Daemon) announce(ctx context.Context, an admin.Announcement) error {
	if err := dm.checkAnnouncement(an); err != nil {
		dm.announcementRefused(an.Lifetime, err)
		return err
	}
	var was, is server.Status
	now := time.Now()
	taken := false
	dm.local.update(func(tr *server.Tracker) {
		was = tr.Status(now)
		taken = tr.Announce(an, now)
		is = tr.Status(now)
	})
	if !taken {
		dm.log.Info("announcement-late", slog.String("lifetime", an.Lifetime), slog.Uint64("number", an.Number),
			slog.String("state", an.State), slog.Int64("started", an.StartedMs), slog.String("present", is.Lifetime()),
			slog.Int64("present-started", is.StartedMs()))
	}
	if taken && is.Lifetime() != "" && was.SameStart(is) {
		dm.Inlet.ServerAnnounced()
	}
	if is.Leaving && !(was.Leaving && was.SameStart(is)) {
		dm.recordLeaving(ctx, member.Departure{Lifetime: is.Lifetime(), StartedMs: is.StartedMs(), Number: an.Number})
	}
	return nil
}

// checkAnnouncement returns what is wrong with an announcement by the configuration that
// is held. One that names a service which there is not comes from something else than a
// backend server of this VM, and must not displace the one that serves.
func (dm *Daemon) checkAnnouncement(an admin.Announcement) error {
	sn := dm.Node.Board.Held.Get()
	if sn == nil {
		return nil
	}
	if len(sn.VMs) == 0 {
		if sn.Services[an.Service] == nil && an.Service != dm.se.Service {
			return fmt.Errorf("version %d of the configuration has no service %q", sn.Version, an.Service)
		}
		return nil
	}
	vm, ok := sn.VMs[dm.se.VM]
	switch {
	case !ok:
		return fmt.Errorf("version %d of the inventory has no VM %q; declare it first", sn.Version, dm.se.VM)
	case vm.Service != an.Service:
		return fmt.Errorf("version %d of the inventory says that VM %q runs %q, not %q", sn.Version, dm.se.VM, vm.Service, an.Service)
	case vm.Domain != dm.se.Domain:
		return fmt.Errorf("version %d of the inventory has VM %q in failure domain %q, this daemon is in %q", sn.Version, dm.se.VM, vm.Domain, dm.se.Domain)
	}
	return nil
}

// announcementRefused logs an announcement that names no backend server.
func (dm *Daemon) announcementRefused(lifetime string, err error) {
	dm.log.Warn("announcement-refused", slog.String("lifetime", lifetime), slog.Any("error", err))
}

// withdraw takes the backend server out.
func (dm *Daemon) withdraw(ctx context.Context, wd admin.Withdrawal) {
	now := time.Now()
	var left member.Departure
	dm.local.update(func(tr *server.Tracker) {
		tr.Withdraw(wd, now)
		left = tr.Left()
	})
	dm.log.Info("server-withdrawn", slog.String("lifetime", wd.Lifetime), slog.Int64("started", wd.StartedMs))
	if wd.Lifetime != "" && left.Lifetime == wd.Lifetime && (wd.StartedMs == 0 || wd.StartedMs == left.StartedMs) {
		dm.recordLeaving(ctx, left)
	}
}

// lost takes the backend server out when it accepts no connection, until it
// announces itself again.
func (dm *Daemon) lost() {
	dm.log.Warn("backend-server-unreachable")
	now := time.Now()
	dm.local.update(func(tr *server.Tracker) { tr.Lost(now) })
}

// runLocal keeps the inlet and the daemon's record as the backend server, the
// configuration and the drain say.
func (dm *Daemon) runLocal(ctx context.Context) {
	for {
		now := time.Now()
		st, changed := dm.local.watch(now)
		_, self := dm.Node.Board.Self.Watch()
		sn, held := dm.Node.Board.Held.Watch()
		dm.setGate(sn, st)
		dm.setRecord(st)
		dm.setTarget(sn, st.Announcement)
		left := time.Hour
		if st.Announcement != nil {
			left = st.Until.Sub(now)
		}
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

// setGate gives the inlet its slots, classes and connections, and closes it for
// a server that leaves.
func (dm *Daemon) setGate(sn *snap.Snapshot, st server.Status) {
	if st.Leaving {
		dm.Inlet.Gate.Drain()
		return
	}
	an := st.Announcement
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
	if !dm.closing.Load() {
		dm.Inlet.Gate.Resume()
	}
}

// setTarget tells the inlet which backend server is behind it.
func (dm *Daemon) setTarget(sn *snap.Snapshot, an *admin.Announcement) {
	self := dm.Node.Board.Self.Get()
	tg := inlet.Target{VM: self.VM, Process: pick.Process(self)}
	if an != nil {
		tg.Service, tg.Addr, tg.Lifetime, tg.StartedMs = an.Service, an.Address, an.Lifetime, an.StartedMs
		tg.ColdUntil = self.ColdUntil
		if tg.Addr == "" && sn != nil && sn.Services[an.Service] != nil {
			tg.Addr = fmt.Sprintf("127.0.0.1:%d", sn.Services[an.Service].Port)
		}
	}
	dm.Inlet.SetTarget(tg)
}

// setRecord states the backend server to the other daemons, if that changed.
func (dm *Daemon) setRecord(st server.Status) {
	next := member.Record{State: member.StateAbsent}
	if an := st.Announcement; an != nil {
		next = member.Record{
			State: member.StateServing, Service: an.Service, Slots: an.Slots, Since: st.Since, Lifetime: an.Lifetime,
			Software: an.Software,
		}
		if an.ColdMs > 0 {
			// To a tenth of a second: each change is told to all daemons, and the
			// end of the cold time moves a little with each announcement.
			next.ColdUntil = st.Since.Add(time.Duration(an.ColdMs) * time.Millisecond).Round(100 * time.Millisecond)
		}
	}
	if st.Leaving {
		next.State = member.StateDraining
	}
	dm.local.mu.Lock()
	next.Leaving = dm.local.tr.Left()
	dm.local.mu.Unlock()
	select {
	case <-dm.drained:
		next.State = member.StateDraining
	default:
	}
	cur := dm.Node.Board.Self.Get()
	if cur.State == member.StateLeft ||
		cur.State == next.State && cur.Service == next.Service && cur.Slots == next.Slots && cur.Since.Equal(next.Since) &&
			cur.Lifetime == next.Lifetime && cur.Leaving == next.Leaving && cur.Software == next.Software {
		return
	}
	dm.log.Info("backend-server", slog.String("state", next.State.String()), slog.String("service", next.Service),
		slog.String("lifetime", next.Lifetime), slog.String("software", next.Software))
	dm.Node.Announce(func(rc *member.Record) {
		rc.State, rc.Service, rc.Slots, rc.Since = next.State, next.Service, next.Slots, next.Since
		rc.Lifetime, rc.Leaving, rc.ColdUntil, rc.Software = next.Lifetime, next.Leaving, next.ColdUntil, next.Software
	})
}

// counts returns what the VM's own backend server did.
func (dm *Daemon) counts() ctrl.Counts {
	self := dm.Node.Board.Self.Get()
	if self.State == member.StateAbsent {
		return ctrl.Counts{}
	}
	return ctrl.Counts{Service: self.Service, Software: self.Software, Cohort: dm.Inlet.Counts()}
}
