//go:build !race

package outlet_test

// outletCounts are the numbers of outlets in tests of fleets.
var outletCounts = []int{9, 68, 300}
