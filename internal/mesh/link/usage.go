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
		})
	}
	return re
}

// shareUnit is the unit of a share on the wire.
const shareUnit = 1e6

// DirectiveToWire converts a directive to its message.
func DirectiveToWire(di *admit.Directive) *wirepb.Directive {
	pb := &wirepb.Directive{Outlets: uint32(di.Outlets), Learning: di.Learning}
	for name, sh := range di.Shares {
		pb.Shares = append(pb.Shares, &wirepb.TenantShare{
			Tenant: name, Admit: uint32(min(max(sh.Admit, 0), 1) * shareUnit), RetryAfterMs: uint32(sh.RetryAfter.Milliseconds()),
		})
	}
	return pb
}

// DirectiveFromWire converts a message received at the given time to a directive.
func DirectiveFromWire(pb *wirepb.Directive, at time.Time) *admit.Directive {
	di := &admit.Directive{ReceivedAt: at, Outlets: int(pb.Outlets), Learning: pb.Learning, Shares: make(map[string]admit.Share, len(pb.Shares))}
	for _, ts := range pb.Shares {
		di.Shares[ts.Tenant] = admit.Share{
			Admit: float64(min(ts.Admit, shareUnit)) / shareUnit, RetryAfter: durationFromMs(uint64(ts.RetryAfterMs)),
		}
	}
	return di
}
