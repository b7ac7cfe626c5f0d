package limit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// queueUp queues requests at a limiter of one slot, which is held, and returns the names in the order in
// which they get the slot.
func queueUp(t *testing.T, queue int, names []string) (order []string, refused int) {
	t.Helper()
	requests := map[string]Request{
		"floor":  {Kind: "sheet", Priority: 2, Objective: 10 * time.Second, Floor: true},
		"urgent": {Kind: "list", Priority: 0, Objective: 10 * time.Second},
		"call":   {Kind: "call", Priority: 0, Objective: 10 * time.Second, Final: true},
		"late":   {Kind: "sheet", Priority: 2, Objective: ms, Floor: true},
	}
	synctest.Test(t, func(t *testing.T) {
		lm := New()
		lm.Configure(1, []Class{{Queue: queue}})
		held, _ := lm.Acquire(t.Context(), Request{})
		got := make(chan string, len(names))
		var wg sync.WaitGroup
		for _, name := range names {
			wg.Go(func() {
				sl, rf := lm.Acquire(t.Context(), requests[name])
				if rf != nil {
					got <- ""
					return
				}
				got <- name
				time.Sleep(10 * ms)
				sl.Release()
			})
			synctest.Wait()
		}
		held.Release()
		wg.Wait()
		for range names {
			if name := <-got; name == "" {
				refused++
			} else {
				order = append(order, name)
			}
		}
	})
	return order, refused
}

// TestFloorOrder guards against requests of starved kinds waiting behind all others, and against more
// urgent requests waiting behind all of those.
func TestFloorOrder(t *testing.T) {
	for _, tc := range []struct {
		name    string
		queue   int
		arrive  []string
		order   []string
		refused int
	}{
		{"one slot in four", 16, []string{"urgent", "urgent", "urgent", "urgent", "floor", "floor"}, []string{"floor", "urgent", "urgent", "urgent", "floor", "urgent"}, 0},
		{"before and after calls", 16, []string{"call", "call", "floor"}, []string{"floor", "call", "call"}, 0},
		{"alone", 16, []string{"floor", "floor", "floor"}, []string{"floor", "floor", "floor"}, 0},
		{"late", 16, []string{"urgent", "urgent", "late"}, []string{"late", "urgent", "urgent"}, 0},
		{"half of a queue", 4, []string{"floor", "floor", "floor", "floor", "urgent", "urgent"}, []string{"floor", "urgent", "urgent", "floor"}, 2},
	} {
		order, refused := queueUp(t, tc.queue, tc.arrive)
		if len(order) != len(tc.order) || refused != tc.refused {
			t.Errorf("%s: %v, %d refused, want %v, %d", tc.name, order, refused, tc.order, tc.refused)
			continue
		}
		for i, name := range tc.order {
			if order[i] != name {
				t.Errorf("%s: %v, want %v", tc.name, order, tc.order)
				break
			}
		}
	}
}

// TestFloorWait guards against urgent requests refused for a wait behind requests of starved kinds, of
// which only one slot in four is theirs.
func TestFloorWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lm := New()
		lm.Configure(1, []Class{{Queue: 16}})
		for range 20 {
			sl, _ := lm.Acquire(t.Context(), Request{})
			time.Sleep(20 * ms)
			sl.Release()
		}
		held, _ := lm.Acquire(t.Context(), Request{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				if sl, rf := lm.Acquire(ctx, Request{Priority: 2, Floor: true}); rf == nil {
					time.Sleep(20 * ms)
					sl.Release()
				}
			})
		}
		synctest.Wait()
		if got := lm.Load().Waits; got != [result.Ranks]time.Duration{40 * ms, 40 * ms, 40 * ms, 40 * ms} {
			t.Errorf("the reported waits are %v, want 40 ms: the running request and one of a starved kind", got)
		}
		admitted := make(chan bool)
		go func() {
			sl, rf := lm.Acquire(ctx, Request{Priority: 0, Objective: 100 * ms})
			admitted <- rf == nil
			if rf == nil {
				sl.Release()
			}
		}()
		synctest.Wait()
		held.Release()
		if !<-admitted {
			t.Error("an urgent request was refused behind requests of starved kinds")
		}
		wg.Wait()
	})
}
