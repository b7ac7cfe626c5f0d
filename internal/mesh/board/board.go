package board

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/plat/store"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
	"github.com/flamingomast/flamingomast/internal/quota/ledger"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// Board holds the shared state of a daemon.
type Board struct {
	// Latest is the newest known configuration. Its digest is verified, but it is not compiled
	// yet. Only Offer writes it.
	Latest Cell[Config]
	// Held is the configuration in force in this daemon.
	Held Cell[snap.Snapshot]
	// InForce is the configuration of which Held is the compiled form.
	InForce Cell[Config]
	// Fallback is the newest version known to have been in force before the newest one was refused,
	// nil unless this daemon needs it.
	Fallback Cell[Config]
	// Refused is the newest version that could not be read or compiled. Only Refuse writes it.
	Refused Cell[Refusal]
	// Floor is the lowest version that this daemon may put in force.
	Floor Cell[Floor]
	// Members holds the membership records of all VMs.
	Members Cell[member.View]
	// Self is the daemon's own record.
	Self Cell[member.Record]
	// Predecessor is what peers know of the predecessor of this daemon process, nil until a peer
	// has answered.
	Predecessor Cell[Predecessor]
	// Links lists the peers that the daemon is connected to, and whether it is a relay.
	Links Cell[Links]
	// Unreachable holds the failure domains that the relay has no link to.
	Unreachable Cell[DomainSet]
	// Platform is the state of the platform's store as last seen by this daemon or reported by
	// one that follows the store.
	Platform Cell[Platform]
	// Epoch is the newest epoch of the platform's store that this daemon or its peers know.
	// Only AdvanceEpoch writes it.
	Epoch Cell[store.Epoch]
	// Rollouts holds the newest rollout of each service.
	Rollouts Cell[canary.View]
	// Outlets is how many outlets the mesh has as far as this daemon knows, nil until that is settled.
	// It is kept up to date while a tenant has a limit.
	Outlets Cell[int]
	// Directive says which tenants exceed their limits.
	Directive Cell[admit.Directive]
	// TenantUse is what tenants use of their limits, nil unless this daemon counts for others.
	TenantUse Cell[TenantUse]
	// Poison holds the requests during which backend servers crashed.
	Poison Cell[poison.View]
	// Replaced is the record of another process that has taken over this VM's name.
	Replaced Cell[member.Record]
}

// Predecessor is what peers know of the daemon process of the VM that ran before this one.
type Predecessor struct {
	// Departure is the zero value as long as no peer knows of a departure.
	member.Departure
	// Peers lists the peers that have answered.
	Peers []string
}

// TenantUse is what tenants use of their limits, as reported by some of all outlets.
type TenantUse struct {
	Reporting, Outlets int
	Uses               []ledger.Use
}

// Config is a version of the configuration with its full content.
type Config struct {
	Version uint64
	Content *pack.Content
}

// Refusal is a version that this release cannot compile, and the reason.
type Refusal struct {
	Version uint64
	Reason  string
}

// Floor is the lowest version that a daemon may put in force. A process that replaces another
// must not use an older version than that one did. So no version is installed until the floor
// is settled, either by peers or by proof that there are none.
type Floor struct {
	// Version is the newest version that the predecessor may have held: one that peers or the store
	// know.
	Version uint64
	// Held is the newest version that the predecessor is known to have held. It is the floor if this
	// daemon refuses Version, as its predecessor did.
	Held    uint64
	Settled bool
}

// lowest returns the lowest version that may be put in force while rf is the newest refusal, if any.
func (fl *Floor) lowest(rf *Refusal) uint64 {
	if rf != nil && rf.Version >= fl.Version {
		return fl.Held
	}
	return fl.Version
}

// Links lists the peers that a daemon is connected to, and whether it is a relay.
type Links struct {
	Relay bool
	Peers []string
}

// DomainSet is a set of failure domains.
type DomainSet map[string]bool

