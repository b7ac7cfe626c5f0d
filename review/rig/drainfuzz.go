package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const boundDrain = 2 * time.Second

// drainFuzz lets workers leave in the ways of the pages, with late heartbeats, while their daemons
// are killed and the store is out of reach, and looks for requests that reach a worker later than the
// bound after a daemon has acknowledged that it leaves.
func drainFuzz(rec *record, trouble bool) int {
	fl, err := newFleet(rec, smallSite)
	if err != nil {
		rec.say("cannot run: %v", err)
		return notRun
	}
	defer fl.stop()
	sx := &stress{rec: rec, fl: fl, sent: map[string]*sentRequest{}, runs: map[string][]runInfo{}, refused: map[string]int{}, counts: map[string]int{}}
	sx.allowed = map[string]map[string]bool{"/look/": {"booking": true}, "/book/": {"booking": true}, "/docs/": {"portal": true}}
	cf := newConfig("booking", "portal")
	cf.add("a.example", plainRoute("r-look", "/look/", "idempotent", "booking"))
	cf.add("a.example", plainRoute("r-book", "/book/", "non_idempotent", "booking"))
	cf.add("a.example", plainRoute("r-docs", "/docs/", "download", "portal"))
	fl.put(cf)
	workers := make([]*rawWorker, len(fl.machines))
	for _, mc := range fl.machines {
		if err := serve(mc.addr(portStore), mc.storeGate, fl.st.handler(mc.vm)); err != nil {
			return notRun
		}
		if err := mc.startDaemon(); err != nil {
			return notRun
		}
	}
	for i, mc := range fl.machines {
		workers[i] = startWorker(sx, mc, mc.wk.service)
	}
	if err := fl.waitReady(15 * time.Second); err != nil {
		return notRun
	}
	time.Sleep(3 * time.Second)
	var stop atomic.Bool
	var wg sync.WaitGroup
	for _, mc := range fl.machines {
		for range 4 {
			wg.Go(func() { sx.client(mc, &stop) })
		}
	}
	acks := map[string]time.Time{}
	how := map[string]string{}
	kinds := strings.Fields(os.Getenv("FAULTS"))
	if len(kinds) == 0 {
		kinds = []string{"kill", "kill5", "cutkill", "freeze", "term", "cutkill5"}
	}
	end := time.Now().Add(time.Duration(envInt("SECONDS", 80)) * time.Second)
	for time.Now().Before(end) {
		i := rand.IntN(len(fl.machines))
		mc, wk := fl.machines[i], workers[i]
		kind := kinds[rand.IntN(len(kinds))]
		cut := strings.HasPrefix(kind, "cut")
		if trouble && cut {
			for _, other := range fl.machines {
				other.storeGate.cut()
			}
		}
		late := wk.seq.Add(1)
		wk.draining.Store(true)
		ok := false
		byDelete := rand.IntN(2) == 0
		if byDelete {
			wk.stopped.Store(true)
			req, _ := http.NewRequest("DELETE", "http://"+wk.control+"/flamingomast/instances/"+wk.id, nil)
			if res, err := (&http.Client{Timeout: time.Second}).Do(req); err == nil {
				ok = res.StatusCode == 200
				_ = res.Body.Close()
			}
		} else {
			ok = wk.beat("draining")
		}
		at := time.Now()
		if ok {
			acks[wk.id] = at
			how[wk.id] = fmt.Sprintf("%s delete=%v", kind, byDelete)
		}
		rec.add("leaving", "vm", mc.vm, "id", wk.id, "acked", ok, "kind", kind, "delete", byDelete)
		// A heartbeat from before it left arrives late.
		wg.Go(func() {
			for range 3 {
				time.Sleep(time.Duration(300+rand.IntN(2500)) * time.Millisecond)
				body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":9,"state":"ready","cold_left":"0ms","seq":%d}`, wk.service, wk.addr, mc.zone, late)
				req, _ := http.NewRequest("PUT", "http://"+wk.control+"/flamingomast/instances/"+wk.id, strings.NewReader(body))
				req.Close = true
				if res, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{}}).Do(req); err == nil {
					rec.add("late-heartbeat", "vm", mc.vm, "id", wk.id, "status", res.StatusCode)
					_ = res.Body.Close()
				}
			}
		})
		time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
		kill := []*machine{}
		if trouble {
			switch {
			case strings.HasSuffix(kind, "kill5"):
				kill = append(kill, mc)
				for _, j := range rand.Perm(len(fl.machines)) {
					if j != i && len(kill) < 5 {
						kill = append(kill, fl.machines[j])
					}
				}
			case strings.HasSuffix(kind, "kill"):
				kill = append(kill, mc)
			case kind == "freeze":
				mc.signal(syscall.SIGSTOP)
				time.Sleep(2 * time.Second)
				mc.signal(syscall.SIGCONT)
			case kind == "term":
				mc.signal(syscall.SIGTERM)
				<-mc.done
				_ = mc.startDaemon()
			}
		}
		for _, k := range kill {
			k.signal(syscall.SIGKILL)
		}
		for _, k := range kill {
			<-k.done
		}
		time.Sleep(300 * time.Millisecond)
		for _, k := range kill {
			_ = k.startDaemon()
		}
		time.Sleep(4500 * time.Millisecond)
		if cut && trouble {
			for _, other := range fl.machines {
				other.storeGate.heal()
			}
		}
		time.Sleep(3 * time.Second)
		wk.crash()
		workers[i] = startWorker(sx, mc, wk.service)
		time.Sleep(2 * time.Second)
	}
	stop.Store(true)
	wg.Wait()
	bad := 0
	sx.mu.Lock()
	defer sx.mu.Unlock()
	for id, runs := range sx.runs {
		for _, run := range runs {
			at, acked := acks[run.id]
			if !acked || run.at.Before(at.Add(boundDrain)) {
				continue
			}
			if bad++; bad <= 8 {
				rec.say("request %s reached worker %s %.2f s after the ack that it leaves (%s)", id, run.id, run.at.Sub(at).Seconds(), how[run.id])
			}
		}
	}
	rec.say("%d workers left with an ack; %d requests reached one later than %v after it; %d other violations; answers %v", len(acks), bad, boundDrain, len(sx.bad), sx.counts)
	if bad+len(sx.bad) > 0 {
		return broken
	}
	return held
}
