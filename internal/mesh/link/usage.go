package link

import (
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
	"github.com/flamingomast/flamingomast/internal/quota/ledger"
)

// SendUsage sends the counts of a process. Counts of the same process that are still pending are
// merged with them. urgent counts are not batched.
func (pr *Peer) SendUsage(us *wirepb.Usage, urgent bool) {
	pr.enqueue(func() {
		if pr.usages == nil {
			pr.usages = map[string]*wirepb.Usage{}
		}
		source := usageSource(us)
		pr.usages[source] = mergeUsage(pr.usages[source], us)
		pr.sendNow = pr.sendNow || urgent
	})
}

// mergeUsage returns the newer counts, with those of the tenants that only the older ones have. A
// message may be pending on several links, so neither is modified.
func mergeUsage(older, newer *wirepb.Usage) *wirepb.Usage {
	if older == nil || older.Stamp > newer.Stamp {
		return newer
	}
	merged := &wirepb.Usage{Process: newer.Process, Domain: newer.Domain, Outlets: newer.Outlets, Stamp: newer.Stamp}
	merged.Tenants = append(merged.Tenants, newer.Tenants...)
	for _, tu := range older.Tenants {
		i := slices.IndexFunc(newer.Tenants, func(nt *wirepb.TenantUsage) bool { return nt.Tenant == tu.Tenant })
		if i < 0 {
			merged.Tenants = append(merged.Tenants, tu)
			continue
		}
		nt := newer.Tenants[i]
		merged.Tenants[i] = &wirepb.TenantUsage{
			Tenant: nt.Tenant, Offered: nt.Offered, Admitted: nt.Admitted, ReportedOffered: tu.ReportedOffered, ReportedAdmitted: tu.ReportedAdmitted,
			OfferedByRank: nt.OfferedByRank, ReportedOfferedByRank: tu.ReportedOfferedByRank,
		}
	}
	return merged
}

// addUsages moves the pending counts to a packet. The caller holds pr.mu.
func (pr *Peer) addUsages(pk *wirepb.Packet) {
	for _, us := range pr.usages {
		pk.Usages = append(pk.Usages, us)
	}
	clear(pr.usages)
}

// UsageToWire converts a report of a process to its message.
func UsageToWire(re ledger.Report, process, domain string, stamp uint64) *wirepb.Usage {
	pb := &wirepb.Usage{Process: process, Domain: domain, Outlets: uint32(re.Outlets), Stamp: stamp}
	for _, us := range re.Usage {
		pb.Tenants = append(pb.Tenants, &wirepb.TenantUsage{
			Tenant: us.Tenant, Offered: us.Counts.Offered, Admitted: us.Counts.Admitted,
			ReportedOffered: us.LastReported.Offered, ReportedAdmitted: us.LastReported.Admitted,
			OfferedByRank: us.Ranks[:], ReportedOfferedByRank: us.LastRanks[:],
		})
	}
	return pb
}

// SumSource names the sums of a relay, whose process has counts of its own outlet as well.
func SumSource(process string) string { return process + "/sum" }

func usageSource(pb *wirepb.Usage) string {
	if pb.Outlets > 0 {
		return SumSource(pb.Process)
	}
	return pb.Process
}

// UsageFromWire converts a message to a report.
func UsageFromWire(pb *wirepb.Usage) ledger.Report {
	re := ledger.Report{Source: usageSource(pb), Outlets: int(pb.Outlets)}
	for _, tu := range pb.Tenants {
		re.Usage = append(re.Usage, admit.Usage{
			Tenant: tu.Tenant, Counts: admit.Counts{Offered: tu.Offered, Admitted: tu.Admitted},
			LastReported: admit.Counts{Offered: tu.ReportedOffered, Admitted: tu.ReportedAdmitted},
			Ranks:        rankCounts(tu.OfferedByRank), LastRanks: rankCounts(tu.ReportedOfferedByRank),
		})
	}
	return re
}

// rankCounts converts counts by rank. Ranks that this release does not know count as the last one.
func rankCounts(list []int64) (rc admit.RankCounts) {
	for i, n := range list {
		rc[min(i, admit.Ranks-1)] += n
	}
	return rc
}

// shareUnit is the unit of a share on the wire.
const shareUnit = 1e6

func shareToWire(share float64) uint32   { return uint32(min(max(share, 0), 1) * shareUnit) }
func shareFromWire(share uint32) float64 { return float64(min(share, shareUnit)) / shareUnit }

func rankSharesToWire(rs *admit.RankShares) (list []uint32) {
	if rs == nil {
		return nil
	}
	for _, share := range rs {
		list = append(list, shareToWire(share))
	}
	return list
}

// rankSharesFromWire returns nil unless there is a share for each rank.
func rankSharesFromWire(list []uint32) *admit.RankShares {
	if len(list) < admit.Ranks {
		return nil
	}
	var rs admit.RankShares
	for i := range rs {
		rs[i] = shareFromWire(list[i])
	}
	return &rs
}

// DirectiveToWire converts a directive to its message.
func DirectiveToWire(di *admit.Directive) *wirepb.Directive {
	pb := &wirepb.Directive{Outlets: uint32(di.Outlets), Learning: di.Learning}
	for name, sh := range di.Shares {
		pb.Shares = append(pb.Shares, &wirepb.TenantShare{
			Tenant: name, Admit: shareToWire(sh.Admit), RetryAfterMs: uint32(sh.RetryAfter.Milliseconds()),
			AdmitByRank: rankSharesToWire(sh.ByRank), RetrySpreadMs: uint32(sh.RetrySpread.Milliseconds()),
		})
	}
	return pb
}

// DirectiveFromWire converts a message received at the given time to a directive.
func DirectiveFromWire(pb *wirepb.Directive, at time.Time) *admit.Directive {
	di := &admit.Directive{ReceivedAt: at, Outlets: int(pb.Outlets), Learning: pb.Learning, Shares: make(map[string]admit.Share, len(pb.Shares))}
	for _, ts := range pb.Shares {
		di.Shares[ts.Tenant] = admit.Share{
			Admit: shareFromWire(ts.Admit), RetryAfter: durationFromMs(uint64(ts.RetryAfterMs)),
			ByRank: rankSharesFromWire(ts.AdmitByRank), RetrySpread: durationFromMs(uint64(ts.RetrySpreadMs)),
		}
	}
	return di
}
