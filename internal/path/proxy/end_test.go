package proxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// TestOrderlyEndDuringUpload guards against refusing a response without a length that ends while the
// request is still being sent, if the server has closed its side of the connection in order.
func TestOrderlyEndDuringUpload(t *testing.T) {
	stuck := make(chan struct{})
	defer close(stuck)
	for _, tc := range []struct {
		name string
		// upload handles the rest of the request.
		upload func(req *http.Request)
	}{
		{"which is read", faulty.ReadBody},
		{"which is not read", func(*http.Request) { <-stuck }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sr, err := faulty.New(func(cn net.Conn, _ int, req *http.Request) bool {
				_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nX-Kept: 1\r\n\r\nwhole")
				_ = cn.(*net.TCPConn).CloseWrite()
				tc.upload(req)
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			defer sr.Close()
			fw := New(Options{})
			defer fw.Close()
			for range 50 {
				req := newRequest(t, "POST", sr.Addr, "/")
				req.Body, req.ContentLength = Body(bytes.NewReader(make([]byte, 16<<20))), 16<<20
				at := fw.Do(req)
				if at.Err != nil {
					t.Fatal(at.Err)
				}
				text, err := io.ReadAll(at.Response.Body)
				at.Response.Body.Close()
				if err != nil || string(text) != "whole" || at.Response.Header.Get("X-Kept") != "1" {
					t.Fatalf("got %q, %v; want the whole response", text, err)
				}
			}
		})
	}
}
