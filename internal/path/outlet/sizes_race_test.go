//go:build race

package outlet_test

import "time"

// outletCounts are the numbers of outlets in tests of fleets. The race detector bounds the number of
// goroutines.
var outletCounts = []int{9}

// The loads of starved kinds take minutes under the race detector. Their shares are checked without it.
const (
	sharesSpan  = time.Second
	checkShares = false
)
