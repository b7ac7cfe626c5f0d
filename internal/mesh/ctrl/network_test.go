package ctrl

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

// network is an in-memory network with latencies, cuts and byte counts. It
// stands in for real sockets, which a bubble of testing/synctest does not see
// as idle.
type network struct {
	// latency is the time that bytes take between two hosts.
	latency func(from, to *host) time.Duration

	mu      sync.Mutex
	hosts   map[string]*host
	conns   map[*pipe]bool
	cut     func(a, b *host) bool
	changed chan struct{}
	// corrupt, when set, may change the bytes of one write.
	corrupt func(from, to *host, p []byte) []byte
}

// host is one end point, named by its address.
type host struct {
	addr, domain string
	in, out      atomic.Int64
	ln           *memListener
}

func newNetwork() *network {
	return &network{
		hosts: map[string]*host{}, conns: map[*pipe]bool{}, changed: make(chan struct{}),
		cut:     func(a, b *host) bool { return false },
		latency: func(a, b *host) time.Duration { return time.Millisecond },
	}
}

// setCut replaces which hosts cannot reach each other.
func (nw *network) setCut(cut func(a, b *host) bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if cut == nil {
		cut = func(a, b *host) bool { return false }
	}
	nw.cut = cut
	close(nw.changed)
	nw.changed = make(chan struct{})
}

func (nw *network) state(a, b *host) (cut bool, changed <-chan struct{}) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.cut(a, b), nw.changed
}

// listen makes a host with a listener; an address may be taken again after its
// listener was closed.
func (nw *network) listen(addr, domain string) (*host, net.Listener) {
	ho := &host{addr: addr, domain: domain}
	ho.ln = &memListener{addr: memAddr(addr), conns: make(chan net.Conn), done: make(chan struct{})}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if old := nw.hosts[addr]; old != nil {
		// The counters go on with the address.
		ho.in.Store(old.in.Load())
		ho.out.Store(old.out.Load())
	}
	nw.hosts[addr] = ho
	return ho, ho.ln
}

func (nw *network) host(addr string) *host {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.hosts[addr]
}

// reset ends all connections of a host, as the death of its process does.
func (nw *network) reset(ho *host) {
	nw.mu.Lock()
	var list []*pipe
	for pi := range nw.conns {
		if pi.from == ho || pi.to == ho {
			list = append(list, pi)
		}
	}
	nw.mu.Unlock()
	for _, pi := range list {
		pi.close()
	}
}

func (nw *network) dial(ctx context.Context, from *host, addr string) (net.Conn, error) {
	to := nw.host(addr)
	if to == nil {
		return nil, errors.New("connection refused")
	}
	for {
		cut, changed := nw.state(from, to)
		if !cut {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	out, back := nw.newPipe(from, to), nw.newPipe(to, from)
	local := &memConn{r: back, w: out, local: memAddr(from.addr), remote: memAddr(addr)}
	far := &memConn{r: out, w: back, local: memAddr(addr), remote: memAddr(from.addr)}
	select {
	case to.ln.conns <- far:
		return local, nil
	case <-to.ln.done:
		local.Close()
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		local.Close()
		return nil, ctx.Err()
	}
}

type memAddr string

func (ma memAddr) Network() string { return "mem" }
func (ma memAddr) String() string  { return string(ma) }

type memListener struct {
	addr  memAddr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (ml *memListener) Accept() (net.Conn, error) {
	select {
	case cn := <-ml.conns:
		return cn, nil
	case <-ml.done:
		return nil, net.ErrClosed
	}
}

func (ml *memListener) Close() error {
	ml.once.Do(func() { close(ml.done) })
	return nil
}

func (ml *memListener) Addr() net.Addr { return ml.addr }

// pipe carries bytes one way.
type pipe struct {
	nw       *network
	from, to *host

	mu       sync.Mutex
	chunks   []chunk
	closed   bool
	deadline time.Time
	changed  chan struct{}
}

type chunk struct {
	at   time.Time
	data []byte
}

func (nw *network) newPipe(from, to *host) *pipe {
	pi := &pipe{nw: nw, from: from, to: to, changed: make(chan struct{})}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.conns[pi] = true
	return pi
}

// wake lets the reader look again; pi.mu is held.
func (pi *pipe) wake() {
	close(pi.changed)
	pi.changed = make(chan struct{})
}

func (pi *pipe) close() {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	if !pi.closed {
		pi.closed = true
		pi.wake()
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
	pi.from.out.Add(int64(n))
	pi.nw.mu.Lock()
	corrupt := pi.nw.corrupt
	pi.nw.mu.Unlock()
	data := append([]byte(nil), p...)
	if corrupt != nil {
		data = corrupt(pi.from, pi.to, data)
	}
	pi.chunks = append(pi.chunks, chunk{at: time.Now().Add(pi.nw.latency(pi.from, pi.to)), data: data})
	pi.wake()
	return n, nil
}

func (pi *pipe) read(p []byte) (int, error) {
	for {
		cut, healed := pi.nw.state(pi.from, pi.to)
		pi.mu.Lock()
		now := time.Now()
		wait := time.Hour
		switch {
		case !pi.deadline.IsZero() && !now.Before(pi.deadline):
			pi.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case !cut && len(pi.chunks) > 0 && !now.Before(pi.chunks[0].at):
			n := copy(p, pi.chunks[0].data)
			if pi.chunks[0].data = pi.chunks[0].data[n:]; len(pi.chunks[0].data) == 0 {
				pi.chunks = pi.chunks[1:]
			}
			pi.mu.Unlock()
			pi.to.in.Add(int64(n))
			return n, nil
		case !cut && len(pi.chunks) > 0:
			wait = pi.chunks[0].at.Sub(now)
		case pi.closed && !cut:
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
		case <-healed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

type memConn struct {
	r, w          *pipe
	local, remote memAddr
}

func (mc *memConn) Read(p []byte) (int, error)  { return mc.r.read(p) }
func (mc *memConn) Write(p []byte) (int, error) { return mc.w.write(p) }

// Close ends both ways. The other side reads what was sent before.
func (mc *memConn) Close() error {
	mc.w.close()
	mc.r.mu.Lock()
	mc.r.chunks = nil
	mc.r.deadline = time.Unix(1, 0)
	mc.r.mu.Unlock()
	mc.r.close()
	mc.r.mu.Lock()
	mc.r.wake()
	mc.r.mu.Unlock()
	return nil
}

func (mc *memConn) LocalAddr() net.Addr  { return mc.local }
func (mc *memConn) RemoteAddr() net.Addr { return mc.remote }

func (mc *memConn) SetDeadline(t time.Time) error { return mc.SetReadDeadline(t) }

func (mc *memConn) SetReadDeadline(t time.Time) error {
	mc.r.mu.Lock()
	defer mc.r.mu.Unlock()
	mc.r.deadline = t
	mc.r.wake()
	return nil
}

func (mc *memConn) SetWriteDeadline(time.Time) error { return nil }
