package ctrl

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
)

// TestRelayChoiceAfterFailures: a daemon starts slightly before the relays of its failure domain and
// cannot reach them, so it chooses others. Once the failures have expired, it must choose the relays
// again. Otherwise it keeps its link to a member that is no relay until some record changes, hears no
// relay, and follows the store itself.
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
			t.Errorf("%s is chosen although it could not be reached", vm)
		}
	}
	lk.pruneBackoff(now.Add(2 * failureTTL))
	if got := chosen(); !slices.Equal(got, first) {
		t.Errorf("%v are chosen after the failures have expired, want %v", got, first)
	}
}

// TestUndiscoveredLinksBounded: daemons that start together find thirty addresses in the directory. If
// each opened a link to every address, each link would carry every record: 35 MB in ten seconds with
// 87 daemons. Each may open only a few links at a time, and only a relay or a registered daemon links
// to other failure domains. Once the first peers are known as members, the next addresses are tried.
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
		t.Errorf("a member that is neither relay nor registered opens links to %v", first)
	}
	var recs []*member.Record
	for i, addr := range first {
		recs = append(recs, &member.Record{VM: fmt.Sprint("vm-", i), Domain: "d0", Incarnation: 1, State: member.StateServing, Control: addr})
	}
	nd.merge(recs)
	for _, addr := range undiscovered() {
		if slices.Contains(first, addr) {
			t.Errorf("%s is known as a member and still listed as undiscovered", addr)
		}
	}
	nd.registered.Store(true)
	if got := undiscovered(); len(got) != maxUndiscoveredLocal+2*maxUndiscoveredRemote {
		t.Errorf("a registered daemon opens links to %v", got)
	}
}
