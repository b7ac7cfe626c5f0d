package remote

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/flamingomast/flamingomast/internal/plat/guard"
	"github.com/flamingomast/flamingomast/internal/plat/kvtest"
	"github.com/flamingomast/flamingomast/internal/plat/stand"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// serve returns a client of a served stand-in.
func serve(t *testing.T, st *stand.Service) store.Store {
	mux := http.NewServeMux()
	mux.Handle(Handler(st.Store()))
	sv := httptest.NewServer(mux)
	t.Cleanup(sv.Close)
	return New(strings.TrimPrefix(sv.URL, "http://")).Store()
}

// TestContract runs the contract against the stand-in, against the client of a
// served one, and against both behind a guard.
func TestContract(t *testing.T) {
	for name, open := range map[string]func(t *testing.T, st *stand.Service) store.Store{
		"stand":   func(_ *testing.T, st *stand.Service) store.Store { return st.Store() },
		"remote":  serve,
		"guarded": func(t *testing.T, st *stand.Service) store.Store { return guard.New(serve(t, st)).Store() },
	} {
		t.Run(name, func(t *testing.T) { kvtest.Run(t, open) })
	}
}

// TestLostConnection: the service closes the connection after it has read a
// write. Whether it took effect is unknown; a read has none in any case, and a
// service that nobody listens for has not seen the write.
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
		t.Errorf("error %v names neither operation nor key", err)
	}
}

// TestEndedBeforeCall guards against a write whose outcome is unknown though the service had
// closed the kept connection before it was written.
func TestEndedBeforeCall(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(Handler(stand.New().Store()))
	sv := httptest.NewServer(mux)
	t.Cleanup(sv.Close)
	var le kvtest.EOFDelayer
	kv := newClient(strings.TrimPrefix(sv.URL, "http://"), func(_ context.Context, _, addr string) (net.Conn, error) { return le.Dial(addr) }).Store()
	kvtest.ClosedBeforeCall(t, kv, &le, sv.CloseClientConnections)
}
