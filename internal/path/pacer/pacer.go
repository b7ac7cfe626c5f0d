package pacer

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Parameters of a link.
const (
	// chunkTime is how long a chunk of a large response occupies the link, which is the longest
	// that a small response waits behind it. Shorter chunks cost a timer and a system call each for
	// little gain.
	chunkTime = 8 * time.Millisecond
	// minChunk and maxChunk bound the size of a chunk in bytes.
	minChunk = 2 << 10
	maxChunk = 16 << 10
	// fastRate is the rate, in bytes per second, from which a link is not paced: a small response
	// then waits little longer behind a whole large one than behind a chunk.
	fastRate = 50e6 / 8
	// maxUtilization is the utilization of the link up to which large responses are sent. The
	// rest is for traffic that is not counted here, such as acknowledgements of incoming data. At
	// higher values the kernel's send queue grows.
	maxUtilization = 0.92
	// packetPayload is the payload of a packet in bytes, packetOverhead the size of its headers
	// (IP, and TCP with timestamps).
	packetPayload  = 1448
	packetOverhead = 52
	// idleCredit is how much idle time of the link may be made up for, so that a timer that fires
	// late costs no throughput.
	idleCredit = 4 * time.Millisecond
)

// Pacer paces one link. Its methods may be called from any goroutine. A nil Pacer stands for a link
// that is not paced; Reserve and SendTime must not be called on it.
//
// Pacer exists for the load in which large and small responses share a narrow link. The kernel
// accepts whatever is written and sends it in order, so a small response would wait behind all
// large ones that were written before it.
type Pacer struct {
	rate float64 // bytes per second

	mu sync.Mutex
	// freeAt is when the link will have sent everything written so far.
	freeAt time.Time
	// waiting holds the large responses with a chunk to send, oldest first: sending one response
	// after the other completes them earlier on average than sending all concurrently.
	waiting  []*waiter
	timerSet bool
	// unsent is the number of bytes of large responses that are not sent yet.
	unsent int
	// granted is the number of bytes of chunks that may be sent and were not written yet.
	granted int
}

// waiter is a chunk that waits for the link.
type waiter struct {
	since time.Time
	bytes int
	ready chan struct{}
}

// IsNarrow reports whether a link of the given rate is paced; 0 means unbounded.
func IsNarrow(bitsPerSecond float64) bool { return bitsPerSecond > 0 && bitsPerSecond/8 < fastRate }

// New returns a Pacer for a link of the given rate, or nil if it is not narrow; 0 means unbounded.
func New(bitsPerSecond float64) *Pacer {
	if !IsNarrow(bitsPerSecond) {
		return nil
	}
	return &Pacer{rate: bitsPerSecond / 8 * maxUtilization}
}

// Fractions of a receiver's link that one response may use.
const (
	// maxReceiverShare applies to one or two concurrent responses: two fit, and small responses
	// still get past one.
	maxReceiverShare = 0.5
	// minReceiverShare applies to many. With smaller shares each response would take so long that
	// all are late; it is better that some wait a moment for others.
	minReceiverShare = 0.25
)

// ReceiverRate returns the rate, in bytes per second, that one more response should be sent at over
// a link on which others large responses are in progress; 0 for a link that is not narrow.
func ReceiverRate(bitsPerSecond float64, others int) int {
	if !IsNarrow(bitsPerSecond) {
		return 0
	}
	return int(bitsPerSecond / 8 * max(minReceiverShare, min(maxReceiverShare, 1/float64(1+others))))
}

// ChunkSize returns how many bytes of a large response should be sent at once.
func (pa *Pacer) ChunkSize() int {
	if pa == nil {
		return maxChunk
	}
	return min(max(int(pa.rate*chunkTime.Seconds()), minChunk), maxChunk)
}

// Sent counts n bytes that were written to the link, of any kind. Bytes of chunks were already
// counted when the chunks were granted.
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

// Reservation is a large response that is expected or being sent. It is not safe for concurrent
// use.
type Reservation struct {
	pa     *Pacer
	since  time.Time
	unsent int
	// receiverRate is the rate that the receiver's link accepts, in bytes per second, or 0 if
	// unbounded; nextAt is when that allows another chunk.
	receiverRate float64
	nextAt       time.Time
}

// Reserve announces a large response of about n bytes to a receiver that accepts receiverRate bytes
// per second; 0 means unbounded. Release must be called.
//
// The receiver's link may be as narrow as this one: a response sent at the full rate would fill it,
// and delay what others send to the receiver.
func (pa *Pacer) Reserve(n int, receiverRate float64) *Reservation {
	rs := &Reservation{pa: pa, receiverRate: receiverRate}
	rs.Begin(n)
	return rs
}

// Begin starts to send the response, which has n bytes, or 0 if its size is unknown.
func (rs *Reservation) Begin(n int) {
	now := time.Now()
	rs.pa.mu.Lock()
	defer rs.pa.mu.Unlock()
	rs.pa.unsent += n - rs.unsent
	rs.unsent, rs.since, rs.nextAt = n, now, now
}

// Release ends the reservation, whether the response was sent completely or not.
func (rs *Reservation) Release() {
	rs.pa.mu.Lock()
	defer rs.pa.mu.Unlock()
	rs.pa.unsent -= rs.unsent
	rs.unsent = 0
}

// Wait blocks until the link is free for n bytes of the response. It returns an error only if ctx
// ends first.
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

// waitForReceiver blocks until the receiver's rate allows another n bytes.
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

// SendTime returns how long a response of n bytes takes on an idle link, to a receiver that accepts
// receiverRate bytes per second; 0 means unbounded.
func (pa *Pacer) SendTime(n int, receiverRate float64) time.Duration {
	if receiverRate <= 0 || receiverRate > pa.rate {
		receiverRate = pa.rate
	}
	return time.Duration(float64(n) / receiverRate * float64(time.Second))
}

// Backlog returns how long the link needs for what was written and for the rest of the large
// responses.
func (pa *Pacer) Backlog() time.Duration {
	if pa == nil {
		return 0
	}
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return max(0, time.Until(pa.freeAt)) + time.Duration(float64(pa.unsent)/pa.rate*float64(time.Second))
}

// wait blocks until a chunk of n bytes is granted. Chunks are granted in the order of since.
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

// grant counts a chunk that may be written; pa.mu is held.
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

// schedule sets the timer for the next chunk to the time at which the link is free; pa.mu is held.
func (pa *Pacer) schedule(now time.Time) {
	if pa.timerSet || len(pa.waiting) == 0 {
		return
	}
	pa.timerSet = true
	time.AfterFunc(max(0, pa.freeAt.Sub(now)), pa.grantNext)
}

// grantNext grants the oldest waiting chunk if the link is free.
func (pa *Pacer) grantNext() {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.timerSet = false
	now := time.Now()
	// Small responses may have been sent in the meantime.
	if len(pa.waiting) > 0 && !pa.freeAt.After(now) {
		wt := pa.waiting[0]
		pa.waiting = pa.waiting[1:]
		pa.grant(now, wt.bytes)
		close(wt.ready)
	}
	pa.schedule(now)
}
