package relay

import (
	"fmt"
	"testing"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
)

func fleet(n int) []*member.Record {
	var list []*member.Record
	for i := range n {
		list = append(list, &member.Record{VM: fmt.Sprint("vm-", i)})
	}
	return list
}

// TestStable checks that adding or removing one member changes at most one relay, and that the
// members spread over the relays.
func TestStable(t *testing.T) {
	live := fleet(100)
	before := map[string]bool{}
	for _, rc := range Choose(live) {
		before[rc.VM] = true
	}
	for i := range live {
		fewer := append(append([]*member.Record(nil), live[:i]...), live[i+1:]...)
		changed := 0
		for _, rc := range Choose(fewer) {
			if !before[rc.VM] {
				changed++
			}
		}
		if changed > 1 {
			t.Errorf("removing %s changed %d relays, want at most 1", live[i].VM, changed)
		}
	}
	load := map[string]int{}
	for _, rc := range live {
		load[Order(Choose(live), rc.VM)[0].VM]++
	}
	for vm, n := range load {
		if n < 20 || n > 50 {
			t.Errorf("relay %s has %d of 100 members, want 20 to 50", vm, n)
		}
	}
}

// TestSilent checks that a silent member is chosen last.
func TestSilent(t *testing.T) {
	live := fleet(5)
	live[Choose(live)[0].VM[3]-'0'].Mark = member.MarkSilent
	for _, rc := range Choose(live) {
		if rc.Mark != member.MarkNone {
			t.Errorf("silent member %s was chosen", rc.VM)
		}
	}
}

// TestFastLinks checks that the few VMs with fast links become the relays of a failure domain.
// On the other VMs, reading versions as a relay delays requests.
func TestFastLinks(t *testing.T) {
	live := fleet(29)
	for i, rc := range live {
		rc.Capacity = 5
		if i == 7 || i == 11 {
			rc.Capacity = 100
		}
	}
	relays := Choose(live)
	if relays[0].Capacity != 100 || relays[1].Capacity != 100 || len(relays) != Count {
		t.Errorf("relays %v, want the two VMs with fast links first", relays)
	}
	load := map[string]int{}
	for _, rc := range live {
		load[Order(relays, rc.VM)[0].VM]++
	}
	if load["vm-7"] < 5 || load["vm-11"] < 5 || load["vm-7"]+load["vm-11"] != len(live) {
		t.Errorf("members per relay %v, want all on the two relays with fast links", load)
	}
}
