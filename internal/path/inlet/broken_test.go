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

// TestCrashEvidence guards against blame for connections that break while their server
// lives or leaves, and against crashes that go unseen as its address accepts connections.
func TestCrashEvidence(t *testing.T) {
	const (
		first  = "i-1"
		second = "i-2"
	)
	target := func(lifetime string) Target {
		return Target{VM: "vm", Service: "booking", Addr: "127.0.0.1:9", Lifetime: lifetime}
	}
	breaks := func(in *Inlet, fl *flight, key ident.Key) {
		in.interrupted(requestID{key: key}, fl)
	}
	begin := func(in *Inlet) *flight { return in.crashes.begin(in.target.Load()) }
	for _, tc := range []struct {
		name string
		play func(in *Inlet)
		want int
	}{
		{"all break together", func(in *Inlet) {
			a, b := begin(in), begin(in)
			breaks(in, a, 1)
			breaks(in, b, 2)
		}, 2},
		{"all break together twice", func(in *Inlet) {
			a, b := begin(in), begin(in)
			breaks(in, a, 1)
			breaks(in, b, 2)
			time.Sleep(time.Second)
			a, b = begin(in), begin(in)
			breaks(in, a, 1)
			breaks(in, b, 2)
		}, 4},
		{"another one runs on", func(in *Inlet) {
			a, b, c := begin(in), begin(in), begin(in)
			breaks(in, a, 1)
			breaks(in, b, 2)
			time.Sleep(time.Second)
			in.crashes.finish(c, true)
			in.SetTarget(target(second))
		}, 0},
		{"another one breaks a little later", func(in *Inlet) {
			a, b, c := begin(in), begin(in), begin(in)
			breaks(in, a, 1)
			breaks(in, b, 2)
			time.Sleep(3 * crashWindow)
			breaks(in, c, 3)
		}, 3},
		{"one, and the next that began after it", func(in *Inlet) {
			breaks(in, begin(in), 1)
			time.Sleep(time.Millisecond)
			breaks(in, begin(in), 2)
		}, 0},
		{"one that began later runs on", func(in *Inlet) {
			a, b := begin(in), begin(in)
			breaks(in, a, 1)
			breaks(in, b, 2)
			time.Sleep(time.Millisecond)
			begin(in)
		}, 2},
		{"one after the other", func(in *Inlet) {
			for key := range ident.Key(3) {
				breaks(in, begin(in), key)
				time.Sleep(time.Second)
			}
		}, 0},
		{"one, and another start follows", func(in *Inlet) {
			breaks(in, begin(in), 1)
			time.Sleep(3 * time.Second)
			in.SetTarget(Target{VM: "vm"})
			in.SetTarget(target(second))
		}, 1},
		{"one, and the same start goes on", func(in *Inlet) {
			breaks(in, begin(in), 1)
			time.Sleep(time.Second)
			in.ServerAnnounced()
			in.SetTarget(target(second))
		}, 0},
		{"one, and a drain follows", func(in *Inlet) {
			breaks(in, begin(in), 1)
			time.Sleep(time.Second)
			in.ServerLeaving()
			in.SetTarget(target(second))
		}, 0},
		{"one, read after another start has followed", func(in *Inlet) {
			fl := begin(in)
			in.SetTarget(target(second))
			breaks(in, fl, 1)
		}, 1},
		{"one of a start that left, read after another has followed", func(in *Inlet) {
			fl := begin(in)
			in.ServerLeaving()
			in.SetTarget(target(second))
			breaks(in, fl, 1)
		}, 0},
		{"one, and another start follows much later", func(in *Inlet) {
			breaks(in, begin(in), 1)
			time.Sleep(brokenTTL)
			in.SetTarget(target(second))
		}, 0},
		{"starts that have no name", func(in *Inlet) {
			in.SetTarget(target(""))
			breaks(in, begin(in), 1)
			time.Sleep(time.Second)
			in.SetTarget(target(""))
		}, 0},
		{"while it drains", func(in *Inlet) {
			a, b := begin(in), begin(in)
			in.Gate.Drain()
			breaks(in, a, 1)
			breaks(in, b, 2)
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
				tc.play(in)
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
