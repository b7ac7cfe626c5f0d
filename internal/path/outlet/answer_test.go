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

// documentSize is that of a large answer, beyond what all buffers on its way
// take.
const documentSize = 1 << 20

// TestSlowReaderHoldsNoSlot: callers download documents and read slowly, or over
// a narrow link. The backend server is done with each at once, but its slot was
// held until the last byte had been taken: lookups at the same server were refused
// while it was idle.
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
	var open []net.Conn
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
		open = append(open, cn)
	}
	gate := rg.vms[0].in.Gate
	eventually(t, func() bool {
		return documents.Load() == 2 && gate.Load().Running == 0
	})
	if an := rg.do(rg.request("GET", "/lookup", "")); an.status != http.StatusOK {
		t.Errorf("a lookup beside the downloads got %+v", an)
	}
	for _, cn := range open {
		head := make([]byte, 12)
		if _, err := io.ReadFull(cn, head); err != nil || !bytes.Equal(head, []byte("HTTP/1.1 200")) {
			t.Errorf("a slow caller got %q, %v", head, err)
		}
	}
}

// TestBrokenDocument: a backend server breaks off in the middle of a document.
// The caller of a request that may be repeated got a connection that broke off,
// though nothing had to be passed on by then: another server has the document.
func TestBrokenDocument(t *testing.T) {
	broken := newRaw(t, func(cn net.Conn, _ int, _ *http.Request) bool {
		_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+string(make([]byte, 50000)))
		return false
	})
	whole := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 100000))
	}))
	rg := newRig(t, broken.Addr, whole)
	for range 20 {
		if an := rg.do(rg.request("GET", "/document", "")); an.err != nil || an.status != http.StatusOK || len(an.body) != 100000 {
			t.Fatalf("a caller got status %d, %d bytes, %v", an.status, len(an.body), an.err)
		}
	}
	if broken.RequestCount() == 0 {
		t.Error("the broken server was never asked")
	}
}

// TestHead: the answer to HEAD names the length of a body that does not come;
// waiting for it failed the request.
func TestHead(t *testing.T) {
	addr := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "5000")
	}))
	rg := newRig(t, addr)
	if an := rg.do(rg.request("HEAD", "/a", "")); an.status != http.StatusOK || an.err != nil {
		t.Errorf("HEAD got %+v", an)
	}
}

// TestShedReturn: all servers of a service turn away half of what they get, though their
// slots are free. A caller that is told to come back in a second is late by then; told
// to come back at once, it has as good a chance as later, whatever the server says.
func TestShedReturn(t *testing.T) {
	for _, said := range []string{"", "Retry-After: 3\r\n"} {
		be := newRaw(t, func(cn net.Conn, _ int, req *http.Request) bool {
			_, err := fmt.Fprintf(cn, "HTTP/1.1 503 Busy\r\nFlamingomast-Not-Run: 1\r\n%sContent-Length: 0\r\n\r\n", said)
			return err == nil
		})
		rg := newRig(t, be.Addr)
		rg.outlet = outlet.New(outlet.Options{Forwarder: proxy.New(proxy.Options{Dial: patientDial}), Names: result.HeaderNames{FractionalRetryAfter: true}})
		rg.update()
		rg.front.Config.Handler = rg.outlet
		an := rg.do(rg.request("GET", "/always", ""))
		after, err := strconv.ParseFloat(an.retry, 64)
		if err != nil || an.reason != string(result.ReasonShed) || after > 0.02 {
			t.Errorf("said %q: %d %s, come back in %s s, want at most 0.02", said, an.status, an.reason, an.retry)
		}
	}
}
