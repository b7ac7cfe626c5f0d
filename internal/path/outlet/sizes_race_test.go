//go:build race

package outlet_test

// outletCounts are the numbers of outlets in tests of fleets. The race detector bounds the number of
// goroutines.
var outletCounts = []int{9}
