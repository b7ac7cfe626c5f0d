package inlet_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/gone"
	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// bodyRig is an inlet with one slot, in front of a server that holds each request until release is closed.
type bodyRig struct {
	t       *testing.T
	in      *inlet.Inlet
	front   *httptest.Server
	release chan struct{}
	bytes   atomic.Int64
}

func newBodyRig(t *testing.T, queue int) *bodyRig {
	t.Helper()
	br := &bodyRig{t: t, in: inlet.New(proxy.Options{}, nil), release: make(chan struct{})}
	be := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			t.Errorf("the body: %v", err)
		}
		br.bytes.Add(n)
		<-br.release
	}))
	t.Cleanup(be.Close)
	t.Cleanup(br.in.Close)
	br.in.SetTarget(inlet.Target{VM: "vm", Process: "p", Service: "booking", Addr: be.Listener.Addr().String()})
	br.in.Gate.Configure(1, []limit.Class{{Name: "default", Share: 10, Queue: queue}})
	br.front = httptest.NewUnstartedServer(br.in)
	br.front.Config.ConnContext = gone.ConnContext
	br.front.Start()
	t.Cleanup(br.front.Close)
	return br
}

func (br *bodyRig) request(body []byte) *http.Request {
	r, err := http.NewRequestWithContext(br.t.Context(), http.MethodPost, br.front.URL+"/", bytes.NewReader(body))
	if err != nil {
		br.t.Fatal(err)
	}
	r.Header.Set(result.VMHeader, "vm")
	r.Header.Set(result.ProcessHeader, "p")
	r.Header.Set(result.ServiceHeader, "booking")
	r.Header.Set(result.ClassHeader, "default")
	return r
}

// TestBodiesBeyondBudget guards against refusing or truncating a request that waits for a slot, since the
// bodies of those before it take all the memory for bodies.
func TestBodiesBeyondBudget(t *testing.T) {
	const requests, size = 50, 64 << 10
	br := newBodyRig(t, requests)
	statuses := make(chan int, requests)
	for range requests {
		go func() {
			res, err := http.DefaultClient.Do(br.request(make([]byte, size)))
			if err != nil {
				t.Error(err)
				statuses <- 0
				return
			}
			res.Body.Close()
			statuses <- res.StatusCode
		}()
	}
	for deadline := time.Now().Add(10 * time.Second); br.in.Gate.Load().Waiting < requests-1; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests wait after 10 s, want %d", br.in.Gate.Load().Waiting, requests-1)
		}
	}
	close(br.release)
	for range requests {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
	if n := br.bytes.Load(); n != requests*size {
		t.Errorf("the server got %d bytes, want %d", n, requests*size)
	}
}

// TestSlowBodyTakesNoSlot guards against a body that does not arrive taking a slot, or waiting beyond the
// deadline of its request.
func TestSlowBodyTakesNoSlot(t *testing.T) {
	br := newBodyRig(t, 4)
	nc, err := net.Dial("tcp", br.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	r := br.request(nil)
	fmt.Fprintf(nc, "POST / HTTP/1.1\r\nHost: booking\r\nContent-Length: 1000\r\n%s: 300\r\n", result.TimeoutHeader)
	if err := r.Header.Write(nc); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(nc, "\r\nhalf")
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	rf := result.FromResponse(res)
	if rf == nil || rf.Outcome != result.NotRun || rf.Reason != result.ReasonDeadlinePassed || !res.Close {
		t.Errorf("got %+v, connection closes %t; want a refusal for the deadline that closes the connection", rf, res.Close)
	}
	if ld := br.in.Gate.Load(); ld.Running != 0 || ld.Waiting != 0 {
		t.Errorf("load %+v, want none", ld)
	}
}
