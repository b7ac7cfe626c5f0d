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
	// MaxConcurrent is how many requests of one connection are run at once. Callers
	// send a handful ahead; more would let one connection take all that an outlet
	// runs.
	MaxConcurrent = 16
	// MaxBuffered is how many bytes of answers wait for their turn, over all
	// connections. An answer that finds no room waits before it is written.
	MaxBuffered = 4 << 20
	// maxUnread is how many bytes of requests that wait for their turn are read
	// from one connection; the rest stays in the system's buffer.
	maxUnread = 16 << 10
	// lingerTimeout is how long a connection on which more was sent than was answered
	// stays half open after its last answer. Closed at once, it would be reset, and
	// the caller could lose the answer too.
	lingerTimeout = 500 * time.Millisecond
)

// Front joins connections of callers to an http.Server: its listener, its
// ConnState and ConnContext hooks and its handler must all be used. The fields are
// set before use; the zero value runs nothing ahead of its turn.
type Front struct {
	// Ahead reports whether a request without a body may run before those that were
	// sent before it have been answered, and run again if its answer is lost.
	Ahead func(*http.Request) bool
	// OnConnState is told when a caller's connection becomes active and when all that was
	// read from it has been answered, as http.Server.ConnState is.
	OnConnState func(net.Conn, http.ConnState)

	buffered proxy.Bound
	early    chan net.Conn
	once     sync.Once
	done     chan struct{}
}

// New returns a front.
func New(mayRunEarly func(*http.Request) bool, onConnState func(net.Conn, http.ConnState)) *Front {
	pl := &Front{Ahead: mayRunEarly, OnConnState: onConnState, early: make(chan net.Conn), done: make(chan struct{})}
	pl.buffered.Most = MaxBuffered
	return pl
}

// Listener returns ln with its connections joined.
func (pl *Front) Listener(ln net.Listener) net.Listener {
	ls := &listener{Listener: ln, pl: pl, results: make(chan acceptResult)}
	go ls.acceptLoop()
	return ls
}

// listener accepts callers' connections, and those that stand for one request that
// was sent ahead.
type listener struct {
	net.Listener
	pl      *Front
	results chan acceptResult
}

type acceptResult struct {
	nc  net.Conn
	err error
}

// acceptLoop passes on what the listener beneath accepts until that is closed.
func (ls *listener) acceptLoop() {
	for {
		nc, err := ls.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			ls.pl.close()
			return
		}
		select {
		case ls.results <- acceptResult{nc, err}:
		case <-ls.pl.done:
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
func (pl *Front) close() { pl.once.Do(func() { close(pl.done) }) }

// Accept returns the next connection.
func (ls *listener) Accept() (net.Conn, error) {
	select {
	case ac := <-ls.results:
		if ac.err != nil {
			return nil, ac.err
		}
		return newConn(ls.pl, ac.nc), nil
	case nc := <-ls.pl.early:
		return nc, nil
	case <-ls.pl.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener beneath.
func (ls *listener) Close() error {
	ls.pl.close()
	return ls.Listener.Close()
}

// ConnState is the hook of an http.Server.
func (pl *Front) ConnState(nc net.Conn, state http.ConnState) {
	switch cn := nc.(type) {
	case *conn:
		cn.setState(state)
	case *virtualConn:
		if state == http.StateIdle {
			cn.responseDone(false)
		}
	}
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// ConnContext is the hook of an http.Server.
func (pl *Front) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// Handler returns next, with each connection told of a request before next is
// called.
func (pl *Front) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch cn := r.Context().Value(connKey{}).(type) {
		case *conn:
			cn.setRequest(r)
		case *virtualConn:
			cn.cn.handlerCalled()
		}
		next.ServeHTTP(w, r)
	})
}

// Arrived returns when the head of a request had been read from its caller, which
// is before its handler is called where the request waited for its turn; the zero
// time where that is not known: with HTTP/2, and behind a body without a length.
func Arrived(r *http.Request) time.Time {
	switch cn := r.Context().Value(connKey{}).(type) {
	case *conn:
		cn.mu.Lock()
		defer cn.mu.Unlock()
		return cn.direct.arrived
	case *virtualConn:
		return cn.arrived
	}
	return time.Time{}
}
