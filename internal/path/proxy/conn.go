package proxy

import (
	"errors"
	"io"
	"net"
	"sync"

	"github.com/flamingomast/flamingomast/internal/plat/dialer"
	"github.com/flamingomast/flamingomast/internal/plat/intact"
)

// errConnUnusable reports that a connection was closed, or delivered bytes that belong to no
// response, before a request was written to it.
var errConnUnusable = errors.New("proxy: connection closed, or unsolicited bytes received, before the request was written")

// conn is a connection to the next hop.
//
// It guards against two failures. First, a failed request may or may not have been sent: conn
// counts the bytes written, and a request of which no byte was written has not run. Second, a
// server may send more than its response: the surplus would be taken for the response to the next
// request on the connection, which may be another caller's.
//
// The transport reads from an idle connection, to notice when it is closed, and it does so only
// when its buffer is empty. The first byte of a request is therefore written only while such a read
// is blocked: the buffer holds no surplus then. Data that the read returns before a byte of the
// request was written is surplus too. In both cases the connection is aborted and the request has
// not run. The same applies if the kernel has received the end of a keep-alive connection that the
// read has not returned yet. Surplus that arrives after the request was written cannot be told from
// its response.
type conn struct {
	*intact.Conn

	mu            sync.Mutex
	changed       *sync.Cond
	written       int64 // bytes of all requests
	writtenBefore int64 // bytes of the requests before the current one
	reading       bool  // a read is blocked
	aborted       bool
}

func newConn(nc net.Conn) *conn {
	cn := &conn{Conn: intact.New(nc)}
	cn.changed = sync.NewCond(&cn.mu)
	return cn
}

// begin starts a request and returns how many bytes were written before it.
func (cn *conn) begin() int64 {
	cn.Begin()
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.writtenBefore = cn.written
	return cn.writtenBefore
}

// wrote reports whether more than writtenBefore bytes were written.
func (cn *conn) wrote(writtenBefore int64) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.written > writtenBefore
}

// abort makes all further reads and writes of the connection fail.
func (cn *conn) abort() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.aborted = true
	cn.changed.Broadcast()
}

// Write writes p. It writes the first byte of a request only while a read is blocked.
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
	// The bytes are counted before the write, since a failed write may have sent them.
	cn.written += int64(len(p))
	cn.mu.Unlock()
	return cn.Conn.Write(p)
}

// Read reads into p. Data that arrives before a request was written aborts the connection.
func (cn *conn) Read(p []byte) (int, error) {
	cn.mu.Lock()
	wasAborted := cn.aborted
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
	if !wasAborted && n == 0 && errors.Is(err, io.EOF) {
		// A write that is interrupted at the end of the response makes the transport close the
		// connection. The response is complete nevertheless.
		return 0, err
	}
	if cn.aborted {
		return 0, errConnUnusable
	}
	return n, err
}

// Close closes the connection and wakes up blocked writes.
func (cn *conn) Close() error {
	cn.abort()
	return cn.Conn.Close()
}
