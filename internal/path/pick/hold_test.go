package pick

import (
	"math"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// TestHoldBack guards against requests that are more urgent than a refused one being kept from a
// server, and against later turns replacing the first.
func TestHoldBack(t *testing.T) {
	now := time.Now()
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	ep := NewEndpoint(Endpoint{VM: "a"})
	gp := &Group{all: []*Endpoint{ep}}
	ep.HoldBack(2, now, 3*time.Second, 0)
	ep.HoldBack(2, now, 5*time.Second, 0)
	for rank, want := range [result.Ranks]bool{true, true, false, false} {
		if got := ep.accepts(at(1), rank); got != want {
			t.Errorf("rank %d is accepted: %v, want %v", rank, got, want)
		}
		if !ep.accepts(at(3.1), rank) {
			t.Errorf("rank %d is held back after the first turn", rank)
		}
	}
	if !gp.OverLimit(at(1), 3) || gp.OverLimit(at(1), 1) || gp.OverLimit(at(4), 3) {
		t.Error("the group is over the limit for other ranks than those held back, or for other times")
	}
	ep.ReleaseHold()
	if !ep.accepts(at(1), 3) {
		t.Error("held back after the release")
	}
	ep.Exclude()
	if ep.accepts(at(100), 0) || gp.OverLimit(at(1), 3) {
		t.Error("an excluded server gets requests, or its turn is awaited")
	}
}

// TestPromiseTurn guards against callers that are refused together being asked to return together,
// and against a turn of an ejected server.
func TestPromiseTurn(t *testing.T) {
	now := time.Now()
	a, b, c := NewEndpoint(Endpoint{VM: "a"}), NewEndpoint(Endpoint{VM: "b"}), NewEndpoint(Endpoint{VM: "c"})
	gp := &Group{all: []*Endpoint{a, b, c}}
	if got := gp.PromiseTurn(now, 1); got != 0 {
		t.Errorf("a turn in %v without a limit", got)
	}
	a.HoldBack(1, now, 500*time.Millisecond, time.Second)
	b.HoldBack(1, now, 2200*time.Millisecond, 0)
	c.HoldBack(1, now, 100*time.Millisecond, 0)
	c.eject(now)
	var got []float64
	for range 20 {
		got = append(got, math.Round(gp.PromiseTurn(now, 1).Seconds()*10)/10)
	}
	for i, want := range []float64{0.5, 1.5, 2.2, 2.5, 3.5, 4.4, 4.5} {
		if got[i] != want {
			t.Errorf("turns in %v s, want 0.5, 1.5, 2.2, 2.5, 3.5, 4.4, 4.5, ...", got)
			break
		}
	}
	if last := got[len(got)-1]; last != maxPromise.Seconds() {
		t.Errorf("the last turn is in %v s, want %v", last, maxPromise)
	}
}

// TestPickHeld guards against a server being asked by each request in spite of a hold, and against
// servers being asked that are not only held back.
func TestPickHeld(t *testing.T) {
	const interval = 250 * time.Millisecond
	now := time.Now()
	first := func(int) int { return 0 }
	a, b, c := NewEndpoint(Endpoint{VM: "a"}), NewEndpoint(Endpoint{VM: "b"}), NewEndpoint(Endpoint{VM: "c"})
	gp := &Group{all: []*Endpoint{a, b, c}}
	if got := gp.PickHeld(now, 1, interval, &Tried{}, first); got != nil {
		t.Errorf("%s is asked without a hold", got.VM)
	}
	b.HoldBack(1, now, 5*time.Second, 0)
	c.HoldBack(1, now, 5*time.Second, 0)
	c.Exclude()
	for _, tc := range []struct {
		after time.Duration
		rank  int
		want  *Endpoint
	}{{0, 1, nil}, {interval - 1, 1, nil}, {interval, 0, nil}, {interval, 1, b}, {interval, 1, nil}, {interval, 2, b}, {2 * interval, 1, b}, {5 * time.Second, 1, nil}} {
		if got := gp.PickHeld(now.Add(tc.after), tc.rank, interval, &Tried{}, first); got != tc.want {
			t.Errorf("rank %d after %v: got %v, want %v", tc.rank, tc.after, got, tc.want)
		}
	}
	var tried Tried
	tried.Add(b)
	if got := gp.PickHeld(now.Add(time.Second), 1, interval, &tried, first); got != nil {
		t.Errorf("%s is asked twice by one request", got.VM)
	}
}
