package board

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/plat/store"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// Board holds what a daemon knows.
type Board struct {
	// Latest is the newest configuration known, compared with its digest but
	// not yet compiled. Only Offer writes it.
	Latest Cell[Config]
	// Held is the configuration in force here.
	Held Cell[snap.Snapshot]
	// Refused is the newest version that could not be compiled.
	Refused Cell[Refusal]
	// Floor is the lowest version that may be held, and whether it is known.
	Floor Cell[Floor]
	// Members holds all records.
	Members Cell[member.View]
	// Self is the daemon's own record.
	Self Cell[member.Record]
	// Predecessor is what peers keep of the VM's former process; nil until a peer
	// has answered.
	Predecessor Cell[Predecessor]
	// Links says whom the daemon is connected to, and whether it is a relay.
	Links Cell[Links]
	// Unreachable holds the failure domains that the relay has no link to.
	Unreachable Cell[DomainSet]
	// Platform says how the platform last answered.
	Platform Cell[Platform]
	// Epoch is the newest epoch of the platform's store that is known here or at peers.
	// Only AdvanceEpoch writes it.
	Epoch Cell[store.Epoch]
	// Rollouts has the newest rollout of each service.
	Rollouts Cell[canary.View]
	// Poison has the requests that backend servers ended under.
	Poison Cell[poison.View]
	// Replaced is set once another process has taken over this VM's name.
	Replaced Cell[member.Record]
}

// Predecessor is what peers keep of a VM's former process.
type Predecessor struct {
	// Leaver is empty as long as none of them knows of one.
	member.Departure
	// Peers names those that have answered.
	Peers []string
}

// Config is a version with its whole content.
type Config struct {
	Version uint64
	Content *pack.Content
}

// Refusal is a version that this release cannot hold, and why.
type Refusal struct {
	Version uint64
	Reason  string
}

// Floor bounds from below what a daemon may hold. A process that replaces
// another must not hold an older version than that one did, so none is taken
// before peers or their proven absence have settled what that was.
type Floor struct {
	Version uint64
	Settled bool
}

// Links names the peers that a daemon is connected to.
type Links struct {
	Relay bool
	Peers []string
}

// DomainSet is a set of failure domains.
type DomainSet map[string]bool

// Platform says how the platform last answered.
type Platform struct {
	Version uint64
	Err     error
	Since   time.Time
	// Behind is set while the platform shows an older version than is held:
	// it was set back.
	Behind bool
}

// Offer takes a configuration if it is newer than the latest known. It is the
// only writer of Latest, so Latest never goes back, in whatever order offers
// come. It reports whether the offer was taken.
func (bd *Board) Offer(cfg *Config) bool {
	taken := false
	bd.Latest.Update(func(cur *Config) *Config {
		if cur != nil && cfg.Version <= cur.Version {
			return cur
		}
		taken = true
		return cfg
	})
	return taken
}

// RaiseFloor raises the floor to at least version; settle says that nobody is
// left to ask who may know a higher one.
func (bd *Board) RaiseFloor(version uint64, settle bool) {
	bd.Floor.Update(func(cur *Floor) *Floor {
		next := Floor{Version: version, Settled: settle}
		if cur != nil {
			next.Version = max(cur.Version, version)
			next.Settled = cur.Settled || settle
			if next == *cur {
				return cur
			}
		}
		return &next
	})
}

// Install makes sn the configuration in force if it is newer than the one held
// and not below the floor, and reports whether it did. It is the only writer of
// Held.
func (bd *Board) Install(sn *snap.Snapshot) bool {
	fl := bd.Floor.Get()
	if fl == nil || !fl.Settled || sn.Version < fl.Version {
		return false
	}
	installed := false
	bd.Held.Update(func(cur *snap.Snapshot) *snap.Snapshot {
		if cur != nil && sn.Version <= cur.Version {
			return cur
		}
		installed = true
		return sn
	})
	return installed
}

// AdvanceEpoch takes an epoch of the platform's store if it is newer than the one known. It
// reports whether it was, and whether an earlier one was known.
func (bd *Board) AdvanceEpoch(ep store.Epoch) (entered, again bool) {
	bd.Epoch.Update(func(cur *store.Epoch) *store.Epoch {
		if entered = ep > 0 && (cur == nil || ep > *cur); !entered {
			return cur
		}
		again = cur != nil
		return &ep
	})
	return entered, again
}

// KnownEpoch returns the newest epoch known, 0 for none.
func (bd *Board) KnownEpoch() store.Epoch {
	if ep := bd.Epoch.Get(); ep != nil {
		return *ep
	}
	return 0
}

// HeldVersion returns the version in force, 0 for none.
func (bd *Board) HeldVersion() uint64 {
	if sn := bd.Held.Get(); sn != nil {
		return sn.Version
	}
	return 0
}

// LatestVersion returns the newest version known, 0 for none.
func (bd *Board) LatestVersion() uint64 {
	if cfg := bd.Latest.Get(); cfg != nil {
		return cfg.Version
	}
	return 0
}
