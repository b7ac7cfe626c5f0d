package piping

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/proxy"
)

// The bounds of what callers can make a connection do.
const (
	// MostUnderWay is how many requests of one connection are run at once. Callers
	// send a handful ahead; more would let one connection take all that an outlet
	// runs.
	MostUnderWay = 16
	// MostHeld is how many bytes of answers wait for their turn, over all
	// connections. An answer that finds no room waits before it is written.
	MostHeld = 4 << 20
	// mostUnread is how many bytes of requests that wait for their turn are read
	// from one connection; the rest stays in the system's buffer.
	mostUnread = 16 << 10
	// linger is how long a connection on which more was sent than was answered
	// stays half open after its last answer. Closed at once, it would be reset, and
	// the caller could lose the answer too.
	linger = 500 * time.Millisecond
)

// Pipeliner joins connections of callers to an http.Server: its listener, its
// ConnState and ConnContext hooks and its handler must all be used. The fields are
// set before use; the zero value runs nothing ahead of its turn.
type Pipeliner struct {
	// MayRunEarly reports whether a request without a body may run before those that were
	// sent before it have been answered, and run again if its answer is lost.
	MayRunEarly func(*http.Request) bool
	// State is told when a caller's connection becomes active and when all that was
	// read from it has been answered, as http.Server.ConnState is.
	State func(net.Conn, http.ConnState)

	held  proxy.Budget
	ahead chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// New returns a front.
func New(ahead func(*http.Request) bool, state func(net.Conn, http.ConnState)) *Pipeliner {
	fr := &Pipeliner{MayRunEarly: ahead, State: state, ahead: make(chan net.Conn), done: make(chan struct{})}
	fr.held.Limit = MostHeld
	return fr
}

// Listener returns ln with its connections joined.
func (fr *Pipeliner) Listener(ln net.Listener) net.Listener {
	ls := &listener{Listener: ln, fr: fr, accepted: make(chan accepted)}
	go ls.accept()
	return ls
}

// listener accepts callers' connections, and those that stand for one request that
// was sent ahead.
type listener struct {
	net.Listener
	fr       *Pipeliner
	accepted chan accepted
}

type accepted struct {
	nc  net.Conn
	err error
}

// accept passes on what the listener beneath accepts until that is closed.
func (ls *listener) accept() {
	for {
		nc, err := ls.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			ls.fr.close()
			return
		}
		select {
		case ls.accepted <- accepted{nc, err}:
		case <-ls.fr.done:
			if err == nil {
				// Nobody accepts it any more; its caller goes elsewhere.
				_ = nc.Close()
			}
			return
		}
	}
}

// close ends accepting. Requests that are sent ahead wait for their turn from now
// on.
func (fr *Pipeliner) close() { fr.once.Do(func() { close(fr.done) }) }

// Accept returns the next connection.
func (ls *listener) Accept() (net.Conn, error) {
	select {
	case ac := <-ls.accepted:
		if ac.err != nil {
			return nil, ac.err
		}
		return newConn(ls.fr, ac.nc), nil
	case nc := <-ls.fr.ahead:
		return nc, nil
	case <-ls.fr.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener beneath.
func (ls *listener) Close() error {
	ls.fr.close()
	return ls.Listener.Close()
}

// ConnState is the hook of an http.Server.
func (fr *Pipeliner) ConnState(nc net.Conn, state http.ConnState) {
	switch cn := nc.(type) {
	case *conn:
		cn.setState(state)
	case *branch:
		if state == http.StateIdle {
			cn.end(false)
		}
	}
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// ConnContext is the hook of an http.Server.
func (fr *Pipeliner) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// Handler returns next, with each connection told of a request before next is
// called.
func (fr *Pipeliner) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch cn := r.Context().Value(connKey{}).(type) {
		case *conn:
			cn.setRequest(r)
		case *branch:
			cn.cn.entered()
		}
		next.ServeHTTP(w, r)
	})
}

// ArrivalTime returns when the head of a request had been read from its caller, which
// is before its handler is called where the request waited for its turn; the zero
// time where that is not known: with HTTP/2, and behind a body without a length.
func ArrivalTime(r *http.Request) time.Time {
	switch cn := r.Context().Value(connKey{}).(type) {
	case *conn:
		cn.mu.Lock()
		defer cn.mu.Unlock()
		return cn.own.arrived
	case *branch:
		return cn.arrived
	}
	return time.Time{}
}
