package daemon

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestServersCrashTogether guards against refusing a harmless lookup for ten minutes, since all servers
// crashed at one moment while each was running it.
func TestServersCrashTogether(t *testing.T) {
	fl := newCrashFleet(t, 3, restart{delay: 300 * time.Millisecond})
	path := ""
	eventually(t, "the lookup is refused", func() bool {
		// Each attempt has a lookup of its own, so that the crashes of one do not count with another.
		path += normalPath
		var callers sync.WaitGroup
		for i := range 4 * len(fl.servers) {
			callers.Go(func() { fl.send(i%len(fl.servers), http.MethodGet, path, nil) })
		}
		<-time.After(normalServiceTime / 2)
		for _, cs := range fl.servers {
			if cs.stop() {
				time.AfterFunc(fl.restart.delay, cs.start)
			}
		}
		callers.Wait()
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
