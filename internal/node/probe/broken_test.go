package probe

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// TestProbeBrokenResponse guards against taking a server for serving because of a response that
// violates the protocol or ends early.
func TestProbeBrokenResponse(t *testing.T) {
	for _, tc := range []struct {
		name, response string
		ok             bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\nX-Id: i-7\r\nContent-Length: 2\r\n\r\nok", true},
		{"to the end of the connection", "HTTP/1.1 200\nX-Id: i-7\n\nok", true},
		{"malformed name", "HTTP/1.1 200 OK\r\nX Bad: v\r\nX-Id: i-7\r\nContent-Length: 2\r\n\r\nok", false},
		{"malformed length", "HTTP/1.1 200 OK\r\nX-Id: i-7\r\nContent-Length : 20\r\n\r\nok", false},
		{"another version", "HTTP/3.0 200 OK\r\nX-Id: i-7\r\nContent-Length: 2\r\n\r\nok", false},
		{"chunked in HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: i-7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"malformed trailer field", "HTTP/1.1 200 OK\r\nX-Id: i-7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Bad: v\r\n\r\n", false},
		{"head cut off", "HTTP/1.1 200 OK\r\nX-Id: i-7\r\n", false},
		{"body cut off", "HTTP/1.1 200 OK\r\nX-Id: i-7\r\nContent-Length: 20\r\n\r\nok", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sr, err := faulty.New(faulty.RespondRaw(tc.response, false))
			if err != nil {
				t.Fatal(err)
			}
			defer sr.Close()
			got, err := Prober{Lifetime: "X-Id"}.Probe(t.Context(), sr.Addr, "/healthz")
			if (err == nil) != tc.ok || tc.ok && got.Lifetime != "i-7" {
				t.Errorf("%+v, %v; want it to be accepted: %t", got, err, tc.ok)
			}
		})
	}
}

// TestProbeEndless guards against reading a response without end into memory.
func TestProbeEndless(t *testing.T) {
	for _, tc := range []struct{ name, start, repeated string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"name", "HTTP/1.1 200 OK\r\n", "x"},
		{"value", "HTTP/1.1 200 OK\r\nX-Id: ", "x"},
		{"fields", "HTTP/1.1 200 OK\r\nX-Id: i-7\r\n", "A: b\r\n"},
		{"body", "HTTP/1.1 200 OK\r\nX-Id: i-7\r\n\r\n", "x"},
		{"chunks", "HTTP/1.1 200 OK\r\nX-Id: i-7\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"trailer section", "HTTP/1.1 200 OK\r\nX-Id: i-7\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ec := &endlessConn{next: tc.start, repeated: strings.Repeat(tc.repeated, 1<<10)}
			req, err := http.NewRequest(http.MethodGet, "http://vm/healthz", nil)
			if err != nil {
				t.Fatal(err)
			}
			_, err = Prober{Lifetime: "X-Id"}.exchange(ec, req)
			if errors.Is(err, errReadTooMuch) {
				t.Errorf("more than %d bytes were read", maxRead)
			}
		})
	}
}

// maxRead is how much of an endless response may be read.
const maxRead = 1 << 20

var errReadTooMuch = errors.New("read too much")

// endlessConn is a connection from which next and then repeated can be read for ever.
type endlessConn struct {
	net.Conn
	next, repeated string
	n              int
}

func (ec *endlessConn) Write(p []byte) (int, error) { return len(p), nil }

func (ec *endlessConn) Read(p []byte) (int, error) {
	if ec.n > maxRead {
		return 0, errReadTooMuch
	}
	if ec.next == "" {
		ec.next = ec.repeated
	}
	n := copy(p, ec.next)
	ec.next = ec.next[n:]
	ec.n += n
	return n, nil
}
