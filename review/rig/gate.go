package main

import (
	"net"
	"net/http"
	"sync"
)

// gate is a path that can be partitioned: while it is cut, no byte passes in either direction, and
// nothing is reset. What was held up passes once it is healed.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	open := make(chan struct{})
	close(open)
	return &gate{open: open}
}

func (ga *gate) cut() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.open = make(chan struct{})
}

func (ga *gate) heal() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	close(ga.open)
}

func (ga *gate) wait() {
	ga.mu.Lock()
	open := ga.open
	ga.mu.Unlock()
	<-open
}

// gateListener passes connections through a gate.
type gateListener struct {
	net.Listener
	ga *gate
}

func (ln gateListener) Accept() (net.Conn, error) {
	nc, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gateConn{Conn: nc, ga: ln.ga}, nil
}

type gateConn struct {
	net.Conn
	ga *gate
}

func (gc *gateConn) Read(p []byte) (int, error) {
	n, err := gc.Conn.Read(p)
	gc.ga.wait()
	return n, err
}

func (gc *gateConn) Write(p []byte) (int, error) {
	gc.ga.wait()
	return gc.Conn.Write(p)
}

// serve serves a handler at an address, through a gate.
func serve(addr string, ga *gate, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(gateListener{ln, ga}, h) }()
	return nil
}

// resetConn resets the connection of a call instead of an answer.
func resetConn(w http.ResponseWriter) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if gc, ok := nc.(*gateConn); ok {
		nc = gc.Conn
	}
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}
