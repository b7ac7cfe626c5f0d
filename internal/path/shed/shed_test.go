package shed

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simulate sends rate requests per second for some seconds to a server that accepts capacity
// requests per second, and returns how many were offered and accepted in the last second.
func simulate(th *Throttle, start time.Time, rate, capacity, seconds int) (offered, accepted int) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for s := range seconds {
		offered, accepted = 0, 0
		for i := range rate {
			now := start.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/time.Duration(rate))
			if !th.Allow(1, now, rnd.Float64()) {
				continue
			}
			offered++
			// The capacity is distributed evenly over the second.
			ok := accepted < capacity*(i+1)/rate
			if ok {
				accepted++
			}
			th.RecordOutcome(1, now, ok)
		}
	}
	return offered, accepted
}

// TestOverload simulates services with capacity for a part of their requests only. Without a
// throttle, a service at ten times its capacity refuses nine requests for each one that it serves.
// With it, little more than two are offered for each, and no capacity is left unused.
func TestOverload(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct{ rate, capacity, most, least int }{
		{100, 100, 100, 100}, {100, 60, 100, 60}, {400, 40, 110, 38}, {1000, 20, 70, 18}, {1000, 0, 10, 0},
	} {
		var th Throttle
		offered, accepted := simulate(&th, start, tc.rate, tc.capacity, 10)
		t.Logf("%d requests per second with capacity for %d: %d offered, %d accepted", tc.rate, tc.capacity, offered, accepted)
		if offered > tc.most || accepted < tc.least {
			t.Errorf("%d requests per second with capacity for %d: %d offered, bound %d; %d accepted, bound %d", tc.rate, tc.capacity, offered, tc.most, accepted, tc.least)
		}
	}
}

// TestRecovery checks that after an outage in which all requests were refused, all of them are
// offered again within three seconds.
func TestRecovery(t *testing.T) {
	var th Throttle
	start := time.Unix(1000, 0)
	simulate(&th, start, 300, 0, 10)
	offered, accepted := simulate(&th, start.Add(10*time.Second), 300, 300, 4)
	if offered < 300 || accepted < 300 {
		t.Errorf("%d offered and %d accepted of 300 in the fourth second", offered, accepted)
	}
}

// TestRanks checks that refusals at one priority do not reduce the offers of others.
func TestRanks(t *testing.T) {
	var th Throttle
	now := time.Unix(1000, 0)
	for range 100 {
		th.RecordOutcome(2, now, false)
	}
	if th.Allow(2, now, 0.5) {
		t.Error("the refused priority is offered")
	}
	if !th.Allow(1, now, 0) || !th.Allow(100, now, 0) {
		t.Error("other priorities are throttled")
	}
}
