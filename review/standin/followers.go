package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// freezeTime is how long the daemons stand still.
const freezeTime = 3500 * time.Millisecond

// storeWatches returns how often the daemon has watched the operator's keys, -1 if it doesn't say.
func (mc *machine) storeWatches() int64 {
	res, err := http.Get("http://" + mc.admin + "/debug/vars")
	if err != nil {
		return -1
	}
	defer res.Body.Close()
	var vars struct {
		Program struct {
			Calls map[string]int64 `json:"platform-calls-by-purpose"`
		} `json:"flamingomast"`
	}
	if json.NewDecoder(res.Body).Decode(&vars) != nil {
		return -1
	}
	return vars.Program.Calls["watch/op"]
}

// followersStand: the daemons that follow the store stand still, and a version drops a route 50 ms later.
func followersStand(trouble bool) int {
	busca := route{Name: "r-busca", Prefix: "/busca/", Kind: "idempotent", Timeout: "800ms", Target: "400ms", Priority: 2, Service: "agendamento", MaxAttempts: 2}
	old := busca
	old.Name, old.Prefix = "r-velha", "/velha/"
	ms, err := startSmall("agendamento", "10ms", map[string][]route{defaultHost: {busca, old}})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer ms.close()
	time.Sleep(6 * time.Second)
	before := map[*machine]int64{}
	for _, mc := range ms.machines {
		before[mc] = mc.storeWatches()
	}
	time.Sleep(3 * time.Second)
	stopped := map[*machine]bool{}
	for _, mc := range ms.machines {
		stopped[mc] = trouble && mc.storeWatches()-before[mc] > 1
	}
	for mc, stop := range stopped {
		if stop {
			ms.logf("trouble: daemon %s stands still", mc.name)
			signalTo(mc.daemon, syscall.SIGSTOP)
			time.AfterFunc(freezeTime, func() { signalTo(mc.daemon, syscall.SIGCONT) })
		}
	}
	time.Sleep(50 * time.Millisecond)
	if err := ms.configure(8, []string{"agendamento"}, map[string][]route{defaultHost: {busca}}); err != nil {
		return 2
	}
	ackAt := time.Now()
	var mu sync.Mutex
	var last time.Duration
	var wg sync.WaitGroup
	for _, mc := range ms.machines {
		if stopped[mc] {
			continue
		}
		tr := newTransport()
		wg.Go(func() {
			for time.Since(ackAt) < 6*time.Second {
				an := ms.sendTo(defaultHost, tr, mc, "GET", "/velha/x", nil, time.Second, false)
				mu.Lock()
				if an.status == 200 {
					last = max(last, an.sentAt.Sub(ackAt))
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	text := fmt.Sprintf("a machine that didn't stand still served a request on the dropped route that was sent %s after the ack", last.Round(time.Millisecond))
	ms.logf("%s", text)
	fmt.Println(text)
	if last > boundConfig {
		fmt.Println("CONFIG broken: run with a dropped route")
		return 1
	}
	return 0
}
