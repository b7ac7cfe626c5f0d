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

// TestSlotLimit checks that, for any sequence of arrivals, no more requests run at once than there
// are slots, every call of Acquire returns, and nothing is left running or queued after Drain.
func TestSlotLimit(t *testing.T) {
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
			lm := New()
			lm.Configure(slots, classes)
			var running, most, done atomic.Int64
			var wg conc.WaitGroup
			for _, jb := range jobs {
				wg.Go(func() {
					time.Sleep(time.Duration(jb.at) * time.Millisecond)
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(jb.wait)*time.Millisecond)
					defer cancel()
					sl, rf := lm.Acquire(ctx, Request{Class: jb.class})
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
					sl.Release()
				})
			}
			time.Sleep(time.Duration(drainAt) * time.Millisecond)
			_, idle := lm.Drain()
			<-idle
			if n := running.Load(); n != 0 {
				t.Errorf("idle channel closed with %d running", n)
			}
			wg.Wait()
			if most.Load() > int64(slots) || done.Load() != int64(len(jobs)) {
				t.Errorf("%d ran at once in %d slots; %d of %d requests were admitted or refused", most.Load(), slots, done.Load(), len(jobs))
			}
			if ld := lm.Load(); ld.Running != 0 || ld.Waiting != 0 {
				t.Errorf("load after Drain: %+v, want none running or waiting", ld)
			}
		})
	})
}

// acquireN takes n slots for a class.
func acquireN(t *testing.T, lm *Limiter, class string, n int) []*Slot {
	t.Helper()
	var slots []*Slot
	for range n {
		sl, rf := lm.Acquire(t.Context(), Request{Class: class})
		if rf != nil {
			t.Fatalf("refused: %+v", rf)
		}
		slots = append(slots, sl)
	}
	return slots
}

// TestShare lets one class borrow all slots. The queued requests of a class below its reserved
// share must get each slot that is released until that class is at its share. At equal utilization,
// the class declared first goes first.
func TestShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lm := New()
		lm.Configure(4, []Class{classes[1], classes[0]})
		held := acquireN(t, lm, "lookup", 4)
		order := make(chan string, 10)
		end := make(chan struct{})
		defer close(end)
		enter := func(class string) {
			go func() {
				if sl, rf := lm.Acquire(t.Context(), Request{Class: class}); rf == nil {
					order <- class
					<-end
					sl.Release()
				}
			}()
			synctest.Wait()
		}
		enter("lookup")
		enter("confirm")
		enter("confirm")
		enter("confirm")
		var got []string
		for _, sl := range held {
			sl.Release()
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

// TestUnmeetableDeadline checks that a request that cannot be served before its deadline is refused
// at once, and that its Retry-After matches the rate at which slots are released.
func TestUnmeetableDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lm := New()
		lm.Configure(1, classes)
		// Each slot is held for 2 s.
		for range 50 {
			sl := acquireN(t, lm, "lookup", 1)[0]
			time.Sleep(2 * time.Second)
			sl.Release()
		}
		acquireN(t, lm, "lookup", 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		_, rf := lm.Acquire(ctx, Request{Class: "lookup"})
		if took := time.Since(began); rf == nil || rf.Reason != result.ReasonDeadlineTooNear || took != 0 {
			t.Errorf("refused with %+v after %s, want deadline-too-near at once", rf, took)
		}
		if rf.RetryAfter < 1500*time.Millisecond || rf.RetryAfter > 4*time.Second {
			t.Errorf("RetryAfter is %s, where a slot is released every 2 s", rf.RetryAfter)
		}
	})
}

// TestFull checks that the queue of a class is limited to its declared length, without affecting
// the queues of other classes.
func TestFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lm := New()
		lm.Configure(2, classes)
		acquireN(t, lm, "lookup", 2)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range 2 {
			go func() { _, _ = lm.Acquire(ctx, Request{Class: "lookup"}) }()
		}
		synctest.Wait()
		if _, rf := lm.Acquire(t.Context(), Request{Class: "lookup"}); rf == nil || rf.Reason != result.ReasonSlotsFull {
			t.Errorf("the third queued request: %+v, want slots-full", rf)
		}
		go func() { _, _ = lm.Acquire(ctx, Request{Class: "confirm"}) }()
		synctest.Wait()
		if ld := lm.Load(); ld.Waiting != 3 {
			t.Errorf("%d wait, want 3", ld.Waiting)
		}
	})
}

// TestReconfigured reduces the slots below the number of running requests. None of them is ended,
// and no request is admitted until enough of them have finished.
func TestReconfigured(t *testing.T) {
	lm := New()
	lm.Configure(4, classes)
	held := acquireN(t, lm, "lookup", 4)
	lm.Configure(1, nil)
	for i, sl := range held {
		if _, rf := lm.Acquire(t.Context(), Request{Class: "lookup"}); rf == nil {
			t.Fatalf("admitted with %d running in 1 slot", len(held)-i)
		}
		sl.Release()
	}
	acquireN(t, lm, "lookup", 1)
}

