package pick

import (
	"testing"
	"time"
)

// TestPartition separates a failure domain whose own servers are full or unreachable from the
// others. Each request was sent to unreachable servers twice and hung there for 400 ms each time
// before it was refused: 222 of 700 tries within 5 s. The calls among them held the slots of their
// parent requests. A request must be refused at once if a reachable server has already refused it.
// Otherwise an ejected server is still tried.
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
		// near and far are the states of two servers. noLink is set if the far one is in a failure
		// domain known to be unreachable.
		near, far int
		noLink    bool
		// full is set if the near one has refused the request for lack of capacity.
		full bool
		want string
	}{
		{"both healthy", healthy, healthy, false, false, "near"},
		{"near one full", healthy, healthy, false, true, "far"},
		{"near one full, the far one unreachable", healthy, unreachable, false, true, ""},
		{"near one full, the far one cut off", healthy, healthy, true, true, ""},
		{"near one unreachable, the far one cut off", unreachable, healthy, true, false, "far"},
		{"near one failing, the far one unreachable", failing, unreachable, false, false, "near"},
		{"both unreachable", unreachable, unreachable, false, false, ""},
		{"both failing", failing, failing, false, false, "near"},
	} {
		near, far := NewEndpoint(Endpoint{VM: "near", Slots: 4}), NewEndpoint(Endpoint{VM: "far", Slots: 4})
		gp := &Group{all: []*Endpoint{near, far}, spill: true, meanUse: &utilization{}}
		gp.tiers = []tier{{reachable: newPool([]*Endpoint{near}, "o")}, {reachable: newPool([]*Endpoint{far}, "o")}}
		if tc.noLink {
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
		if ep := gp.Pick(now, Criteria{Size: 1000, FoundFull: tc.full}, &tried, zero); ep != nil {
			got = ep.VM
		}
		if got != tc.want {
			t.Errorf("%s: sent to %q, want %q", tc.name, got, tc.want)
		}
	}
}

// TestReinstate checks that an unreachable server gets no requests, and gets them again after a
// connection was made.
func TestReinstate(t *testing.T) {
	now := time.Now()
	ep := NewEndpoint(Endpoint{VM: "a", Slots: 4})
	gp := &Group{all: []*Endpoint{ep}, tiers: []tier{{reachable: newPool([]*Endpoint{ep}, "o")}}, meanUse: &utilization{}}
	ep.Begin(now)
	ep.End(now, Unreachable, gp)
	var tried Tried
	pick := func() *Endpoint { return gp.Pick(now, Criteria{}, &tried, func(int) int { return 0 }) }
	if got := pick(); got != nil {
		t.Errorf("picked %s, which is unreachable", got.VM)
	}
	ep.Reinstate()
	if got := pick(); got != ep {
		t.Errorf("picked %v after the ejection ended, want the reinstated server", got)
	}
}
