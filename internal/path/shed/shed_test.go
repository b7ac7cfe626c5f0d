package shed

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simulate sends rate requests a second for some seconds to a server that takes room
// of them a second, and returns what was offered and taken in the last second.
func simulate(th *Throttle, start time.Time, rate, capacity, seconds int) (offered, accepted int) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for s := range seconds {
		offered, accepted = 0, 0
		for i := range rate {
			now := start.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/time.Duration(rate))
			if !th.Offer(1, now, rnd.Float64()) {
				continue
			}
			offered++
			// The room is spread evenly over the second.
			ok := accepted < capacity*(i+1)/rate
			if ok {
				accepted++
			}
			th.Done(1, now, ok)
		}
	}
	return offered, accepted
}

// TestOverload: a service can take a tenth of what comes. Without a throttle each
// of its few servers refuses nine requests for one that it serves; with it they
// are offered little more than two, and lose nothing.
func TestOverload(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct{ rate, capacity, most, least int }{
		{100, 100, 100, 100}, {100, 60, 100, 60}, {400, 40, 110, 38}, {1000, 20, 70, 18}, {1000, 0, 10, 0},
	} {
		var th Throttle
		offered, accepted := simulate(&th, start, tc.rate, tc.capacity, 10)
		t.Logf("%d a second with room for %d: %d offered, %d taken", tc.rate, tc.capacity, offered, accepted)
		if offered > tc.most || accepted < tc.least {
			t.Errorf("%d a second with room for %d: %d offered, bound %d; %d taken, bound %d", tc.rate, tc.capacity, offered, tc.most, accepted, tc.least)
		}
	}
}

// TestRecovery: the servers return after an outage in which everything was
// refused. All requests are offered again within three seconds.
func TestRecovery(t *testing.T) {
	var th Throttle
	start := time.Unix(1000, 0)
	simulate(&th, start, 300, 0, 10)
	offered, accepted := simulate(&th, start.Add(10*time.Second), 300, 300, 4)
	if offered < 300 || accepted < 300 {
		t.Errorf("%d offered and %d taken of 300 in the fourth second", offered, accepted)
	}
}

// TestRanks: refusals of the least urgent kind hold back no other.
func TestRanks(t *testing.T) {
	var th Throttle
	now := time.Unix(1000, 0)
	for range 100 {
		th.Done(2, now, false)
	}
	if th.Offer(2, now, 0.5) {
		t.Error("the refused kind is offered")
	}
	if !th.Offer(1, now, 0) || !th.Offer(100, now, 0) {
		t.Error("other kinds are held back")
	}
}
