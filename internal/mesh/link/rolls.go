package link

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/plat/store"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// maxSpan bounds times that a peer states, so that they do not overflow.
const maxSpan = 24 * time.Hour

func fromMs(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxSpan.Milliseconds()))) * time.Millisecond
}

// SendRollout sends how far a rollout is, the newest statement of each service.
func (pr *Peer) SendRollout(ro *canary.Rollout) {
	pr.change(func() {
		if pr.rollouts == nil {
			pr.rollouts = map[string]*canary.Rollout{}
		}
		pr.rollouts[ro.Order.Service] = ro
	})
}

// SendTally sends counts, the newest of each VM or failure domain.
func (pr *Peer) SendTally(ta *wirepb.Tally) {
	pr.change(func() {
		if pr.tallies == nil {
			pr.tallies = map[tallyKey]*wirepb.Tally{}
		}
		pr.tallies[tallyKey{ta.Service, ta.Domain, ta.Vm}] = ta
	})
}

type tallyKey struct{ service, domain, vm string }

// packRolls puts the rollouts and tallies that wait into a packet; pr.mu is held.
func (pr *Peer) packRolls(pk *wirepb.Packet, now time.Time) {
	for _, ro := range pr.rollouts {
		pk.Rollouts = append(pk.Rollouts, rolloutToWire(ro, now))
	}
	for _, ta := range pr.tallies {
		pk.Tallies = append(pk.Tallies, ta)
	}
	clear(pr.rollouts)
	clear(pr.tallies)
}

func rolloutToWire(ro *canary.Rollout, now time.Time) *wirepb.Rollout {
	return &wirepb.Rollout{
		Service: ro.Order.Service, Target: ro.Order.Target, Baseline: ro.Baseline,
		Epoch: int64(ro.Order.Revision.Epoch), Number: ro.Order.Revision.Number,
		AgeMs: uint64(max(0, now.Sub(ro.StartedAt)).Milliseconds()), DurationMs: uint64(ro.Order.Duration.Milliseconds()),
		State: uint32(ro.State), Stored: ro.Stored,
		Share: uint32(ro.Share * 1000), Servers: uint32(ro.Servers), TtlMs: uint64(max(0, ro.ValidUntil.Sub(now)).Milliseconds()), Seq: ro.Seq,
	}
}

// Rollouts returns the rollouts of a packet that came at a moment.
func Rollouts(pk *wirepb.Packet, now time.Time) []*canary.Rollout {
	var list []*canary.Rollout
	for _, pb := range pk.Rollouts {
		st := canary.State(pb.State)
		if pb.Service == "" || st < canary.InProgress || st > canary.RolledBack {
			continue
		}
		list = append(list, &canary.Rollout{
			Order: canary.Order{
				Service: pb.Service, Target: pb.Target, Duration: fromMs(pb.DurationMs),
				Revision: store.Revision{Epoch: store.Epoch(pb.Epoch), Number: pb.Number},
			},
			State: st, Baseline: pb.Baseline, StartedAt: now.Add(-fromMs(pb.AgeMs)), Stored: pb.Stored,
			Share: float64(min(pb.Share, 1000)) / 1000, Servers: int(pb.Servers),
			ValidUntil: now.Add(min(fromMs(pb.TtlMs), canary.TTL)), Seq: pb.Seq,
		})
	}
	return list
}

// TallyToWire returns counts as a message.
func TallyToWire(su tally.Cohorts) []*wirepb.CohortTally {
	var list []*wirepb.CohortTally
	for software, cohorts := range su {
		for _, ch := range cohorts {
			pb := &wirepb.CohortTally{Software: software, Servers: uint32(ch.Servers), Running: uint32(ch.Running), Vm: ch.VM}
			for route, ro := range ch.Routes {
				pb.Routes = append(pb.Routes, &wirepb.RouteTally{
					Route: route, Requests: ro.Requests, Failures: ro.Failures, Timed: ro.Timed, Logs: ro.LogSum, Squares: ro.LogSquareSum,
				})
			}
			list = append(list, pb)
		}
	}
	return list
}

// TallyFromWire returns the counts of a message.
func TallyFromWire(ta *wirepb.Tally) tally.Cohorts {
	su := tally.Cohorts{}
	for _, pb := range ta.Cohorts {
		ch := &tally.Cohort{VM: pb.Vm, Servers: int(pb.Servers), Running: int(pb.Running), Routes: map[string]*tally.Counts{}}
		for _, rt := range pb.Routes {
			ch.Routes[rt.Route] = &tally.Counts{
				Requests: rt.Requests, Failures: min(rt.Failures, rt.Requests), Timed: min(rt.Timed, rt.Requests), LogSum: rt.Logs, LogSquareSum: rt.Squares,
			}
		}
		su.Add(pb.Software, ch)
	}
	return su
}
