package inlet

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/pacer"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// smallAnswer is the size up to which an answer goes before the large ones, in
// bytes: on a link of 5 Mbit/s it takes 13 ms.
const smallAnswer = 8 << 10

// smallTime is what small answers that go before a large one add to its time. Without it
// large ones are begun that come late by as much.
const smallTime = 40 * time.Millisecond

// lateBacklog is the backlog up to which an answer is sent that comes late in any
// case: less than the large answer under way.
const lateBacklog = 100 * time.Millisecond

// transfer is the way of an answer over the VM's link.
type transfer struct {
	link *pacer.Pacer
	// rate is what the receiver takes, in bytes a second, 0 for no bound.
	rate float64
	an   *pacer.Answer
}

// transfer returns the way of the answer to a request. An answer to an outlet of
// the same VM does not use the link.
func (in *Inlet) transfer(r *http.Request) *transfer {
	tf := &transfer{}
	if in.link == nil || sameHost(r) {
		return tf
	}
	tf.link = in.link
	if rate, err := strconv.ParseUint(r.Header.Get(result.RateHeader), 10, 32); err == nil {
		// Without it the outlet's link is not narrow, or it is of an older release.
		tf.rate = float64(rate)
	}
	return tf
}

// expect reserves the link for a large answer that the outlet expects, or refuses
// the request: an answer that comes too late for its objective has cost the
// server a slot and others the link. The load it answers is that of more large
// answers than the link carries, which otherwise wait for each other until all of
// them are late.
func (tf *transfer) expect(r *http.Request, objective time.Duration, ld result.Load) *result.Refusal {
	n, err := strconv.ParseUint(r.Header.Get(result.SizeHeader), 10, 31)
	if err != nil || tf.link == nil {
		// Not expected to be large.
		return nil
	}
	if objective > 0 {
		takes := tf.link.Time(int(n), tf.rate) + ld.ServiceTime + smallTime
		if over := excess(tf.link.Backlog(), takes, objective, ld); over > 0 {
			return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonLinkFull, RetryAfter: over}
		}
	}
	tf.an = tf.link.Expect(int(n), tf.rate)
	return nil
}

// excess returns by how much the link's backlog is too long for an answer that
// takes as long as takes on a free link and has objective left; 0 or less where it
// is short enough. One that cannot be in time any more still has its caller, and is
// taken where neither the link nor the slots are needed for those that can.
func excess(backlog, takes, objective time.Duration, ld result.Load) time.Duration {
	switch {
	case takes <= objective:
		return backlog + takes - objective
	case 2*ld.Running > ld.Slots:
		return max(ld.ServiceTime, backlog)
	}
	return backlog - lateBacklog
}

// pace returns how an answer of a size is sent, size 0 for an unknown one.
func (tf *transfer) pace(ctx context.Context, size int64) proxy.Pace {
	if tf.link == nil || size > 0 && size <= smallAnswer {
		return proxy.Pace{}
	}
	if tf.an == nil {
		tf.an = tf.link.Expect(int(size), tf.rate)
	} else {
		tf.an.Begin(int(size))
	}
	return proxy.Pace{Piece: tf.link.Piece(), Wait: func(n int) error { return tf.an.Wait(ctx, n) }}
}

// end gives the link back.
func (tf *transfer) end() {
	if tf.an != nil {
		tf.an.End()
	}
}

// sameHost reports whether a request came from the VM that it came to.
func sameHost(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	here, _, herr := net.SplitHostPort(local.String())
	there, _, terr := net.SplitHostPort(r.RemoteAddr)
	return herr == nil && terr == nil && here == there
}