func BenchmarkLimiter(b *testing.B) {
	lm := New()
	lm.Configure(100, classes)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if sl, rf := lm.Acquire(b.Context(), Request{Class: "lookup"}); rf == nil {
				sl.Release()
			}
		}
	})
}

// TestMaxWait checks how many requests may queue, depending on their objective. Nine slots are held
// for 160 ms each, so one is released every 18 ms. Of lookups with an objective of 400 ms nine may
// queue, of confirmations with 500 ms thirteen. Of requests that are already late, as left by a
// burst, five may queue. Calls do not retry, so they may fill the queue. Any request that waited
// longer would be late, whereas a refusal at once lets another server answer it.
func TestMaxWait(t *testing.T) {
	for name, tc := range map[string]struct {
		rq   Request
		want int
	}{
		"lookup":       {Request{Priority: 2, Objective: 400 * time.Millisecond}, 9},
		"confirmation": {Request{Priority: 1, Objective: 500 * time.Millisecond}, 13},
		"late":         {Request{Priority: 1, Objective: time.Millisecond}, 5},
		"call":         {Request{Priority: 2, Objective: 120 * time.Millisecond, Final: true}, 16},
		"no objective": {Request{}, 16},
	} {
		synctest.Test(t, func(t *testing.T) {
			lm := New()
			lm.Configure(9, []Class{{Name: "", Queue: 16}})
			for range 9 {
				sl, rf := lm.Acquire(t.Context(), Request{})
				if rf != nil {
					t.Fatal(rf)
				}
				time.AfterFunc(160*time.Millisecond, sl.Release)
			}
			time.Sleep(time.Second)
			for range 9 {
				if _, rf := lm.Acquire(t.Context(), Request{}); rf != nil {
					t.Fatal(rf)
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			var wg conc.WaitGroup
			for range 30 {
				wg.Go(func() { _, _ = lm.Acquire(ctx, tc.rq) })
				synctest.Wait()
			}
			if got := lm.Load().Waiting; got != tc.want {
				t.Errorf("%s: %d wait, want %d", name, got, tc.want)
			}
			cancel()
			wg.Wait()
		})
	}
}

// TestEvicted sends an urgent request to a class whose queue is full of less urgent ones. Calls of
// backend servers were refused in this case, and the work done for their parent requests was lost.
// Now the last queued request is refused in its place at once. A request that is no more urgent
// than the queued ones evicts none.
func TestEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lm := New()
		lm.Configure(1, []Class{{Name: "default", Share: 100, Queue: 2}})
		held := acquireN(t, lm, "default", 1)
		type end struct {
			name string
			rf   *result.Refusal
		}
		ends := make(chan end, 10)
		enter := func(name string, priority int) {
			go func() {
				sl, rf := lm.Acquire(t.Context(), Request{Class: "default", Priority: priority, Objective: time.Second})
				ends <- end{name, rf}
				if sl != nil {
					sl.Release()
				}
			}()
			synctest.Wait()
			time.Sleep(time.Millisecond)
		}
		enter("document", 2)
		enter("lookup", 2)
		enter("call", 0)
		if got := <-ends; got.name != "lookup" || got.rf == nil || got.rf.Reason != result.ReasonSlotsFull || got.rf.Outcome != result.NotRun {
			t.Errorf("%s ended with %+v; want the lookup refused with slots-full", got.name, got.rf)
		}
		enter("another", 2)
		if got := <-ends; got.name != "another" || got.rf == nil {
			t.Errorf("%s ended with %+v; want the new request refused", got.name, got.rf)
		}
		held[0].Release()
		for _, want := range []string{"call", "document"} {
			if got := <-ends; got.name != want || got.rf != nil {
				t.Errorf("%s got the slot, %+v; want %s", got.name, got.rf, want)
			}
		}
		if ld := lm.Load(); ld.Running != 0 || ld.Waiting != 0 {
			t.Errorf("load after all requests: %+v, want none running or waiting", ld)
		}
	})
}

// TestNoStarvation keeps a server busy with urgent calls while document requests of the lowest
// priority arrive now and then. A fixed fraction of the slots must go to the request that has waited
// longest; otherwise documents are never served.
func TestNoStarvation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lm := New()
		lm.Configure(2, []Class{{Name: "default", Share: 100, Queue: 8}})
		ctx, cancel := context.WithCancel(t.Context())
		var served [3]atomic.Int64
		var wg conc.WaitGroup
		send := func(priority int, objective time.Duration) {
			wg.Go(func() {
				sl, rf := lm.Acquire(ctx, Request{Class: "default", Priority: priority, Objective: objective})
				if rf != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
				served[priority].Add(1)
				sl.Release()
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
