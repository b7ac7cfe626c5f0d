//go:build !race

package ctrl

import "testing"

// TestScaleQuota repeats the floods and a partition in a larger fleet.
func TestScaleQuota(t *testing.T) {
	sizes := quotaSizes
	quotaSizes = []size{{300, 5, 3}}
	defer func() { quotaSizes = sizes }()
	t.Run("flood", TestQuotaFlood)
	t.Run("small tenant", TestQuotaSmallTenant)
	t.Run("moving tenant", TestQuotaMovingTenant)
	t.Run("partition", TestQuotaPartition)
	t.Run("all killed", TestQuotaAllKilled)
}
