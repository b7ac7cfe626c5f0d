package pacer

import (
	"context"
	"slices"
	"sync"
	"time"
)

// The measures of a link.
const (
	// pieceTime is how long a piece of a large answer takes the link, which is
	// the longest that a small answer waits behind it. Shorter ones cost a timer
	// and a system call each for little gain.
	pieceTime = 8 * time.Millisecond
	// minPiece and maxPiece bound a piece, in bytes.
	minPiece = 2 << 10
	maxPiece = 16 << 10
	// fast is the rate, in bytes a second, from which a link is not paced: a small
	// answer then waits little longer behind a whole large one than behind a piece.
	fast = 50e6 / 8
	// use is the part of the rate that large answers may bring the link up to.
	// The rest is for what is not counted here, such as the acknowledgements of
	// what comes in. At more, the system's own queue grows.
	use = 0.92
	// packetBytes is what a packet carries, packetHead the bytes of its heads (IP
	// and TCP with time stamps).
	packetBytes = 1448
	packetHead  = 52
	// credit is how much idle time of the link may be made up for, so that a
	// timer that fires late costs no throughput.
	credit = 4 * time.Millisecond
)

// Pacer is one link. Its methods may be called from any goroutine. A nil Pacer is
// a link that is not paced; it takes no Begin.
//
// It answers the load in which large and small answers share a narrow link. The
// system takes whatever is written and sends it in its order: a small answer then
// waits behind all large ones that were written before it.
type Pacer struct {
	rate float64 // bytes a second

	mu sync.Mutex
	// free is when all that was sent has left.
	free time.Time
	// waiting holds the large answers with a piece to send, oldest first: one
	// answer after the other is done earlier in the mean than all side by side.
	waiting []*turn
	armed   bool
	// rest is the bytes of large answers that are not sent yet.
	rest int
	// granted is the bytes of pieces that may be sent and were not written yet.
	granted int
}

// turn is a piece that waits.
type turn struct {
	since time.Time
	bytes int
	ready chan struct{}
}

// IsNarrow reports whether a link of so many bits a second is paced; 0 stands for one
// without a bound.
func IsNarrow(bits float64) bool { return bits > 0 && bits/8 < fast }

// New returns a pacer for a link of so many bits a second; 0 stands for one
// without a bound.
func New(bits float64) *Pacer {
	if !IsNarrow(bits) {
		return nil
	}
	return &Pacer{rate: bits / 8 * use}
}

// What one answer may take of a receiver's link.
const (
	// receiverPart is for one or two at a time: two fit, and small answers pass one.
	receiverPart = 0.5
	// receiverLeast is for many. In smaller parts each would take so long that none
	// is in time; rather some wait for others for a moment.
	receiverLeast = 0.25
)

// ReceiverRate returns how many bytes a second one more answer should come at over a
// link of so many bits a second on which others large ones are under way, 0 for a
// link that is fast enough for all.
func ReceiverRate(bits float64, others int) int {
	if !IsNarrow(bits) {
		return 0
	}
	return int(bits / 8 * max(receiverLeast, min(receiverPart, 1/float64(1+others))))
}

// Piece returns how many bytes of a large answer should be sent at once.
func (pa *Pacer) Piece() int {
	if pa == nil {
		return maxPiece
	}
	return min(max(int(pa.rate*pieceTime.Seconds()), minPiece), maxPiece)
}

// Sent counts n bytes that were written to the link, whatever they are. Those of
// pieces were counted when their turn came.
func (pa *Pacer) Sent(n int) {
	if pa == nil {
		return
	}
	pa.mu.Lock()
	defer pa.mu.Unlock()
	piece := min(n, pa.granted)
	pa.granted -= piece
	if n -= piece; n > 0 {
		pa.take(time.Now(), n)
	}
}

// Answer is a large answer that is expected or being sent. It is not safe for
// concurrent use.
type Answer struct {
	pa    *Pacer
	since time.Time
	rest  int
	// rate is what its receiver takes, in bytes a second, 0 for no bound; next is
	// when that allows another piece.
	rate float64
	next time.Time
}

// Expect notes that a large answer of about n bytes will come, to a receiver that
// takes rate bytes a second, 0 where that is not bounded. End must be called.
//
// The receiver's link may be as narrow as this one: an answer that is sent as
// fast as it goes fills that, and what others send there waits behind it.
func (pa *Pacer) Expect(n int, rate float64) *Answer {
	an := &Answer{pa: pa, rate: rate}
	an.Begin(n)
	return an
}

