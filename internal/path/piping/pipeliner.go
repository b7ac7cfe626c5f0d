package piping

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/gone"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
)

// Limits on the resources that callers can make a connection use.
const (
	// MaxConcurrent is how many requests of one connection run at once. Callers pipeline only a
	// few; a larger limit would let one connection use all of an outlet's concurrency.
	MaxConcurrent = 16
	// MaxBuffered is how many bytes of responses are buffered until earlier ones are sent, over
	// all connections. A write that would exceed it blocks.
	MaxBuffered = 4 << 20
	// maxUnread is how many bytes of waiting requests are read from one connection; the rest
	// stays in the kernel's receive buffer.
	maxUnread = 16 << 10
	// lingerTimeout is how long a connection stays half open after its last response if requests
	// on it were not answered. Closed at once, it would be reset, and the caller could lose the
	// response.
	lingerTimeout = 500 * time.Millisecond
)

// Pipeliner connects callers' connections to an http.Server. Its listener, its ConnState and
// ConnContext hooks and its handler must all be used. The fields are set before use; the zero
// value runs no request early.
type Pipeliner struct {
	// MayRunEarly reports whether a request without a body may run before earlier requests of its
	// connection are answered, and run again if its response is lost.
	MayRunEarly func(*http.Request) bool
	// OnConnState is called when a caller's connection becomes active and when all requests read
	// from it have been answered, like http.Server.ConnState.
	OnConnState func(net.Conn, http.ConnState)

	buffered proxy.Budget
	early    chan net.Conn
	once     sync.Once
	done     chan struct{}
}

// New returns a Pipeliner with the given callbacks.
func New(mayRunEarly func(*http.Request) bool, onConnState func(net.Conn, http.ConnState)) *Pipeliner {
	pl := &Pipeliner{MayRunEarly: mayRunEarly, OnConnState: onConnState, early: make(chan net.Conn), done: make(chan struct{})}
	pl.buffered.Limit = MaxBuffered
	return pl
}

// Listener wraps ln so that pipelined requests on its connections can run early.
func (pl *Pipeliner) Listener(ln net.Listener) net.Listener {
	ls := &listener{Listener: ln, pl: pl, results: make(chan acceptResult)}
	go ls.acceptLoop()
	return ls
}

// listener accepts callers' connections and virtual connections of pipelined requests.
type listener struct {
	net.Listener
	pl      *Pipeliner
	results chan acceptResult
}

type acceptResult struct {
	nc  net.Conn
	err error
}

// acceptLoop passes on connections from the wrapped listener until that is closed.
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
				// Accept no longer returns it; the caller has to connect elsewhere.
				_ = nc.Close()
			}
			return
		}
	}
}

// close ends accepting. Pipelined requests that arrive later wait until those before them are
// answered.
func (pl *Pipeliner) close() { pl.once.Do(func() { close(pl.done) }) }

// Accept returns the next connection, from a caller or a virtual one.
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

// Close closes the wrapped listener.
func (ls *listener) Close() error {
	ls.pl.close()
	return ls.Listener.Close()
}

// ConnState is the ConnState hook of the http.Server.
func (pl *Pipeliner) ConnState(nc net.Conn, state http.ConnState) {
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

// ConnContext is the ConnContext hook of the http.Server.
func (pl *Pipeliner) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return gone.ConnContext(context.WithValue(ctx, connKey{}, nc), nc)
}

// Handler wraps next so that each connection is notified of a request before next is called.
func (pl *Pipeliner) Handler(next http.Handler) http.Handler {
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

// ArrivalTime returns when the head of a request had been read from its caller. That is before
// its handler is called if the request had to wait for earlier ones. It returns the zero time
// where that is unknown: with HTTP/2, and after a body without a Content-Length.
func ArrivalTime(r *http.Request) time.Time {
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
