package kvtest

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/dialer"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// EOFDelayer makes connections whose end is noticed late: a read that finds it returns only once
// something was written or the connection was closed, as in a process that is short of
// processor time.
type EOFDelayer struct {
	mu    sync.Mutex
	conns []*lateConn
}

type lateConn struct {
	*net.TCPConn
	moved chan struct{}
	once  sync.Once
	// armed is set once the end may come.
	armed chan struct{}
}

// Dial opens a connection over loopback.
func (le *EOFDelayer) Dial(addr string) (net.Conn, error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	lc := &lateConn{TCPConn: nc.(*net.TCPConn), moved: make(chan struct{}), armed: make(chan struct{})}
	le.mu.Lock()
	defer le.mu.Unlock()
	le.conns = append(le.conns, lc)
	return lc, nil
}

// Read reads; the end of the connection is held back.
func (lc *lateConn) Read(p []byte) (int, error) {
	n, err := lc.TCPConn.Read(p)
	if n == 0 {
		<-lc.moved
	}
	return n, err
}

// Write writes; once the end may have come, it lets that be noticed.
func (lc *lateConn) Write(p []byte) (int, error) {
	n, err := lc.TCPConn.Write(p)
	select {
	case <-lc.armed:
		lc.once.Do(func() { close(lc.moved) })
	default:
	}
	return n, err
}

// Close closes the connection.
func (lc *lateConn) Close() error {
	lc.once.Do(func() { close(lc.moved) })
	return lc.TCPConn.Close()
}

// ClosedBeforeCall checks that a write is done whose kept connection the service had closed
// before the call; closeAll closes the connections from the side of the service.
func ClosedBeforeCall(t *testing.T, kv store.Store, le *EOFDelayer, closeAll func()) {
	t.Helper()
	wantSwap(t, kv, store.Change{Key: "a", Value: []byte("1")}, true)
	le.mu.Lock()
	list := le.conns
	le.mu.Unlock()
	closeAll()
	for _, lc := range list {
		for end := time.Now().Add(5 * time.Second); !dialer.IsStale(lc) && time.Now().Before(end); {
			<-time.After(time.Millisecond)
		}
		close(lc.armed)
	}
	ent := wantSwap(t, kv, store.Change{Key: "b", Value: []byte("1")}, true)
	if !ent.Revision.Exists() {
		t.Error("the second write has no revision")
	}
}
