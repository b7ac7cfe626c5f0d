package follow

import (
	"slices"
	"time"
)

const (
	// FollowerCount is how many relays follow the store at a time. Each reads every
	// version whole, so that more of them load the store. With two, one may be killed or
	// cut off without any delay.
	FollowerCount = 2
	// WatchTimeout is how long a watch of the store waits. A store that has fallen silent for
	// one who follows it is noticed after as long and some slack.
	WatchTimeout = time.Second
	// AnnounceInterval is how often one who follows says so. That it no longer does is said at
	// once, and a link to it that breaks tells as much.
	AnnounceInterval = 3 * time.Second
	// Fresh is for how long such word counts, which comes over two links with the next
	// packet of each, a second later at most. It is for those who fell silent without
	// a link that broke.
	Fresh = AnnounceInterval + 2500*time.Millisecond
	// rounding is by how much the same answer seems to come later over other links, as
	// each rounds its age.
	rounding = 200 * time.Millisecond
	// step is how long one who could stand in leaves it to the next before it: a read
	// of a large version, and the way of the news.
	step = 150 * time.Millisecond
)

// Followers is when the store last answered each daemon that follows it, as far as it is
// known here. The zero value knows of none.
type Followers struct {
	at map[string]time.Time
}

// RecordAnswer notes that the store answered a daemon, and reports whether that is news.
func (he *Followers) RecordAnswer(vm string, at time.Time) bool {
	if he.at == nil {
		he.at = map[string]time.Time{}
	}
	if last, ok := he.at[vm]; ok && at.Sub(last) < rounding {
		return false
	}
	he.at[vm] = at
	return true
}

// RecordLoss notes that the store no longer answers a daemon, unless it did so after the time
// given. It reports whether that is news.
func (he *Followers) RecordLoss(vm string, at time.Time) bool {
	last, ok := he.at[vm]
	if !ok || last.After(at) {
		return false
	}
	delete(he.at, vm)
	return true
}

// fresh reports whether a daemon follows the store.
func (he *Followers) fresh(vm string, now time.Time) bool {
	at, ok := he.at[vm]
	return ok && now.Sub(at) <= Fresh
}

// Each calls yield for each daemon that follows the store, with when it was answered.
func (he *Followers) Each(now time.Time, yield func(vm string, at time.Time)) {
	for vm, at := range he.at {
		if he.fresh(vm, now) {
			yield(vm, at)
		}
	}
}

// Order returns the relays of all failure domains in the order in which they follow the
// store: the first ones of each failure domain, then the second ones. Its argument has the
// relays of each failure domain, the domains sorted.
func Order(relays [][]string) []string {
	var list []string
	for rank := 0; ; rank++ {
		more := false
		for _, own := range relays {
			if rank < len(own) {
				list = append(list, own[rank])
				more = true
			}
		}
		if !more {
			return list
		}
	}
}

// Candidate decides for one daemon whether it follows. The zero value is ready for use.
type Candidate struct {
	// vacant is since when too few follow before this one.
	vacant time.Time
}

// HasVacancy reports whether too few followed before this one when it was asked last.
func (tu *Candidate) HasVacancy() bool { return !tu.vacant.IsZero() }

// ShouldFollow reports whether the daemon me follows the store now. Whoever stands in waits
// for those before it in order, so that one vacancy is not filled by all at once.
func (tu *Candidate) ShouldFollow(me string, order []string, he *Followers, now time.Time) bool {
	before, silent := 0, 0
	for _, vm := range order {
		if vm == me {
			break
		}
		if he.fresh(vm, now) {
			before++
		} else {
			silent++
		}
	}
	if before >= FollowerCount {
		tu.vacant = time.Time{}
		return false
	}
	if tu.vacant.IsZero() {
		tu.vacant = now
	}
	behind := silent - (FollowerCount - before) + 1
	return now.Sub(tu.vacant) >= time.Duration(max(0, behind))*step
}

// Position returns the place of a daemon in an order, its length where it is not in it.
func Position(me string, order []string) int {
	if i := slices.Index(order, me); i >= 0 {
		return i
	}
	return len(order)
}
