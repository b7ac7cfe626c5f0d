package outlet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// endless describes responses that do not end: start, and then repeated until the connection is closed.
var endless = []struct{ name, start, repeated string }{
	{"no protocol", "", "x"},
	{"blank lines", "", "\r\n"},
	{"status line", "HTTP/1.1 200 ", "x"},
	{"name", "HTTP/1.1 200 OK\r\n", "x"},
	{"value", "HTTP/1.1 200 OK\r\nA: ", "x"},
	{"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	{"folded lines", "HTTP/1.1 200 OK\r\nA:", " b\r\n"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	{"trailer section", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
}

// respondEndless returns a handler that sends start, and then repeated, in writes of size bytes with a
// pause after each, until the connection is closed. It stores how much it has sent in sent, and then
// closes ended.
func respondEndless(start, repeated string, size int, pause time.Duration, sent *atomic.Int64, ended chan struct{}) faulty.Handler {
	return func(cn net.Conn, _ int, req *http.Request) bool {
		defer close(ended)
		faulty.ReadBody(req)
		n, err := io.WriteString(cn, start)
		sent.Add(int64(n))
		for part := strings.Repeat(repeated, max(1, size/len(repeated))); err == nil; {
			n, err = io.WriteString(cn, part)
			sent.Add(int64(n))
			if pause > 0 {
				<-time.After(pause)
			}
		}
		return false
	}
}

// TestEndlessResponse guards against a response without end keeping its connection, or a slot, beyond
// the deadline of its request while the caller stays, and against reading its head into memory.
func TestEndlessResponse(t *testing.T) {
	for _, pc := range []struct {
		name  string
		size  int
		pause time.Duration
	}{{"at full speed", 64 << 10, 0}, {"slowly", 1, 20 * time.Millisecond}} {
		for _, el := range endless {
			t.Run(el.name+"/"+pc.name, func(t *testing.T) {
				t.Parallel()
				for _, hop := range []string{"server", "inlet"} {
					var sent atomic.Int64
					ended := make(chan struct{})
					be := newFaultyServer(t, respondEndless(el.start, el.repeated, pc.size, pc.pause, &sent, ended))
					rg := newRig(t, be.Addr)
					if hop == "inlet" {
						rg.vms[0].rec.Inlet = be.Addr
						rg.update()
					}
					// The caller reads all that comes and does not leave.
					nc, err := net.Dial("tcp", rg.front.Listener.Addr().String())
					if err != nil {
						t.Fatal(err)
					}
					defer nc.Close()
					if err := rg.request("POST", "/short", "visit").Write(nc); err != nil {
						t.Fatal(err)
					}
					br := bufio.NewReader(nc)
					res, err := http.ReadResponse(br, nil)
					if err == nil {
						_, err = io.Copy(io.Discard, res.Body)
					}
					if err == nil && res.StatusCode == http.StatusOK {
						t.Errorf("from the %s: a complete response", hop)
					}
					if err == nil && res.Header.Get("Flamingomast-Outcome") == "not-run" {
						t.Errorf("from the %s: the caller is told that the request has not run", hop)
					}
					select {
					case <-ended:
					case <-time.After(20 * time.Second):
						t.Fatalf("from the %s: the connection stays open, after %d bytes", hop, sent.Load())
					}
					eventually(t, func() bool { return rg.vms[0].in.Gate.Load().Running == 0 })
				}
			})
		}
	}
}

// TestEndlessHeadBounded guards against reading a head, or interim responses, without end into memory
// while the deadline of the request is far.
func TestEndlessHeadBounded(t *testing.T) {
	for _, el := range endless[:8] {
		t.Run(el.name, func(t *testing.T) {
			t.Parallel()
			be := newFaultyServer(t, func(cn net.Conn, _ int, req *http.Request) bool {
				faulty.ReadBody(req)
				_, _ = io.WriteString(cn, el.start)
				// More than what a head may have, after which the server keeps the connection open.
				_, _ = io.WriteString(cn, strings.Repeat(el.repeated, 1<<20/len(el.repeated)))
				_, _ = io.Copy(io.Discard, cn)
				return false
			})
			rg := newRig(t, be.Addr)
			rp := rg.do(rg.request("POST", "/long", "visit"))
			if rp.err != nil || rp.status != http.StatusBadGateway || rp.outcome != "may-have-run" || rp.reason != "malformed-answer" {
				t.Errorf("got %+v, want 502, may-have-run, malformed-answer", rp)
			}
		})
	}
}

// TestHeadCutOff guards against a response whose head ends early, by a close or a reset, being forwarded
// as a whole one.
func TestHeadCutOff(t *testing.T) {
	for _, framing := range []string{"Content-Length: 4", "Transfer-Encoding: chunked", "X-Last: v"} {
		head := "HTTP/1.1 200 OK\r\nX-First: v\r\n" + framing + "\r\n\r\n"
		for n := range len(head) {
			t.Run(fmt.Sprintf("%s/%d bytes", framing, n), func(t *testing.T) {
				t.Parallel()
				for _, reset := range []bool{false, true} {
					be := newFaultyServer(t, func(cn net.Conn, _ int, req *http.Request) bool {
						faulty.ReadBody(req)
						_, _ = io.WriteString(cn, head[:n])
						if reset {
							_ = cn.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					rg := newRig(t, be.Addr)
					for _, hop := range []string{"server", "inlet"} {
						if hop == "inlet" {
							rg.vms[0].rec.Inlet = be.Addr
							rg.update()
						}
						rp := rg.do(rg.request("GET", "/once/a", ""))
						if rp.err != nil || rp.status != http.StatusBadGateway || rp.outcome != "may-have-run" {
							t.Errorf("from the %s, reset %t: the caller got %+v, %v; want 502, may-have-run", hop, reset, rp, rp.err)
						}
					}
				}
			})
		}
	}
}
