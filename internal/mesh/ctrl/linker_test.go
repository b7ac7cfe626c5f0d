package ctrl

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
)

// TestRelayChoiceAfterFailures: a daemon starts a moment before the relays of its failure
// domain and cannot reach them. It chooses others, and the relays again once the failures
// are forgotten. It kept to the others until some member changed: linked to a plain
// member, it heard no relay and followed the store by itself.
func TestRelayChoiceAfterFailures(t *testing.T) {
	nd := New(Config{VM: "vm-x", Domain: "d0", Control: "x:1"})
	defer nd.cancel()
	var recs []*member.Record
	for i := range 9 {
		recs = append(recs, &member.Record{
			VM: fmt.Sprint("vm-", i), Domain: "d0", Incarnation: 1, Sequence: 1, State: member.StateServing, Control: fmt.Sprintf("vm-%d:1", i),
		})
	}
	nd.merge(recs)
	lk := nd.linker
	chosen := func() (list []string) {
		for _, rc := range lk.ownRelays() {
			list = append(list, rc.VM)
		}
		return list
	}
	first := chosen()
	now := time.Now()
	for _, rc := range lk.ownRelays() {
		lk.backoff[rc.Control] = &backoff{bound: minBackoff, until: now, failed: true}
	}
	for _, vm := range chosen() {
		if slices.Contains(first, vm) {
			t.Errorf("%s is chosen though it cannot be reached", vm)
		}
	}
	lk.pruneBackoff(now.Add(2 * failureTTL))
	if got := chosen(); !slices.Equal(got, first) {
		t.Errorf("%v are chosen once the failures are forgotten, want %v", got, first)
	}
}

// TestUndiscoveredLinksBounded: daemons that start together find thirty addresses in the directory.
// Each opened a link to every one, and each link carried every record: 35 MB in ten
// seconds among 87. Now each opens a few, and only one that stands for its failure domain
// opens any to another; as the first become known, the next ones are tried.
func TestUndiscoveredLinksBounded(t *testing.T) {
	nd := New(Config{VM: "vm-x", Domain: "d0", Control: "x:1"})
	defer nd.cancel()
	found := map[string][]string{}
	for _, dm := range []string{"d0", "d1", "d2"} {
		for i := range 10 {
			found[dm] = append(found[dm], fmt.Sprintf("%s-%d:1", dm, i))
		}
	}
	nd.linker.directory.set(found)
	undiscovered := func() (list []string) {
		nd.linker.addUndiscovered(func(addr string) { list = append(list, addr) })
		slices.Sort(list)
		return list
	}
	first := undiscovered()
	if len(first) != maxUndiscoveredLocal {
		t.Errorf("a plain member opens links to %v", first)
	}
	var recs []*member.Record
	for i, addr := range first {
		recs = append(recs, &member.Record{VM: fmt.Sprint("vm-", i), Domain: "d0", Incarnation: 1, State: member.StateServing, Control: addr})
	}
	nd.merge(recs)
	for _, addr := range undiscovered() {
		if slices.Contains(first, addr) {
			t.Errorf("%s is known and still taken for a stranger", addr)
		}
	}
	nd.registered.Store(true)
	if got := undiscovered(); len(got) != maxUndiscoveredLocal+2*maxUndiscoveredRemote {
		t.Errorf("one that stands for its failure domain opens links to %v", got)
	}
}
