package remote

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/guard"
	"github.com/flamingomast/flamingomast/internal/plat/kvtest"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// serve serves st over HTTP and returns a client for it.
func serve(t *testing.T, st *fakekv.Service) store.Store {
	mux := http.NewServeMux()
	mux.Handle(Handler(st.Store()))
	sv := httptest.NewServer(mux)
	t.Cleanup(sv.Close)
	return New(strings.TrimPrefix(sv.URL, "http://")).Store()
}

// TestContract runs the contract tests against the fake itself, against a client of the
// served fake, and against such a client behind a guard.
func TestContract(t *testing.T) {
	for name, open := range map[string]func(t *testing.T, st *fakekv.Service) store.Store{
		"stand":   func(_ *testing.T, st *fakekv.Service) store.Store { return st.Store() },
		"remote":  serve,
		"guarded": func(t *testing.T, st *fakekv.Service) store.Store { return guard.New(serve(t, st)).Store() },
	} {
		t.Run(name, func(t *testing.T) { kvtest.Run(t, open) })
	}
}

// TestLostConnection checks the error kinds when the service closes the connection after it
// has read the request: a write is Unknown, since it may have taken effect, and a read is
// Unavailable. A write is Unavailable if the connection is refused.
func TestLostConnection(t *testing.T) {
	sv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer sv.Close()
	kv := New(strings.TrimPrefix(sv.URL, "http://")).Store()
	_, _, err := kv.Swap(t.Context(), store.Change{Key: "a"})
	kvtest.WantKind(t, err, store.Unknown)
	_, err = kv.Get(t.Context(), "a")
	kvtest.WantKind(t, err, store.Unavailable)
	sv.Close()
	_, _, err = kv.Swap(t.Context(), store.Change{Key: "a"})
	kvtest.WantKind(t, err, store.Unavailable)
	var se *store.Error
	if !errors.As(err, &se) || se.Op != "swap" || se.Key != "a" {
		t.Errorf("error %v does not name operation swap and key a", err)
	}
}

// TestEndedBeforeCall guards against a write that is reported as Unknown although the service
// had closed the idle connection before the request was written to it.
func TestEndedBeforeCall(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(Handler(fakekv.New().Store()))
	sv := httptest.NewServer(mux)
	t.Cleanup(sv.Close)
	var ed kvtest.EOFDelayer
	kv := newClient(strings.TrimPrefix(sv.URL, "http://"), func(_ context.Context, _, addr string) (net.Conn, error) { return ed.Dial(addr) }).Store()
	kvtest.ClosedBeforeCall(t, kv, &ed, sv.CloseClientConnections)
}
