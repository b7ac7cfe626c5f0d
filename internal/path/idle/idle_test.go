package idle

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/memnet"
)

// serve starts a server whose connections are in the returned set.
func serve(t *testing.T, nw *memnet.Network, h http.Handler) *Set {
	t.Helper()
	st := &Set{}
	_, ln := nw.Listen("server:1", "")
	hs := &http.Server{Handler: h, ConnState: st.ConnState, IdleTimeout: time.Hour}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = hs.Serve(st.Listener(ln))
	}()
	t.Cleanup(func() {
		hs.Close()
		<-done
		synctest.Wait()
	})
	return st
}

func dial(t *testing.T, nw *memnet.Network, ho *memnet.Host) net.Conn {
	t.Helper()
	nc, err := nw.Dial(t.Context(), ho, "server:1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc
}

func write(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
}

// TestRequestArriving guards against cutting off a request that arrives on a keep-alive connection
// just as the server closes its idle ones. The first bytes of the request have arrived, but not its
// whole header. Without a response, the caller of a request that must not be retried would lose it.
func TestRequestArriving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := memnet.New()
		ho, _ := nw.Listen("caller:1", "")
		st := serve(t, nw, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
		nc := dial(t, nw, ho)
		br := bufio.NewReader(nc)
		for range 2 {
			write(t, nc, "GET / HTTP/1.1\r\nHo")
			time.Sleep(time.Second)
			if left := st.CloseIdle(0); left != 1 {
				t.Fatalf("%d connections are left, want 1, the one in use", left)
			}
			write(t, nc, "st: x\r\n\r\n")
			res, err := http.ReadResponse(br, nil)
			if err != nil || res.StatusCode != http.StatusNoContent {
				t.Fatalf("response: %v, %v", res, err)
			}
		}
	})
}

// TestCloseIdle checks that idle connections are closed, and a new one only after it has been idle
// for long enough.
func TestCloseIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := memnet.New()
		ho, _ := nw.Listen("caller:1", "")
		st := serve(t, nw, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
		used, unused := dial(t, nw, ho), dial(t, nw, ho)
		write(t, used, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		if _, err := http.ReadResponse(bufio.NewReader(used), nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		newest := dial(t, nw, ho)
		synctest.Wait()
		st.CloseIdle(time.Second)
		synctest.Wait()
		if n := st.Len(); n != 1 {
			t.Errorf("%d connections are left, want 1, the newest", n)
		}
		for _, nc := range []net.Conn{used, unused} {
			if _, err := nc.Read(make([]byte, 1)); err == nil {
				t.Error("an idle connection is still open")
			}
		}
		write(t, newest, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		if _, err := http.ReadResponse(bufio.NewReader(newest), nil); err != nil {
			t.Errorf("newest connection: %v", err)
		}
	})
}
