package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The times of forgottenLeave.
const (
	// maxDown is the largest dose of the store's outage. It ends downAfterStart after the start of the
	// daemon's next process.
	maxDown        = 4500 * time.Millisecond
	downAfterStart = 2650 * time.Millisecond
	// lateBy is how late the last heartbeat of the worker arrives.
	lateBy = 3 * time.Second
	// servesOn is how long the worker serves after it has said that it leaves.
	servesOn = 14 * time.Second
)

// forgottenLeave: while the store is down a worker leaves, its daemon acknowledges that and is killed,
// and the worker's last heartbeat from before arrives late, at the next process.
func forgottenLeave(rec *record, trouble bool) int {
	fl, err := newFleet(rec, smallSite[:envInt("MACHINES", 3)])
	if err != nil {
		rec.say("cannot run: %v", err)
		return notRun
	}
	defer fl.stop()
	cf := newConfig("booking", "portal")
	cf.add("a.example", plainRoute("r-look", "/look/", "idempotent", "booking"))
	cf.addIdle(300)
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
	mc := fl.machines[0]
	var stop atomic.Bool
	var wg sync.WaitGroup
	for _, client := range fl.machines {
		// As the platform does, it asks each daemon once a second and takes the clients off a
		// machine after two misses, until the next 200.
		var in atomic.Bool
		in.Store(true)
		wg.Go(func() {
			for misses := 0; !stop.Load(); time.Sleep(time.Second) {
				if misses++; client.ready() {
					misses = 0
				}
				in.Store(misses < 2)
			}
		})
		for n := range 4 {
			wg.Go(func() {
				for i := 0; !stop.Load(); i++ {
					if !in.Load() {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					client.send("GET", "a.example", fmt.Sprintf("/look/%d", i), fmt.Sprintf("%s/%d/%d", client.vm, n, i), nil, 800*time.Millisecond)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2400 * time.Millisecond)
	downAt := time.Now()
	if trouble {
		rec.say("the store is down")
		fl.st.setDown(true)
	}
	time.Sleep(300 * time.Millisecond)
	last := mc.wk.seq.Add(1)
	sentAt := time.Now()
	if !mc.wk.leave() {
		rec.say("cannot run: the leave has no ack")
		return notRun
	}
	acked := time.Now()
	rec.say("worker %s says that it leaves; the daemon acknowledges it", mc.wk.id)
	time.Sleep(200 * time.Millisecond)
	started := acked
	if trouble {
		mc.signal(syscall.SIGKILL)
		<-mc.done
		time.Sleep(300 * time.Millisecond)
		started = time.Now()
		if err := mc.startDaemon(); err != nil {
			rec.say("cannot run: %v", err)
			return notRun
		}
		rec.say("its daemon is killed and started again")
	}
	time.Sleep(time.Until(sentAt.Add(lateBy)))
	rec.say("its last heartbeat arrives %v late, status %d", lateBy, mc.wk.beatNumber("ready", last))
	time.Sleep(time.Until(started.Add(downAfterStart)))
	if trouble {
		fl.st.setDown(false)
		down := time.Since(downAt)
		rec.say("the store serves again, after %.2f s", down.Seconds())
		if down > maxDown {
			rec.say("cannot run: that is above the dose")
			return notRun
		}
	}
	time.Sleep(time.Until(acked.Add(servesOn)))
	stop.Store(true)
	wg.Wait()
	late, before := 0, 0
	var first, end time.Duration
	for _, en := range rec.entries("run") {
		if en.fields["vm"] != mc.vm {
			continue
		}
		after := en.at.Sub(acked)
		if after <= boundDrain {
			before++
			continue
		}
		// The machine took the request from its client and sent it on itself.
		if !strings.HasPrefix(en.fields["id"], mc.vm+"/") || trouble && en.at.Before(started.Add(boundContact)) {
			continue
		}
		if late++; late == 1 {
			first = after
		}
		end = after
	}
	rec.say("%d requests ran at the worker until %v after the ack, %d later that the machine itself had taken (%.2f s to %.2f s after the ack)", before, boundDrain, late, first.Seconds(), end.Seconds())
	switch {
	case before == 0:
		rec.say("cannot tell")
		return notRun
	case late > 0:
		rec.say("DRAIN is broken")
		return broken
	}
	rec.say("DRAIN held")
	return held
}
