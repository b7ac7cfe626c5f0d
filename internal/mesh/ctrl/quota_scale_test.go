//go:build !race

package ctrl

import (
	"fmt"
	"testing"
)

// TestScaleQuota repeats the tests of tenants' limits in larger fleets.
func TestScaleQuota(t *testing.T) {
	type test struct {
		name string
		run  func(*testing.T)
	}
	main := []test{
		{"flood", TestQuotaFlood}, {"small tenant", TestQuotaSmallTenant}, {"moving tenant", TestQuotaMovingTenant},
		{"partition", TestQuotaPartition}, {"all killed", TestQuotaAllKilled},
		{"restart bound", TestQuotaRestartBound}, {"restart below limits", TestQuotaRestartBelowLimits},
	}
	others := []test{
		{"changed limit", TestQuotaChangedLimit}, {"isolated outlets", TestQuotaIsolatedOutlets}, {"isolated starts", TestQuotaIsolatedStarts}, {"relays killed", TestQuotaRelaysKilled},
		{"many versions", TestQuotaManyVersions}, {"store away", TestQuotaStoreAway},
	}
	sizes := quotaSizes
	defer func() { quotaSizes = sizes }()
	for _, tc := range []struct {
		size
		tests []test
	}{
		{size{68, 3, 3}, append(main, others...)},
		{size{300, 5, 3}, main},
	} {
		quotaSizes = []size{tc.size}
		for _, te := range tc.tests {
			t.Run(fmt.Sprint(tc.vms, " ", te.name), te.run)
		}
	}
}
