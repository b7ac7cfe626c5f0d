package dialer

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"

	"golang.org/x/sys/unix"
)

// DoSkipStale makes a request that is not written to a kept connection which the other side has
// closed already. The transport notices that later, and a request which was written by then
// may or may not have run. It is made on another connection instead.
func DoSkipStale(hc *http.Client, req *http.Request) (*http.Response, error) {
	for {
		stale := false
		ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(in httptrace.GotConnInfo) {
			if stale = in.Reused && IsStale(in.Conn); stale {
				// Its error ends the request before anything was sent.
				_ = in.Conn.Close()
			}
		}})
		res, err := hc.Do(req.WithContext(ctx))
		if err == nil || !stale || req.Context().Err() != nil || req.Body != nil && req.GetBody == nil {
			return res, err
		}
		if req.Body == nil {
			continue
		}
		if req.Body, err = req.GetBody(); err != nil {
			return nil, err
		}
	}
}

// IsStale reports whether the other side has closed or reset a connection, or sent bytes on
// it, which the transport has not read yet. It reports false where that cannot be told.
func IsStale(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var found error
	err = rc.Control(func(fd uintptr) {
		var next [1]byte
		_, _, found = unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return false
	}
	switch found {
	case nil, unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT:
		return true
	}
	return false
}
