package pick

import (
	"testing"
	"time"
)

// TestCut: a failure domain is cut off from the others, and its own servers are full or
// gone. Each request hung 400 ms on servers behind the cut, twice, before it was refused:
// 222 of 700 tries in 5 s, and the calls among them held the slots of their parents. It
// is refused at once where the answer is known; where it is not, a server that was left
// out for its failures is still tried.
func TestCut(t *testing.T) {
	now := time.Now()
	first := func(int) int { return 0 }
	const (
		well = iota
		failing
		unreachable
	)
	for _, tc := range []struct {
		name string
		// near and far are the states of two servers, weak says that the far one is
		// behind a border that is known to be cut.
		near, far int
		weak      bool
		// full says that the near one had no room for the request.
		full bool
		want string
	}{
		{"both well", well, well, false, false, "near"},
		{"near one full", well, well, false, true, "far"},
		{"near one full, the far one out of reach", well, unreachable, false, true, ""},
		{"near one full, the far one behind a cut", well, well, true, true, ""},
		{"near one gone, the far one behind a cut", unreachable, well, true, false, "far"},
		{"near one failing, the far one out of reach", failing, unreachable, false, false, "near"},
		{"both out of reach", unreachable, unreachable, false, false, ""},
		{"both failing", failing, failing, false, false, "near"},
	} {
		near, far := NewEndpoint(Endpoint{VM: "near", Slots: 4}), NewEndpoint(Endpoint{VM: "far", Slots: 4})
		gp := &Group{all: []*Endpoint{near, far}, spill: true, typical: &use{}}
		gp.tiers = []tier{{strong: newPool([]*Endpoint{near}, "o")}, {strong: newPool([]*Endpoint{far}, "o")}}
		if tc.weak {
			gp.tiers[1] = tier{weak: newPool([]*Endpoint{far}, "o")}
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
		if ep := gp.Pick(now, Criteria{Size: 1000, FoundFull: tc.full}, &tried, first); ep != nil {
			got = ep.VM
		}
		if got != tc.want {
			t.Errorf("%s: goes to %q, want %q", tc.name, got, tc.want)
		}
	}
}

// TestReturn: a server that could not be reached takes requests again once a connection
// was made, and counts as one that may be tried.
func TestReturn(t *testing.T) {
	now := time.Now()
	ep := NewEndpoint(Endpoint{VM: "a", Slots: 4})
	gp := &Group{all: []*Endpoint{ep}, tiers: []tier{{strong: newPool([]*Endpoint{ep}, "o")}}, typical: &use{}}
	ep.Begin(now)
	ep.End(now, Unreachable, gp)
	var tried Tried
	pick := func() *Endpoint { return gp.Pick(now, Criteria{}, &tried, func(int) int { return 0 }) }
	if got := pick(); got != nil {
		t.Errorf("picked %s, which cannot be reached", got.VM)
	}
	ep.Reinstate()
	if got := pick(); got != ep {
		t.Errorf("picked %v once it can be reached", got)
	}
}
