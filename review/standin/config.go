package main

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// startSmall starts a deployment of three zones with one machine each, with the first version in force.
func startSmall(service, work string, hosts map[string][]route) (*mesh, error) {
	ms, err := newMesh([]string{"sala-centro", "sala-norte", "sala-porto"})
	if err != nil {
		return nil, err
	}
	for i, zone := range ms.zones {
		if _, err := ms.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, i+1), zone, service, work); err != nil {
			ms.close()
			return nil, err
		}
	}
	if err := ms.configure(7, []string{service}, hosts); err != nil {
		ms.close()
		return nil, err
	}
	for _, mc := range ms.machines {
		if err := mc.startDaemon(); err != nil {
			ms.close()
			return nil, err
		}
		if err := mc.startWorker(); err != nil {
			ms.close()
			return nil, err
		}
	}
	if err := ms.waitReady(10 * time.Second); err != nil {
		ms.close()
		return nil, err
	}
	go ms.readiness()
	time.Sleep(6 * time.Second)
	return ms, nil
}

// droppedRoute: a new version drops a route of a host that is named like its service.
func droppedRoute(trouble bool) int {
	busca := route{Name: "r-busca", Prefix: "/busca/", Kind: "idempotent", Timeout: "800ms", Target: "400ms", Priority: 2, Service: "agendamento", MaxAttempts: 2}
	confirma := route{Name: "r-confirma", Prefix: "/confirma/", Kind: "non_idempotent", Timeout: "1000ms", Target: "500ms", Priority: 1, Service: "agendamento", MaxAttempts: 2}
	ms, err := startSmall("agendamento", "120ms", map[string][]route{"agendamento": {busca, confirma}})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer ms.close()
	ms.host = "agendamento"
	end := time.Now().Add(30 * time.Second)
	var mu sync.Mutex
	var orders, lookups []answer
	var wg sync.WaitGroup
	for _, mc := range ms.machines {
		tr := newTransport()
		wg.Go(func() {
			tick := time.NewTicker(100 * time.Millisecond)
			defer tick.Stop()
			for n := 0; time.Now().Before(end); n++ {
				<-tick.C
				wg.Go(func() {
					if n%2 == 0 {
						an := ms.send(tr, mc, "GET", "/busca/diaristas", nil, 1500*time.Millisecond, true)
						mu.Lock()
						defer mu.Unlock()
						lookups = append(lookups, an)
						return
					}
					an := ms.send(tr, mc, "POST", "/confirma/visita", []byte("visit "+newID()), 2*time.Second, false)
					mu.Lock()
					defer mu.Unlock()
					orders = append(orders, an)
				})
			}
		})
	}
	time.Sleep(8 * time.Second)
	ackAt := time.Now()
	if trouble {
		if err := ms.configure(8, []string{"agendamento"}, map[string][]route{"agendamento": {busca}}); err != nil {
			return 2
		}
	}
	wg.Wait()
	before, beforeOK, after, ran, notFound, served := 0, 0, 0, 0, 0, 0
	ms.mu.Lock()
	for _, an := range orders {
		switch {
		case an.sentAt.Before(ackAt):
			before++
			if an.status == 200 {
				beforeOK++
			}
		case an.sentAt.After(ackAt.Add(boundConfig)):
			after++
			if len(ms.runs[an.id]) > 0 {
				ran++
			}
			if an.status == 404 {
				notFound++
			}
		}
	}
	ms.mu.Unlock()
	for _, an := range lookups {
		if an.status == 200 && an.whole {
			served++
		}
	}
	text := fmt.Sprintf("confirmations before the version: %d of %d answered 200; sent later than %s after its ack: %d, run by a worker %d, answered 404 %d; lookups answered 200: %d of %d",
		beforeOK, before, boundConfig, after, ran, notFound, served, len(lookups))
	ms.logf("%s", text)
	fmt.Println(text)
	switch {
	case beforeOK*2 < before || served*2 < len(lookups) || after == 0:
		return 2
	case trouble && ran > 0:
		fmt.Println("CONFIG broken: run with a dropped route")
		return 1
	}
	return 0
}

// secondHost: a new version adds a second host whose routes have the names of those of the first.
func secondHost(trouble bool) int {
	const (
		first  = "agendamento.diaristas.vale-sul.example"
		second = "agendamento.sala-norte.servicos.diaristas.vale-sul.example"
	)
	busca := route{Name: "r-busca", Prefix: "/busca/", Kind: "idempotent", Timeout: "800ms", Target: "400ms", Priority: 2, Service: "agendamento", MaxAttempts: 2}
	ms, err := startSmall("agendamento", "120ms", map[string][]route{first: {busca}})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer ms.close()
	hosts, added := []string{first}, busca
	// A variant: ADDED=NAME gives the added route a name of its own.
	added.Name = cmp.Or(os.Getenv("ADDED"), busca.Name)
	if trouble {
		hosts = append(hosts, second)
		if err := ms.configure(8, []string{"agendamento"}, map[string][]route{first: {busca}, second: {added}}); err != nil {
			return 2
		}
	}
	ackAt := time.Now()
	end := ackAt.Add(20 * time.Second)
	var mu sync.Mutex
	sent, served, notFound := map[string]int{}, map[string]int{}, map[string]int{}
	var wg sync.WaitGroup
	for _, mc := range ms.machines {
		tr := newTransport()
		for _, host := range hosts {
			wg.Go(func() {
				for time.Now().Before(end) {
					an := ms.sendTo(host, tr, mc, "GET", "/busca/diaristas", nil, 1500*time.Millisecond, true)
					mu.Lock()
					if an.sentAt.After(ackAt.Add(boundConfig)) {
						sent[host]++
						switch an.status {
						case 200:
							served[host]++
						case 404:
							notFound[host]++
						}
					}
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	text := fmt.Sprintf("sent later than %s after the ack: to the first host %d, answered 200 %d; to the added host %d, answered 200 %d, 404 %d",
		boundConfig, sent[first], served[first], sent[second], served[second], notFound[second])
	ms.logf("%s", text)
	fmt.Println(text)
	if trouble {
		ms.restartOne(first)
	}
	switch {
	case served[first]*2 < sent[first] || sent[first] == 0:
		return 2
	case notFound[second] > 0:
		fmt.Println("CONFIG broken: refused with 404 though the route is there")
		return 1
	}
	return 0
}

// restartOne kills one daemon, starts it again and records whether it is ready after boundRecovery. It
// isn't part of the verdict.
func (ms *mesh) restartOne(host string) {
	mc := ms.machines[0]
	signalTo(mc.daemon, syscall.SIGKILL)
	time.Sleep(time.Second)
	if mc.startDaemon() != nil {
		return
	}
	time.Sleep(boundRecovery)
	ready := "no answer"
	if res, err := http.Get("http://" + mc.ready + "/flamingomast/ready"); err == nil {
		_ = res.Body.Close()
		ready = res.Status
	}
	an := ms.sendTo(host, newTransport(), mc, "GET", "/busca/diaristas", nil, 1500*time.Millisecond, false)
	ms.logf("beside the verdict: daemon %s was killed and started again; %s later its readiness is %q, and a request on the first host gets %d %s",
		mc.name, boundRecovery, ready, an.status, an.reason)
}
