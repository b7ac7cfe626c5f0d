package pick

import (
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

const ms = time.Millisecond

// TestSlowness compares a slow server that has run calls, typically 30 ms, in 48 ms, with a fast
// one that has run record requests, typically 160 ms, in 112 ms. Judged by mean service time alone,
// all outlets took the slow server for the fast one and overloaded it: it gave 1,547 of 2,600
// refusals within 13 s. The fast server must have the lower cost.
func TestSlowness(t *testing.T) {
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
		cr := Criteria{ServiceTime: typical}
		if s, f := slow.cost(now, &cr, 0), fast.cost(now, &cr, 0); f >= s {
			t.Errorf("a request that takes %v costs %v at the fast server, %v at the slow one", typical, f, s)
		}
		if got, want := slow.serviceTime(now, typical), typical*8/5; (got - want).Abs() > want/20 {
			t.Errorf("the slow server is expected to take %v for %v, want about %v", got, typical, want)
		}
	}
}

// TestWait checks the expected wait by rank. A call goes ahead of the record requests that fill a
// server's queue, and requests sent by this outlet since the last report count as well. As the
// report ages, the typical load replaces it.
func TestWait(t *testing.T) {
	gp := &Group{meanUse: &utilization{}}
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
		{"a record behind three sent since the report", full, 2, 3, 0, 250 * ms},
		{"free slots", result.Load{Running: 3, Slots: 6}, 2, 0, 0, 0},
		{"free slots for those sent since the report", result.Load{Running: 3, Slots: 6}, 2, 2, 0, 0},
		{"no free slots left", result.Load{Running: 3, Slots: 6}, 2, 4, 0, 100 * ms / 3},
		{"report of a second ago, replaced by a typical load of 0", full, 2, 0, time.Second, 0},
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
			t.Errorf("%s: expected wait %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestUnmeasuredServer checks that a server without measurements is assumed to be as fast as the
// others, and slower while it reports itself cold, and that a slow server that has not responded
// for long is tried again.
func TestUnmeasuredServer(t *testing.T) {
	now := time.Now()
	if got := NewEndpoint(Endpoint{Slots: 6}).serviceTime(now, 100*ms); got != 100*ms {
		t.Errorf("an unmeasured server is expected to take %v, want 100 ms", got)
	}
	if got := NewEndpoint(Endpoint{Slots: 6, ColdUntil: now.Add(time.Second)}).serviceTime(now, 100*ms); got != coldSlowdown*100*ms {
		t.Errorf("a cold server is expected to take %v, want coldSlowdown times 100 ms", got)
	}
	ep := NewEndpoint(Endpoint{Slots: 6})
	ep.Begin(now)
	ep.End(now, Success, &Group{})
	for range 100 {
		ep.RecordServiceTime(200*ms, 100*ms)
	}
	if was, is := ep.serviceTime(now, 100*ms), ep.serviceTime(now.Add(10*time.Second), 100*ms); is >= 100*ms || was < 150*ms {
		t.Errorf("a slow server is expected to take %v, and %v ten seconds later", was, is)
	}
}
