package daemon

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestServersCrashTogether guards against refusing a harmless lookup for ten minutes, since all servers
// crashed at one moment while each was running it.
func TestServersCrashTogether(t *testing.T) {
	fl := newCrashFleet(t, 3, restart{delay: time.Second})
	path := ""
	eventually(t, "the lookup is refused", func() bool {
		// Each attempt has a lookup of its own, so that the crashes of one do not count with another.
		path += normalPath
		fl.crashAllDuring(path)
		_, refused := fl.servers[0].dm.Node.Board.Poison.Get().Counts()
		return refused > 0
	})
	eventually(t, "the lookup is served by all", func() bool {
		for i := range fl.servers {
			if status, _ := fl.send(i, http.MethodGet, path, nil); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// crashAllDuring crashes all servers at one moment while each is running the same request, and starts
// them again later.
func (fl *crashFleet) crashAllDuring(path string) {
	ctx, stop := context.WithCancel(fl.t.Context())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer stop()
	for i := range 4 * len(fl.servers) {
		callers.Go(func() {
			for ctx.Err() == nil {
				fl.send(i%len(fl.servers), http.MethodGet, path, nil)
			}
		})
	}
	eventually(fl.t, "each server runs it", func() bool {
		for _, cs := range fl.servers {
			if cs.active.Load() == 0 {
				return false
			}
		}
		return true
	})
	for _, cs := range fl.servers {
		if cs.stop() {
			time.AfterFunc(fl.restart.delay, cs.start)
		}
	}
}