// Platform is the state of the platform's store: the version it shows, the error of the last
// request, and since when this has been so.
type Platform struct {
	Version uint64
	Err     error
	Since   time.Time
	// Behind is set while the platform shows an older version than the one in force, because
	// its store was reset to an earlier state.
	Behind bool
}

// Offer stores a configuration if it is newer than the latest one, and reports whether it did.
// It is the only writer of Latest, so Latest never decreases, in whatever order configurations
// arrive.
func (bd *Board) Offer(cfg *Config) bool {
	accepted := false
	bd.Latest.Update(func(cur *Config) *Config {
		if cur != nil && cfg.Version <= cur.Version {
			return cur
		}
		accepted = true
		return cfg
	})
	return accepted
}

// RaiseFloor raises the floor to at least version. settle means that no peer is left to ask that
// may know a higher one.
func (bd *Board) RaiseFloor(version uint64, settle bool) {
	bd.raiseFloor(Floor{Version: version, Settled: settle})
}

// RaiseHeldFloor is like RaiseFloor for a version that the predecessor is known to have held.
func (bd *Board) RaiseHeldFloor(version uint64, settle bool) {
	bd.raiseFloor(Floor{Version: version, Held: version, Settled: settle})
}

func (bd *Board) raiseFloor(next Floor) {
	bd.Floor.Update(func(cur *Floor) *Floor {
		if cur == nil {
			return &next
		}
		fl := Floor{Version: max(cur.Version, next.Version), Held: max(cur.Held, next.Held), Settled: cur.Settled || next.Settled}
		if fl == *cur {
			return cur
		}
		return &fl
	})
}

// Refuse records a refusal unless a newer version is known to be refused.
func (bd *Board) Refuse(rf *Refusal) {
	bd.Refused.Update(func(cur *Refusal) *Refusal {
		if cur != nil && (cur.Version > rf.Version || *cur == *rf) {
			return cur
		}
		return rf
	})
}

// RefusedVersion returns the newest refused version if it is newer than the one in force, otherwise 0.
func (bd *Board) RefusedVersion() uint64 {
	if rf := bd.Refused.Get(); rf != nil && rf.Version > bd.HeldVersion() {
		return rf.Version
	}
	return 0
}

// MayInstall reports whether the floor is settled and a version not below it.
func (bd *Board) MayInstall(version uint64) bool {
	fl := bd.Floor.Get()
	return fl != nil && fl.Settled && version >= fl.lowest(bd.Refused.Get())
}

// Install puts sn in force if the floor is settled, sn is not below it, and sn is newer than the
// configuration in force, and reports whether it did. It is the only writer of Held.
func (bd *Board) Install(sn *snap.Snapshot) bool {
	if !bd.MayInstall(sn.Version) {
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

// AdvanceEpoch stores an epoch of the platform's store if it is newer than the known one. It
// reports whether it was, and whether an earlier epoch was known.
func (bd *Board) AdvanceEpoch(ep store.Epoch) (advanced, hadEarlier bool) {
	bd.Epoch.Update(func(cur *store.Epoch) *store.Epoch {
		if advanced = ep > 0 && (cur == nil || ep > *cur); !advanced {
			return cur
		}
		hadEarlier = cur != nil
		return &ep
	})
	return advanced, hadEarlier
}

// KnownEpoch returns the newest known epoch, or 0 if there is none.
func (bd *Board) KnownEpoch() store.Epoch {
	if ep := bd.Epoch.Get(); ep != nil {
		return *ep
	}
	return 0
}

// HeldVersion returns the version in force, or 0 if there is none.
func (bd *Board) HeldVersion() uint64 {
	if sn := bd.Held.Get(); sn != nil {
		return sn.Version
	}
	return 0
}

// LatestVersion returns the newest known version, or 0 if there is none.
func (bd *Board) LatestVersion() uint64 {
	if cfg := bd.Latest.Get(); cfg != nil {
		return cfg.Version
	}
	return 0
}
