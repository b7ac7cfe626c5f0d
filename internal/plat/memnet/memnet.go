package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Network is an in-memory network. Latency and Rate may be set only before it is used.
type Network struct {
	// Latency returns the one-way latency between two hosts.
	Latency func(from, to *Host) time.Duration
	// Rate returns the bandwidth of a connection between two hosts in bytes per second, 0
	// for no limit. A nil function means no limit.
	Rate func(from, to *Host) int

	mu          sync.Mutex
	hosts       map[string]*Host
	conns       map[*pipe]bool
	partitioned func(a, b *Host) bool
	corrupt     func(from, to *Host, p []byte) []byte
	changed     chan struct{}
}

// Host is an endpoint, identified by its address.
type Host struct {
	Addr, Domain string
	// BytesIn and BytesOut count the bytes of all connections of the host. They continue
	// when a new process listens on the same address.
	BytesIn, BytesOut atomic.Int64
	ln                *listener
}

// New returns a network without hosts and with a latency of one millisecond.
func New() *Network {
	return &Network{
		hosts: map[string]*Host{}, conns: map[*pipe]bool{}, changed: make(chan struct{}),
		partitioned: func(*Host, *Host) bool { return false },
		Latency:     func(*Host, *Host) time.Duration { return time.Millisecond },
	}
}

// SetPartition sets the function that reports whether two hosts cannot reach each other; nil
// means that all can. Bytes in flight are delivered after the partition heals, as in TCP.
func (nw *Network) SetPartition(partitioned func(a, b *Host) bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if partitioned == nil {
		partitioned = func(*Host, *Host) bool { return false }
	}
	nw.partitioned = partitioned
	close(nw.changed)
	nw.changed = make(chan struct{})
}

// SetCorrupt sets the function that changes the bytes of each write; nil leaves them as they
// are.
func (nw *Network) SetCorrupt(fn func(from, to *Host, p []byte) []byte) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.corrupt = fn
}

func (nw *Network) linkState(a, b *Host) (partitioned bool, changed <-chan struct{}) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.partitioned(a, b), nw.changed
}

// Listen creates a host with a listener. An address may be reused after its listener is closed.
func (nw *Network) Listen(addr, domain string) (*Host, net.Listener) {
	ho := &Host{Addr: addr, Domain: domain}
	ho.ln = &listener{addr: addrName(addr), conns: make(chan net.Conn), done: make(chan struct{})}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if old := nw.hosts[addr]; old != nil {
		// The counters continue for the address.
		ho.BytesIn.Store(old.BytesIn.Load())
		ho.BytesOut.Store(old.BytesOut.Load())
	}
	nw.hosts[addr] = ho
	return ho, ho.ln
}

func (nw *Network) host(addr string) *Host {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.hosts[addr]
}

// CloseConns closes all connections of a host, as when its process is killed.
func (nw *Network) CloseConns(ho *Host) {
	nw.mu.Lock()
	var pipes []*pipe
	for pi := range nw.conns {
		if pi.from == ho || pi.to == ho {
			pipes = append(pipes, pi)
		}
	}
	nw.mu.Unlock()
	for _, pi := range pipes {
		pi.close()
	}
}

