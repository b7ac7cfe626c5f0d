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

// TestStable: one member more or less changes one relay at most, and the
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
			t.Errorf("without %s %d relays changed", live[i].VM, changed)
		}
	}
	load := map[string]int{}
	for _, rc := range live {
		load[Order(Choose(live), rc.VM)[0].VM]++
	}
	for vm, n := range load {
		if n < 20 || n > 50 {
			t.Errorf("relay %s has %d of 100 members", vm, n)
		}
	}
}

// TestSilent: a member that is not heard is chosen last.
func TestSilent(t *testing.T) {
	live := fleet(5)
	live[Choose(live)[0].VM[3]-'0'].Mark = member.MarkSilent
	for _, rc := range Choose(live) {
		if rc.Mark != member.MarkNone {
			t.Errorf("%s was chosen", rc.VM)
		}
	}
}

// TestWideLinks: of a failure domain's VMs a few have wide links. They must be its
// relays: on the others a relay's reading of versions kept requests waiting.
func TestWideLinks(t *testing.T) {
	live := fleet(29)
	for i, rc := range live {
		rc.Capacity = 5
		if i == 7 || i == 11 {
			rc.Capacity = 100
		}
	}
	relays := Choose(live)
	if relays[0].Capacity != 100 || relays[1].Capacity != 100 || len(relays) != Count {
		t.Errorf("the relays are %v", relays)
	}
	load := map[string]int{}
	for _, rc := range live {
		load[Order(relays, rc.VM)[0].VM]++
	}
	if load["vm-7"] < 5 || load["vm-11"] < 5 || load["vm-7"]+load["vm-11"] != len(live) {
		t.Errorf("members use the relays %v", load)
	}
}
