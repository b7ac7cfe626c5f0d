package pick

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/mono"
)

// HoldBack keeps requests of a rank, and of the ranks below it, from the server until a time, at which
// the server's inlet expects to take one of this outlet's. An earlier time that was set before and
// is not over stays: each refusal gets a turn of its own, and the first one is to be used.
func (ep *Endpoint) HoldBack(rank int, until time.Time) {
	now := mono.Nanos(time.Now())
	for i := rank; i < result.Ranks; i++ {
		held := &ep.live.heldBack[i]
		if old := held.Load(); old <= now {
			// Of two concurrent refusals either may win.
			held.CompareAndSwap(old, mono.Nanos(until))
		}
	}
}

// ReleaseHold ends HoldBack.
func (ep *Endpoint) ReleaseHold() {
	for i := range ep.live.heldBack {
		ep.live.heldBack[i].Store(0)
	}
}

// Exclude keeps all requests from the server for good. It is called if the server says that it is
// leaving, whatever its record says.
func (ep *Endpoint) Exclude() { ep.live.excluded.Store(true) }

// isHeldBack reports whether requests of a rank are kept from the server.
func (ep *Endpoint) isHeldBack(now time.Time, rank int) bool {
	return ep.live.excluded.Load() || ep.live.heldBack[rank].Load() > mono.Nanos(now)
}

// NextTurn returns the time until one of the servers takes a request of a rank again that is only
// held back. It returns 0 if there is no such server.
func (gp *Group) NextTurn(now time.Time, rank int) (wait time.Duration) {
	for _, ep := range gp.all {
		if ep.Ejected(now) || ep.live.excluded.Load() || !ep.isHeldBack(now, rank) {
			continue
		}
		if d := time.Duration(ep.live.heldBack[rank].Load() - mono.Nanos(now)); wait == 0 || d < wait {
			wait = d
		}
	}
	return max(0, wait)
}
