//go:build !race

package ctrl

import (
	"fmt"
	"testing"
)

// TestScaleRanks repeats the tests of tenants above their limits in larger fleets.
func TestScaleRanks(t *testing.T) {
	sizes := quotaSizes
	defer func() { quotaSizes = sizes }()
	for _, sz := range []size{{68, 3, 3}, {300, 5, 3}} {
		quotaSizes = []size{sz}
		t.Run(fmt.Sprint(sz.vms, " by rank"), TestRanksOverLimit)
		t.Run(fmt.Sprint(sz.vms, " change"), TestRanksChange)
		t.Run(fmt.Sprint(sz.vms, " returning callers"), TestReturningCallers)
		t.Run(fmt.Sprint(sz.vms, " mixed releases"), TestRanksMixedReleases)
	}
}
