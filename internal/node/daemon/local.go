package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
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

// localServer is the state of the VM's own backend server.
type localServer struct {
	mu      sync.Mutex
	tracker server.Tracker
	// recovered is set once the state that the predecessor acknowledged is recovered, or the time
	// for that is over. Until then requests are refused.
	recovered bool
	// recoveryDone is closed once recovered is set.
	recoveryDone chan struct{}
	changed      chan struct{}
}

// notify wakes runLocalServer.
func (ls *localServer) notify() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.changed != nil {
		close(ls.changed)
		ls.changed = nil
	}
}

// watch returns the state of the server and a channel that is closed at the
// next change.
func (ls *localServer) watch(now time.Time) (server.Status, <-chan struct{}) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.changed == nil {
		ls.changed = make(chan struct{})
	}
	if !ls.recovered {
		return server.Status{}, ls.changed
	}
	return ls.tracker.Status(now), ls.changed
}

// update changes the tracker and wakes runLocalServer.
func (ls *localServer) update(fn func(*server.Tracker)) {
	ls.mu.Lock()
	fn(&ls.tracker)
	ls.mu.Unlock()
	ls.notify()
}

// announce handles an announcement of the backend server, and returns why it is refused: a server
// of a service other than the one declared for this VM would get no requests. The response
// acknowledges the announcement, so a drain takes effect, and is stored if the store answers in
// time, before announce returns.
func (dm *Daemon) announce(ctx context.Context, an admin.Announcement) error {
	if err := dm.checkAnnouncement(an); err != nil {
		dm.announcementRefused(an.Lifetime, err)
		return err
	}
	var was, is server.Status
	now := time.Now()
	accepted := false
	dm.local.update(func(tr *server.Tracker) {
		was = tr.Status(now)
		accepted = tr.Announce(an, now)
		is = tr.Status(now)
	})
	if !accepted {
		dm.log.Info("announcement-late", slog.String("lifetime", an.Lifetime), slog.Uint64("number", an.Number),
			slog.String("state", an.State), slog.Int64("started", an.StartedMs), slog.String("present", is.Lifetime()),
			slog.Int64("present-started", is.StartedMs()))
	}
	if accepted && is.Lifetime() != "" && was.SameInstance(is) {
		dm.Inlet.ServerAnnounced()
	}
	if is.Leaving && !(was.Leaving && was.SameInstance(is)) {
		dm.recordDeparture(ctx, member.Departure{Lifetime: is.Lifetime(), StartedMs: is.StartedMs(), Number: an.Number})
	}
	return nil
}

// checkAnnouncement checks an announcement against the configuration in force. One that names an
// unknown service was not sent by a backend server of this VM, and must not displace the one that
// serves.
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

// announcementRefused logs an announcement that was refused.
func (dm *Daemon) announcementRefused(lifetime string, err error) {
	dm.log.Warn("announcement-refused", slog.String("lifetime", lifetime), slog.Any("error", err))
}

// withdraw removes the backend server.
func (dm *Daemon) withdraw(ctx context.Context, wd admin.Withdrawal) {
	now := time.Now()
	var de member.Departure
	dm.local.update(func(tr *server.Tracker) {
		tr.Withdraw(wd, now)
		de = tr.LastDeparture()
	})
	dm.log.Info("server-withdrawn", slog.String("lifetime", wd.Lifetime), slog.Int64("started", wd.StartedMs))
	if wd.Lifetime != "" && de.Lifetime == wd.Lifetime && (wd.StartedMs == 0 || wd.StartedMs == de.StartedMs) {
		dm.recordDeparture(ctx, de)
	}
}

// serverUnreachable removes the backend server, which does not accept connections, until it
// announces itself again.
func (dm *Daemon) serverUnreachable() {
	dm.log.Warn("backend-server-unreachable")
	now := time.Now()
	dm.local.update(func(tr *server.Tracker) { tr.MarkUnreachable(now) })
}

// serverLeaving handles a response of the backend server that says that it is leaving, as if it had
// announced that: it may go on announcing that it serves.
func (dm *Daemon) serverLeaving(tg inlet.Target) {
	now := time.Now()
	var st server.Status
	var de member.Departure
	dm.local.update(func(tr *server.Tracker) {
		tr.MarkLeaving(member.Departure{Lifetime: tg.Lifetime, StartedMs: tg.StartedMs}, now)
		st, de = tr.Status(now), tr.LastDeparture()
	})
	if st.Leaving {
		dm.startDeparture(de)
	}
}

// runLocalServer applies changes of the backend server's state, of the configuration and of the
// drain to the inlet and to the daemon's record.
func (dm *Daemon) runLocalServer(ctx context.Context) {
	for {
		now := time.Now()
		st, changed := dm.local.watch(now)
		_, selfChanged := dm.Node.Board.Self.Watch()
		sn, heldChanged := dm.Node.Board.Held.Watch()
		dm.configureLimiter(sn, st)
		dm.setRecord(st)
		dm.setTarget(sn, st.Announcement)
		wait := time.Hour
		if st.Announcement != nil {
			wait = st.ExpiresAt.Sub(now)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-selfChanged:
		case <-heldChanged:
		case <-time.After(wait):
		}
	}
}

// configureLimiter sets the inlet's slots, classes and connection limit, and drains it if the
// server is leaving.
func (dm *Daemon) configureLimiter(sn *snap.Snapshot, st server.Status) {
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
	if !dm.inletClosed.Load() {
		dm.Inlet.Gate.Resume()
	}
}

// setTarget sets the backend server that the inlet forwards to.
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

// setRecord publishes the state of the backend server to the other daemons if it has changed.
func (dm *Daemon) setRecord(st server.Status) {
	next := member.Record{State: member.StateAbsent}
	if an := st.Announcement; an != nil {
		next = member.Record{
			State: member.StateServing, Service: an.Service, Slots: an.Slots, Since: st.Since, Lifetime: an.Lifetime,
			Software: an.Software,
		}
		if an.ColdMs > 0 {
			// Rounded to 100 ms: each change is sent to all daemons, and the end of the slow start
			// shifts a little with each announcement.
			next.ColdUntil = st.Since.Add(time.Duration(an.ColdMs) * time.Millisecond).Round(100 * time.Millisecond)
		}
	}
	if st.Leaving {
		next.State = member.StateDraining
	}
	dm.local.mu.Lock()
	next.Leaving = dm.local.tracker.LastDeparture()
	dm.local.mu.Unlock()
	select {
	case <-dm.draining:
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

// isServer reports whether a connection with a remote address (host:port) comes from the VM's own
// backend server.
func (dm *Daemon) isServer(remoteAddr string) bool {
	if dm.se.ServerSource == "" {
		return false
	}
	host, _, err := net.SplitHostPort(remoteAddr)
	return err == nil && host == dm.se.ServerSource
}

// counts returns the request counts of the VM's own backend server.
func (dm *Daemon) counts() ctrl.Counts {
	self := dm.Node.Board.Self.Get()
	if self.State == member.StateAbsent {
		return ctrl.Counts{}
	}
	return ctrl.Counts{Service: self.Service, Software: self.Software, Cohort: dm.Inlet.Counts()}
}
