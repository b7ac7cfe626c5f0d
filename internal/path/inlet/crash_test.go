package inlet_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/flamingomast/flamingomast/internal/path/inlet"
	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// TestServerEnded: on-call engineers saw connections break and could not tell a server
// that ended from one that broke off an answer. One that ended takes no connection any
// more; the log says so once, and names each request that it was running.
func TestServerEnded(t *testing.T) {
	for _, tc := range []struct {
		name string
		// ends is whether the server ends when it gets a request, or only closes its
		// connection.
		ends   bool
		reason result.Reason
		lines  int
	}{
		{"ends", true, result.ReasonServerCrashed, 1},
		{"breaks off", false, result.ReasonConnectionBroken, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var sr *faulty.Server
			ready := make(chan struct{})
			sr, err := faulty.New(func(_ net.Conn, _ int, req *http.Request) bool {
				<-ready
				faulty.ReadBody(req)
				if tc.ends {
					sr.Close()
				}
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			close(ready)
			defer sr.Close()
			var log bytes.Buffer
			in := inlet.New(proxy.Options{}, nil)
			defer in.Close()
			in.Log = slog.New(slog.NewJSONHandler(&log, nil))
			in.SetTarget(inlet.Target{VM: "vm", Process: "p", Service: "booking", Addr: sr.Addr, Lifetime: "i-1"})
			in.Gate.Configure(4, []limit.Class{{Name: "default", Share: 10, Queue: 4}})
			for _, method := range []string{"GET", "POST"} {
				r := httptest.NewRequestWithContext(context.Background(), method, "http://booking/visits/7", strings.NewReader("body"))
				r.Header.Set(result.VMHeader, "vm")
				r.Header.Set(result.ProcessHeader, "p")
				r.Header.Set(result.ServiceHeader, "booking")
				r.Header.Set(result.ClassHeader, "default")
				w := httptest.NewRecorder()
				in.ServeHTTP(w, r)
				if tc.ends && method == "POST" {
					// The address takes no connection: this one was not run.
					break
				}
				if got := result.Reason(w.Header().Get(result.ReasonHeader)); got != tc.reason {
					t.Errorf("%s: reason %q, want %q", method, got, tc.reason)
				}
			}
			for event, want := range map[string]int{`"msg":"backend-server-ended"`: tc.lines, `"msg":"ended-under"`: tc.lines, `"request-key":`: tc.lines} {
				if got := strings.Count(log.String(), event); got != want {
					t.Errorf("%d lines with %s, want %d:\n%s", got, event, want, log.String())
				}
			}
		})
	}
}
