package pacer

import (
	"context"
	"slices"
	"sync"
	"time"
)

// The measures of a link.
const (
	// chunkTime is how long a piece of a large answer takes the link, which is
	// the longest that a small answer waits behind it. Shorter ones cost a timer
	// and a system call each for little gain.
	chunkTime = 8 * time.Millisecond
	// minChunk and maxChunk bound a piece, in bytes.
	minChunk = 2 << 10
	maxChunk = 16 << 10
	// fastRate is the rate, in bytes a second, from which a link is not paced: a small
	// answer then waits little longer behind a whole large one than behind a piece.
	fastRate = 50e6 / 8
	// maxUtilization is the part of the rate that large answers may bring the link up to.
	// The rest is for what is not counted here, such as the acknowledgements of
	// what comes in. At more, the system's own queue grows.
	maxUtilization = 0.92
	// packetPayload is what a packet carries, packetOverhead the bytes of its heads (IP
	// and TCP with time stamps).
	packetPayload  = 1448
	packetOverhead = 52
	// idleCredit is how much idle time of the link may be made up for, so that a
	// timer that fires late costs no throughput.
	idleCredit = 4 * time.Millisecond
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
	// freeAt is when all that was sent has left.
	freeAt time.Time
	// waiting holds the large answers with a piece to send, oldest first: one
	// answer after the other is done earlier in the mean than all side by side.
	waiting  []*waiter
	timerSet bool
	// unsent is the bytes of large answers that are not sent yet.
	unsent int
	// granted is the bytes of pieces that may be sent and were not written yet.
	granted int
}

// waiter is a piece that waits.
type waiter struct {
	since time.Time
	bytes int
	ready chan struct{}
}

// Narrow reports whether a link of so many bits a second is paced; 0 stands for one
// without a bound.
func Narrow(bitsPerSecond float64) bool { return bitsPerSecond > 0 && bitsPerSecond/8 < fastRate }

// New returns a pacer for a link of so many bits a second; 0 stands for one
// without a bound.
func New(bitsPerSecond float64) *Pacer {
	if !Narrow(bitsPerSecond) {
		return nil
	}
	return &Pacer{rate: bitsPerSecond / 8 * maxUtilization}
}

// What one answer may take of a receiver's link.
const (
	// maxReceiverShare is for one or two at a time: two fit, and small answers pass one.
	maxReceiverShare = 0.5
	// minReceiverShare is for many. In smaller parts each would take so long that none
	// is in time; rather some wait for others for a moment.
	minReceiverShare = 0.25
)

// Share returns how many bytes a second one more answer should come at over a
// link of so many bits a second on which others large ones are under way, 0 for a
// link that is fast enough for all.
func Share(bitsPerSecond float64, others int) int {
	if !Narrow(bitsPerSecond) {
		return 0
	}
	return int(bitsPerSecond / 8 * max(minReceiverShare, min(maxReceiverShare, 1/float64(1+others))))
}

// ChunkSize returns how many bytes of a large answer should be sent at once.
func (pa *Pacer) ChunkSize() int {
	if pa == nil {
		return maxChunk
	}
	return min(max(int(pa.rate*chunkTime.Seconds()), minChunk), maxChunk)
}

// Sent counts n bytes that were written to the link, whatever they are. Those of
// pieces were counted when their turn came.
func (pa *Pacer) Sent(n int) {
	if pa == nil {
		return
	}
	pa.mu.Lock()
	defer pa.mu.Unlock()
	chunks := min(n, pa.granted)
	pa.granted -= chunks
	if n -= chunks; n > 0 {
		pa.account(time.Now(), n)
	}
}

// Reservation is a large answer that is expected or being sent. It is not safe for
// concurrent use.
type Reservation struct {
	pa     *Pacer
	since  time.Time
	unsent int
	// receiverRate is what its receiver takes, in bytes a second, 0 for no bound; next is
	// when that allows another piece.
	receiverRate float64
	nextAt       time.Time
}

// Reserve notes that a large answer of about n bytes will come, to a receiver that
// takes rate bytes a second, 0 where that is not bounded. End must be called.
//
// The receiver's link may be as narrow as this one: an answer that is sent as
// fast as it goes fills that, and what others send there waits behind it.
func (pa *Pacer) Reserve(n int, receiverRate float64) *Reservation {
	rs := &Reservation{pa: pa, receiverRate: receiverRate}
	rs.Begin(n)
	return rs
}

