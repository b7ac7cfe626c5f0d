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
	// downTime is how long the store is silent each time, maxDown the largest dose of that.
	downTime = 6800 * time.Millisecond
	maxDown  = 8 * time.Second
	// lateBy is how late the last heartbeat of the worker arrives.
	lateBy = 3 * time.Second
	// servesOn is how long the worker serves after it has said that it leaves.
	servesOn = 14 * time.Second
)

// taken counts the requests that reached a worker which had left.
type taken struct {
	before, late int
	first, last  time.Duration
}

// forgottenLeave: while the store is down a worker leaves, its daemon acknowledges that and is killed,
// and the worker's last heartbeat from before arrives late, at the next process. After that the same
// comes once more, at another machine.
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
	var stop atomic.Bool
	var wg sync.WaitGroup
	ready := make([]atomic.Bool, len(fl.machines))
	for i := range ready {
		ready[i].Store(true)
	}
	// receives reports whether the platform gives clients to a machine: one that is out gets none, unless
	// fewer than half of the zone's daemons are in.
	receives := func(i int) bool {
		in, all := 0, 0
		for j, mc := range fl.machines {
			if mc.zone == fl.machines[i].zone {
				if all++; ready[j].Load() {
					in++
				}
			}
		}
		return ready[i].Load() || 2*in < all
	}
	for i, client := range fl.machines {
		// The platform asks each daemon once a second. Two misses take it out, until the next 200.
		wg.Go(func() {
			for misses := 0; !stop.Load(); time.Sleep(time.Second) {
				if misses++; client.ready() {
					misses = 0
				}
				ready[i].Store(misses < 2)
			}
		})
		for n := range 4 {
			wg.Go(func() {
				for k := 0; !stop.Load(); k++ {
					if !receives(i) {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					client.send("GET", "a.example", fmt.Sprintf("/look/%d", k), fmt.Sprintf("%s/%d/%d", client.vm, n, k), nil, 800*time.Millisecond)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2400 * time.Millisecond)
	type departure struct {
		mc             *machine
		acked, started time.Time
	}
	var gone []departure
	for _, mc := range fl.machines[:2] {
		acked, started, err := fl.leaveUnseen(mc, trouble)
		if err != nil {
			rec.say("cannot run: %v", err)
			return notRun
		}
		gone = append(gone, departure{mc, acked, started})
		time.Sleep(time.Until(acked.Add(servesOn)))
	}
	stop.Store(true)
	wg.Wait()
	sent := map[string]time.Time{}
	for _, en := range rec.entries("sent") {
		sent[en.fields["id"]] = en.at
	}
	late := 0
	for _, de := range gone {
		var tk taken
		for _, en := range rec.entries("run") {
			after := en.at.Sub(de.acked)
			if en.fields["vm"] != de.mc.vm || after > servesOn {
				continue
			}
			if after <= boundDrain {
				tk.before++
				continue
			}
			// The machine took the request from its client and sent it on itself, both later than
			// contact after its start.
			id := en.fields["id"]
			if !strings.HasPrefix(id, de.mc.vm+"/") || trouble && sent[id].Before(de.started.Add(boundContact)) {
				continue
			}
			if tk.late++; tk.late == 1 {
				tk.first = after
			}
			tk.last = after
		}
		if tk.before == 0 {
			rec.say("cannot tell")
			return notRun
		}
		late += tk.late
		rec.say("%s: %d requests ran at the worker until %v after the ack, %d later that the machine itself had taken (%.2f s to %.2f s after the ack)", de.mc.vm, tk.before, boundDrain, tk.late, tk.first.Seconds(), tk.last.Seconds())
	}
	if late > 0 {
		rec.say("DRAIN is broken")
		return broken
	}
	rec.say("DRAIN held")
	return held
}

// leaveUnseen lets the worker of a machine leave. With trouble the store is silent meanwhile, and the
// daemon is killed after its ack. It returns the time of the ack and that of the start of the daemon's
// next process.
func (fl *fleet) leaveUnseen(mc *machine, trouble bool) (acked, started time.Time, err error) {
	rec := fl.rec
	downAt := time.Now()
	if trouble {
		rec.say("the store is silent")
		fl.st.setDown(true)
	}
	time.Sleep(300 * time.Millisecond)
	last := mc.wk.seq.Add(1)
	sentAt := time.Now()
	if !mc.wk.leave() {
		return acked, started, fmt.Errorf("the leave of %s has no ack", mc.wk.id)
	}
	acked = time.Now()
	rec.say("worker %s says that it leaves; the daemon of %s acknowledges it", mc.wk.id, mc.vm)
	time.Sleep(200 * time.Millisecond)
	started = acked
	if trouble {
		mc.signal(syscall.SIGKILL)
		<-mc.done
		time.Sleep(300 * time.Millisecond)
		started = time.Now()
		if err := mc.startDaemon(); err != nil {
			return acked, started, err
		}
		rec.say("its daemon is killed and started again")
	}
	time.Sleep(time.Until(sentAt.Add(lateBy)))
	rec.say("its last heartbeat arrives %v late, status %d", lateBy, mc.wk.beatNumber("ready", last))
	time.Sleep(time.Until(downAt.Add(downTime)))
	if trouble {
		fl.st.setDown(false)
		down := time.Since(downAt)
		rec.say("the store serves again, after %.2f s", down.Seconds())
		if down > maxDown {
			return acked, started, fmt.Errorf("that is above the dose")
		}
	}
	return acked, started, nil
}
