package meter

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// Meter counts the bytes of connections. The zero value is ready for use.
type Meter struct {
	In, Out atomic.Int64
	// OnSent, if not nil, is called with the number of bytes of each write to another VM. It must
	// be set before the first connection.
	OnSent func(n int)
}

type conn struct {
	net.Conn
	mt *Meter
	// remote says that writes are reported to OnSent: there is one, and the peer is on another VM.
	remote bool
}

func (mt *Meter) wrap(nc net.Conn) net.Conn {
	localHost, _, localErr := net.SplitHostPort(nc.LocalAddr().String())
	remoteHost, _, remoteErr := net.SplitHostPort(nc.RemoteAddr().String())
	sameVM := localErr == nil && remoteErr == nil && localHost == remoteHost
	return &conn{Conn: nc, mt: mt, remote: !sameVM && mt.OnSent != nil}
}

// Read reads from the connection and counts the bytes.
func (cn *conn) Read(p []byte) (int, error) {
	n, err := cn.Conn.Read(p)
	cn.mt.In.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (cn *conn) Write(p []byte) (int, error) {
	n, err := cn.Conn.Write(p)
	cn.mt.Out.Add(int64(n))
	if cn.remote && n > 0 {
		cn.mt.OnSent(n)
	}
	return n, err
}

// SyscallConn gives access to the connection's socket.
func (cn *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

type listener struct {
	net.Listener
	mt *Meter
}

// Accept returns the next connection, whose bytes are counted.
func (ln *listener) Accept() (net.Conn, error) {
	nc, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return ln.mt.wrap(nc), nil
}

// Listener wraps ln to count the bytes of its connections.
func (mt *Meter) Listener(ln net.Listener) net.Listener { return &listener{Listener: ln, mt: mt} }

// Dialer wraps dial to count the bytes of its connections.
func (mt *Meter) Dialer(dial func(ctx context.Context, addr string) (net.Conn, error)) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return mt.wrap(nc), nil
	}
}
