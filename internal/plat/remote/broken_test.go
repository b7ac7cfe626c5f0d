package remote

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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

// TestEndlessResponse guards against reading a response without end into memory.
func TestEndlessResponse(t *testing.T) {
	const (
		// mostRead is how much may be read, with the buffers of sockets. mostSent is more than that.
		mostRead, mostSent = 64 << 20, 256 << 20
	)
	for _, tc := range []struct{ name, start, repeated string }{
		{"name", "HTTP/1.1 200 OK\r\n", "x"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"message", "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n", "x"},
		{"chunks", "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
		{"error", "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\n\r\n", " "},
		{"error in HTML", "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/html\r\n\r\n", " "},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sent := make(chan int, 1)
			kv := newRawStore(t, func(cn net.Conn, _ int, _ *http.Request) bool {
				n, err := io.WriteString(cn, tc.start)
				for part := strings.Repeat(tc.repeated, 4<<10); err == nil && n < mostSent; {
					var k int
					k, err = io.WriteString(cn, part)
					n += k
				}
				select {
				case sent <- n:
				default:
				}
				return false
			})
			if _, err := kv.Get(t.Context(), "a"); err == nil {
				t.Error("a response without end was taken for a whole one")
			}
			select {
			case n := <-sent:
				if n > mostRead {
					t.Errorf("%d MiB were read", n>>20)
				}
			case <-time.After(20 * time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}
