package daemon

import (
	"context"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// rebuildDelay bounds how often the routing table is built while records pour in.
const rebuildDelay = 20 * time.Millisecond

// The number of outlets that a process reckons with while it does not know them yet:
// each takes its part of what the fleet may do, and a herd that starts at once would
// take the whole for each of its processes.
const (
	// membershipSettleTime is the time after which a process knows all members, also of a herd
	// that comes back at once.
	membershipSettleTime = 5 * time.Second
	// assumedOutlets is above the number of VMs of a large fleet.
	assumedOutlets = 1000
)

// runRouting builds the outlet's table from the configuration in force, the
// members and the failure domains that are cut off.
func (dm *Daemon) runRouting(ctx context.Context) {
	bd := dm.Node.Board
	settled := time.After(membershipSettleTime)
	settling := true
	var admission canary.Admission
	for {
		sn, heldChanged := bd.Held.Watch()
		vw, membersChanged := bd.Members.Watch()
		unreachable, unreachableChanged := bd.Cut.Watch()
		rollouts, rolloutsChanged := bd.Rollouts.Watch()
		var rebuild <-chan time.Time
		if sn != nil {
			now := time.Now()
			fl := pick.Fleet{Members: vw, Cut: unreachable, Self: dm.se.VM, Rollouts: rollouts, Admission: &admission, Now: now}
			tb := pick.Build(sn, fl, dm.Outlet.Table())
			if !tb.Next.IsZero() {
				rebuild = time.After(tb.Next.Sub(now))
			}
			if settling {
				tb.Outlets = max(tb.Outlets, assumedOutlets)
			}
			dm.Outlet.SetTable(tb)
		}
		select {
		case <-ctx.Done():
			return
		case <-settled:
			settling = false
			continue
		case <-heldChanged:
			continue
		case <-membersChanged:
		case <-unreachableChanged:
		case <-rolloutsChanged:
			continue
		case <-rebuild:
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rebuildDelay):
		}
	}
}
