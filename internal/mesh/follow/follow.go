package follow

import (
	"slices"
	"time"
)

const (
	// Enough is how many relays follow the store at a time. Each reads every
	// version whole, so that more of them load the store. With two, one may be killed or
	// cut off without any delay.
	Enough = 2
	// Wait is how long a watch of the store waits. A store that has fallen silent for
	// one who follows it is noticed after as long and some slack.
	Wait = time.Second
	// TellEvery is how often one who follows says so. That it no longer does is said at
	// once, and a link to it that breaks tells as much.
	TellEvery = 3 * time.Second
	// AnnounceTTL is for how long such word counts, which comes over two links with the next
	// packet of each, a second later at most. It is for those who fell silent without
	// a link that broke.
	AnnounceTTL = TellEvery + 2500*time.Millisecond
	// ageTolerance is by how much the same answer seems to come later over other links, as
	// each rounds its age.
	ageTolerance = 200 * time.Millisecond
	// takeoverDelay is how long one who could stand in leaves it to the next before it: a read
	// of a large version, and the way of the news.
	takeoverDelay = 150 * time.Millisecond
)

// Heard is when the store last answered each daemon that follows it, as far as it is
// known here. The zero value knows of none.
type Heard struct {
	lastAnswer map[string]time.Time
}

// Answered notes that the store answered a daemon, and reports whether that is news.
func (fw *Heard) Answered(vm string, at time.Time) bool {
	if fw.lastAnswer == nil {
		fw.lastAnswer = map[string]time.Time{}
	}
	if last, ok := fw.lastAnswer[vm]; ok && at.Sub(last) < ageTolerance {
		return false
	}
	fw.lastAnswer[vm] = at
	return true
}

// Lost notes that the store no longer answers a daemon, unless it did so after the time
// given. It reports whether that is news.
func (fw *Heard) Lost(vm string, at time.Time) bool {
	last, ok := fw.lastAnswer[vm]
	if !ok || last.After(at) {
		return false
	}
	delete(fw.lastAnswer, vm)
	return true
}

// active reports whether a daemon follows the store.
func (fw *Heard) active(vm string, now time.Time) bool {
	at, ok := fw.lastAnswer[vm]
	return ok && now.Sub(at) <= AnnounceTTL
}

// Each calls yield for each daemon that follows the store, with when it was answered.
func (fw *Heard) Each(now time.Time, yield func(vm string, at time.Time)) {
	for vm, at := range fw.lastAnswer {
		if fw.active(vm, now) {
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
		for _, members := range relays {
			if rank < len(members) {
				list = append(list, members[rank])
				more = true
			}
		}
		if !more {
			return list
		}
	}
}

// Turn decides for one daemon whether it follows. The zero value is ready for use.
type Turn struct {
	// vacantSince is since when too few follow before this one.
	vacantSince time.Time
}

// Vacant reports whether too few followed before this one when it was asked last.
func (ca *Turn) Vacant() bool { return !ca.vacantSince.IsZero() }

// Due reports whether the daemon me follows the store now. Whoever stands in waits
// for those before it in order, so that one vacancy is not filled by all at once.
func (ca *Turn) Due(self string, order []string, fw *Heard, now time.Time) bool {
	active, inactive := 0, 0
	for _, vm := range order {
		if vm == self {
			break
		}
		if fw.active(vm, now) {
			active++
		} else {
			inactive++
		}
	}
	if active >= Enough {
		ca.vacantSince = time.Time{}
		return false
	}
	if ca.vacantSince.IsZero() {
		ca.vacantSince = now
	}
	turnsAhead := inactive - (Enough - active) + 1
	return now.Sub(ca.vacantSince) >= time.Duration(max(0, turnsAhead))*takeoverDelay
}

// Position returns the place of a daemon in an order, its length where it is not in it.
func Position(vm string, order []string) int {
	if i := slices.Index(order, vm); i >= 0 {
		return i
	}
	return len(order)
}
