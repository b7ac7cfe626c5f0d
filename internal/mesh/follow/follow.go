package follow

import (
	"slices"
	"time"
)

const (
	// FollowerCount is how many relays follow the store at a time. Each follower reads every
	// version in full, so more of them would load the store. With two, either one may be killed
	// or disconnected without delaying new versions.
	FollowerCount = 2
	// WatchTimeout is the long-poll timeout of a watch on the store. A follower notices a store
	// that stopped answering after this time plus some slack.
	WatchTimeout = time.Second
	// AnnounceInterval is how often a follower announces itself. It announces at once that it
	// has stopped following, and a broken link to it says the same.
	AnnounceInterval = 3 * time.Second
	// AnnounceTTL is how long an announcement is valid. It covers followers that stop without
	// any link breaking. An announcement travels over two links, with the next packet of each,
	// which takes at most one second per link.
	AnnounceTTL = AnnounceInterval + 2500*time.Millisecond
	// ageTolerance is by how much the time of one answer may differ between links, since each
	// link rounds the age of the answer.
	ageTolerance = 200 * time.Millisecond
	// takeoverDelay is how long a candidate leaves a vacancy to the candidate ahead of it:
	// enough to read a large version and to propagate the announcement.
	takeoverDelay = 150 * time.Millisecond
)

// Followers records when the store last answered each daemon that follows it, as far as this
// daemon knows. The zero value is empty and ready for use.
type Followers struct {
	lastAnswer map[string]time.Time
}

// RecordAnswer records that the store answered a daemon, and reports whether this was not
// known yet.
func (fw *Followers) RecordAnswer(vm string, at time.Time) bool {
	if fw.lastAnswer == nil {
		fw.lastAnswer = map[string]time.Time{}
	}
	if last, ok := fw.lastAnswer[vm]; ok && at.Sub(last) < ageTolerance {
		return false
	}
	fw.lastAnswer[vm] = at
	return true
}

// RecordLoss records that the store stopped answering a daemon at the given time, unless a
// later answer is known. It reports whether the daemon was removed.
func (fw *Followers) RecordLoss(vm string, at time.Time) bool {
	last, ok := fw.lastAnswer[vm]
	if !ok || last.After(at) {
		return false
	}
	delete(fw.lastAnswer, vm)
	return true
}

// active reports whether a daemon follows the store by its last valid announcement.
func (fw *Followers) active(vm string, now time.Time) bool {
	at, ok := fw.lastAnswer[vm]
	return ok && now.Sub(at) <= AnnounceTTL
}

// Each calls yield for each daemon that follows the store, with the time of its last answer.
func (fw *Followers) Each(now time.Time, yield func(vm string, at time.Time)) {
	for vm, at := range fw.lastAnswer {
		if fw.active(vm, now) {
			yield(vm, at)
		}
	}
}

// Order returns the relays of all failure domains in the order of preference for following
// the store: the first relay of each failure domain, then the second ones, and so on. The
// argument lists the relays of each failure domain, sorted by domain.
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

// Candidate decides whether one daemon should follow the store. The zero value is ready for
// use.
type Candidate struct {
	// vacantSince is since when there are too few followers ahead of this daemon, the zero time
	// if there are enough.
	vacantSince time.Time
}

// HasVacancy reports whether there were too few followers ahead of this daemon at the last
// call of ShouldFollow.
func (ca *Candidate) HasVacancy() bool { return !ca.vacantSince.IsZero() }

// ShouldFollow reports whether the daemon self should follow the store now. A substitute gives
// the candidates ahead of it in the order time to take over first, so that a single vacancy is
// not filled by all of them at once. silent lists daemons that are not heard over any link to them:
// they may be suspended, whatever they have announced.
func (ca *Candidate) ShouldFollow(self string, order, silent []string, fw *Followers, now time.Time) bool {
	active, inactive := 0, 0
	for _, vm := range order {
		if vm == self {
			break
		}
		if fw.active(vm, now) && !slices.Contains(silent, vm) {
			active++
		} else {
			inactive++
		}
	}
	if active >= FollowerCount {
		ca.vacantSince = time.Time{}
		return false
	}
	if ca.vacantSince.IsZero() {
		ca.vacantSince = now
	}
	turnsAhead := inactive - (FollowerCount - active) + 1
	return now.Sub(ca.vacantSince) >= time.Duration(max(0, turnsAhead))*takeoverDelay
}

// Position returns the index of a daemon in order, or len(order) if it is not listed.
func Position(vm string, order []string) int {
	if i := slices.Index(order, vm); i >= 0 {
		return i
	}
	return len(order)
}
