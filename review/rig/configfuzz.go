package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// configFuzz changes the configuration every few seconds while single machines are disrupted at
// random, and looks for requests at machines in touch that are handled as an older version allows.
func configFuzz(rec *record, trouble bool) int {
	fl, err := newFleet(rec, smallSite)
	if err != nil {
		rec.say("cannot run: %v", err)
		return notRun
	}
	defer fl.stop()
	type version struct {
		acked   time.Time
		service string
	}
	type span struct{ from, to time.Time }
	var mu sync.Mutex
	var versions []version
	out := map[string][]span{}
	var lastWatch sync.Map
	fl.st.onCall = func(vm, path, key string) {
		if key == "op/config" {
			lastWatch.Store(vm, time.Now())
		}
	}
	cf := newConfig("booking", "portal")
	cf.add("a.example", plainRoute("r-probe", "/probe/", "idempotent", "booking"))
	cf.addIdle(envInt("ROUTES", 300))
	change := func() {
		rt := &cf.hosts["a.example"][0]
		if rt.Service = "booking"; len(versions)%2 == 1 {
			rt.Service = "portal"
		}
		at := fl.put(cf)
		mu.Lock()
		versions = append(versions, version{at, rt.Service})
		mu.Unlock()
	}
	change()
	if err := fl.start(); err != nil {
		rec.say("cannot run: %v", err)
		return notRun
	}
	if err := fl.waitReady(15 * time.Second); err != nil {
		rec.say("cannot run: %v", err)
		return notRun
	}
	time.Sleep(5 * time.Second)
	var stop atomic.Bool
	var wg sync.WaitGroup
	type look struct {
		sent    time.Time
		vm      string
		service string
	}
	var looks []look
	for _, mc := range fl.machines {
		wg.Go(func() {
			for i := 0; !stop.Load(); i++ {
				sent := time.Now()
				an := mc.send("GET", "a.example", "/probe/x", fmt.Sprintf("%s-%05d", mc.vm, i), nil, 700*time.Millisecond)
				if service, _, ok := strings.Cut(an.body, " "); ok && an.status == 200 {
					mu.Lock()
					looks = append(looks, look{sent, mc.vm, service})
					mu.Unlock()
				}
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	kinds := strings.Fields(os.Getenv("FAULTS"))
	if len(kinds) == 0 {
		kinds = []string{"freeze", "kill", "term", "cut", "cut2", "kill4", "freezecut"}
	}
	disrupt := func(mc *machine, kind string) {
		from := time.Now()
		rec.add("fault", "kind", kind, "vm", mc.vm)
		switch kind {
		case "freeze":
			mc.signal(syscall.SIGSTOP)
			time.Sleep(3500 * time.Millisecond)
			mc.signal(syscall.SIGCONT)
		case "kill":
			mc.signal(syscall.SIGKILL)
			<-mc.done
			time.Sleep(400 * time.Millisecond)
			_ = mc.startDaemon()
		case "term":
			mc.signal(syscall.SIGTERM)
			<-mc.done
			time.Sleep(400 * time.Millisecond)
			_ = mc.startDaemon()
		case "cut":
			mc.storeGate.cut()
			time.Sleep(5500 * time.Millisecond)
			mc.storeGate.heal()
		}
		mu.Lock()
		out[mc.vm] = append(out[mc.vm], span{from, time.Now()})
		mu.Unlock()
	}
	end := time.Now().Add(time.Duration(envInt("SECONDS", 80)) * time.Second)
	for time.Now().Before(end) {
		kind := kinds[rand.IntN(len(kinds))]
		var order []*machine
		for _, i := range rand.Perm(len(fl.machines)) {
			mc := fl.machines[i]
			at, ok := lastWatch.Load(mc.vm)
			if ok && time.Since(at.(time.Time)) < 1200*time.Millisecond && rand.IntN(10) < 7 {
				order = append([]*machine{mc}, order...)
			} else {
				order = append(order, mc)
			}
		}
		var ds sync.WaitGroup
		begin := func(mc *machine, kind string) { ds.Go(func() { disrupt(mc, kind) }) }
		if trouble {
			switch kind {
			case "cut2":
				begin(order[0], "cut")
				begin(order[1], "cut")
			case "kill4":
				for _, mc := range order[:4] {
					begin(mc, "kill")
				}
			case "freezecut":
				begin(order[0], "freeze")
				begin(order[1], "cut")
			default:
				begin(order[0], kind)
			}
		}
		time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
		change()
		time.Sleep(3 * time.Second)
		change()
		ds.Wait()
		time.Sleep(time.Duration(1000+rand.IntN(3500)) * time.Millisecond)
	}
	stop.Store(true)
	wg.Wait()
	bad, judged := 0, 0
	worst := time.Duration(0)
	for _, lk := range looks {
		inTouch := true
		for _, sp := range out[lk.vm] {
			if lk.sent.After(sp.from) && lk.sent.Before(sp.to.Add(boundContact)) {
				inTouch = false
			}
		}
		if !inTouch {
			continue
		}
		allowed := map[string]bool{}
		var acked time.Time
		for _, ve := range versions {
			if ve.acked.Before(lk.sent.Add(-boundConfig)) {
				allowed = map[string]bool{}
				acked = ve.acked
			}
			allowed[ve.service] = true
		}
		judged++
		if !allowed[lk.service] {
			bad++
			worst = max(worst, lk.sent.Sub(acked))
			if bad <= 5 {
				rec.say("%s: sent %.2f s after the ack, run by %s (at %.3f)", lk.vm, lk.sent.Sub(acked).Seconds(), lk.service, lk.sent.Sub(rec.start).Seconds())
			}
		}
	}
	rec.say("%d versions, %d requests judged, %d run by the old service, the latest %.2f s after the ack", len(versions), judged, bad, worst.Seconds())
	if bad > 0 {
		return broken
	}
	return held
}
