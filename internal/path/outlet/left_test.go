package outlet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/gone"
	"github.com/flamingomast/flamingomast/internal/path/piping"
)

// leftRig is a rig with one VM whose server holds each request until release is closed.
type leftRig struct {
	*rig
	ran     atomic.Int64
	release chan struct{}
}

func newLeftRig(t *testing.T) *leftRig {
	t.Helper()
	lr := &leftRig{release: make(chan struct{})}
	be := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/always/quick" {
			return
		}
		lr.ran.Add(1)
		// The body may end early, as its sender leaves.
		_, _ = io.Copy(io.Discard, r.Body)
		<-lr.release
	}))
	t.Cleanup(be.Close)
	lr.rig = newRig(t, strings.TrimPrefix(be.URL, "http://"))
	lr.serveAsDaemon()
	return lr
}

// serveAsDaemon replaces the servers of the outlet and the inlet by ones that handle connections as
// those of a daemon do.
func (lr *leftRig) serveAsDaemon() {
	front := piping.New(lr.outlet.Retryable, func(net.Conn, http.ConnState) {})
	lr.front = httptest.NewUnstartedServer(front.Handler(lr.outlet))
	lr.front.Config.ConnState, lr.front.Config.ConnContext = front.ConnState, front.ConnContext
	lr.front.Listener = front.Listener(lr.front.Listener)
	lr.front.Start()
	lr.t.Cleanup(lr.front.Close)
	vm := lr.vms[0]
	vm.http = httptest.NewUnstartedServer(vm.in)
	vm.http.Config.ConnContext = gone.ConnContext
	vm.http.Start()
	lr.t.Cleanup(vm.http.Close)
	rec := *vm.rec
	rec.Sequence, rec.Inlet = 2, strings.TrimPrefix(vm.http.URL, "http://")
	vm.rec = &rec
	lr.update()
}

// fill takes all slots of the server and returns a function that waits for the responses.
func (lr *leftRig) fill() (wait func() []reply) {
	replies := make(chan reply, 4)
	for range 4 {
		go func() { replies <- lr.do(lr.request("GET", "/long", "")) }()
	}
	lr.waitFor("all slots are taken", func() bool { return lr.vms[0].in.Gate.Load().Running == 4 })
	return func() (list []reply) {
		for range 4 {
			list = append(list, <-replies)
		}
		return list
	}
}

func (lr *leftRig) waitFor(what string, ok func() bool) {
	lr.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			lr.t.Errorf("%s: not within 10 s", what)
			return
		}
	}
}

func (lr *leftRig) waiting() int { return lr.vms[0].in.Gate.Load().Waiting }

// dial opens a connection to the outlet and sends text on it.
func (lr *leftRig) dial(text string) net.Conn {
	lr.t.Helper()
	nc, err := net.Dial("tcp", lr.front.Listener.Addr().String())
	if err != nil {
		lr.t.Fatal(err)
	}
	lr.t.Cleanup(func() { nc.Close() })
	if _, err := io.WriteString(nc, text); err != nil {
		lr.t.Fatal(err)
	}
	return nc
}

// postHead is the head of a request that waits, without its last empty line.
const postHead = "POST /long HTTP/1.1\r\nHost: booking\r\n"

func withLength(n int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", postHead, n, strings.Repeat("b", n))
}

func withChunks(n int) string {
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", postHead, n, strings.Repeat("b", n))
}

// TestCallerLeavesQueue guards against running a request whose caller closed its connection while the
// request waited for a slot.
func TestCallerLeavesQueue(t *testing.T) {
	const small, large = 1200, 100 << 10
	for name, text := range map[string]string{
		"no body":                              "GET /long HTTP/1.1\r\nHost: booking\r\n\r\n",
		"length":                               withLength(small),
		"chunks":                               withChunks(small),
		"large body with a length":             withLength(large),
		"large body in chunks":                 withChunks(large),
		"half of the chunks":                   withChunks(small)[:len(withChunks(small))-small/2],
		"expects 100-continue":                 fmt.Sprintf("%sExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", postHead, large),
		"expects 100-continue, chunks":         postHead + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n",
		"body sent before 100-continue":        fmt.Sprintf("%sExpect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", postHead, large, strings.Repeat("b", large)),
		"a request behind a length":            withLength(small) + "GET /always/quick HTTP/1.1\r\nHost: booking\r\n\r\n",
		"a request behind chunks":              withChunks(small) + "GET /always/quick HTTP/1.1\r\nHost: booking\r\n\r\n",
		"a large request behind a length":      withLength(small) + withLength(large),
		"a large request behind one with none": "GET /long HTTP/1.1\r\nHost: booking\r\n\r\n" + withLength(large),
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept=%t", name, kept), func(t *testing.T) {
				t.Parallel()
				lr := newLeftRig(t)
				nc := lr.dial("")
				if kept {
					fmt.Fprint(nc, "GET /always/quick HTTP/1.1\r\nHost: booking\r\n\r\n")
					res, err := http.ReadResponse(bufio.NewReader(nc), nil)
					if err != nil || res.StatusCode != http.StatusOK {
						t.Fatalf("%v, %v", res, err)
					}
				}
				wait := lr.fill()
				go func() { _, _ = io.WriteString(nc, text) }()
				lr.waitFor("the request waits", func() bool { return lr.waiting() == 1 })
				nc.Close()
				lr.waitFor("the request has left the queue", func() bool { return lr.waiting() == 0 })
				close(lr.release)
				for _, rp := range wait() {
					if rp.status != http.StatusOK {
						t.Errorf("another request: %+v", rp)
					}
				}
				if n := lr.ran.Load(); n != 4 {
					t.Errorf("%d requests ran, want 4", n)
				}
			})
		}
	}
}

// TestCallerStaysInQueue guards against dropping a request whose caller waits for the response, whatever
// the form of its body.
func TestCallerStaysInQueue(t *testing.T) {
	const small, large = 1200, 100 << 10
	for name, text := range map[string]string{
		"length":                   withLength(small),
		"chunks":                   withChunks(small),
		"large body with a length": withLength(large),
		"large body in chunks":     withChunks(large),
		"a request behind":         withLength(small) + "GET /always/quick HTTP/1.1\r\nHost: booking\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lr := newLeftRig(t)
			wait := lr.fill()
			nc := lr.dial("")
			go func() { _, _ = io.WriteString(nc, text) }()
			lr.waitFor("the request waits", func() bool { return lr.waiting() == 1 })
			close(lr.release)
			wait()
			res, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err != nil || res.StatusCode != http.StatusOK {
				t.Errorf("%v, %v", res, err)
			}
			if n := lr.ran.Load(); n != 5 {
				t.Errorf("%d requests ran, want 5", n)
			}
		})
	}
}
