package dialer

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/flamingomast/flamingomast/internal/plat/intact"
)

// DoSkipStale makes a request, skipping idle connections that the peer has already closed. The
// transport may detect a closed connection only after it has written the request to it, and
// then it is unknown whether the request has run. Such a connection is closed and the request
// is made on another one. Responses on an intact.Conn are checked.
func DoSkipStale(hc *http.Client, req *http.Request) (*http.Response, error) {
	for {
		stale := false
		var cn *intact.Conn
		ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			if cn, _ = info.Conn.(*intact.Conn); cn != nil {
				cn.Begin()
			}
			if stale = info.Reused && IsStale(info.Conn); stale {
				// The request then fails before anything is written.
				_ = info.Conn.Close()
			}
		}})
		res, err := hc.Do(req.WithContext(ctx))
		if err == nil {
			res.Body = intact.Body(res)
			return res, nil
		}
		if cn != nil && cn.Refusal() != nil {
			return nil, cn.Refusal()
		}
		if !stale || req.Context().Err() != nil || req.Body != nil && req.GetBody == nil {
			return nil, err
		}
		if req.Body == nil {
			continue
		}
		if req.Body, err = req.GetBody(); err != nil {
			return nil, err
		}
	}
}

// IsStale reports whether an idle connection cannot be reused: the peer has closed or reset it,
// or has sent unexpected bytes, and the transport has not read that yet. It returns false if
// the state of the connection is unknown.
func IsStale(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = rc.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return false
	}
	switch peekErr {
	case nil, unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT:
		return true
	}
	return false
}
