package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
)

// Count is how many relays a failure domain has: two that can die at once and
// one that remains. It does not grow with the members, so that the platform's
// load does not either.
const Count = 3

// Choose returns the relays among the live records of one failure domain, the
// first choice first. A silent member is chosen only when too few others live,
// and the VMs with the widest links go first: a relay reads each version whole
// from the platform, and on a narrow link all requests of the VM wait meanwhile.
func Choose(live []*member.Record) []*member.Record {
	return rank(live, "relay", Count)
}

// Order returns relays in the order in which the member vm should use them:
// each member has its own, so that members spread over the relays and, when
// one dies, over those that remain.
func Order(relays []*member.Record, vm string) []*member.Record {
	return rank(relays, vm, len(relays))
}

// OrderAddresses returns addresses in the order in which the member vm should try them.
func OrderAddresses(addrs []string, vm string) []string {
	list := slices.Clone(addrs)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(vm+"\x00"+a), xxhash.Sum64String(vm+"\x00"+b)), cmp.Compare(a, b))
	})
	return list
}

func rank(list []*member.Record, seed string, count int) []*member.Record {
	type candidate struct {
		rc    *member.Record
		mark  int
		score uint64
	}
	all := make([]candidate, len(list))
	for i, rc := range list {
		all[i] = candidate{rc: rc, mark: int(rc.Mark), score: xxhash.Sum64String(seed + "\x00" + rc.VM)}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.mark, b.mark), cmp.Compare(b.rc.Capacity, a.rc.Capacity),
			cmp.Compare(b.score, a.score), cmp.Compare(a.rc.VM, b.rc.VM),
		)
	})
	chosen := make([]*member.Record, 0, count)
	for _, ca := range all[:min(count, len(all))] {
		chosen = append(chosen, ca.rc)
	}
	return chosen
}
