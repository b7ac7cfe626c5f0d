package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of the deployment and the doses of the disruption.
const (
	boundConfig  = 2 * time.Second
	boundContact = 3 * time.Second
	cutTime      = 4 * time.Second
	stormTime    = 5 * time.Second
	stormGap     = 160 * time.Millisecond
	// watchTime is how long the machines are watched after the last version.
	watchTime = 12 * time.Second
)

// smallSite has the places of the machines of the site diaristas-vale.
var smallSite = []string{
	"sala-centro/booking", "sala-norte/booking", "sala-porto/booking", "sala-centro/booking", "sala-norte/portal",
	"sala-porto/booking", "sala-centro/booking", "sala-centro/portal", "sala-porto/portal",
}

func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// lateConfig: configurations come in quick succession, and the machines that follow the store are
// partitioned from it for a while. Once all machines are in touch again, the next configuration must
// be in force in time.
func lateConfig(rec *record, trouble bool) int {
	fl, err := newFleet(rec, smallSite)
	if err != nil {
		rec.say("cannot run: %v", err)
		return notRun
	}
	defer fl.stop()
	cf := newConfig("booking", "portal")
	cf.add("a.example", plainRoute("r-first", "/first/", "idempotent", "booking"))
	cf.addIdle(300)
	watches := struct {
		sync.Mutex
		last map[string]time.Time
	}{last: map[string]time.Time{}}
	fl.st.onCall = func(vm, path, key string) {
		if key == "op/config" {
			rec.add("store-call", "vm", vm, "call", path)
			watches.Lock()
			watches.last[vm] = time.Now()
			watches.Unlock()
		}
	}
	fl.put(cf)
	if err := fl.start(); err != nil {
		rec.say("cannot run: %v", err)
		return notRun
	}
	if err := fl.waitReady(15 * time.Second); err != nil {
		rec.say("cannot run: %v", err)
		return notRun
	}
	time.Sleep(time.Until(rec.start.Add(8 * time.Second)))
	for range envInt("GROWTH", 3) {
		cf.addIdle(350)
		fl.put(cf)
		time.Sleep(300 * time.Millisecond)
	}
	storm := func() {
		rec.say("configurations in quick succession, one each %v for %v", stormGap, stormTime)
		began := time.Now()
		for i := 0; time.Since(began) < stormTime; i++ {
			cf.hosts["idle.example"][cf.version%300].Timeout = fmt.Sprintf("%dms", 700+i)
			fl.put(cf)
			time.Sleep(time.Until(began.Add(time.Duration(i+1) * stormGap)))
		}
	}
	var cut []*machine
	watches.Lock()
	for _, mc := range fl.machines {
		if time.Since(watches.last[mc.vm]) < 1200*time.Millisecond && len(cut) < 2 {
			cut = append(cut, mc)
			rec.say("%s follows the store", mc.vm)
		}
	}
	watches.Unlock()
	stormDone := make(chan struct{})
	go func() {
		defer close(stormDone)
		storm()
	}()
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		for _, mc := range cut {
			rec.say("%s is partitioned from the store for %v", mc.vm, cutTime)
			mc.storeGate.cut()
		}
	}
	time.Sleep(cutTime)
	if trouble {
		for _, mc := range cut {
			mc.storeGate.heal()
		}
		rec.say("healed")
	}
	<-stormDone
	// All machines are in touch again.
	time.Sleep(boundContact + 200*time.Millisecond)
	cf.hosts["a.example"][0].Service = "portal"
	cf.add("a.example", plainRoute("r-second", "/second/", "idempotent", "booking"))
	acked := fl.put(cf)
	rec.say("version %d adds the route /second/ and moves the route /first/ from booking to portal", cf.version)
	// Each machine gets requests for both routes all the while.
	var wg sync.WaitGroup
	var stop atomic.Bool
	type look struct {
		sent     time.Time
		vm, path string
		status   int
		body     string
	}
	var mu sync.Mutex
	var looks []look
	for _, mc := range fl.machines {
		wg.Go(func() {
			for i := 0; !stop.Load(); i++ {
				path := []string{"/first/x", "/second/x"}[i%2]
				sent := time.Now()
				an := mc.send("GET", "a.example", path, fmt.Sprintf("%s-%04d", mc.vm, i), nil, 800*time.Millisecond)
				mu.Lock()
				looks = append(looks, look{sent, mc.vm, path, an.status, an.body})
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(watchTime)
	stop.Store(true)
	wg.Wait()
	refused, oldService, served := 0, 0, 0
	var first, last time.Duration
	for _, lk := range looks {
		if lk.sent.Before(acked.Add(boundConfig)) {
			continue
		}
		switch {
		case lk.path == "/second/x" && lk.status == 404:
			refused++
		case lk.path == "/first/x" && lk.status == 200 && strings.HasPrefix(lk.body, "booking "):
			oldService++
		case lk.status == 200:
			served++
			continue
		default:
			continue
		}
		if last = max(last, lk.sent.Sub(acked)); first == 0 || lk.sent.Sub(acked) < first {
			first = lk.sent.Sub(acked)
		}
	}
	rec.say("requests (all machines are in touch) that were sent later than %v after the ack: %d served as the version says, %d refused with 404 though the route is there, %d run by the old service",
		boundConfig, served, refused, oldService)
	if refused+oldService > 0 {
		rec.say("CONFIG is broken: they were sent from %.2f s to %.2f s after the ack", first.Seconds(), last.Seconds())
		return broken
	}
	if served == 0 {
		rec.say("cannot tell: no request was served")
		return notRun
	}
	rec.say("CONFIG held")
	return held
}
