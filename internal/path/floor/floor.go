package floor

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/decay"
)

// Guaranteed is the floor: under lasting overload, the served share of a kind is at least this part of
// the served share of all kinds.
const Guaranteed = 1.0 / 3

const (
	// halfLife is the time after which a request counts half in the served shares.
	halfLife = 5 * time.Second
	// minOffered is the number of recent requests below which a served share is not judged.
	minOffered = 20
	// recovered is the part of the share of all kinds at which a kind that was below its floor counts
	// as back.
	recovered = (Guaranteed + aim) / 2
)

// Share counts requests and those that were served. A caller's retries count as one request with its
// first try. The zero value is ready for use.
type Share struct {
	recent          decay.Pair // requests and served requests
	offered, served atomic.Int64
}

// Record records the end of a request. first is set unless it is a caller's retry, served if a backend
// server answered it.
func (sh *Share) Record(now time.Time, first, served bool) {
	offered, got := 0.0, 0.0
	if first {
		offered = 1
		sh.offered.Add(1)
	}
	if served {
		got = 1
		sh.served.Add(1)
	}
	sh.recent.Add(now, halfLife, offered, got)
}

// Recent returns the number of recent requests and of those served. Both decay.
func (sh *Share) Recent(now time.Time) (offered, served float64) {
	return sh.recent.Read(now, halfLife)
}

// Totals returns the counts since the start.
func (sh *Share) Totals() (offered, served int64) { return sh.offered.Load(), sh.served.Load() }

// Kind is the share of one kind of request. The zero value is ready for use.
type Kind struct {
	Share
	below atomic.Bool
	// grants are the recent granted requests, granted all of them, inFlight those that have not ended.
	grants   decay.Pair
	granted  atomic.Int64
	inFlight atomic.Int32
	// reported is the mean that an inlet last reported, as bits of a float64.
	reported atomic.Uint64
}

// SetReported records the served share of all kinds over all outlets that an inlet reports.
func (ki *Kind) SetReported(mean float64) { ki.reported.Store(math.Float64bits(mean)) }

// Reported returns the share last set by SetReported, 0 if none was.
func (ki *Kind) Reported() float64 { return math.Float64frombits(ki.reported.Load()) }

// Below reports whether the kind was below its floor at the last check.
func (ki *Kind) Below() bool { return ki.below.Load() }

// Mean returns the served share, at most 1, and 0 without requests.
func (sh *Share) Mean(now time.Time) float64 { return mean(sh.Recent(now)) }

// Check compares the kind with all kinds of the outlet. It reports whether the kind has fallen below its
// floor or has come back since the last check.
func (ki *Kind) Check(now time.Time, all *Share) (changed bool) {
	offered, served := ki.Recent(now)
	below := isBelow(offered, served, mean(all.Recent(now)), ki.below.Load())
	return ki.below.CompareAndSwap(!below, below)
}

// isBelow decides whether a kind is below its floor. was is the decision before.
func isBelow(offered, served, mean float64, was bool) bool {
	if offered < minOffered {
		return false
	}
	if was {
		return served < recovered*mean*offered
	}
	return served < Guaranteed*mean*offered
}

// mean returns the ratio of served to offered requests, at most 1, and 0 without requests.
func mean(offered, served float64) float64 {
	if offered <= 0 {
		return 0
	}
	return min(1, served/offered)
}
