package pacer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// wire is a link that sends what is written in its order, as a system does.
type wire struct {
	mu   sync.Mutex
	free time.Time
	rate float64
}

// send puts n bytes on the link and returns when the last of them has left.
func (wi *wire) send(n int) time.Time {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	if now := time.Now(); wi.free.Before(now) {
		wi.free = now
	}
	n += (n/packetBytes + 1) * packetHead
	wi.free = wi.free.Add(time.Duration(float64(n) / wi.rate * float64(time.Second)))
	return wi.free
}

// load is large and small answers on a link of 5 Mbit/s for 20 s: 3 of 90 KB and
// 60 of 1 KB a second, 61% of what it carries. It returns how long each waited
// and left after it was ready.
func load(pa *Pacer) (small, large []time.Duration) {
	wi := &wire{rate: 5e6 / 8}
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for i := range 60 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 333 * time.Millisecond)
			since := time.Now()
			left := since
			wait := func(context.Context, int) error { return nil }
			if pa != nil {
				an := pa.Expect(90_000, 0)
				defer an.End()
				wait = an.Wait
			}
			for rest := 90_000; rest > 0; {
				n := min(rest, pa.Piece())
				if wait(context.Background(), n) != nil {
					return
				}
				pa.Sent(n)
				left = wi.send(n)
				rest -= n
			}
			mu.Lock()
			defer mu.Unlock()
			large = append(large, left.Sub(since))
		})
	}
	for time.Since(began) < 20*time.Second {
		time.Sleep(16 * time.Millisecond)
		now := time.Now()
		pa.Sent(1000)
		left := wi.send(1000)
		small = append(small, left.Sub(now))
	}
	wg.Wait()
	return small, large
}

func mean(list []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(len(list))
}

func most(list []time.Duration) time.Duration {
	m := time.Duration(0)
	for _, d := range list {
		m = max(m, d)
	}
	return m
}

// TestSmallAnswersPass: on a VM with a narrow link a short lookup waited behind
// the documents that others download, since the system sends what was written
// first: callers saw 295 ms in the middle for work of 64 ms. Paced, the small
// answer waits for one piece, and the large ones are not much later.
func TestSmallAnswersPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plainSmall, plainLarge := load(nil)
		small, large := load(New(5e6))
		if got := most(small); got > 16*time.Millisecond {
			t.Errorf("a small answer took up to %v", got)
		}
		if got, was := mean(large), mean(plainLarge); got > was*3/2 {
			t.Errorf("a large answer took %v in the mean, %v without pacing", got, was)
		}
		t.Logf("small: mean %v, most %v; without pacing %v, %v", mean(small), most(small), mean(plainSmall), most(plainSmall))
		t.Logf("large: mean %v, most %v; without pacing %v, %v", mean(large), most(large), mean(plainLarge), most(plainLarge))
	})
}

// TestOldestFirst: of large answers that wait together the oldest goes first, a
// new one does not delay it.
func TestOldestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pa := New(5e6)
		done := map[string]time.Duration{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		began := time.Now()
		send := func(name string) {
			an := pa.Expect(20*pa.Piece(), 0)
			defer an.End()
			for range 20 {
				if err := an.Wait(t.Context(), pa.Piece()); err != nil {
					t.Error(err)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			done[name] = time.Since(began)
		}
		for _, name := range []string{"a", "b", "c"} {
			wg.Go(func() { send(name) })
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		if done["a"] > 200*time.Millisecond || done["b"] > 360*time.Millisecond || done["c"] > 520*time.Millisecond {
			t.Errorf("the answers were sent after %v, each takes 160ms", done)
		}
	})
}

// TestReceiverRate: two VMs send a document each to a third one, whose link is as
// narrow as theirs. Sent as fast as theirs allow, they fill it, and small answers
// to the same VM wait behind both.
func TestReceiverRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		receiver := &wire{rate: 5e6 / 8}
		var wg sync.WaitGroup
		for i := range 2 {
			pa := New(5e6)
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
				an := pa.Expect(90_000, float64(ReceiverRate(5e6, i)))
				defer an.End()
				for rest := 90_000; rest > 0; rest -= pa.Piece() {
					if err := an.Wait(t.Context(), pa.Piece()); err != nil {
						t.Error(err)
					}
					receiver.send(pa.Piece())
				}
			})
		}
		var list []time.Duration
		for began := time.Now(); time.Since(began) < 250*time.Millisecond; time.Sleep(5 * time.Millisecond) {
			now := time.Now()
			list = append(list, receiver.send(100).Sub(now))
		}
		wg.Wait()
		if got := most(list); got > 40*time.Millisecond {
			t.Errorf("a small answer took up to %v beside two large ones", got)
		}
		for others, want := range map[int]int{0: 312_500, 1: 312_500, 2: 208_333, 3: 156_250, 9: 156_250} {
			if got := ReceiverRate(5e6, others); got != want {
				t.Errorf("beside %d others: %d bytes a second, want %d", others, got, want)
			}
		}
		if got := ReceiverRate(1e9, 5); got != 0 {
			t.Errorf("a fast link asks for %d bytes a second", got)
		}
	})
}

// TestBacklog: outlets place downloads by how long a VM's link has to send.
func TestBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pa := New(5e6)
		a, b := pa.Expect(90_000, 0), pa.Expect(90_000, 0)
		if got := pa.Backlog(); got < 310*time.Millisecond || got > 320*time.Millisecond {
			t.Errorf("two answers of 157ms each: %v", got)
		}
		if err := a.Wait(t.Context(), 90_000); err != nil {
			t.Fatal(err)
		}
		b.End()
		time.Sleep(100 * time.Millisecond)
		if got := pa.Backlog(); got < 50*time.Millisecond || got > 65*time.Millisecond {
			t.Errorf("100ms after one was sent and the other broke off: %v", got)
		}
	})
}

// TestWaitEnds: a caller that leaves takes its piece out of the queue; those
// behind it are not delayed by it.
func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pa := New(5e6)
		pa.Sent(50_000)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		began := time.Now()
		an := pa.Expect(400_000, 0)
		if err := an.Wait(ctx, 400_000); err == nil || time.Since(began) != 10*time.Millisecond {
			t.Errorf("the wait ended with %v after %v", err, time.Since(began))
		}
		an.End()
		if err := pa.Expect(4000, 0).Wait(t.Context(), 4000); err != nil || time.Since(began) > 90*time.Millisecond {
			t.Errorf("the next one waited %v: %v", time.Since(began), err)
		}
		if len(pa.waiting) != 0 || pa.rest != 0 {
			t.Errorf("%d still wait, with %d bytes", len(pa.waiting), pa.rest)
		}
	})
}

// TestFastLink: a fast link, or one whose rate is not known, is not paced.
func TestFastLink(t *testing.T) {
	for _, bits := range []float64{0, 1e9} {
		if pa := New(bits); pa != nil || pa.Piece() != maxPiece || pa.Backlog() != 0 {
			t.Errorf("a link of %v bit/s is paced", bits)
		}
	}
}
