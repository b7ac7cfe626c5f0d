package daemon

import (
	"context"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// rebuildDelay bounds how often the routing table is rebuilt while many member records arrive.
const rebuildDelay = 20 * time.Millisecond

// Each outlet takes its share of what the whole fleet may do. A process that does not know the
// other outlets yet assumes a large number of them: when many daemons start at once, each of them
// would otherwise take the whole.
const (
	// membershipSettleTime is the time after which a process knows all members, even when a whole
	// fleet restarts at once.
	membershipSettleTime = 5 * time.Second
	// assumedOutlets exceeds the number of VMs in a large fleet.
	assumedOutlets = 1000
)

// runRouting builds the outlet's routing table from the configuration in force, the members, the
// rollouts and the unreachable failure domains.
func (dm *Daemon) runRouting(ctx context.Context) {
	bd := dm.Node.Board
	settled := time.After(membershipSettleTime)
	settling := true
	var admission canary.Admission
	for {
		sn, heldChanged := bd.Held.Watch()
		vw, membersChanged := bd.Members.Watch()
		unreachable, unreachableChanged := bd.Unreachable.Watch()
		rollouts, rolloutsChanged := bd.Rollouts.Watch()
		var rebuild <-chan time.Time
		if sn != nil {
			now := time.Now()
			fl := pick.Fleet{Members: vw, Unreachable: unreachable, Self: dm.se.VM, Rollouts: rollouts, Admission: &admission, Now: now}
			tb := pick.Build(sn, fl, dm.Outlet.Table())
			if !tb.RebuildAt.IsZero() {
				rebuild = time.After(tb.RebuildAt.Sub(now))
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
