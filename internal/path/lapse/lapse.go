package lapse

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The window over which the shortest way is known.
const (
	// window is how long the shortest way seen counts, at most. It is longer than
	// a receiver is late as a rule, and short for a sender whose VM was
	// suspended: its steady clock stood still meanwhile, and all its requests
	// seem late until the window is over.
	window = 4 * time.Second
	// maxPeers bounds the senders that are remembered; beyond it all are
	// forgotten and learned anew.
	maxPeers = 4096
)

// Tracker knows, for each sender, the difference of the clocks together with the
// shortest way. The zero value is ready for use.
//
// A request says how much time it has, from when it was sent. If it then lies
// unread, because the receiver was frozen, or had too much to do, that time has
// passed unnoticed: a backend server would run what nobody waits for. What is
// longer than the shortest way lately is such a time.
type Tracker struct {
	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the shortest difference of the present and the last half window.
type peer struct {
	now, last time.Duration
	since     time.Time
}

// Excess takes a message from the sender that was sent at the sender's steady
// clock sent, and returns how much longer than the shortest way it took.
func (tr *Tracker) Excess(sender string, sent time.Duration, now time.Time) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	pe := tr.peers[sender]
	// Only differences of the result are used, so any fixed moment will do.
	diff := now.Sub(epoch) - sent
	if pe == nil {
		tr.add(sender, &peer{now: diff, last: diff, since: now})
		return 0
	}
	if now.Sub(pe.since) >= window/2 {
		pe.last, pe.now, pe.since = pe.now, diff, now
	}
	pe.now = min(pe.now, diff)
	return max(0, diff-min(pe.now, pe.last))
}

func (tr *Tracker) add(sender string, pe *peer) {
	if tr.peers == nil || len(tr.peers) >= maxPeers {
		tr.peers = map[string]*peer{}
	}
	tr.peers[sender] = pe
}

// epoch is where the steady clock of this process is counted from.
var epoch = time.Now()

// process names this process among others, also those that had its address
// before.
var process = strconv.FormatUint(rand.Uint64()>>24, 36)

// Stamp returns the text that says when a message is sent.
func Stamp(now time.Time) string {
	return process + "/" + strconv.FormatInt(now.Sub(epoch).Milliseconds(), 10)
}

// ExcessOf reads a stamp that came at now and returns how much longer than the
// shortest way the message took; 0 for a stamp that cannot be read.
func (tr *Tracker) ExcessOf(stamp string, now time.Time) time.Duration {
	sender, text, _ := strings.Cut(stamp, "/")
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return tr.Excess(sender, time.Duration(ms)*time.Millisecond, now)
}