// Dial opens a connection from a host to an address.
func (nw *Network) Dial(ctx context.Context, from *Host, addr string) (net.Conn, error) {
	to := nw.host(addr)
	if to == nil {
		return nil, errors.New("connection refused")
	}
	for {
		partitioned, changed := nw.linkState(from, to)
		if !partitioned {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	out, back := nw.newPipe(from, to), nw.newPipe(to, from)
	local := &conn{r: back, w: out, local: addrName(from.Addr), remote: addrName(addr)}
	peer := &conn{r: out, w: back, local: addrName(addr), remote: addrName(from.Addr)}
	select {
	case to.ln.conns <- peer:
		return local, nil
	case <-to.ln.done:
		local.Close()
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		local.Close()
		return nil, ctx.Err()
	}
}

type addrName string

func (an addrName) Network() string { return "mem" }
func (an addrName) String() string  { return string(an) }

type listener struct {
	addr  addrName
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (ln *listener) Accept() (net.Conn, error) {
	select {
	case cn := <-ln.conns:
		return cn, nil
	case <-ln.done:
		return nil, net.ErrClosed
	}
}

func (ln *listener) Close() error {
	ln.once.Do(func() { close(ln.done) })
	return nil
}

func (ln *listener) Addr() net.Addr { return ln.addr }

// pipe is one direction of a connection.
type pipe struct {
	nw       *Network
	from, to *Host

	mu       sync.Mutex
	chunks   []chunk
	closed   bool
	deadline time.Time
	// busyUntil is when the bytes written so far have been sent at the rate limit.
	busyUntil time.Time
	changed   chan struct{}
}

type chunk struct {
	due  time.Time
	data []byte
}

func (nw *Network) newPipe(from, to *Host) *pipe {
	pi := &pipe{nw: nw, from: from, to: to, changed: make(chan struct{})}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.conns[pi] = true
	return pi
}

// notifyReader wakes up the reader. The caller holds pi.mu.
func (pi *pipe) notifyReader() {
	close(pi.changed)
	pi.changed = make(chan struct{})
}

func (pi *pipe) close() {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	if !pi.closed {
		pi.closed = true
		pi.notifyReader()
	}
	pi.nw.mu.Lock()
	defer pi.nw.mu.Unlock()
	delete(pi.nw.conns, pi)
}

func (pi *pipe) write(p []byte) (int, error) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	if pi.closed {
		return 0, io.ErrClosedPipe
	}
	n := len(p)
	pi.from.BytesOut.Add(int64(n))
	pi.nw.mu.Lock()
	corrupt := pi.nw.corrupt
	pi.nw.mu.Unlock()
	data := append([]byte(nil), p...)
	if corrupt != nil {
		data = corrupt(pi.from, pi.to, data)
	}
	for len(data) > maxChunk {
		pi.chunks = append(pi.chunks, chunk{due: pi.arrival(maxChunk), data: data[:maxChunk:maxChunk]})
		data = data[maxChunk:]
	}
	pi.chunks = append(pi.chunks, chunk{due: pi.arrival(len(data)), data: data})
	pi.notifyReader()
	return n, nil
}

// maxChunk is the maximum number of bytes that arrive at once.
const maxChunk = 1 << 10

// arrival returns when n bytes written now arrive. The caller holds pi.mu.
func (pi *pipe) arrival(n int) time.Time {
	at := time.Now()
	if pi.nw.Rate != nil {
		if rate := pi.nw.Rate(pi.from, pi.to); rate > 0 {
			if at.Before(pi.busyUntil) {
				at = pi.busyUntil
			}
			at = at.Add(time.Duration(n) * time.Second / time.Duration(rate))
			pi.busyUntil = at
		}
	}
	return at.Add(pi.nw.Latency(pi.from, pi.to))
}

func (pi *pipe) read(p []byte) (int, error) {
	for {
		partitioned, partitionChanged := pi.nw.linkState(pi.from, pi.to)
		pi.mu.Lock()
		now := time.Now()
		wait := time.Hour
		switch {
		case !pi.deadline.IsZero() && !now.Before(pi.deadline):
			pi.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case !partitioned && len(pi.chunks) > 0 && !now.Before(pi.chunks[0].due):
			n := copy(p, pi.chunks[0].data)
			if pi.chunks[0].data = pi.chunks[0].data[n:]; len(pi.chunks[0].data) == 0 {
				pi.chunks = pi.chunks[1:]
			}
			pi.mu.Unlock()
			pi.to.BytesIn.Add(int64(n))
			return n, nil
		case !partitioned && len(pi.chunks) > 0:
			wait = pi.chunks[0].due.Sub(now)
		case pi.closed && !partitioned:
			pi.mu.Unlock()
			return 0, io.EOF
		}
		if !pi.deadline.IsZero() {
			wait = min(wait, pi.deadline.Sub(now))
		}
		changed := pi.changed
		pi.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-partitionChanged:
		case <-timer.C:
		}
		timer.Stop()
	}
}

type conn struct {
	r, w          *pipe
	local, remote addrName
}

func (cn *conn) Read(p []byte) (int, error)  { return cn.r.read(p) }
func (cn *conn) Write(p []byte) (int, error) { return cn.w.write(p) }

// Close closes both directions. The peer can still read what was sent before.
func (cn *conn) Close() error {
	cn.w.close()
	cn.r.mu.Lock()
	cn.r.chunks = nil
	cn.r.deadline = time.Unix(1, 0)
	cn.r.mu.Unlock()
	cn.r.close()
	cn.r.mu.Lock()
	cn.r.notifyReader()
	cn.r.mu.Unlock()
	return nil
}

// CloseWrite closes the direction to the peer only.
func (cn *conn) CloseWrite() error {
	cn.w.close()
	return nil
}

func (cn *conn) LocalAddr() net.Addr  { return cn.local }
func (cn *conn) RemoteAddr() net.Addr { return cn.remote }

func (cn *conn) SetDeadline(t time.Time) error { return cn.SetReadDeadline(t) }

func (cn *conn) SetReadDeadline(t time.Time) error {
	cn.r.mu.Lock()
	defer cn.r.mu.Unlock()
	cn.r.deadline = t
	cn.r.notifyReader()
	return nil
}

func (cn *conn) SetWriteDeadline(time.Time) error { return nil }