// Begin starts to send the answer, which has n bytes, 0 where that is not known.
func (an *Answer) Begin(n int) {
	now := time.Now()
	an.pa.mu.Lock()
	defer an.pa.mu.Unlock()
	an.pa.rest += n - an.rest
	an.rest, an.since, an.next = n, now, now
}

// End ends the answer, whether it was sent whole or not.
func (an *Answer) End() {
	an.pa.mu.Lock()
	defer an.pa.mu.Unlock()
	an.pa.rest -= an.rest
	an.rest = 0
}

// Wait waits until the link is free for n bytes of the answer. It returns an
// error only when ctx ends first.
func (an *Answer) Wait(ctx context.Context, n int) error {
	if err := an.keepRate(ctx, n); err != nil {
		return err
	}
	if err := an.pa.wait(ctx, an.since, n); err != nil {
		return err
	}
	an.pa.mu.Lock()
	defer an.pa.mu.Unlock()
	n = min(n, an.rest)
	an.rest -= n
	an.pa.rest -= n
	return nil
}

// keepRate waits until the receiver takes another n bytes.
func (an *Answer) keepRate(ctx context.Context, n int) error {
	if an.rate <= 0 {
		return nil
	}
	now := time.Now()
	if wait := an.next.Sub(now); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if late := now.Add(-credit); an.next.Before(late) {
		an.next = late
	}
	an.next = an.next.Add(time.Duration(float64(n) / an.rate * float64(time.Second)))
	return nil
}

// Time returns how long an answer of n bytes takes on a free link, to a receiver
// that takes rate bytes a second, 0 where that is not bounded.
func (pa *Pacer) Time(n int, rate float64) time.Duration {
	if rate <= 0 || rate > pa.rate {
		rate = pa.rate
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// Backlog returns how long the link takes for what was sent and for the rest of
// the large answers.
func (pa *Pacer) Backlog() time.Duration {
	if pa == nil {
		return 0
	}
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return max(0, time.Until(pa.free)) + time.Duration(float64(pa.rest)/pa.rate*float64(time.Second))
}

func (pa *Pacer) wait(ctx context.Context, since time.Time, n int) error {
	pa.mu.Lock()
	now := time.Now()
	if len(pa.waiting) == 0 && !pa.free.After(now) {
		pa.grant(now, n)
		pa.mu.Unlock()
		return nil
	}
	tu := &turn{since: since, bytes: n, ready: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(pa.waiting, tu, func(a, b *turn) int {
		if c := a.since.Compare(b.since); c != 0 {
			return c
		}
		return -1
	})
	pa.waiting = slices.Insert(pa.waiting, at, tu)
	pa.arm(now)
	pa.mu.Unlock()
	select {
	case <-tu.ready:
		return nil
	case <-ctx.Done():
	}
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if i := slices.Index(pa.waiting, tu); i >= 0 {
		pa.waiting = slices.Delete(pa.waiting, i, i+1)
	}
	return ctx.Err()
}

// grant counts a piece that may be written; pa.mu is held.
func (pa *Pacer) grant(now time.Time, n int) {
	pa.granted = min(pa.granted+n, maxPiece)
	pa.take(now, n)
}

// take counts n bytes as sent at now; pa.mu is held.
func (pa *Pacer) take(now time.Time, n int) {
	n += (n/packetBytes + 1) * packetHead
	if least := now.Add(-credit); pa.free.Before(least) {
		pa.free = least
	}
	pa.free = pa.free.Add(time.Duration(float64(n) / pa.rate * float64(time.Second)))
}

// arm lets the next piece go once the link is free; pa.mu is held.
func (pa *Pacer) arm(now time.Time) {
	if pa.armed || len(pa.waiting) == 0 {
		return
	}
	pa.armed = true
	time.AfterFunc(max(0, pa.free.Sub(now)), pa.next)
}

func (pa *Pacer) next() {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.armed = false
	now := time.Now()
	// Small answers may have gone meanwhile.
	if len(pa.waiting) > 0 && !pa.free.After(now) {
		tu := pa.waiting[0]
		pa.waiting = pa.waiting[1:]
		pa.grant(now, tu.bytes)
		close(tu.ready)
	}
	pa.arm(now)
}
