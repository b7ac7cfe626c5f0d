package idle

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Set holds the connections of one server. The zero value is ready for use.
//
// The server's own way to end idle connections takes one for idle until it has
// read the whole head of the next request: a request whose first bytes have
// arrived is then cut off without an answer, and its caller cannot know whether
// it ran. Here a connection is busy from the first byte that was read from it.
type Set struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Listener returns ln with its connections in the set.
func (st *Set) Listener(ln net.Listener) net.Listener { return &listener{Listener: ln, st: st} }

type listener struct {
	net.Listener
	st *Set
}

// Accept accepts a connection.
func (ln *listener) Accept() (net.Conn, error) {
	nc, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: nc, st: ln.st, since: time.Now()}
	ln.st.mu.Lock()
	defer ln.st.mu.Unlock()
	if ln.st.conns == nil {
		ln.st.conns = map[*conn]struct{}{}
	}
	ln.st.conns[cn] = struct{}{}
	return cn, nil
}

// ConnState is the server's ConnState hook: it tells when a request has ended.
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
		cn.busy, cn.since = false, time.Now()
	}
}

// CloseIdle ends the connections that have been idle for longer than age, and returns
// how many are left.
func (st *Set) CloseIdle(age time.Duration) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := time.Now()
	for cn := range st.conns {
		cn.end(now, age)
	}
	return len(st.conns)
}

// Len returns how many connections there are.
func (st *Set) Len() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.conns)
}

type conn struct {
	net.Conn
	st *Set

	mu    sync.Mutex
	busy  bool
	ended bool
	// since is when it became idle.
	since time.Time
}

// past is a deadline that ends a waiting read at once.
var past = time.Unix(1, 0)

func (cn *conn) end(now time.Time, age time.Duration) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.busy || now.Sub(cn.since) < age {
		return
	}
	cn.ended = true
	// A connection that has failed ends by itself.
	_ = cn.Conn.SetReadDeadline(past)
}

// Read reads; what it brings makes the connection busy, also one that was just
// to be ended.
func (cn *conn) Read(p []byte) (int, error) {
	n, err := cn.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.busy = true
	if cn.ended {
		cn.ended = false
		_ = cn.Conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// SetReadDeadline sets the deadline, unless the connection is to be ended.
func (cn *conn) SetReadDeadline(t time.Time) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.ended {
		t = past
	}
	return cn.Conn.SetReadDeadline(t)
}

// CloseWrite ends writing alone, where the connection can.
func (cn *conn) CloseWrite() error {
	if cw, ok := cn.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// Close ends the connection.
func (cn *conn) Close() error {
	cn.st.mu.Lock()
	delete(cn.st.conns, cn)
	cn.st.mu.Unlock()
	return cn.Conn.Close()
}
