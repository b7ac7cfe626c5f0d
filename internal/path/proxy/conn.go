package proxy

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// errSurplus ends a connection on which bytes came that belong to no answer.
var errSurplus = errors.New("proxy: bytes after the end of an answer")

// blank ends a head, and the last chunk or the trailers of a chunked body
// (RFC 9112, sections 2.1 and 7.1).
var blank = []byte("\r\n\r\n")

// conn is a connection to the next hop.
//
// It guards against two failures. A request that fails may or may not have
// been sent: conn counts what was written, and a request of which nothing was
// written has not run. And a server may send more than its answer: the surplus
// would lie in the transport's buffer and be taken for the answer to the next
// request, which is another caller's. Therefore conn never hands out bytes
// beyond the end of an answer: it ends a read after each blank line, and, in a
// body of known length, at its last byte. What is left over when the next
// request begins, or comes while there is none, ends the connection before
// that request is written, so that it has not run. Bytes that come only after
// the next request was written cannot be told from its answer by anyone.
type conn struct {
	net.Conn
	written atomic.Int64

	mu       sync.Mutex
	serial   uint64 // counts the requests
	active   bool
	poisoned bool
	body     int64  // bytes left of a body of known length
	left     []byte // read from the network and not handed out
	tail     int    // how many bytes of blank the last read ended with
}

// begin starts a request. It returns its serial number and how many bytes had
// been written before.
func (cn *conn) begin() (serial uint64, written int64) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if len(cn.left) > 0 {
		cn.poisoned = true
	}
	cn.serial++
	cn.active, cn.body, cn.tail = true, 0, 0
	return cn.serial, cn.written.Load()
}

// expect says that a body of n bytes follows the head that was read.
func (cn *conn) expect(serial uint64, n int64) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.serial == serial {
		cn.body = n
	}
}

// end says that the answer to a request was read to its end.
func (cn *conn) end(serial uint64) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.serial == serial {
		cn.active = false
	}
}

// Write counts what it writes and refuses to write on a poisoned connection.
func (cn *conn) Write(p []byte) (int, error) {
	cn.mu.Lock()
	bad := cn.poisoned
	cn.mu.Unlock()
	if bad {
		return 0, errSurplus
	}
	n, err := cn.Conn.Write(p)
	cn.written.Add(int64(n))
	return n, err
}

// Read hands out bytes up to the next possible end of an answer.
func (cn *conn) Read(p []byte) (int, error) {
	cn.mu.Lock()
	if len(cn.left) > 0 && !cn.poisoned && cn.active {
		n := copy(p, cn.left)
		n = cn.cut(p[:n])
		cn.left = cn.left[n:]
		cn.mu.Unlock()
		return n, nil
	}
	if cn.poisoned || len(cn.left) > 0 {
		cn.poisoned = true
		cn.mu.Unlock()
		return 0, errSurplus
	}
	cn.mu.Unlock()
	n, err := cn.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if !cn.active {
		cn.poisoned = true
		return 0, errSurplus
	}
	keep := cn.cut(p[:n])
	if keep < n {
		cn.left = append(cn.left[:0:0], p[keep:n]...)
	}
	return keep, err
}

// cut returns how many bytes of p may be handed out at once; cn.mu is held.
func (cn *conn) cut(p []byte) int {
	if cn.body > 0 {
		n := int(min(cn.body, int64(len(p))))
		cn.body -= int64(n)
		return n
	}
	// A blank line that began in the reads before ends within three bytes.
	head := min(len(blank)-1, len(p))
	for i, b := range p[:head] {
		if cn.step(b); cn.tail == len(blank) {
			cn.tail = 0
			return i + 1
		}
	}
	if head == len(p) {
		return len(p)
	}
	cn.tail = 0
	if i := bytes.Index(p, blank); i >= 0 {
		return i + len(blank)
	}
	for _, b := range p[len(p)-head:] {
		cn.step(b)
	}
	return len(p)
}

// step follows how many bytes of blank the input ends with; cn.mu is held.
func (cn *conn) step(b byte) {
	switch {
	case b == blank[cn.tail]:
		cn.tail++
	case b == blank[0]:
		cn.tail = 1
	default:
		cn.tail = 0
	}
}
