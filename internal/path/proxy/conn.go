package proxy

import (
	"errors"
	"net"
	"sync"

	"github.com/flamingomast/flamingomast/internal/plat/dialer"
)

// errConnUnusable ends a connection that closed, or on which bytes came that belong to no
// answer, before a request was written.
var errConnUnusable = errors.New("proxy: the connection closed, or bytes came that belong to no answer")

// conn is a connection to the next hop.
//
// It guards against two failures. A request that fails may or may not have
// been sent: conn counts what was written, and a request of which nothing was
// written has not run. And a server may send more than its answer: the surplus
// would be taken for the answer to the next request on the connection, which
// is another caller's.
//
// The transport reads from an idle connection, to notice when it is closed,
// and it does so only when its buffer is empty. So the first byte of a request
// is written only while that read waits: no surplus lies in the buffer then.
// What the read returns before a byte of the request was written is surplus
// too. In both cases the connection ends and the request has not run, and so it
// is where the system has received the end of a kept connection that the read
// has not returned yet. Bytes that come only after the request was written
// cannot be told from its answer by anyone.
type conn struct {
	net.Conn

	mu            sync.Mutex
	changed       *sync.Cond
	written       int64 // bytes of all requests
	writtenBefore int64 // bytes of the requests before the present one
	reading       bool  // a read waits
	aborted       bool
}

func newConn(nc net.Conn) *conn {
	cn := &conn{Conn: nc}
	cn.changed = sync.NewCond(&cn.mu)
	return cn
}

// begin starts a request and returns how many bytes were written before it.
func (cn *conn) begin() int64 {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.writtenBefore = cn.written
	return cn.writtenBefore
}

// wrote reports whether more than before bytes were written.
func (cn *conn) wrote(writtenBefore int64) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.written > writtenBefore
}

// abort ends the connection for all further use.
func (cn *conn) abort() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.aborted = true
	cn.changed.Broadcast()
}

// Write writes, the first byte of a request only while a read waits.
func (cn *conn) Write(p []byte) (int, error) {
	cn.mu.Lock()
	for cn.written == cn.writtenBefore && !cn.reading && !cn.aborted {
		cn.changed.Wait()
	}
	if !cn.aborted && cn.written == cn.writtenBefore && cn.writtenBefore > 0 && dialer.IsStale(cn.Conn) {
		cn.aborted = true
	}
	if cn.aborted {
		cn.mu.Unlock()
		return 0, errConnUnusable
	}
	// Counted ahead of the write: what a failed one may have sent counts.
	cn.written += int64(len(p))
	cn.mu.Unlock()
	return cn.Conn.Write(p)
}

// Read reads; what comes before a request was written is surplus.
func (cn *conn) Read(p []byte) (int, error) {
	cn.mu.Lock()
	cn.reading = true
	cn.changed.Broadcast()
	cn.mu.Unlock()
	n, err := cn.Conn.Read(p)
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.reading = false
	if n > 0 && cn.written == cn.writtenBefore {
		cn.aborted = true
	}
	if cn.aborted {
		return 0, errConnUnusable
	}
	return n, err
}

// Close ends the connection and whoever waits on it.
func (cn *conn) Close() error {
	cn.abort()
	return cn.Conn.Close()
}
