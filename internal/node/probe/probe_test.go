package probe

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestProbe checks the result for each kind of response. A response that cannot be parsed
// identifies no server.
func TestProbe(t *testing.T) {
	for _, tc := range []struct {
		name string
		// id and load are headers of the response.
		status   int
		id, load string
		want     Result
		ok       bool
	}{
		{"serves", 200, "i-7", "3,0,8", Result{Lifetime: "i-7", Slots: 8}, true},
		{"reports more than the slots", 200, "i-7", "3,0,8,140", Result{Lifetime: "i-7", Slots: 8}, true},
		{"reports too little", 200, "i-7", "3,0", Result{Lifetime: "i-7"}, true},
		{"reports no load", 200, "i-7", "", Result{Lifetime: "i-7"}, true},
		{"reports an invalid load", 200, "i-7", "3,0,many", Result{Lifetime: "i-7"}, true},
		{"reports too large a number of slots", 200, "i-7", "3,0,99999999999999999999", Result{Lifetime: "i-7"}, true},
		{"drains", 503, "i-7", "3,0,8", Result{}, false},
		{"reports no lifetime", 200, "", "3,0,8", Result{}, false},
		{"is not a backend server", 404, "", "", Result{}, false},
	} {
		sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/healthz" {
				t.Errorf("%s: request for %s", tc.name, r.URL.Path)
			}
			if tc.id != "" {
				w.Header().Set("X-Id", tc.id)
			}
			w.Header().Set("X-Load", tc.load)
			w.WriteHeader(tc.status)
		}))
		got, err := Prober{Lifetime: "X-Id", Load: "X-Load"}.Probe(t.Context(), strings.TrimPrefix(sv.URL, "http://"), "/healthz")
		sv.Close()
		if (err == nil) != tc.ok || got != tc.want {
			t.Errorf("%s: %+v, %v", tc.name, got, err)
		}
	}
}

// TestProbeSilentServer checks that a probe fails if nothing listens, and ends with its context if
// the server does not respond.
func TestProbeSilentServer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := (Prober{Lifetime: "X-Id"}).Probe(ctx, ln.Addr().String(), "/healthz"); err == nil {
		t.Error("a server that does not respond was accepted as serving")
	}
	ln.Close()
	_, err = Prober{Lifetime: "X-Id"}.Probe(t.Context(), ln.Addr().String(), "/healthz")
	var oe *net.OpError
	if !errors.As(err, &oe) {
		t.Errorf("without a listener: %v", err)
	}
}
