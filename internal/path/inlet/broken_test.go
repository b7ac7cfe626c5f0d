package inlet

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/path/ident"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
)

// TestCrashEvidence guards against two faults: blaming requests whose connections break while their
// server stays up or drains, and missing a crash because the server's address still accepts
// connections.
func TestCrashEvidence(t *testing.T) {
	const (
		first  = "i-1"
		second = "i-2"
	)
	target := func(lifetime string) Target {
		return Target{VM: "vm", Service: "booking", Addr: "127.0.0.1:9", Lifetime: lifetime}
	}
	interrupt := func(in *Inlet, rr *runningRequest, key ident.Key) {
		in.recordBroken(requestID{key: key}, rr)
	}
	begin := func(in *Inlet) *runningRequest { return in.crashes.begin(in.target.Load()) }
	for _, tc := range []struct {
		name string
		run  func(in *Inlet)
		want int
	}{
		{"all requests break together", func(in *Inlet) {
			a, b := begin(in), begin(in)
			interrupt(in, a, 1)
			interrupt(in, b, 2)
		}, 2},
		{"all requests break together, twice", func(in *Inlet) {
			a, b := begin(in), begin(in)
			interrupt(in, a, 1)
			interrupt(in, b, 2)
			time.Sleep(time.Second)
			a, b = begin(in), begin(in)
			interrupt(in, a, 1)
			interrupt(in, b, 2)
		}, 4},
		{"a concurrent request keeps running", func(in *Inlet) {
			a, b, c := begin(in), begin(in), begin(in)
			c.heldAt = c.startedAt
			interrupt(in, a, 1)
			interrupt(in, b, 2)
			time.Sleep(time.Second)
			in.crashes.finish(c, true)
			in.SetTarget(target(second))
		}, 0},
		{"a concurrent request breaks a little later", func(in *Inlet) {
			a, b, c := begin(in), begin(in), begin(in)
			interrupt(in, a, 1)
			interrupt(in, b, 2)
			time.Sleep(3 * crashSettleTime)
			interrupt(in, c, 3)
		}, 3},
		{"one request, then one that began after it", func(in *Inlet) {
			interrupt(in, begin(in), 1)
			time.Sleep(time.Millisecond)
			interrupt(in, begin(in), 2)
		}, 0},
		{"a request that began later keeps running", func(in *Inlet) {
			a, b := begin(in), begin(in)
			interrupt(in, a, 1)
			interrupt(in, b, 2)
			time.Sleep(time.Millisecond)
			begin(in)
		}, 2},
		{"one request after the other", func(in *Inlet) {
			for key := range ident.Key(3) {
				interrupt(in, begin(in), key)
				time.Sleep(time.Second)
			}
		}, 0},
		{"one request, then a new instance", func(in *Inlet) {
			interrupt(in, begin(in), 1)
			time.Sleep(3 * time.Second)
			in.SetTarget(Target{VM: "vm"})
			in.SetTarget(target(second))
		}, 1},
		{"one request, then the same instance announces itself", func(in *Inlet) {
			interrupt(in, begin(in), 1)
			time.Sleep(time.Second)
			in.ServerAnnounced()
			in.SetTarget(target(second))
		}, 0},
		{"two break together while the server stays up, then one and a new instance", func(in *Inlet) {
			a, b := begin(in), begin(in)
			interrupt(in, a, 1)
			interrupt(in, b, 2)
			time.Sleep(time.Second)
			in.ServerAnnounced()
			interrupt(in, begin(in), 3)
			time.Sleep(time.Second)
			in.SetTarget(target(second))
		}, 3},
		{"one request, then a drain", func(in *Inlet) {
			interrupt(in, begin(in), 1)
			time.Sleep(time.Second)
			in.ServerLeaving()
			in.SetTarget(target(second))
		}, 0},
		{"one request, read as broken after a new instance has started", func(in *Inlet) {
			rr := begin(in)
			in.SetTarget(target(second))
			interrupt(in, rr, 1)
		}, 1},
		{"one request of a drained instance, read as broken after a new one has started", func(in *Inlet) {
			rr := begin(in)
			in.ServerLeaving()
			in.SetTarget(target(second))
			interrupt(in, rr, 1)
		}, 0},
		{"one request, then a new instance much later", func(in *Inlet) {
			interrupt(in, begin(in), 1)
			time.Sleep(brokenTTL)
			in.SetTarget(target(second))
		}, 0},
		{"instances without a lifetime", func(in *Inlet) {
			in.SetTarget(target(""))
			interrupt(in, begin(in), 1)
			time.Sleep(time.Second)
			in.SetTarget(target(""))
		}, 0},
		{"while the server drains", func(in *Inlet) {
			a, b := begin(in), begin(in)
			in.Gate.Drain()
			interrupt(in, a, 1)
			interrupt(in, b, 2)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := New(proxy.Options{}, nil)
				defer in.Close()
				var mu sync.Mutex
				var got []poison.Report
				in.Report = func(list []poison.Report) {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, list...)
				}
				in.SetTarget(target(first))
				time.Sleep(time.Second)
				tc.run(in)
				time.Sleep(time.Minute)
				synctest.Wait()
				mu.Lock()
				defer mu.Unlock()
				if len(got) != tc.want {
					t.Errorf("%d reports, want %d: %+v", len(got), tc.want, got)
				}
			})
		})
	}
}
