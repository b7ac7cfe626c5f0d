package outlet_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/flamingomast/flamingomast/internal/path/gone"
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// TestCutOffForHTTP10 guards against a response that was cut off looking complete to a caller of
// HTTP/1.0, for which a response without a length ends with the connection.
func TestCutOffForHTTP10(t *testing.T) {
	const chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
	for _, tc := range []struct {
		name, response, version string
		whole                   bool
	}{
		{"cut off", chunk, "HTTP/1.0", false},
		{"malformed", chunk + "zz\r\n", "HTTP/1.0", false},
		{"whole", chunk + "0\r\n\r\n", "HTTP/1.0", true},
		{"whole, to the end of the connection", "HTTP/1.1 200 OK\r\n\r\nbody", "HTTP/1.0", true},
		{"whole, HTTP/1.1", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rg := newRig(t, newFaultyServer(t, faulty.RespondRaw(tc.response, false)).Addr)
			front := rg.front.Config
			front.ConnContext = gone.ConnContext
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = front.Serve(ln) }()
			defer ln.Close()
			nc, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			if _, err := io.WriteString(nc, "GET /a "+tc.version+"\r\nHost: booking\r\nConnection: close\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(nc)
			if tc.whole && (err != nil || !strings.Contains(string(text), "body")) {
				t.Errorf("got %q, %v; want the whole response", text, err)
			}
			if !tc.whole && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("got %q, %v; want a reset", text, err)
			}
		})
	}
}