// Begin starts to send the answer, which has n bytes, 0 where that is not known.
func (rs *Reservation) Begin(n int) {
	now := time.Now()
	rs.pa.mu.Lock()
	defer rs.pa.mu.Unlock()
	rs.pa.unsent += n - rs.unsent
	rs.unsent, rs.since, rs.nextAt = n, now, now
}

// Release ends the answer, whether it was sent whole or not.
func (rs *Reservation) Release() {
	rs.pa.mu.Lock()
	defer rs.pa.mu.Unlock()
	rs.pa.unsent -= rs.unsent
	rs.unsent = 0
}

// Wait waits until the link is free for n bytes of the answer. It returns an
// error only when ctx ends first.
func (rs *Reservation) Wait(ctx context.Context, n int) error {
	if err := rs.waitForReceiver(ctx, n); err != nil {
		return err
	}
	if err := rs.pa.wait(ctx, rs.since, n); err != nil {
		return err
	}
	rs.pa.mu.Lock()
	defer rs.pa.mu.Unlock()
	n = min(n, rs.unsent)
	rs.unsent -= n
	rs.pa.unsent -= n
	return nil
}

// waitForReceiver waits until the receiver takes another n bytes.
func (rs *Reservation) waitForReceiver(ctx context.Context, n int) error {
	if rs.receiverRate <= 0 {
		return nil
	}
	now := time.Now()
	if wait := rs.nextAt.Sub(now); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if late := now.Add(-idleCredit); rs.nextAt.Before(late) {
		rs.nextAt = late
	}
	rs.nextAt = rs.nextAt.Add(time.Duration(float64(n) / rs.receiverRate * float64(time.Second)))
	return nil
}

// SendTime returns how long an answer of n bytes takes on a free link, to a receiver
// that takes rate bytes a second, 0 where that is not bounded.
func (pa *Pacer) SendTime(n int, receiverRate float64) time.Duration {
	if receiverRate <= 0 || receiverRate > pa.rate {
		receiverRate = pa.rate
	}
	return time.Duration(float64(n) / receiverRate * float64(time.Second))
}

// Backlog returns how long the link takes for what was sent and for the rest of
// the large answers.
func (pa *Pacer) Backlog() time.Duration {
	if pa == nil {
		return 0
	}
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return max(0, time.Until(pa.freeAt)) + time.Duration(float64(pa.unsent)/pa.rate*float64(time.Second))
}

func (pa *Pacer) wait(ctx context.Context, since time.Time, n int) error {
	pa.mu.Lock()
	now := time.Now()
	if len(pa.waiting) == 0 && !pa.freeAt.After(now) {
		pa.grant(now, n)
		pa.mu.Unlock()
		return nil
	}
	wt := &waiter{since: since, bytes: n, ready: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(pa.waiting, wt, func(a, b *waiter) int {
		if c := a.since.Compare(b.since); c != 0 {
			return c
		}
		return -1
	})
	pa.waiting = slices.Insert(pa.waiting, at, wt)
	pa.schedule(now)
	pa.mu.Unlock()
	select {
	case <-wt.ready:
		return nil
	case <-ctx.Done():
	}
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if i := slices.Index(pa.waiting, wt); i >= 0 {
		pa.waiting = slices.Delete(pa.waiting, i, i+1)
	}
	return ctx.Err()
}

// grant counts a piece that may be written; pa.mu is held.
func (pa *Pacer) grant(now time.Time, n int) {
	pa.granted = min(pa.granted+n, maxChunk)
	pa.account(now, n)
}

// account counts n bytes as sent at now; pa.mu is held.
func (pa *Pacer) account(now time.Time, n int) {
	n += (n/packetPayload + 1) * packetOverhead
	if earliest := now.Add(-idleCredit); pa.freeAt.Before(earliest) {
		pa.freeAt = earliest
	}
	pa.freeAt = pa.freeAt.Add(time.Duration(float64(n) / pa.rate * float64(time.Second)))
}

// schedule lets the next piece go once the link is free; pa.mu is held.
func (pa *Pacer) schedule(now time.Time) {
	if pa.timerSet || len(pa.waiting) == 0 {
		return
	}
	pa.timerSet = true
	time.AfterFunc(max(0, pa.freeAt.Sub(now)), pa.grantNext)
}

func (pa *Pacer) grantNext() {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.timerSet = false
	now := time.Now()
	// Small answers may have gone meanwhile.
	if len(pa.waiting) > 0 && !pa.freeAt.After(now) {
		wt := pa.waiting[0]
		pa.waiting = pa.waiting[1:]
		pa.grant(now, wt.bytes)
		close(wt.ready)
	}
	pa.schedule(now)
}
