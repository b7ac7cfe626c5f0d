package pick

import (
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/mono"
)

// TestStayInDomain checks large responses while the links of a failure domain are full. A document
// request that found no capacity there was sent to another failure domain, where the links are
// equally full and each transfer costs more than it is worth. It must be refused instead, as long
// as a server of the failure domain is reachable. Small requests go where there is capacity.
func TestStayInDomain(t *testing.T) {
	now := time.Now()
	near := NewEndpoint(Endpoint{VM: "near", Slots: 4})
	far := NewEndpoint(Endpoint{VM: "far", Slots: 4})
	gp := &Group{
		all: []*Endpoint{near, far}, spill: true, meanUse: &utilization{},
		tiers: []tier{{reachable: newPool([]*Endpoint{near}, "o")}, {reachable: newPool([]*Endpoint{far}, "o")}},
	}
	var busy Tried
	busy.Add(near)
	zero := func(int) int { return 0 }
	for _, tc := range []struct {
		name  string
		cr    Criteria
		tried Tried
		out   bool
		want  *Endpoint
	}{
		{"a document", Criteria{Size: 90_000, StayInDomain: true}, Tried{}, false, near},
		{"a document without capacity", Criteria{Size: 90_000, StayInDomain: true}, busy, false, nil},
		{"a document over wide links without capacity", Criteria{Size: 90_000}, busy, false, far},
		{"a lookup without capacity", Criteria{Size: 1000, StayInDomain: true}, busy, false, far},
		{"a document, the server is dead", Criteria{Size: 90_000, StayInDomain: true}, Tried{}, true, far},
	} {
		near.live.ejected.Store(0)
		if tc.out {
			near.live.ejected.Store(mono.Nanos(now.Add(time.Second)))
		}
		if got := gp.Pick(now, tc.cr, &tc.tried, zero); got != tc.want {
			t.Errorf("%s is sent to %+v, want %+v", tc.name, got, tc.want)
		}
	}
}

// TestSubsets lets 60 outlets choose a subset of eight of 23 servers each. All servers must be
// used, and adding or removing one server must change at most one place of a subset.
func TestSubsets(t *testing.T) {
	servers := func(without int) (list []*Endpoint) {
		for i := range 23 {
			if i != without {
				list = append(list, NewEndpoint(Endpoint{VM: string(rune('a' + i))}))
			}
		}
		return list
	}
	used := map[string]int{}
	for o := range 60 {
		self := string(rune('A' + o))
		pl := newPool(servers(-1), self)
		had := map[string]bool{}
		for _, ep := range pl.list[:pl.subset] {
			used[ep.VM]++
			had[ep.VM] = true
		}
		fewer, changed := newPool(servers(o%23), self), 0
		for _, ep := range fewer.list[:fewer.subset] {
			if !had[ep.VM] {
				changed++
			}
		}
		if changed > 1 {
			t.Errorf("without one server %d places of outlet %d changed", changed, o)
		}
	}
	for vm, n := range used {
		if n < 10 || n > 34 {
			t.Errorf("server %s is used by %d outlets of 60; the mean is 21", vm, n)
		}
	}
	if len(used) != 23 {
		t.Errorf("%d of 23 servers are used", len(used))
	}
}

// TestLinkWait checks that a document waits for a busy link, and a lookup does not.
func TestLinkWait(t *testing.T) {
	now := time.Now()
	ep := NewEndpoint(Endpoint{VM: "a", Slots: 4})
	ep.live.linkFreeAt.Store(mono.Nanos(now.Add(300 * time.Millisecond)))
	for size, want := range map[int64]time.Duration{1000: 0, 90_000: 300 * time.Millisecond} {
		if got := ep.linkWait(now, size); got != want {
			t.Errorf("an answer of %d bytes waits %v for the link, want %v", size, got, want)
		}
	}
	if got := ep.linkWait(now.Add(time.Second), 90_000); got != 0 {
		t.Errorf("the wait is still %v a second later", got)
	}
}

// TestDesignated guards against outlets that send a suspect request to different servers: each that the
// request crashes counts for all of them.
func TestDesignated(t *testing.T) {
	group := func(vms ...string) *Group {
		gp := &Group{meanUse: &utilization{}}
		for _, vm := range vms {
			gp.all = append(gp.all, NewEndpoint(Endpoint{VM: vm}))
		}
		return gp
	}
	if ep := group().Designated("a"); ep != nil {
		t.Errorf("without servers: %+v", ep)
	}
	used := map[string]int{}
	for key := range 300 {
		key := string(rune('0' + key))
		best := group("a", "b", "c", "d").Designated(key)
		used[best.VM]++
		if got := group("d", "c", "b", "a").Designated(key); got.VM != best.VM {
			t.Errorf("key %s: %s, in another order %s", key, best.VM, got.VM)
		}
		if got := group("a", "b", "c").Designated(key); best.VM != "d" && got.VM != best.VM {
			t.Errorf("key %s: %s, without another server %s", key, best.VM, got.VM)
		}
	}
	if len(used) != 4 {
		t.Errorf("designated: %v, want all four", used)
	}
}
