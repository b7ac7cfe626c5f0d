package rate

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

const (
	// trialInterval is the longest time between two requests. A server that gets none cannot say
	// that its limit is lifted.
	trialInterval = 5 * time.Second
	// reserveBurst is how much of the rate may be admitted at once after a pause, sendBurst how much
	// may be sent at once. Admitted requests may wait for a slot and then be sent together.
	reserveBurst = 250 * time.Millisecond
	sendBurst    = time.Second
	// After a limit is lifted, the rate doubles every rampDoubling, from minRampRate requests per
	// second at least, and is not limited after rampTime. A server that has just recovered, or that
	// names its limit only in some responses, would otherwise get everything that was kept from it at
	// once.
	rampDoubling = 250 * time.Millisecond
	rampTime     = 1500 * time.Millisecond
	minRampRate  = 1
	// maxTurn bounds the time after which a refused sender should return, and so the time until a
	// lifted limit is noticed by all senders.
	maxTurn = 5 * time.Second
	// anyRankEvery is how often a token goes to a request of any rank. Otherwise the lower ranks
	// would get nothing while the higher ones use the whole rate.
	anyRankEvery = 16
)

// Limiter limits the requests to one instance of a backend server. The zero value does not limit
// them. Its methods are safe for concurrent use.
type Limiter struct {
	// active is set while requests are limited, heard once a response of the server was read. They are
	// read for each request.
	active, heard atomic.Bool

	mu sync.Mutex
	// limit is the last one that was named, in requests per second, and named whether it is in force.
	limit float64
	named bool
	// namedAt is when a response last named the limit, liftedAt when it was lifted.
	namedAt, liftedAt time.Time
	// reserved and sent are token buckets, updated at updatedAt.
	reserved, sent float64
	updatedAt      time.Time
	admitted       int
	// turn is the latest time at which a refused sender was told to return.
	turn time.Time
}

// Reset forgets the limit, for another instance of the server.
func (li *Limiter) Reset() {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.active.Store(false)
	li.heard.Store(false)
	li.limit, li.named = 0, false
}

// Heard reports whether a response of the server was read.
func (li *Limiter) Heard() bool { return li.heard.Load() }

// Name records that a response names a limit.
func (li *Limiter) Name(limit float64, now time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.heard.Store(true)
	li.name(limit, now)
}

// Adopt records a limit that the server has named according to a sender. It is ignored once the
// server itself was heard, whose word is newer.
func (li *Limiter) Adopt(limit float64, now time.Time) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.heard.Load() || li.named {
		return false
	}
	li.name(limit, now)
	return true
}

func (li *Limiter) name(limit float64, now time.Time) {
	if li.active.Load() {
		li.refill(now)
	} else {
		// Requests may be running, or a previous process may have sent some.
		li.reserved, li.sent, li.updatedAt, li.turn = 0, 0, now, now
	}
	li.limit, li.named, li.namedAt = limit, true, now
	li.refill(now)
	li.active.Store(true)
}

// Lift records that a response to a request sent at sentAt names no limit. One to a request that
// was sent before the limit was last named may be older than that, and changes nothing.
func (li *Limiter) Lift(sentAt, now time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.heard.Store(true)
	if !li.named || !sentAt.After(li.namedAt) {
		return
	}
	li.refill(now)
	// Turns that were assigned under the limit are seconds away.
	li.named, li.liftedAt, li.turn = false, now, now
}

// Limit returns the limit in force in requests per second.
func (li *Limiter) Limit() (limit float64, ok bool) {
	if !li.active.Load() {
		return 0, false
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.limit, li.named
}

// rate returns how many requests per second may be sent. li.mu must be held.
func (li *Limiter) rate(now time.Time) float64 {
	if li.named {
		return max(li.limit, 1/trialInterval.Seconds())
	}
	doublings := float64(min(now.Sub(li.liftedAt), rampTime)) / float64(rampDoubling)
	return max(li.limit, minRampRate) * math.Exp2(doublings)
}

// capacity returns the size of a bucket that holds the tokens of a burst, and one at least.
func capacity(rate float64, burst time.Duration) float64 { return 1 + rate*burst.Seconds() }

// refill adds the tokens of the time since the last call. li.mu must be held.
func (li *Limiter) refill(now time.Time) {
	rate := li.rate(now)
	tokens := rate * max(0, now.Sub(li.updatedAt).Seconds())
	li.reserved = min(li.reserved+tokens, capacity(rate, reserveBurst))
	li.sent = min(li.sent+tokens, capacity(rate, sendBurst))
	li.updatedAt = now
}

// Token is the permission to send one request.
type Token struct {
	li *Limiter
	// reserved is set while the token is taken from the bucket and not used.
	reserved bool
}

// Reserve takes a token for a request of a rank (result.Rank). If it returns false, the sender
// should return after a time at which it is expected to get one.
func (li *Limiter) Reserve(rank int, now time.Time) (to Token, retryAfter time.Duration, ok bool) {
	if !li.active.Load() {
		return Token{li: li}, 0, true
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	if !li.named && now.Sub(li.liftedAt) >= rampTime {
		li.active.Store(false)
		return Token{li: li}, 0, true
	}
	li.refill(now)
	rate := li.rate(now)
	need := li.need(rank, rate)
	if li.reserved < need {
		return Token{}, li.nextTurn((need-li.reserved)/rate, rate, now), false
	}
	li.reserved--
	li.admitted++
	return Token{li: li, reserved: true}, 0, true
}

// need returns the tokens that must be there for a request of a rank: lower ranks leave some to the
// higher ones. li.mu must be held.
func (li *Limiter) need(rank int, rate float64) float64 {
	if li.admitted%anyRankEvery == anyRankEvery-1 {
		return 1
	}
	return 1 + (capacity(rate, reserveBurst)-1)*float64(rank)/result.Ranks
}

// nextTurn assigns the next turn to a refused sender, after the given seconds at least. Each one
// gets another time, so that those refused together do not return together. li.mu must be held.
func (li *Limiter) nextTurn(seconds, rate float64, now time.Time) time.Duration {
	first := now.Add(time.Duration(seconds * float64(time.Second)))
	next := li.turn.Add(time.Duration(float64(time.Second) / rate))
	if next.Before(first) {
		next = first
	}
	if last := now.Add(maxTurn); next.After(last) {
		next = last
	}
	li.turn = next
	return next.Sub(now)
}

// Send uses the token for a request that is about to be sent. If it returns false, the request must
// not be sent, and the sender should return after a time.
func (to *Token) Send(now time.Time) (retryAfter time.Duration, ok bool) {
	li := to.li
	if !li.active.Load() {
		to.reserved = false
		return 0, true
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	li.refill(now)
	if li.sent < 1 {
		rate := li.rate(now)
		return li.nextTurn((1-li.sent)/rate, rate, now), false
	}
	li.sent--
	to.reserved = false
	return 0, true
}

// Cancel gives the token back unless it was used.
func (to *Token) Cancel() {
	if !to.reserved {
		return
	}
	to.reserved = false
	to.li.mu.Lock()
	defer to.li.mu.Unlock()
	to.li.reserved++
}
