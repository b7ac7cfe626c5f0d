package pick

import (
	"testing"
	"time"
)

// TestSilentDomain: a failure domain is cut off without a word, while the servers of the
// outlet's own are full. For five seconds, until relays said so, each server behind the
// cut had to be found by requests that hung 700 ms each, and of which nobody could say
// whether they had run. After two servers of it fell silent none of it is used, but for
// one request a second that tries whether it is back.
func TestSilentDomain(t *testing.T) {
	now := time.Unix(1000, 0)
	first := func(int) int { return 0 }
	shared := &reach{}
	server := func(vm string, re *reach) *Endpoint {
		ep := NewEndpoint(Endpoint{VM: vm, Slots: 4})
		ep.reach = re
		return ep
	}
	near, b1, b2 := server("near", nil), server("b1", shared), server("b2", shared)
	c1 := server("c1", &reach{})
	gp := &Group{all: []*Endpoint{near, b1, b2, c1}, spill: true, typical: &use{}, tiers: []tier{
		{strong: newPool([]*Endpoint{near}, "o")}, {strong: newPool([]*Endpoint{b1, b2}, "o")}, {strong: newPool([]*Endpoint{c1}, "o")},
	}}
	full := func() *Tried {
		var tr Tried
		tr.Add(near)
		return &tr
	}
	pick := func(at time.Time) string {
		if ep := gp.Pick(at, Want{Size: 1000, Reached: true}, full(), first); ep != nil {
			return ep.VM
		}
		return ""
	}
	want := func(at time.Time, vm string) {
		t.Helper()
		if got := pick(at); got != vm {
			t.Errorf("after %s the request goes to %q, want %q", at.Sub(now), got, vm)
		}
	}
	want(now, "b1")
	if b1.FellSilent(now) || b1.FellSilent(now) {
		t.Error("one server that lost power makes its failure domain suspect")
	}
	want(now, "b1")
	b1.Answered()
	if b2.FellSilent(now) {
		t.Error("an answer between two silent servers is forgotten")
	}
	if !b1.FellSilent(now) || b2.FellSilent(now) {
		t.Error("the second silent server in a row is not told, or told again")
	}
	want(now, "c1")
	want(now.Add(suspectFor-time.Millisecond), "c1")
	// One request tries it, the others wait for what becomes of that.
	probe := now.Add(suspectFor)
	if b1.behindCut(probe) || !b2.behindCut(probe) {
		t.Error("after the time not exactly one request may try")
	}
	b1.FellSilent(probe.Add(700 * time.Millisecond))
	want(probe.Add(1500*time.Millisecond), "c1")
	b2.Answered()
	want(probe.Add(1600*time.Millisecond), "b1")
	if near.FellSilent(now) || near.FellSilent(now) || near.behindCut(now) {
		t.Error("the outlet's own failure domain is suspected")
	}
}

// TestSilentLastResort: all servers of the outlet's own failure domain are left out for
// failures, and another one is silent. The request goes to one that may answer.
func TestSilentLastResort(t *testing.T) {
	now := time.Unix(1000, 0)
	near, far := NewEndpoint(Endpoint{VM: "near", Slots: 4}), NewEndpoint(Endpoint{VM: "far", Slots: 4})
	far.reach = &reach{}
	far.reach.silent.Store(suspectAfter)
	far.reach.until.Store(1 << 62)
	near.eject(now)
	gp := &Group{all: []*Endpoint{far, near}, spill: true, typical: &use{}, tiers: []tier{
		{strong: newPool([]*Endpoint{near}, "o")}, {strong: newPool([]*Endpoint{far}, "o")},
	}}
	if got := gp.Pick(now, Want{}, &Tried{}, func(int) int { return 0 }); got != near {
		t.Errorf("the request goes to %+v", got)
	}
}
