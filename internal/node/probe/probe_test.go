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

// TestProbe: what backend servers answer when they are asked whether they serve, and what
// is made of it. Whatever cannot be read names no server.
func TestProbe(t *testing.T) {
	for _, tc := range []struct {
		name string
		// id and load are headers of the answer.
		status   int
		id, load string
		want     Result
		ok       bool
	}{
		{"serves", 200, "i-7", "3,0,8", Result{Lifetime: "i-7", Slots: 8}, true},
		{"tells no load", 200, "i-7", "", Result{Lifetime: "i-7"}, true},
		{"tells a strange load", 200, "i-7", "3,0,many", Result{Lifetime: "i-7"}, true},
		{"tells slots beyond measure", 200, "i-7", "3,0,99999999999999999999", Result{Lifetime: "i-7"}, true},
		{"drains", 503, "i-7", "3,0,8", Result{}, false},
		{"does not name itself", 200, "", "3,0,8", Result{}, false},
		{"runs something else", 404, "", "", Result{}, false},
	} {
		sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/healthz" {
				t.Errorf("%s: asked for %s", tc.name, r.URL.Path)
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

// TestProbeSilentServer: nobody listens, or somebody does and says nothing. The question ends
// with its context.
func TestProbeSilentServer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := (Prober{Lifetime: "X-Id"}).Probe(ctx, ln.Addr().String(), "/healthz"); err == nil {
		t.Error("a silent server was taken for one that serves")
	}
	ln.Close()
	_, err = Prober{Lifetime: "X-Id"}.Probe(t.Context(), ln.Addr().String(), "/healthz")
	var oe *net.OpError
	if !errors.As(err, &oe) {
		t.Errorf("without a listener: %v", err)
	}
}
