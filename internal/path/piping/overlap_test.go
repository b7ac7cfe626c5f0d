package piping

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// The load of TestNextBeginsAsFirstEnds.
const (
	overlapCallers  = 16
	overlapConns    = 400
	overlapRequests = 5
)

// TestNextBeginsAsFirstEnds guards against a request that is lost because it is started at the
// same time as the first one of its connection ends. Only several threads show the race.
func TestNextBeginsAsFirstEnds(t *testing.T) {
	pl := New(func(*http.Request) bool { return true }, func(net.Conn, http.ConnState) {})
	// The number of yields depends on the length of the path, so that requests end at varying
	// times.
	brief := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range len(r.URL.Path) {
			runtime.Gosched()
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	hs := &http.Server{
		Handler: pl.Handler(brief), ConnState: pl.ConnState, ConnContext: pl.ConnContext,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error)
	go func() { served <- hs.Serve(pl.Listener(ln)) }()
	defer func() {
		hs.Close()
		<-served
	}()
	var callers sync.WaitGroup
	var lost atomic.Int64
	for range overlapCallers {
		callers.Go(func() {
			for i := range overlapConns {
				if err := overlap(ln.Addr().String(), i); err != nil && lost.Add(1) == 1 {
					t.Error(err)
				}
			}
		})
	}
	callers.Wait()
	if n := lost.Load(); n > 0 {
		t.Errorf("%d of %d connections closed before all requests were answered", n, overlapCallers*overlapConns)
	}
}

// overlap pipelines requests on a connection of its own and reads the responses.
func overlap(addr string, i int) error {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	var text string
	for j := range overlapRequests {
		text += get("/" + strings.Repeat("x", (7*i+3*j)%20))
	}
	if _, err := io.WriteString(nc, text); err != nil {
		return err
	}
	br := bufio.NewReader(nc)
	for j := range overlapRequests {
		re, err := http.ReadResponse(br, nil)
		if err != nil {
			return fmt.Errorf("response %d: %w", j, err)
		}
		if _, err := io.Copy(io.Discard, re.Body); err != nil {
			return fmt.Errorf("response %d: %w", j, err)
		}
	}
	return nil
}
