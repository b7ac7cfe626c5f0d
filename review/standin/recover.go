package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// crashThenKill: all workers of a service crash at the same moment and come back; then the final
// fault kills all daemons. Clients send one popular lookup and some orders throughout.
func crashThenKill(trouble bool) int {
	ms, err := startSmall("agendamento", "120ms", map[string][]route{defaultHost: {
		{Name: "r-busca", Prefix: "/busca/", Kind: "idempotent", Timeout: "800ms", Target: "400ms", Priority: 2, Service: "agendamento", MaxAttempts: 2},
		{Name: "r-confirma", Prefix: "/confirma/", Kind: "non_idempotent", Timeout: "1000ms", Target: "500ms", Priority: 1, Service: "agendamento", MaxAttempts: 2},
	}})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer ms.close()

	var mu sync.Mutex
	type outcome struct {
		at time.Time
		ok bool
	}
	var results []outcome
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for _, mc := range ms.machines {
		tr := newTransport()
		wg.Go(func() {
			tick := time.NewTicker(time.Second / 30)
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				if !mc.takesClients() {
					continue
				}
				wg.Go(func() {
					at := time.Now()
					var an answer
					if n%10 == 9 {
						an = ms.send(tr, mc, "POST", "/confirma/visita", []byte("visit "+newID()), 2*time.Second, false)
					} else {
						an = ms.send(tr, mc, "GET", "/busca/diaristas", nil, 1500*time.Millisecond, true)
					}
					mu.Lock()
					defer mu.Unlock()
					results = append(results, outcome{at, an.status == 200 && an.whole})
				})
			}
		})
	}
	start := time.Now()
	time.Sleep(8 * time.Second)
	crashAt := time.Now()
	if trouble {
		ms.logf("trouble: all workers crash")
		for _, mc := range ms.machines {
			signalTo(mc.worker, syscall.SIGKILL)
		}
		time.Sleep(2 * time.Second)
		for _, mc := range ms.machines {
			if mc.startWorker() != nil {
				return 2
			}
		}
		ms.logf("trouble: new workers start")
	}
	time.Sleep(3 * time.Second)
	faultAt := time.Now()
	if trouble {
		ms.logf("trouble: final fault, all daemons are killed")
		for _, mc := range ms.machines {
			signalTo(mc.daemon, syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		for _, mc := range ms.machines {
			if mc.startDaemon() != nil {
				return 2
			}
		}
		ms.logf("trouble: all daemons are started again")
	}
	backAt := time.Now()
	time.Sleep(boundRecovery + 15*time.Second)
	close(stop)
	wg.Wait()
	count := func(from, to time.Time) (sent, served int) {
		for _, oc := range results {
			if !oc.at.Before(from) && oc.at.Before(to) {
				sent++
				if oc.ok {
					served++
				}
			}
		}
		return
	}
	s0, v0 := count(start, crashAt)
	s1, v1 := count(crashAt, faultAt)
	s2, v2 := count(backAt, backAt.Add(boundRecovery))
	s3, v3 := count(backAt.Add(boundRecovery), time.Now())
	sb, vb := count(start, faultAt)
	text := fmt.Sprintf("served before the crash %d of %d, from the crash to the final fault %d of %d, in the %s after it %d of %d, later %d of %d",
		v0, s0, v1, s1, boundRecovery, v2, s2, v3, s3)
	ms.logf("%s", text)
	if it, ok := ms.store.get("poison-requests"); ok {
		ms.logf("store: poison-requests = %s", it.Value)
	}
	fmt.Println(text)
	if s3 == 0 || 4*vb < sb {
		return 2
	}
	if 4*v3 < s3 {
		fmt.Println("RECOVER broken")
		return 1
	}
	return 0
}
