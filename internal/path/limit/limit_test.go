package limit

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

var classes = []Class{{Name: "confirm", Share: 50, Queue: 4}, {Name: "lookup", Share: 25, Queue: 2}}

// TestExact: whatever comes and goes, never do more requests run than there are
// slots, none is granted a slot that is not free, and none is forgotten.
func TestExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type job struct {
			class          string
			at, work, wait int
		}
		jobs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) job {
			return job{
				class: rapid.SampledFrom([]string{"confirm", "lookup", "other"}).Draw(t, "class"),
				at:    rapid.IntRange(0, 50).Draw(t, "at"), work: rapid.IntRange(1, 20).Draw(t, "work"), wait: rapid.IntRange(1, 30).Draw(t, "wait"),
			}
		}), 1, 40).Draw(rt, "jobs")
		slots := rapid.IntRange(1, 6).Draw(rt, "slots")
		drainAt := rapid.IntRange(0, 80).Draw(rt, "drain")
		synctest.Test(t, func(t *testing.T) {
			ga := New()
			ga.Configure(slots, classes)
			var running, most, done atomic.Int64
			var wg conc.WaitGroup
			for _, jb := range jobs {
				wg.Go(func() {
					time.Sleep(time.Duration(jb.at) * time.Millisecond)
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(jb.wait)*time.Millisecond)
					defer cancel()
					tk, rf := ga.Acquire(ctx, Request{Class: jb.class})
					done.Add(1)
					if rf != nil {
						if rf.Outcome != result.NotRun {
							t.Errorf("refused with %s", rf.Outcome)
						}
						return
					}
					if n := running.Add(1); n > most.Load() {
						most.Store(n)
					}
					time.Sleep(time.Duration(jb.work) * time.Millisecond)
					running.Add(-1)
					tk.Release()
				})
			}
			time.Sleep(time.Duration(drainAt) * time.Millisecond)
			_, idle := ga.Drain()
			<-idle
			if n := running.Load(); n != 0 {
				t.Errorf("idle with %d running", n)
			}
			wg.Wait()
			if most.Load() > int64(slots) || done.Load() != int64(len(jobs)) {
				t.Errorf("%d ran at once in %d slots; %d of %d came back", most.Load(), slots, done.Load(), len(jobs))
			}
			if ld := ga.Load(); ld.Running != 0 || ld.Waiting != 0 {
				t.Errorf("left over: %+v", ld)
			}
		})
	})
}

// fill takes n slots for a class.
func fill(t *testing.T, ga *Limiter, class string, n int) []*Slot {
	t.Helper()
	var list []*Slot
	for range n {
		tk, rf := ga.Acquire(t.Context(), Request{Class: class})
		if rf != nil {
			t.Fatalf("refused: %+v", rf)
		}
		list = append(list, tk)
	}
	return list
}

// TestShare: one class has borrowed all slots. Of those that wait, the class
// below its share gets each slot that becomes free, until it has its share and
// both use theirs alike; the class declared first then goes first.
func TestShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := New()
		ga.Configure(4, []Class{classes[1], classes[0]})
		held := fill(t, ga, "lookup", 4)
		order := make(chan string, 10)
		end := make(chan struct{})
		defer close(end)
		enter := func(class string) {
			go func() {
				if tk, rf := ga.Acquire(t.Context(), Request{Class: class}); rf == nil {
					order <- class
					<-end
					tk.Release()
				}
			}()
			synctest.Wait()
		}
		enter("lookup")
		enter("confirm")
		enter("confirm")
		enter("confirm")
		var got []string
		for _, tk := range held {
			tk.Release()
			got = append(got, <-order)
		}
		want := []string{"confirm", "confirm", "lookup", "confirm"}
		for i := range want {
			if got[i] != want[i] {
				t.Fatalf("order %v, want %v", got, want)
			}
		}
	})
}

// TestHopeless: a request that cannot be served before its deadline is refused
// at once, and told when to come back by the rate at which slots become free.
func TestHopeless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := New()
		ga.Configure(1, classes)
		// Slots are held for two seconds each.
		for range 50 {
			tk := fill(t, ga, "lookup", 1)[0]
			time.Sleep(2 * time.Second)
			tk.Release()
		}
		fill(t, ga, "lookup", 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		_, rf := ga.Acquire(ctx, Request{Class: "lookup"})
		if took := time.Since(began); rf == nil || rf.Reason != result.ReasonDeadlineTooNear || took != 0 {
			t.Errorf("refused with %+v after %s", rf, took)
		}
		if rf.RetryAfter < 1500*time.Millisecond || rf.RetryAfter > 4*time.Second {
			t.Errorf("told to come back in %s, where a slot becomes free every 2 s", rf.RetryAfter)
		}
	})
}

// TestFull: the queue of a class is as long as declared, and the others are not
// touched by it.
func TestFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := New()
		ga.Configure(2, classes)
		fill(t, ga, "lookup", 2)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range 2 {
			go func() { _, _ = ga.Acquire(ctx, Request{Class: "lookup"}) }()
		}
		synctest.Wait()
		if _, rf := ga.Acquire(t.Context(), Request{Class: "lookup"}); rf == nil || rf.Reason != result.ReasonSlotsFull {
			t.Errorf("the third that waits: %+v", rf)
		}
		go func() { _, _ = ga.Acquire(ctx, Request{Class: "confirm"}) }()
		synctest.Wait()
		if ld := ga.Load(); ld.Waiting != 3 {
			t.Errorf("%d wait, want 3", ld.Waiting)
		}
	})
}

