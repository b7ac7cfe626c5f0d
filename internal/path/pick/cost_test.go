package pick

import (
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

const ms = time.Millisecond

// TestSpeed: of two servers the slow one has run calls of 30 ms, which take it 48, and
// the fast one records of 160 ms, which take it 112. By the mean time for which they
// hold a slot, all outlets took the slow one for the fast one and filled it: 1,547 of
// 2,600 refusals in 13 s were its. A record must go to the fast one.
func TestSpeed(t *testing.T) {
	now := time.Now()
	slow, fast := NewEndpoint(Endpoint{VM: "slow", Slots: 6}), NewEndpoint(Endpoint{VM: "fast", Slots: 6})
	for range 40 {
		slow.RecordServiceTime(48*ms, 30*ms)
		fast.RecordServiceTime(112*ms, 160*ms)
	}
	for _, ep := range []*Endpoint{slow, fast} {
		ep.Begin(now)
		ep.End(now, Success, &Group{})
	}
	for _, typical := range []time.Duration{30 * ms, 160 * ms} {
		wa := Criteria{ServiceTime: typical}
		if s, f := slow.cost(now, &wa, 0), fast.cost(now, &wa, 0); f >= s {
			t.Errorf("a request that takes %v costs %v at the fast server, %v at the slow one", typical, f, s)
		}
		if got, want := slow.held(now, typical), typical*8/5; (got - want).Abs() > want/20 {
			t.Errorf("the slow server is expected to take %v for %v, want about %v", got, typical, want)
		}
	}
}

// TestWait: what a request waits for depends on who else waits. A call goes before the
// records that fill a server's queue, and what this outlet has sent since the server
// last told counts as well; with age the load that is typical takes its place.
func TestWait(t *testing.T) {
	gp := &Group{typical: &use{}}
	full := result.Load{Running: 6, Waiting: 8, Slots: 6, Waits: [result.Ranks]time.Duration{20 * ms, 20 * ms, 200 * ms, 210 * ms}}
	for _, tc := range []struct {
		name string
		load result.Load
		rank int
		sent int
		age  time.Duration
		want time.Duration
	}{
		{"a call at a full server", full, 0, 0, 0, 20 * ms},
		{"a record at a full server", full, 2, 0, 0, 200 * ms},
		{"behind three that were sent since", full, 2, 3, 0, 250 * ms},
		{"room", result.Load{Running: 3, Slots: 6}, 2, 0, 0, 0},
		{"room for those sent since", result.Load{Running: 3, Slots: 6}, 2, 2, 0, 0},
		{"no more room", result.Load{Running: 3, Slots: 6}, 2, 4, 0, 100 * ms / 3},
		{"told a second ago, not typical", full, 2, 0, time.Second, 0},
	} {
		ep := NewEndpoint(Endpoint{VM: "a", Slots: 6})
		now := time.Now()
		ep.SetLoad(tc.load, now, gp)
		for range tc.sent {
			ep.Begin(now)
		}
		now = now.Add(tc.age)
		got := time.Duration(ep.wait(now, tc.rank, ep.load(now, 0), float64(100*ms)))
		if (got - tc.want).Abs() > 2*ms {
			t.Errorf("%s waits %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestUnknown: a server that nothing is known of is taken to be like the others, and to
// be slower while it says that it is cold; one that has not answered for long is tried
// again, however slow it was.
func TestUnknown(t *testing.T) {
	now := time.Now()
	if got := NewEndpoint(Endpoint{Slots: 6}).held(now, 100*ms); got != 100*ms {
		t.Errorf("an unknown server is expected to take %v", got)
	}
	if got := NewEndpoint(Endpoint{Slots: 6, ColdUntil: now.Add(time.Second)}).held(now, 100*ms); got != coldFactor*100*ms {
		t.Errorf("a cold server is expected to take %v", got)
	}
	ep := NewEndpoint(Endpoint{Slots: 6})
	ep.Begin(now)
	ep.End(now, Success, &Group{})
	for range 100 {
		ep.RecordServiceTime(200*ms, 100*ms)
	}
	if was, is := ep.held(now, 100*ms), ep.held(now.Add(10*time.Second), 100*ms); is >= 100*ms || was < 150*ms {
		t.Errorf("a slow server is expected to take %v, and %v ten seconds later", was, is)
	}
}
