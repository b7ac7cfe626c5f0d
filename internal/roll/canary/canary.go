package canary

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// Order is an operator's order to roll out another version of a service's software.
type Order struct {
	Service, Target string
	// Duration is the time within which the rollout has to end.
	Duration time.Duration
	// Abort ends the rollout at once; the baseline serves again.
	Abort bool
	// Revision is the revision of the order in the store.
	Revision store.Revision
}

// State is the state of a rollout.
type State int

// The states.
const (
	InProgress State = iota + 1
	Complete
	RolledBack
)

// String returns the name of the state.
func (st State) String() string {
	switch st {
	case InProgress:
		return "in-progress"
	case Complete:
		return "complete"
	case RolledBack:
		return "rolled-back"
	}
	return "unknown"
}

// Final reports whether the rollout has ended.
func (st State) Final() bool { return st == Complete || st == RolledBack }

// Rollout is the newest known rollout of a service. It is immutable once it is in a view.
type Rollout struct {
	Order Order
	State State
	// Baseline lists the versions that served before the rollout.
	Baseline []string
	// StartedAt is when the order was first seen.
	StartedAt time.Time
	// Stored is set if State is the state in the store.
	Stored bool
	// Share is the share of the requests, 0 to 1, that goes to servers of the target until
	// ValidUntil, and Servers how many of these take requests.
	Share      float64
	Servers    int
	ValidUntil time.Time
	// Seq orders the decisions of one rollout.
	Seq uint64
}

// TTL is how long a decision to send requests to the target is valid. A daemon that receives no
// newer one sends all requests to the baseline.
const TTL = 1500 * time.Millisecond

// ShareAt returns the share of the requests that goes to servers of the target at a time.
func (ro *Rollout) ShareAt(now time.Time) float64 {
	if ro.State != InProgress || !now.Before(ro.ValidUntil) {
		return 0
	}
	return ro.Share
}

// compare orders two states of one service's rollout by how new they are.
func compare(a, b *Rollout) int {
	ra, rb := a.Order.Revision, b.Order.Revision
	return cmp.Or(
		cmp.Compare(ra.Epoch, rb.Epoch),
		cmp.Compare(ra.Number, rb.Number),
		compareBool(a.State.Final() && a.Stored, b.State.Final() && b.Stored),
		compareBool(a.State.Final(), b.State.Final()),
		cmp.Compare(a.Seq, b.Seq),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// View holds the newest rollout of each service. It is immutable: Merge returns a new one. The nil
// view is empty.
type View struct {
	rollouts map[string]*Rollout
}

// Get returns the newest rollout of a service, nil for none.
func (vw *View) Get(service string) *Rollout {
	if vw == nil {
		return nil
	}
	return vw.rollouts[service]
}

// All returns the rollouts of all services, sorted by service.
func (vw *View) All() []*Rollout {
	if vw == nil {
		return nil
	}
	var list []*Rollout
	for _, ro := range vw.rollouts {
		list = append(list, ro)
	}
	slices.SortFunc(list, func(a, b *Rollout) int { return cmp.Compare(a.Order.Service, b.Order.Service) })
	return list
}

// Active reports whether any rollout is in progress.
func (vw *View) Active() bool {
	return slices.ContainsFunc(vw.All(), func(ro *Rollout) bool { return ro.State == InProgress })
}

// maxServices bounds the services whose rollouts are kept.
const maxServices = 1024

// Merge returns the view with a rollout merged in, and whether that changed the view.
func (vw *View) Merge(ro *Rollout) (next *View, changed bool) {
	cur := vw.Get(ro.Order.Service)
	if cur != nil && compare(ro, cur) <= 0 || vw != nil && cur == nil && len(vw.rollouts) >= maxServices {
		return vw, false
	}
	next = &View{rollouts: map[string]*Rollout{}}
	for _, one := range vw.All() {
		next.rollouts[one.Order.Service] = one
	}
	next.rollouts[ro.Order.Service] = ro
	return next, true
}

// Cohort is the role of a backend server in its service's rollout.
type Cohort int

// The cohorts.
const (
	// Baseline servers take requests as they would without a rollout.
	Baseline Cohort = iota
	// Target servers take the share of the requests that the rollout gives them.
	Target
	// Idle servers take no requests: their version has no rollout order, was rolled back or was
	// replaced.
	Idle
)

// includes reports whether a version is the target or in the baseline of the rollout.
func (ro *Rollout) includes(software string) bool {
	return software == ro.Order.Target || slices.Contains(ro.Baseline, software)
}

// CohortOf returns the cohort of servers of a version in a rollout; nil stands for no rollout.
func (ro *Rollout) CohortOf(software string) Cohort {
	if ro == nil || software == "" {
		return Baseline
	}
	if software == ro.Order.Target && len(ro.Baseline) == 0 {
		// All servers already had the version when the rollout was ordered.
		return Baseline
	}
	switch {
	case software == ro.Order.Target && ro.State == InProgress:
		return Target
	case software == ro.Order.Target && ro.State == Complete:
		return Baseline
	case software == ro.Order.Target, ro.State == Complete:
		return Idle
	case len(ro.Baseline) == 0 || slices.Contains(ro.Baseline, software):
		return Baseline
	}
	return Idle
}
