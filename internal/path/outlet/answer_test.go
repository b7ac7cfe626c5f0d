package outlet_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/flamingomast/flamingomast/internal/path/outlet"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// documentSize is the size of a large response. It exceeds all the buffers between backend server
// and caller.
const documentSize = 1 << 20

// TestSlowReaderHoldsNoSlot guards against a slot being held until a slow caller has read the last
// byte of its response. Callers download documents slowly or over a narrow link; the backend server
// finished each document at once, but lookups at that server were refused while it was idle.
func TestSlowReaderHoldsNoSlot(t *testing.T) {
	var documents atomic.Int32
	addr := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/document" {
			defer documents.Add(1)
			w.Header().Set("Content-Length", strconv.Itoa(documentSize))
			_, _ = w.Write(make([]byte, documentSize))
		}
	}))
	rg := newRig(t, addr)
	var conns []net.Conn
	for range 2 {
		cn, err := net.Dial("tcp", rg.front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer cn.Close()
		if err := cn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Fatal(err)
		}
		if err := rg.request("GET", "/document", "").Write(cn); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, cn)
	}
	gate := rg.vms[0].in.Gate
	eventually(t, func() bool {
		return documents.Load() == 2 && gate.Load().Running == 0
	})
	if rp := rg.do(rg.request("GET", "/lookup", "")); rp.status != http.StatusOK {
		t.Errorf("a lookup during the downloads got %+v", rp)
	}
	for _, cn := range conns {
		head := make([]byte, 12)
		if _, err := io.ReadFull(cn, head); err != nil || !bytes.Equal(head, []byte("HTTP/1.1 200")) {
			t.Errorf("a slow caller got %q, %v", head, err)
		}
	}
}

// TestBrokenDocument guards against a response truncated at the backend server breaking the
// caller's connection although the request may be retried. Nothing of the response has to be
// forwarded by then, and another server has the document.
func TestBrokenDocument(t *testing.T) {
	broken := newFaultyServer(t, func(cn net.Conn, _ int, _ *http.Request) bool {
		_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+string(make([]byte, 50000)))
		return false
	})
	whole := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 100000))
	}))
	rg := newRig(t, broken.Addr, whole)
	for range 20 {
		if rp := rg.do(rg.request("GET", "/document", "")); rp.err != nil || rp.status != http.StatusOK || len(rp.body) != 100000 {
			t.Fatalf("a caller got status %d, %d bytes, %v", rp.status, len(rp.body), rp.err)
		}
	}
	if broken.RequestCount() == 0 {
		t.Error("no request was sent to the broken server")
	}
}

// TestHead guards against waiting for a body after HEAD: the response gives a length, but no body
// follows, and the request failed.
func TestHead(t *testing.T) {
	addr := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "5000")
	}))
	rg := newRig(t, addr)
	if rp := rg.do(rg.request("HEAD", "/a", "")); rp.status != http.StatusOK || rp.err != nil {
		t.Errorf("HEAD got %+v", rp)
	}
}

// TestShedRetryAfter: every server of a service sheds requests although its slots are free. A retry
// has the same chance of success at any time, and a caller that is told to wait a second misses its
// objective. The caller has to be told to retry at once, whatever Retry-After the server sends.
func TestShedRetryAfter(t *testing.T) {
	for _, retryAfter := range []string{"", "Retry-After: 3\r\n"} {
		be := newFaultyServer(t, func(cn net.Conn, _ int, req *http.Request) bool {
			_, err := fmt.Fprintf(cn, "HTTP/1.1 503 Busy\r\nFlamingomast-Not-Run: 1\r\n%sContent-Length: 0\r\n\r\n", retryAfter)
			return err == nil
		})
		rg := newRig(t, be.Addr)
		rg.outlet = outlet.New(outlet.Options{Forwarder: proxy.New(proxy.Options{Dial: dialWithoutTimeout}), Names: result.HeaderNames{FractionalRetryAfter: true}})
		rg.update()
		rg.front.Config.Handler = rg.outlet
		rp := rg.do(rg.request("GET", "/always", ""))
		after, err := strconv.ParseFloat(rp.retryAfter, 64)
		if err != nil || rp.reason != string(result.ReasonShed) || after > 0.02 {
			t.Errorf("server header %q: %d %s, Retry-After %s s, want at most 0.02", retryAfter, rp.status, rp.reason, rp.retryAfter)
		}
	}
}
