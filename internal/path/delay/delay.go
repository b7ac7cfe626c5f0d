package delay

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of what a tracker remembers.
const (
	// window is how long the shortest observed transit time counts, at most. It is longer than the
	// usual stall of a receiver. It is short enough for a sender whose VM was suspended: the
	// sender's monotonic clock stood still meanwhile, so all its requests seem late until the
	// window has passed.
	window = 4 * time.Second
	// maxPeers bounds the senders that are remembered. When it is reached, all are dropped and
	// learned again.
	maxPeers = 4096
)

// Tracker records, for each sender, the clock difference including the shortest transit time. The
// zero value is ready for use.
//
// A request carries its timeout, counted from when it was sent. While it then waits to be read,
// because the receiver is frozen or overloaded, time passes that the receiver does not notice, and
// a backend server would run a request that nobody waits for. The transit time in excess of the
// shortest recent one is taken as that delay.
type Tracker struct {
	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the smallest clock difference of the current and the previous half window.
type peer struct {
	current, previous time.Duration
	windowStart       time.Time
}

// Excess records a message that was sent when the sender's monotonic clock showed sent, and returns
// by how much its transit time exceeds the shortest one.
func (tr *Tracker) Excess(sender string, sent time.Duration, now time.Time) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	pe := tr.peers[sender]
	// Only differences between results are used, so any fixed reference works.
	diff := now.Sub(epoch) - sent
	if pe == nil {
		tr.add(sender, &peer{current: diff, previous: diff, windowStart: now})
		return 0
	}
	if now.Sub(pe.windowStart) >= window/2 {
		pe.previous, pe.current, pe.windowStart = pe.current, diff, now
	}
	pe.current = min(pe.current, diff)
	return max(0, diff-min(pe.current, pe.previous))
}

func (tr *Tracker) add(sender string, pe *peer) {
	if tr.peers == nil || len(tr.peers) >= maxPeers {
		tr.peers = map[string]*peer{}
	}
	tr.peers[sender] = pe
}

// epoch is the origin of this process's monotonic clock.
var epoch = time.Now()

// processID distinguishes this process from others, including earlier ones at the same address.
var processID = strconv.FormatUint(rand.Uint64()>>24, 36)

// Stamp returns the time stamp of a message sent at now: the process and its monotonic clock in
// milliseconds, joined by a slash.
func Stamp(now time.Time) string {
	return processID + "/" + strconv.FormatInt(now.Sub(epoch).Milliseconds(), 10)
}

// ExcessOf parses the stamp of a message received at now and returns by how much its transit time
// exceeds the shortest one, or 0 if the stamp is invalid.
func (tr *Tracker) ExcessOf(stamp string, now time.Time) time.Duration {
	sender, text, _ := strings.Cut(stamp, "/")
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return tr.Excess(sender, time.Duration(ms)*time.Millisecond, now)
}
