package kvtest

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/dialer"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// LateEnd makes connections whose end is noticed late: a read that finds it returns only once
// something was written or the connection was closed, as in a process that is short of
// processor time.
type LateEnd struct {
	mu    sync.Mutex
	conns []*delayedEOFConn
}

type delayedEOFConn struct {
	*net.TCPConn
	released chan struct{}
	once     sync.Once
	// armed is set once the end may come.
	armed chan struct{}
}

// Dial opens a connection over loopback.
func (ed *LateEnd) Dial(addr string) (net.Conn, error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	dc := &delayedEOFConn{TCPConn: nc.(*net.TCPConn), released: make(chan struct{}), armed: make(chan struct{})}
	ed.mu.Lock()
	defer ed.mu.Unlock()
	ed.conns = append(ed.conns, dc)
	return dc, nil
}

// Read reads; the end of the connection is held back.
func (dc *delayedEOFConn) Read(p []byte) (int, error) {
	n, err := dc.TCPConn.Read(p)
	if n == 0 {
		<-dc.released
	}
	return n, err
}

// Write writes; once the end may have come, it lets that be noticed.
func (dc *delayedEOFConn) Write(p []byte) (int, error) {
	n, err := dc.TCPConn.Write(p)
	select {
	case <-dc.armed:
		dc.once.Do(func() { close(dc.released) })
	default:
	}
	return n, err
}

// Close closes the connection.
func (dc *delayedEOFConn) Close() error {
	dc.once.Do(func() { close(dc.released) })
	return dc.TCPConn.Close()
}

// EndedBeforeCall checks that a write is done whose kept connection the service had closed
// before the call; closeAll closes the connections from the side of the service.
func EndedBeforeCall(t *testing.T, kv store.Store, ed *LateEnd, closeAll func()) {
	t.Helper()
	wantSwap(t, kv, store.Change{Key: "a", Value: []byte("1")}, true)
	ed.mu.Lock()
	conns := ed.conns
	ed.mu.Unlock()
	closeAll()
	for _, dc := range conns {
		for end := time.Now().Add(5 * time.Second); !dialer.IsStale(dc) && time.Now().Before(end); {
			<-time.After(time.Millisecond)
		}
		close(dc.armed)
	}
	ent := wantSwap(t, kv, store.Change{Key: "b", Value: []byte("1")}, true)
	if !ent.Revision.Exists() {
		t.Error("the second write has no revision")
	}
}
