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

// Network is a network in memory. Its functions may be set before it is used.
type Network struct {
	// Latency is the time that bytes take between two hosts.
	Latency func(from, to *Host) time.Duration
	// Rate is how many bytes a second a connection carries between two hosts, 0 for any
	// number; nil stands for 0.
	Rate func(from, to *Host) int

	mu      sync.Mutex
	hosts   map[string]*Host
	conns   map[*pipe]bool
	cut     func(a, b *Host) bool
	corrupt func(from, to *Host, p []byte) []byte
	changed chan struct{}
}

// Host is one end point, named by its address.
type Host struct {
	Addr, Domain string
	// BytesIn and Out count the bytes of all its connections; they go on with the
	// address when a new process takes it.
	BytesIn, BytesOut atomic.Int64
	ln                *listener
}

// New returns a network without hosts, whose latency is a millisecond.
func New() *Network {
	return &Network{
		hosts: map[string]*Host{}, conns: map[*pipe]bool{}, changed: make(chan struct{}),
		cut:     func(*Host, *Host) bool { return false },
		Latency: func(*Host, *Host) time.Duration { return time.Millisecond },
	}
}

// SetPartition replaces which hosts cannot reach each other; nil cuts none. Bytes on
// their way wait for the cut to heal, as they do in TCP.
func (nw *Network) SetPartition(cut func(a, b *Host) bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if cut == nil {
		cut = func(*Host, *Host) bool { return false }
	}
	nw.cut = cut
	close(nw.changed)
	nw.changed = make(chan struct{})
}

// SetCorrupt lets fn change the bytes of each write; nil changes none.
func (nw *Network) SetCorrupt(fn func(from, to *Host, p []byte) []byte) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.corrupt = fn
}

func (nw *Network) state(a, b *Host) (cut bool, changed <-chan struct{}) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.cut(a, b), nw.changed
}

// Listen makes a host with a listener. An address may be taken again after its
// listener was closed.
func (nw *Network) Listen(addr, domain string) (*Host, net.Listener) {
	ho := &Host{Addr: addr, Domain: domain}
	ho.ln = &listener{addr: addrName(addr), conns: make(chan net.Conn), done: make(chan struct{})}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if old := nw.hosts[addr]; old != nil {
		// The counters go on with the address.
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

// CloseConns ends all connections of a host, as the death of its process does.
func (nw *Network) CloseConns(ho *Host) {
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

// Dial opens a connection from a host to an address.
func (nw *Network) Dial(ctx context.Context, from *Host, addr string) (net.Conn, error) {
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
	local := &conn{r: back, w: out, local: addrName(from.Addr), remote: addrName(addr)}
	far := &conn{r: out, w: back, local: addrName(addr), remote: addrName(from.Addr)}
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

type addrName string

func (ma addrName) Network() string { return "mem" }
func (ma addrName) String() string  { return string(ma) }

type listener struct {
	addr  addrName
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (ml *listener) Accept() (net.Conn, error) {
	select {
	case cn := <-ml.conns:
		return cn, nil
	case <-ml.done:
		return nil, net.ErrClosed
	}
}

func (ml *listener) Close() error {
	ml.once.Do(func() { close(ml.done) })
	return nil
}

func (ml *listener) Addr() net.Addr { return ml.addr }

// pipe carries bytes one way.
type pipe struct {
	nw       *Network
	from, to *Host

	mu       sync.Mutex
	chunks   []chunk
	closed   bool
	deadline time.Time
	// sent is when what was written has left.
	sent    time.Time
	changed chan struct{}
}

type chunk struct {
	at   time.Time
	data []byte
}

func (nw *Network) newPipe(from, to *Host) *pipe {
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
	pi.from.BytesOut.Add(int64(n))
	pi.nw.mu.Lock()
	corrupt := pi.nw.corrupt
	pi.nw.mu.Unlock()
	data := append([]byte(nil), p...)
	if corrupt != nil {
		data = corrupt(pi.from, pi.to, data)
	}
	for len(data) > packet {
		pi.chunks = append(pi.chunks, chunk{at: pi.arrival(packet), data: data[:packet:packet]})
		data = data[packet:]
	}
	pi.chunks = append(pi.chunks, chunk{at: pi.arrival(len(data)), data: data})
	pi.wake()
	return n, nil
}

// packet is the most bytes that arrive at once.
const packet = 1 << 10

// arrival returns when bytes that are written now arrive; pi.mu is held.
func (pi *pipe) arrival(n int) time.Time {
	at := time.Now()
	if pi.nw.Rate != nil {
		if rate := pi.nw.Rate(pi.from, pi.to); rate > 0 {
			if at.Before(pi.sent) {
				at = pi.sent
			}
			at = at.Add(time.Duration(n) * time.Second / time.Duration(rate))
			pi.sent = at
		}
	}
	return at.Add(pi.nw.Latency(pi.from, pi.to))
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
			pi.to.BytesIn.Add(int64(n))
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

type conn struct {
	r, w          *pipe
	local, remote addrName
}

func (mc *conn) Read(p []byte) (int, error)  { return mc.r.read(p) }
func (mc *conn) Write(p []byte) (int, error) { return mc.w.write(p) }

// Close ends both ways. The other side reads what was sent before.
func (mc *conn) Close() error {
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

// CloseWrite ends the way to the other side alone.
func (mc *conn) CloseWrite() error {
	mc.w.close()
	return nil
}

func (mc *conn) LocalAddr() net.Addr  { return mc.local }
func (mc *conn) RemoteAddr() net.Addr { return mc.remote }

func (mc *conn) SetDeadline(t time.Time) error { return mc.SetReadDeadline(t) }

func (mc *conn) SetReadDeadline(t time.Time) error {
	mc.r.mu.Lock()
	defer mc.r.mu.Unlock()
	mc.r.deadline = t
	mc.r.wake()
	return nil
}

func (mc *conn) SetWriteDeadline(time.Time) error { return nil }
