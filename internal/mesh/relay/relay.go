package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
)

// Count is the number of relays of a failure domain: two may fail at once and one remains. It
// does not grow with the number of members, so neither does the load on the platform.
const Count = 3

// Choose returns the relays among the live records of one failure domain, in order of
// preference. A silent member is chosen only if too few others are live. VMs with the fastest
// links are preferred: a relay reads each version in full from the platform, and on a slow link
// all requests of the VM wait meanwhile.
func Choose(live []*member.Record) []*member.Record {
	return rank(live, "relay", Count)
}

// Order returns relays in the order in which the member vm should use them. Each member has its
// own order, so that the members spread over the relays and, when a relay fails, over the
// remaining ones.
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

// rank returns up to count records: those without a mark first, then those with the fastest
// links, then by the hash of the seed and the VM.
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
