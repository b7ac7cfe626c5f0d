package piping

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/idle"
	"github.com/flamingomast/flamingomast/internal/plat/memnet"
)

// slowListener makes reads of its connections return late.
type slowListener struct {
	net.Listener
	// by is how long a read that has brought bytes takes to return.
	by func() time.Duration
}

func (sl slowListener) Accept() (net.Conn, error) {
	nc, err := sl.Listener.Accept()
	return &slowConn{Conn: nc, by: sl.by}, err
}

type slowConn struct {
	net.Conn
	by func() time.Duration
}

func (sc *slowConn) Read(p []byte) (int, error) {
	n, err := sc.Conn.Read(p)
	if n > 0 {
		time.Sleep(sc.by())
	}
	return n, err
}

// TestIdleWhileRequestIsRead guards against a connection that ends as idle since the last
// answer was sent in the moment in which the next request was read.
func TestIdleWhileRequestIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := memnet.New()
		ho, _ := nw.Listen("caller:1", "")
		_, ln := nw.Listen("server:1", "")
		var st idle.Set
		fr := New(func(r *http.Request) bool { return r.Method == http.MethodGet }, func(nc net.Conn, state http.ConnState) { st.ConnState(nc.(*slowConn).Conn, state) })
		var slow atomic.Int64
		rg := &rig{t: t, nw: nw, ho: ho, ages: map[string]time.Duration{}}
		hs := &http.Server{Handler: fr.Handler(rg), ConnState: fr.ConnState, ConnContext: fr.ConnContext}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = hs.Serve(fr.Listener(slowListener{st.Listener(ln), func() time.Duration { return time.Duration(slow.Load()) }}))
		}()
		defer func() {
			hs.Close()
			<-done
			synctest.Wait()
		}()
		nc := rg.dial()
		began := time.Now()
		_, _ = io.WriteString(nc, get("/10")+get("/100"))
		time.Sleep(50 * time.Millisecond)
		// Its read returns after the answer to the second one was sent.
		slow.Store(int64(100 * time.Millisecond))
		_, _ = io.WriteString(nc, request("POST", "/200", ""))
		time.Sleep(60 * time.Millisecond)
		st.CloseIdle(0)
		slow.Store(0)
		br := bufio.NewReader(nc)
		for _, want := range []string{"GET", "GET", "POST"} {
			re, err := http.ReadResponse(br, &http.Request{Method: want})
			if err != nil {
				t.Fatalf("%s after %v: %v", want, time.Since(began), err)
			}
			_, _ = io.Copy(io.Discard, re.Body)
		}
		time.Sleep(time.Second)
		st.CloseIdle(0)
		synctest.Wait()
		if n := st.Len(); n != 0 {
			t.Errorf("%d connections are left that are idle", n)
		}
	})
}
