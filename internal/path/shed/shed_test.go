package shed

import (
	"math/rand/v2"
	"testing"
	"time"
)

// play sends rate requests a second for some seconds to a server that takes room
// of them a second, and returns what was offered and taken in the last second.
func play(th *Throttle, start time.Time, rate, room, seconds int) (offered, taken int) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for s := range seconds {
		offered, taken = 0, 0
		for i := range rate {
			now := start.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/time.Duration(rate))
			if !th.Allow(1, now, rnd.Float64()) {
				continue
			}
			offered++
			// The room is spread evenly over the second.
			ok := taken < room*(i+1)/rate
			if ok {
				taken++
			}
			th.RecordOutcome(1, now, ok)
		}
	}
	return offered, taken
}

// TestOverload: a service can take a tenth of what comes. Without a throttle each
// of its few servers refuses nine requests for one that it serves; with it they
// are offered little more than two, and lose nothing.
func TestOverload(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct{ rate, room, most, least int }{
		{100, 100, 100, 100}, {100, 60, 100, 60}, {400, 40, 110, 38}, {1000, 20, 70, 18}, {1000, 0, 10, 0},
	} {
		var th Throttle
		offered, taken := play(&th, start, tc.rate, tc.room, 10)
		t.Logf("%d a second with room for %d: %d offered, %d taken", tc.rate, tc.room, offered, taken)
		if offered > tc.most || taken < tc.least {
			t.Errorf("%d a second with room for %d: %d offered, bound %d; %d taken, bound %d", tc.rate, tc.room, offered, tc.most, taken, tc.least)
		}
	}
}

// TestRoomComesBack: the servers return after an outage in which everything was
// refused. All requests are offered again within three seconds.
func TestRoomComesBack(t *testing.T) {
	var th Throttle
	start := time.Unix(1000, 0)
	play(&th, start, 300, 0, 10)
	offered, taken := play(&th, start.Add(10*time.Second), 300, 300, 4)
	if offered < 300 || taken < 300 {
		t.Errorf("%d offered and %d taken of 300 in the fourth second", offered, taken)
	}
}

// TestRanks: refusals of the least urgent kind hold back no other.
func TestRanks(t *testing.T) {
	var th Throttle
	now := time.Unix(1000, 0)
	for range 100 {
		th.RecordOutcome(2, now, false)
	}
	if th.Allow(2, now, 0.5) {
		t.Error("the refused kind is offered")
	}
	if !th.Allow(1, now, 0) || !th.Allow(100, now, 0) {
		t.Error("other kinds are held back")
	}
}
