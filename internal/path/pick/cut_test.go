package pick

import (
	"testing"
	"time"
)

// TestPartition: a failure domain is cut off from the others, and its own servers are full or
// gone. Each request hung 400 ms on servers behind the cut, twice, before it was refused:
// 222 of 700 tries in 5 s, and the calls among them held the slots of their parents. It
// is refused at once where the answer is known; where it is not, a server that was left
// out for its failures is still tried.
func TestPartition(t *testing.T) {
	now := time.Now()
	zero := func(int) int { return 0 }
	const (
		healthy = iota
		failing
		unreachable
	)
	for _, tc := range []struct {
		name string
		// subset and far are the states of two servers, weak says that the far one is
		// behind a border that is known to be cut.
		near, far int
		cutOff    bool
		// full says that the near one had no room for the request.
		full bool
		want string
	}{
		{"both well", healthy, healthy, false, false, "near"},
		{"near one full", healthy, healthy, false, true, "far"},
		{"near one full, the far one out of reach", healthy, unreachable, false, true, ""},
		{"near one full, the far one behind a cut", healthy, healthy, true, true, ""},
		{"near one gone, the far one behind a cut", unreachable, healthy, true, false, "far"},
		{"near one failing, the far one out of reach", failing, unreachable, false, false, "near"},
		{"both out of reach", unreachable, unreachable, false, false, ""},
		{"both failing", failing, failing, false, false, "near"},
	} {
		near, far := NewEndpoint(Endpoint{VM: "near", Slots: 4}), NewEndpoint(Endpoint{VM: "far", Slots: 4})
		gp := &Group{all: []*Endpoint{near, far}, spill: true, meanUse: &utilization{}}
		gp.tiers = []tier{{reachable: newPool([]*Endpoint{near}, "o")}, {reachable: newPool([]*Endpoint{far}, "o")}}
		if tc.cutOff {
			gp.tiers[1] = tier{suspect: newPool([]*Endpoint{far}, "o")}
		}
		for ep, state := range map[*Endpoint]int{near: tc.near, far: tc.far} {
			switch state {
			case failing:
				ep.eject(now)
			case unreachable:
				ep.Begin(now)
				ep.End(now, Unreachable, gp)
			}
		}
		var tried Tried
		if tc.full {
			tried.Add(near)
		}
		got := ""
		if ep := gp.Pick(now, Want{Size: 1000, Reached: tc.full}, &tried, zero); ep != nil {
			got = ep.VM
		}
		if got != tc.want {
			t.Errorf("%s: goes to %q, want %q", tc.name, got, tc.want)
		}
	}
}

// TestReinstate: a server that could not be reached takes requests again once a connection
// was made, and counts as one that may be tried.
func TestReinstate(t *testing.T) {
	now := time.Now()
	ep := NewEndpoint(Endpoint{VM: "a", Slots: 4})
	gp := &Group{all: []*Endpoint{ep}, tiers: []tier{{reachable: newPool([]*Endpoint{ep}, "o")}}, meanUse: &utilization{}}
	ep.Begin(now)
	ep.End(now, Unreachable, gp)
	var tried Tried
	pick := func() *Endpoint { return gp.Pick(now, Want{}, &tried, func(int) int { return 0 }) }
	if got := pick(); got != nil {
		t.Errorf("picked %s, which cannot be reached", got.VM)
	}
	ep.Return()
	if got := pick(); got != ep {
		t.Errorf("picked %v once it can be reached", got)
	}
}
