package kvtest

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/dialer"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// EOFDelayer dials connections that report EOF late: a read that gets EOF blocks until data is
// written or the connection is closed. This reproduces a process short of CPU time, which
// writes a request before it sees that the peer has closed the connection.
type EOFDelayer struct {
	mu    sync.Mutex
	conns []*delayedEOFConn
}

type delayedEOFConn struct {
	*net.TCPConn
	released chan struct{}
	once     sync.Once
	// armed is closed once a write may release the delayed EOF. released is closed to
	// release it.
	armed chan struct{}
}

// Dial opens a TCP connection whose EOF is delayed.
func (ed *EOFDelayer) Dial(addr string) (net.Conn, error) {
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

// Read delays EOF and errors until released.
func (dc *delayedEOFConn) Read(p []byte) (int, error) {
	n, err := dc.TCPConn.Read(p)
	if n == 0 {
		<-dc.released
	}
	return n, err
}

// Write releases a delayed EOF once the connection is armed.
func (dc *delayedEOFConn) Write(p []byte) (int, error) {
	n, err := dc.TCPConn.Write(p)
	select {
	case <-dc.armed:
		dc.once.Do(func() { close(dc.released) })
	default:
	}
	return n, err
}

// Close releases a delayed EOF and closes the connection.
func (dc *delayedEOFConn) Close() error {
	dc.once.Do(func() { close(dc.released) })
	return dc.TCPConn.Close()
}

// ClosedBeforeCall checks that a write succeeds although the service closed the idle connection
// to it before the call. closeAll closes the connections on the side of the service.
func ClosedBeforeCall(t *testing.T, kv store.Store, ed *EOFDelayer, closeAll func()) {
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
		t.Error("the write after the connection was closed returned no revision")
	}
}
