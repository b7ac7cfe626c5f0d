package canary

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// Order is an operator's order to move a service to another version of its software.
type Order struct {
	Service, Target string
	// Duration is the time within which the rollout has to end.
	Duration time.Duration
	// Abort orders that it ends at once, with the servers of before.
	Abort bool
	// Revision is that of the order in the store.
	Revision store.Revision
}

// State is how far a rollout is.
type State int

// The states.
const (
	InProgress State = iota + 1
	Complete
	RolledBack
)

// String returns the state in words.
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

// Rollout is what is known of the newest rollout of a service. It is not changed once it
// is in a view.
type Rollout struct {
	Order Order
	State State
	// Baseline lists the versions that served before.
	Baseline []string
	// StartedAt is when the order was first seen.
	StartedAt time.Time
	// Stored says that the state is what the store has.
	Stored bool
	// Share is the part of the requests, 0 to 1, that go to servers of the target until
	// Until, and Servers how many of them take requests.
	Share      float64
	Servers    int
	ValidUntil time.Time
	// Seq orders the decisions of one rollout.
	Seq uint64
}

// TTL is how long a decision to send requests to the target holds. A daemon that hears of
// no newer one sends all to the servers of before.
const TTL = 1500 * time.Millisecond

// ShareAt returns the part of the requests that go to servers of the target at a moment.
func (ro *Rollout) ShareAt(now time.Time) float64 {
	if ro.State != InProgress || !now.Before(ro.ValidUntil) {
		return 0
	}
	return ro.Share
}

// compare orders two statements of one service's rollout by how new they are.
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

// View holds the newest rollout of each service. It is never changed: Merge returns another
// one. The nil view has none.
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

// Merge returns the view with a statement in it, and whether that was news.
func (vw *View) Merge(ro *Rollout) (next *View, news bool) {
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

// Cohort is the part that a backend server has in its service's rollout.
type Cohort int

// The cohorts.
const (
	// Baseline servers take requests as if there were no rollout.
	Baseline Cohort = iota
	// Target servers take the share of the requests that the rollout gives them.
	Target
	// Idle servers take none: nobody ordered their version, or it was given up.
	Idle
)

// names reports whether a version has a part in the rollout.
func (ro *Rollout) names(software string) bool {
	return software == ro.Order.Target || slices.Contains(ro.Baseline, software)
}

// CohortOf returns the cohort of servers of a version in a rollout; nil stands for none.
func (ro *Rollout) CohortOf(software string) Cohort {
	if ro == nil || software == "" {
		return Baseline
	}
	if software == ro.Order.Target && len(ro.Baseline) == 0 {
		// All servers had the version when it was ordered.
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
