//go:build !race

package outlet_test

import "time"

// outletCounts are the numbers of outlets in tests of fleets.
var outletCounts = []int{9, 68, 300}

// sharesSpan is how long loads last after which served shares are checked, as they are if checkShares is set.
const (
	sharesSpan  = 20 * time.Second
	checkShares = true
)
