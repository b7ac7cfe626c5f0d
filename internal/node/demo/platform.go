package demo

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/remote"
)

// ServePlatform serves a stand-in for the platform on ln until ctx ends.
func ServePlatform(ctx context.Context, ln net.Listener, st *fakekv.Service) error {
	mux := http.NewServeMux()
	mux.Handle(remote.Handler(st.Store()))
	hs := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	closed := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { closed <- hs.Close() })
	defer stop()
	if err := hs.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-closed
}
