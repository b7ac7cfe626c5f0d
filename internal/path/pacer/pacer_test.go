package pacer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fifoLink is a link that sends data in the order of the writes, as a kernel does.
type fifoLink struct {
	mu     sync.Mutex
	freeAt time.Time
	rate   float64
}

// send writes n bytes to the link and returns when the last of them has been sent.
func (fl *fifoLink) send(n int) time.Time {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if now := time.Now(); fl.freeAt.Before(now) {
		fl.freeAt = now
	}
	n += (n/packetPayload + 1) * packetOverhead
	fl.freeAt = fl.freeAt.Add(time.Duration(float64(n) / fl.rate * float64(time.Second)))
	return fl.freeAt
}

// simulate sends large and small responses over a link of 5 Mbit/s for 20 s: 3 of 90 KB and 60 of 1
// KB per second, 61% of its capacity. It returns how long each took from being ready until it was
// sent.
func simulate(pa *Pacer) (small, large []time.Duration) {
	fl := &fifoLink{rate: 5e6 / 8}
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
				rs := pa.Reserve(90_000, 0)
				defer rs.Release()
				wait = rs.Wait
			}
			for rest := 90_000; rest > 0; {
				n := min(rest, pa.ChunkSize())
				if wait(context.Background(), n) != nil {
					return
				}
				pa.Sent(n)
				left = fl.send(n)
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
		left := fl.send(1000)
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

func longest(list []time.Duration) time.Duration {
	m := time.Duration(0)
	for _, d := range list {
		m = max(m, d)
	}
	return m
}

// TestSmallResponsesGoFirst guards against short lookups waiting behind large downloads on a narrow
// link, since the kernel sends data in the order of the writes: callers saw a median of 295 ms for
// work of 64 ms. With pacing a small response waits for one chunk, and the large ones are not much
// later.
func TestSmallResponsesGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unpacedSmall, unpacedLarge := simulate(nil)
		small, large := simulate(New(5e6))
		if got := longest(small); got > 16*time.Millisecond {
			t.Errorf("a small response took up to %v", got)
		}
		if got, was := mean(large), mean(unpacedLarge); got > was*3/2 {
			t.Errorf("a large response took %v on average, %v without pacing", got, was)
		}
		t.Logf("small: mean %v, max %v; without pacing %v, %v", mean(small), longest(small), mean(unpacedSmall), longest(unpacedSmall))
		t.Logf("large: mean %v, max %v; without pacing %v, %v", mean(large), longest(large), mean(unpacedLarge), longest(unpacedLarge))
	})
}

// TestOldestFirst checks that of several waiting large responses the oldest is sent first, and a
// new one does not delay it.
func TestOldestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pa := New(5e6)
		done := map[string]time.Duration{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		began := time.Now()
		send := func(name string) {
			rs := pa.Reserve(20*pa.ChunkSize(), 0)
			defer rs.Release()
			for range 20 {
				if err := rs.Wait(t.Context(), pa.ChunkSize()); err != nil {
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
			t.Errorf("responses were sent after %v; each takes 160ms", done)
		}
	})
}

// TestReceiverRate guards against two VMs that each send a large response to a third one whose link
// is as narrow as theirs. Sent at the full rate, they fill that link, and small responses to the
// same VM wait behind both.
func TestReceiverRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		receiver := &fifoLink{rate: 5e6 / 8}
		var wg sync.WaitGroup
		for i := range 2 {
			pa := New(5e6)
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
				rs := pa.Reserve(90_000, float64(ReceiverRate(5e6, i)))
				defer rs.Release()
				for rest := 90_000; rest > 0; rest -= pa.ChunkSize() {
					if err := rs.Wait(t.Context(), pa.ChunkSize()); err != nil {
						t.Error(err)
					}
					receiver.send(pa.ChunkSize())
				}
			})
		}
		var list []time.Duration
		for began := time.Now(); time.Since(began) < 250*time.Millisecond; time.Sleep(5 * time.Millisecond) {
			now := time.Now()
			list = append(list, receiver.send(100).Sub(now))
		}
		wg.Wait()
		if got := longest(list); got > 40*time.Millisecond {
			t.Errorf("a small response took up to %v beside two large ones", got)
		}
		for others, want := range map[int]int{0: 312_500, 1: 312_500, 2: 208_333, 3: 156_250, 9: 156_250} {
			if got := ReceiverRate(5e6, others); got != want {
				t.Errorf("beside %d others: %d bytes per second, want %d", others, got, want)
			}
		}
		if got := ReceiverRate(1e9, 5); got != 0 {
			t.Errorf("a fast link has a receiver rate of %d bytes per second, want 0", got)
		}
	})
}

// TestBacklog checks the backlog, which outlets use to place downloads.
func TestBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pa := New(5e6)
		a, b := pa.Reserve(90_000, 0), pa.Reserve(90_000, 0)
		if got := pa.Backlog(); got < 310*time.Millisecond || got > 320*time.Millisecond {
			t.Errorf("backlog of two responses of 157ms each: %v", got)
		}
		if err := a.Wait(t.Context(), 90_000); err != nil {
			t.Fatal(err)
		}
		b.Release()
		time.Sleep(100 * time.Millisecond)
		if got := pa.Backlog(); got < 50*time.Millisecond || got > 65*time.Millisecond {
			t.Errorf("backlog 100ms after one was sent and the other released: %v", got)
		}
	})
}

// TestWaitCanceled checks that a canceled wait removes its chunk from the queue and does not delay
// the chunks behind it.
func TestWaitCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pa := New(5e6)
		pa.Sent(50_000)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		began := time.Now()
		rs := pa.Reserve(400_000, 0)
		if err := rs.Wait(ctx, 400_000); err == nil || time.Since(began) != 10*time.Millisecond {
			t.Errorf("wait returned error %v after %v", err, time.Since(began))
		}
		rs.Release()
		if err := pa.Reserve(4000, 0).Wait(t.Context(), 4000); err != nil || time.Since(began) > 90*time.Millisecond {
			t.Errorf("next response waited %v: %v", time.Since(began), err)
		}
		if len(pa.waiting) != 0 || pa.unsent != 0 {
			t.Errorf("%d chunks still wait, with %d bytes unsent", len(pa.waiting), pa.unsent)
		}
	})
}

// TestFastLink checks that a fast link, or one of unknown rate, is not paced.
func TestFastLink(t *testing.T) {
	for _, bits := range []float64{0, 1e9} {
		if pa := New(bits); pa != nil || pa.ChunkSize() != maxChunk || pa.Backlog() != 0 {
			t.Errorf("a link of %v bit/s is paced", bits)
		}
	}
}
