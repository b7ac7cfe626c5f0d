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
	ep.HoldBack(2, at(3), 0)
	ep.HoldBack(2, at(5), 0)
	for rank, want := range [result.Ranks]bool{false, false, true, true} {
		if got := ep.isHeldBack(at(1), rank); got != want {
			t.Errorf("rank %d is held back: %v, want %v", rank, got, want)
		}
		if ep.isHeldBack(at(3.1), rank) {
			t.Errorf("rank %d is held back after the first turn", rank)
		}
	}
	if !gp.OverLimit(at(1), 3) || gp.OverLimit(at(1), 1) || gp.OverLimit(at(4), 3) {
		t.Error("the group is over the limit for other ranks than those held back, or for other times")
	}
	ep.ReleaseHold()
	if ep.isHeldBack(at(1), 3) {
		t.Error("held back after the release")
	}
	ep.Exclude()
	if !ep.isHeldBack(at(100), 0) || gp.OverLimit(at(1), 3) {
		t.Error("an excluded server gets requests, or its turn is awaited")
	}
}

// TestPromiseTurn guards against callers that are refused together being asked to return together,
// and against a turn of an ejected server.
func TestPromiseTurn(t *testing.T) {
	now := time.Now()
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	a, b, c := NewEndpoint(Endpoint{VM: "a"}), NewEndpoint(Endpoint{VM: "b"}), NewEndpoint(Endpoint{VM: "c"})
	gp := &Group{all: []*Endpoint{a, b, c}}
	if got := gp.PromiseTurn(now, 1); got != 0 {
		t.Errorf("a turn in %v without a limit", got)
	}
	a.HoldBack(1, at(0.5), time.Second)
	b.HoldBack(1, at(2.2), 0)
	c.HoldBack(1, at(0.1), 0)
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
