package daemon

import (
	"context"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// gather bounds how often the routing table is built while records pour in.
const gather = 20 * time.Millisecond

// The number of outlets that a process reckons with while it does not know them yet:
// each takes its part of what the fleet may do, and a herd that starts at once would
// take the whole for each of its processes.
const (
	// membersKnown is the time after which a process knows all members, also of a herd
	// that comes back at once.
	membersKnown = 5 * time.Second
	// unknownOutlets is above the number of VMs of a large fleet.
	unknownOutlets = 1000
)

// runRouting builds the outlet's table from the configuration in force, the
// members and the failure domains that are cut off.
func (dm *Daemon) runRouting(ctx context.Context) {
	bd := dm.Node.Board
	known := time.After(membersKnown)
	young := true
	var admission canary.Admission
	for {
		sn, held := bd.Held.Watch()
		vw, members := bd.Members.Watch()
		cut, reach := bd.Unreachable.Watch()
		rollouts, rolled := bd.Rollouts.Watch()
		var again <-chan time.Time
		if sn != nil {
			now := time.Now()
			fl := pick.Fleet{Members: vw, Cut: cut, Self: dm.se.VM, Rollouts: rollouts, Admission: &admission, Now: now}
			tb := pick.Build(sn, fl, dm.Outlet.Table())
			if !tb.RebuildAt.IsZero() {
				again = time.After(tb.RebuildAt.Sub(now))
			}
			if young {
				tb.Outlets = max(tb.Outlets, unknownOutlets)
			}
			dm.Outlet.SetTable(tb)
		}
		select {
		case <-ctx.Done():
			return
		case <-known:
			young = false
			continue
		case <-held:
			continue
		case <-members:
		case <-reach:
		case <-rolled:
			continue
		case <-again:
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(gather):
		}
	}
}
