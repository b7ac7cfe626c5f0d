package meter

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// Meter counts bytes. The zero value is ready for use.
type Meter struct {
	In, Out atomic.Int64
	// OnSent, if set, is told of bytes that were written to another VM. It is set
	// before use.
	OnSent func(n int)
}

type conn struct {
	net.Conn
	mt *Meter
	// leaves is set for a connection to another VM.
	leaves bool
}

func (mt *Meter) conn(nc net.Conn) net.Conn {
	here, _, herr := net.SplitHostPort(nc.LocalAddr().String())
	there, _, terr := net.SplitHostPort(nc.RemoteAddr().String())
	same := herr == nil && terr == nil && here == there
	return &conn{Conn: nc, mt: mt, leaves: !same && mt.OnSent != nil}
}

// Read counts what comes in.
func (cn *conn) Read(p []byte) (int, error) {
	n, err := cn.Conn.Read(p)
	cn.mt.In.Add(int64(n))
	return n, err
}

// Write counts what goes out.
func (cn *conn) Write(p []byte) (int, error) {
	n, err := cn.Conn.Write(p)
	cn.mt.Out.Add(int64(n))
	if cn.leaves && n > 0 {
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

// Accept counts the bytes of the connections it returns.
func (ln *listener) Accept() (net.Conn, error) {
	nc, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return ln.mt.conn(nc), nil
}

// Listener returns ln with its connections counted.
func (mt *Meter) Listener(ln net.Listener) net.Listener { return &listener{Listener: ln, mt: mt} }

// Dialer returns dial with its connections counted.
func (mt *Meter) Dialer(dial func(ctx context.Context, addr string) (net.Conn, error)) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return mt.conn(nc), nil
	}
}
