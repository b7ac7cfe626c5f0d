package gone

import (
	"errors"
	"net"
	"net/http"
)

// Reset resets the connection of r, so that the end of the connection cannot be taken for the end of the
// response. It needs ConnContext, and does nothing with HTTP/2.
func Reset(r *http.Request) error {
	nc, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok || r.ProtoMajor != 1 {
		return nil
	}
	for {
		inner, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		nc = inner.NetConn()
	}
	var err error
	if tc, ok := nc.(interface{ SetLinger(sec int) error }); ok {
		err = tc.SetLinger(0)
	}
	return errors.Join(err, nc.Close())
}
