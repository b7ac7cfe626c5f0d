package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The doses of the disruption in lostAnswer.
const (
	// lossTime is how long answers are lost by a reset, loseEvery that the worker loses one in so many,
	// at losingShare of the workers of the service.
	lossTime    = 4 * time.Second
	loseEvery   = 40
	losingShare = 0.45
)

// lostAnswer: workers run requests and lose some of the answers. The requests are not idempotent by
// the route whose prefix begins their path; the path has an encoded slash behind which a longer
// prefix would end if it were decoded.
func lostAnswer(rec *record, trouble bool) int {
	fl, err := newFleet(rec, smallSite)
	if err != nil {
		rec.say("cannot run: %v", err)
		return notRun
	}
	defer fl.stop()
	cf := newConfig("booking", "portal")
	cf.add("a.example", plainRoute("r-confirm", "/visits/", "non_idempotent", "booking"))
	cf.add("a.example", plainRoute("r-free", "/visits/free/", "idempotent", "booking"))
	cf.addIdle(300)
	fl.put(cf)
	var losing atomic.Bool
	var workers []*worker
	for _, mc := range fl.machines {
		if mc.wk.service == "booking" {
			workers = append(workers, mc.wk)
		}
	}
	n := int(losingShare * float64(len(workers)))
	for _, wk := range workers[:n] {
		var runs atomic.Int64
		wk.respond = func(w http.ResponseWriter, r *http.Request) bool {
			if !losing.Load() || runs.Add(1)%loseEvery != 0 {
				return false
			}
			time.Sleep(wk.work)
			rec.add("answer-lost", "vm", wk.vm, "id", r.Header.Get("X-Attempt-Id"))
			resetConn(w)
			return true
		}
	}
	if err := fl.start(); err != nil {
		rec.say("cannot run: %v", err)
		return notRun
	}
	if err := fl.waitReady(15 * time.Second); err != nil {
		rec.say("cannot run: %v", err)
		return notRun
	}
	time.Sleep(time.Until(rec.start.Add(8 * time.Second)))
	var stop atomic.Bool
	var wg sync.WaitGroup
	var next atomic.Int64
	for _, mc := range fl.machines {
		for range 3 {
			wg.Go(func() {
				for !stop.Load() {
					i := next.Add(1)
					body := strings.NewReader(fmt.Sprintf("visit %d", i))
					mc.send("POST", "a.example", fmt.Sprintf("/visits/free%%2F%d", i), fmt.Sprintf("%016x", i), body, 2*time.Second)
					time.Sleep(60 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	losing.Store(trouble)
	time.Sleep(lossTime)
	losing.Store(false)
	time.Sleep(2 * time.Second)
	stop.Store(true)
	wg.Wait()
	time.Sleep(time.Second)
	runs := map[string][]entry{}
	for _, en := range rec.entries("run") {
		runs[en.fields["id"]] = append(runs[en.fields["id"]], en)
	}
	served, twice := 0, 0
	for _, en := range rec.entries("answered") {
		if en.fields["status"] == "200" {
			served++
		}
	}
	for id, list := range runs {
		if len(list) < 2 {
			continue
		}
		if twice++; twice <= 5 {
			rec.say("request %s (%s %s) ran at %s and again at %s", id, list[0].fields["method"], list[0].fields["path"], list[0].fields["vm"], list[1].fields["vm"])
		}
	}
	lost := len(rec.entries("answer-lost"))
	rec.say("%d requests that aren't idempotent: %d ran, %d answered 200, %d answers lost by workers, %d ran more than once", len(rec.entries("sent")), len(runs), served, lost, twice)
	switch {
	case served == 0 || trouble && lost == 0:
		rec.say("cannot tell")
		return notRun
	case twice > 0:
		rec.say("TWICE is broken")
		return broken
	}
	rec.say("TWICE held")
	return held
}
