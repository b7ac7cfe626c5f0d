package link

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/flamingomast/flamingomast/internal/quota/admit"
	"github.com/flamingomast/flamingomast/internal/quota/ledger"
)

// TestUsageMessage guards against counts by rank that are lost or mixed up on a link, and against
// messages of the previous release, which have none, being taken for another rank's.
func TestUsageMessage(t *testing.T) {
	re := ledger.Report{Source: "p", Usage: []admit.Usage{{
		Tenant: "t", Counts: admit.Counts{Offered: 10, Admitted: 6}, LastReported: admit.Counts{Offered: 4, Admitted: 3},
		Ranks: admit.RankCounts{1, 2, 3, 4}, LastRanks: admit.RankCounts{0, 1, 1, 2},
	}}}
	pb := UsageToWire(re, "p", "d", 1)
	if got := UsageFromWire(overWire(t, pb)); !reflect.DeepEqual(got, re) {
		t.Errorf("%+v, want %+v", got, re)
	}
	later := proto.CloneOf(pb)
	later.Stamp, later.Tenants[0].Offered, later.Tenants[0].OfferedByRank = 2, 12, []int64{3, 2, 3, 4}
	later.Tenants[0].ReportedOffered, later.Tenants[0].ReportedOfferedByRank = 10, []int64{1, 2, 3, 4}
	merged := UsageFromWire(mergeUsage(pb, later)).Usage[0]
	if merged.Ranks != (admit.RankCounts{3, 2, 3, 4}) || merged.LastRanks != re.Usage[0].LastRanks {
		t.Errorf("merged: %+v", merged)
	}
	old := overWire(t, pb)
	old.Tenants[0].OfferedByRank, old.Tenants[0].ReportedOfferedByRank = nil, nil
	if got := UsageFromWire(old).Usage[0]; got.Ranks != (admit.RankCounts{}) || got.Counts != re.Usage[0].Counts {
		t.Errorf("of the previous release: %+v", got)
	}
}

// TestDirectiveMessage guards against shares by rank that are lost on a link, and against a relay of
// the previous release, which sends none, making its members refuse everything.
func TestDirectiveMessage(t *testing.T) {
	at := time.Now()
	di := &admit.Directive{ReceivedAt: at, Outlets: 3, Shares: map[string]admit.Share{"t": {
		Admit: 0.5, ByRank: &admit.RankShares{1, 0.5, 0.25, 0.125}, RetryAfter: time.Second, RetrySpread: 2 * time.Second,
	}}}
	pb := overWire(t, DirectiveToWire(di))
	if got := DirectiveFromWire(pb, at); !reflect.DeepEqual(got, di) {
		t.Errorf("%+v, want %+v", got.Shares, di.Shares)
	}
	for _, list := range [][]uint32{nil, {500000}} {
		pb.Shares[0].AdmitByRank = list
		if got := DirectiveFromWire(pb, at).Shares["t"].ForRank(2); got != 0.5 {
			t.Errorf("%d shares by rank: %g of rank 2, want the mean", len(list), got)
		}
	}
}

// overWire returns a message as its receiver decodes it.
func overWire[M proto.Message](t *testing.T, pb M) M {
	t.Helper()
	data, err := proto.Marshal(pb)
	if err != nil {
		t.Fatal(err)
	}
	got := pb.ProtoReflect().New().Interface().(M)
	if err := proto.Unmarshal(data, got); err != nil {
		t.Fatal(err)
	}
	return got
}
