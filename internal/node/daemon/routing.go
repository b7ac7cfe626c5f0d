package daemon

import (
	"context"
	"time"

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
			dm.Outlet.SetTable(pick.Build(sn, vw, cut, dm.se.VM, dm.Outlet.Table()))
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