// TestReconfigured: slots shrink below what runs. Nothing that runs is ended,
// and nothing new begins until enough has ended.
func TestReconfigured(t *testing.T) {
	ga := New()
	ga.Configure(4, classes)
	held := fill(t, ga, "lookup", 4)
	ga.Configure(1, nil)
	for i, tk := range held {
		if _, rf := ga.Acquire(t.Context(), Request{Class: "lookup"}); rf == nil {
			t.Fatalf("entered with %d running in 1 slot", len(held)-i)
		}
		tk.Release()
	}
	fill(t, ga, "lookup", 1)
}

func BenchmarkGate(b *testing.B) {
	ga := New()
	ga.Configure(100, classes)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if tk, rf := ga.Acquire(b.Context(), Request{Class: "lookup"}); rf == nil {
				tk.Release()
			}
		}
	})
}

// TestPatience: nine slots are held for 160 ms each, so one comes free every 18
// ms. Of a lookup that is wanted in 400 ms nine may wait, of a confirmation in
// 500 ms thirteen; of those whose objective has passed five, which a burst leaves, and of
// calls, which cannot come back, as many as the queue holds: what waits longer is late,
// and a refusal at once lets it be served elsewhere.
func TestPatience(t *testing.T) {
	for name, tc := range map[string]struct {
		rq   Request
		want int
	}{
		"lookup":       {Request{Priority: 2, Objective: 400 * time.Millisecond}, 9},
		"confirmation": {Request{Priority: 1, Objective: 500 * time.Millisecond}, 13},
		"late":         {Request{Priority: 1, Objective: time.Millisecond}, 5},
		"call":         {Request{Priority: 2, Objective: 120 * time.Millisecond, Final: true}, 16},
		"not said":     {Request{}, 16},
	} {
		synctest.Test(t, func(t *testing.T) {
			ga := New()
			ga.Configure(9, []Class{{Name: "", Queue: 16}})
			for range 9 {
				tk, rf := ga.Acquire(t.Context(), Request{})
				if rf != nil {
					t.Fatal(rf)
				}
				time.AfterFunc(160*time.Millisecond, tk.Release)
			}
			time.Sleep(time.Second)
			for range 9 {
				if _, rf := ga.Acquire(t.Context(), Request{}); rf != nil {
					t.Fatal(rf)
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			var wg conc.WaitGroup
			for range 30 {
				wg.Go(func() { _, _ = ga.Acquire(ctx, tc.rq) })
				synctest.Wait()
			}
			if got := ga.Load().Waiting; got != tc.want {
				t.Errorf("%s: %d wait, want %d", name, got, tc.want)
			}
			cancel()
			wg.Wait()
		})
	}
}

// TestDisplaced: a queue is full of requests of little urgency when an urgent one
// comes. A call of a backend server was refused then, and the work of the request
// that it was made for was lost. The last in the queue is refused in its place, at
// once; one that is no more urgent than those that wait displaces nobody.
func TestDisplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := New()
		ga.Configure(1, []Class{{Name: "default", Share: 100, Queue: 2}})
		held := fill(t, ga, "default", 1)
		type end struct {
			name string
			rf   *result.Refusal
		}
		ends := make(chan end, 10)
		enter := func(name string, priority int) {
			go func() {
				tk, rf := ga.Acquire(t.Context(), Request{Class: "default", Priority: priority, Objective: time.Second})
				ends <- end{name, rf}
				if tk != nil {
					tk.Release()
				}
			}()
			synctest.Wait()
			time.Sleep(time.Millisecond)
		}
		enter("document", 2)
		enter("lookup", 2)
		enter("call", 0)
		if got := <-ends; got.name != "lookup" || got.rf == nil || got.rf.Reason != result.ReasonSlotsFull || got.rf.Outcome != result.NotRun {
			t.Errorf("%s ended with %+v; want the last lookup refused as full", got.name, got.rf)
		}
		enter("another", 2)
		if got := <-ends; got.name != "another" || got.rf == nil {
			t.Errorf("%s ended with %+v; want the newcomer refused", got.name, got.rf)
		}
		held[0].Release()
		for _, want := range []string{"call", "document"} {
			if got := <-ends; got.name != want || got.rf != nil {
				t.Errorf("%s got the slot, %+v; want %s", got.name, got.rf, want)
			}
		}
		if ld := ga.Load(); ld.Running != 0 || ld.Waiting != 0 {
			t.Errorf("left over: %+v", ld)
		}
	})
}

// TestNobodyStarves: urgent calls keep a server busy for good, and documents of the
// least urgency come now and then. They got nothing at all; one slot in some goes
// to who has waited longest.
func TestNobodyStarves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := New()
		ga.Configure(2, []Class{{Name: "default", Share: 100, Queue: 8}})
		ctx, cancel := context.WithCancel(t.Context())
		var served [3]atomic.Int64
		var wg conc.WaitGroup
		send := func(priority int, objective time.Duration) {
			wg.Go(func() {
				tk, rf := ga.Acquire(ctx, Request{Class: "default", Priority: priority, Objective: objective})
				if rf != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
				served[priority].Add(1)
				tk.Release()
			})
		}
		for i := range 2000 {
			send(0, 150*time.Millisecond)
			if i%10 == 0 {
				send(2, 400*time.Millisecond)
			}
			time.Sleep(4 * time.Millisecond)
		}
		cancel()
		wg.Wait()
		t.Logf("served: %d of 2000 calls, %d of 200 documents", served[0].Load(), served[2].Load())
		if served[2].Load() < 40 || served[0].Load() < 1300 {
			t.Errorf("%d of 2000 calls and %d of 200 documents were served in 1600 slots", served[0].Load(), served[2].Load())
		}
	})
}
