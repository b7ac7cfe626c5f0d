//go:build !race

// The race detector takes gigabytes for hundreds of outlets. The other tests of starved kinds run the same
// code under it.

package outlet_test

import "testing"

// TestScaleKindsStarved guards against a kind that is starved because each of many outlets has too few of
// its requests for a floor of its own.
func TestScaleKindsStarved(t *testing.T) {
	for _, tc := range []starvedCase{
		{"60 outlets", 60, []kindFlow{lists.at(160), sheets.at(12), orders.at(150)}},
		{"300 outlets", 300, []kindFlow{lists.at(160), sheets.at(30), orders.at(150)}},
	} {
		tc.run(t)
	}
}
