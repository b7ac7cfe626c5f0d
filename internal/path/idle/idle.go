package idle

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Set holds the connections of one server. The zero value is ready for use.
//
// net/http considers a connection idle until it has read the whole header of the next request. If
// it closes such a connection, a request whose first bytes have arrived is cut off without a
// response, and its caller cannot know whether it ran. In a Set, a connection is busy from the
// first byte read from it.
type Set struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Listener returns ln with its connections added to the set.
func (st *Set) Listener(ln net.Listener) net.Listener { return &listener{Listener: ln, st: st} }

type listener struct {
	net.Listener
	st *Set
}

// Accept accepts a connection and adds it to the set.
func (ln *listener) Accept() (net.Conn, error) {
	nc, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: nc, st: ln.st, idleSince: time.Now()}
	ln.st.mu.Lock()
	defer ln.st.mu.Unlock()
	if ln.st.conns == nil {
		ln.st.conns = map[*conn]struct{}{}
	}
	ln.st.conns[cn] = struct{}{}
	return cn, nil
}

// ConnState is the server's ConnState hook. It marks connections as busy or idle.
func (st *Set) ConnState(nc net.Conn, state http.ConnState) {
	cn, ok := nc.(*conn)
	if !ok {
		return
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	switch state {
	case http.StateActive:
		cn.busy = true
	case http.StateIdle:
		cn.busy, cn.idleSince = false, time.Now()
	}
}

// CloseIdle closes the connections that have been idle for at least age, and returns how many
// connections the set holds, including those that are being closed.
func (st *Set) CloseIdle(age time.Duration) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := time.Now()
	for cn := range st.conns {
		cn.closeIfIdle(now, age)
	}
	return len(st.conns)
}

// Len returns the number of connections.
func (st *Set) Len() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.conns)
}

type conn struct {
	net.Conn
	st *Set

	mu      sync.Mutex
	busy    bool
	closing bool
	// idleSince is when the connection became idle.
	idleSince time.Time
}

// pastDeadline is a deadline that interrupts a blocked read at once.
var pastDeadline = time.Unix(1, 0)

func (cn *conn) closeIfIdle(now time.Time, age time.Duration) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.busy || now.Sub(cn.idleSince) < age {
		return
	}
	cn.closing = true
	// An error means that the connection has failed, so it is closed anyway.
	_ = cn.Conn.SetReadDeadline(pastDeadline)
}

// Read reads into p. Data makes the connection busy, even if it was about to be closed.
func (cn *conn) Read(p []byte) (int, error) {
	n, err := cn.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.busy = true
	if cn.closing {
		cn.closing = false
		_ = cn.Conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// SetReadDeadline sets the read deadline, unless the connection is being closed.
func (cn *conn) SetReadDeadline(t time.Time) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.closing {
		t = pastDeadline
	}
	return cn.Conn.SetReadDeadline(t)
}

// NetConn returns the underlying connection.
func (cn *conn) NetConn() net.Conn { return cn.Conn }

// CloseWrite closes the write side of the connection, if the underlying connection supports it.
func (cn *conn) CloseWrite() error {
	if cw, ok := cn.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// Close closes the connection and removes it from the set.
func (cn *conn) Close() error {
	cn.st.mu.Lock()
	delete(cn.st.conns, cn)
	cn.st.mu.Unlock()
	return cn.Conn.Close()
}
