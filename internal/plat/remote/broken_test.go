package remote

import (
	"testing"

	"github.com/flamingomast/flamingomast/internal/plat/faulty"
	"github.com/flamingomast/flamingomast/internal/plat/kvtest"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// newRawStore returns a client of a service that answers each call with fn.
func newRawStore(t *testing.T, fn faulty.Handler) store.Store {
	t.Helper()
	sr, err := faulty.New(fn)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sr.Close)
	return New(sr.Addr).Store()
}

// TestBrokenResponse guards against taking a malformed response of the service for its word.
func TestBrokenResponse(t *testing.T) {
	const proto = "Content-Type: application/proto\r\n"
	for _, tc := range []struct {
		name, response string
		ok             bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\n" + proto + "Content-Length: 0\r\n\r\n", true},
		{"to the end of the connection", "HTTP/1.1 200 OK\r\n" + proto + "\r\n", true},
		{"malformed name", "HTTP/1.1 200 OK\r\nX Bad: v\r\n" + proto + "Content-Length: 0\r\n\r\n", false},
		{"malformed length", "HTTP/1.1 200 OK\r\n" + proto + "Content-Length : 50\r\n\r\n", false},
		{"malformed trailer field", "HTTP/1.1 200 OK\r\n" + proto + "Transfer-Encoding: chunked\r\n\r\n0\r\nX Bad: v\r\n\r\n", false},
		{"another version", "HTTP/5.5 200 OK\r\n" + proto + "\r\n", false},
		{"status out of range", "HTTP/1.1 000 OK\r\n" + proto + "Content-Length: 0\r\n\r\n", false},
		{"cut off", "HTTP/1.1 200 OK\r\n" + proto + "Content-Length: 50\r\n\r\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			kv := newRawStore(t, faulty.RespondRaw(tc.response, false))
			_, err := kv.Get(t.Context(), "a")
			_, _, werr := kv.Swap(t.Context(), store.Change{Key: "a"})
			if tc.ok {
				if err != nil || werr != nil {
					t.Errorf("Get: %v, Swap: %v", err, werr)
				}
				return
			}
			kvtest.WantKind(t, err, store.Unavailable)
			kvtest.WantKind(t, werr, store.Unknown)
		})
	}
}
