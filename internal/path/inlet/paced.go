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

// smallResponse is the size, in bytes, up to which a response is sent ahead of the large ones: on a
// link of 5 Mbit/s it takes 13 ms.
const smallResponse = 8 << 10

// smallResponseDelay is the time that small responses sent ahead add to a large one. Without this
// allowance, large responses were started that came late by about this much.
const smallResponseDelay = 40 * time.Millisecond

// maxLateBacklog is the backlog up to which a response is accepted that will miss its objective in
// any case: less than one large response in progress.
const maxLateBacklog = 100 * time.Millisecond

// transfer is the sending of one response over the VM's link.
type transfer struct {
	link *pacer.Pacer
	// rate is what the receiver's link accepts, in bytes per second; 0 means unbounded.
	rate float64
	rs   *pacer.Reservation
}

// transfer returns the transfer for the response to a request. A response to an outlet on the same
// VM does not use the link.
func (in *Inlet) transfer(r *http.Request) *transfer {
	tf := &transfer{}
	if in.link == nil || sameHost(r) {
		return tf
	}
	tf.link = in.link
	if rate, err := strconv.ParseUint(r.Header.Get(result.RateHeader), 10, 32); err == nil {
		// Without the header, the outlet's link is not narrow, or the outlet is of an older
		// release.
		tf.rate = float64(rate)
	}
	return tf
}

// reserve reserves the link if the outlet expects a large response, or refuses the request: a
// response that comes too late for its objective has used a slot of the server and delayed others
// on the link. This applies when more large responses are requested than the link carries; they
// would otherwise delay each other until all of them are late.
func (tf *transfer) reserve(r *http.Request, objective time.Duration, ld result.Load) *result.Refusal {
	n, err := strconv.ParseUint(r.Header.Get(result.SizeHeader), 10, 31)
	if err != nil || tf.link == nil {
		// The response is not expected to be large.
		return nil
	}
	if objective > 0 {
		sendTime := tf.link.SendTime(int(n), tf.rate) + ld.ServiceTime + smallResponseDelay
		if over := excess(tf.link.Backlog(), sendTime, objective, ld); over > 0 {
			return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonLinkFull, RetryAfter: over}
		}
	}
	tf.rs = tf.link.Reserve(int(n), tf.rate)
	return nil
}

// excess returns by how much the link's backlog is too long for a response that takes sendTime on
// an idle link and has to arrive within objective; 0 or less means that the response is accepted. A
// response that can no longer be in time still has a caller waiting for it: it is accepted as long
// as neither the link nor the slots are needed for responses that can be in time.
func excess(backlog, sendTime, objective time.Duration, ld result.Load) time.Duration {
	switch {
	case sendTime <= objective:
		return backlog + sendTime - objective
	case 2*ld.Running > ld.Slots:
		return max(ld.ServiceTime, backlog)
	}
	return backlog - maxLateBacklog
}

// pace returns how to send a response of the given size; 0 means unknown.
func (tf *transfer) pace(ctx context.Context, size int64) proxy.Pace {
	if tf.link == nil || size > 0 && size <= smallResponse {
		return proxy.Pace{}
	}
	if tf.rs == nil {
		tf.rs = tf.link.Reserve(int(size), tf.rate)
	} else {
		tf.rs.Begin(int(size))
	}
	return proxy.Pace{ChunkSize: tf.link.ChunkSize(), Wait: func(n int) error { return tf.rs.Wait(ctx, n) }}
}

// release releases the link.
func (tf *transfer) release() {
	if tf.rs != nil {
		tf.rs.Release()
	}
}

// sameHost reports whether a request came from the VM that received it.
func sameHost(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	here, _, herr := net.SplitHostPort(local.String())
	there, _, terr := net.SplitHostPort(r.RemoteAddr)
	return herr == nil && terr == nil && here == there
}
