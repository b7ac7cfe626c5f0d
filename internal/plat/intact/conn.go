package intact

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a client's connection to an HTTP/1 server. Begin must be called before each request but the
// first.
//
// It refuses a response whose head violates the protocol, before the HTTP library reads the line that
// does.
//
// The kernel reports the failure of a socket once. If a write receives the error, reads end with
// io.EOF, which is how a response without a length ends. Conn returns io.EOF only if the server has
// closed the connection in order.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	changed *sync.Cond
	// writing is set while a write is in progress; writeErr is the first error of a write.
	writing  bool
	writeErr error
	// head checks the head of the current response, refused is what is wrong with it.
	head    headScanner
	refused *Error
	// ended is set once a read has failed or has returned the end of the stream.
	ended bool
}

// New returns a connection that reads from and writes to nc.
func New(nc net.Conn) *Conn {
	cn := &Conn{Conn: nc}
	cn.changed = sync.NewCond(&cn.mu)
	return cn
}

// SyscallConn returns the raw connection of the socket.
func (cn *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Write writes p.
func (cn *Conn) Write(p []byte) (int, error) {
	cn.mu.Lock()
	cn.writing = true
	cn.mu.Unlock()
	n, err := cn.Conn.Write(p)
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.writing = false
	if err != nil && cn.writeErr == nil {
		cn.writeErr = err
	}
	cn.changed.Broadcast()
	return n, err
}

// Begin starts a request on a connection that has been used.
func (cn *Conn) Begin() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.head = headScanner{}
}

// HeadRead reports whether a whole head was read as the response to the current request, and no write
// has failed.
func (cn *Conn) HeadRead() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.head.part == beyond && cn.writeErr == nil
}

// Ended reports whether a read has failed or has returned the end of the stream. The HTTP library refuses
// a malformed body before that.
func (cn *Conn) Ended() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.ended
}

// scan checks bytes of a response that were read. It returns how many of them may be passed on.
func (cn *Conn) scan(p []byte) (int, error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	n, er := cn.head.scan(p)
	if er != nil {
		cn.refused = er
		return n, er
	}
	return n, nil
}

// Refusal returns what is wrong with the head of the response, nil if nothing is. The HTTP library may
// report another error, since it takes an incomplete line for a whole one.
func (cn *Conn) Refusal() *Error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.refused
}

// Read reads into p. After a malformed head, all reads fail.
func (cn *Conn) Read(p []byte) (int, error) {
	if er := cn.Refusal(); er != nil {
		return 0, er
	}
	n, err := cn.Conn.Read(p)
	if err != nil {
		cn.mu.Lock()
		cn.ended = true
		cn.mu.Unlock()
	}
	if n > 0 {
		if sound, err := cn.scan(p[:n]); err != nil {
			return sound, err
		}
	}
	if errors.Is(err, io.EOF) {
		err = cn.verifyEnd(err)
	}
	return n, err
}

// past is a deadline that ends a pending write at once.
var past = time.Unix(1, 0)

// verifyEnd returns eof, the end that a read returned, or an *Error if the connection has failed.
func (cn *Conn) verifyEnd(eof error) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.writing {
		// A write that has received the error of the socket returns it in spite of the deadline. Any
		// other one is of no use, since the response to its request has ended.
		if err := cn.Conn.SetWriteDeadline(past); err != nil {
			return &Error{Kind: CutOff, Detail: "the connection failed", Err: err}
		}
	}
	for cn.writing {
		cn.changed.Wait()
	}
	if err := cn.writeErr; err != nil && !endsInOrder(err) {
		return &Error{Kind: CutOff, Detail: "the connection failed before the end of the response", Err: err}
	}
	return eof
}

// endsInOrder reports whether reads from a connection end in order although a write failed with err,
// its first error: the write was interrupted, or it failed because the server had closed the
// connection before.
func endsInOrder(err error) bool {
	// A reset that follows an orderly close is EPIPE, or io.ErrClosedPipe in memory; any other one is
	// ECONNRESET.
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrClosedPipe) || errors.Is(err, net.ErrClosed)
}
