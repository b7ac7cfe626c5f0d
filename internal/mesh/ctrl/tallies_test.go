package ctrl

import (
	"testing"
	"time"
)

// TestSumInterval guards against counts of large services that fill the links between failure
// domains, and against counts that have lapsed before the next ones come.
func TestSumInterval(t *testing.T) {
	for _, tc := range []struct {
		servers int
		want    time.Duration
	}{
		{0, 300 * time.Millisecond}, {1, 300 * time.Millisecond}, {16, 300 * time.Millisecond}, {17, 600 * time.Millisecond},
		{48, 900 * time.Millisecond}, {64, 1200 * time.Millisecond}, {1000, 1200 * time.Millisecond},
	} {
		if got := sumInterval(tc.servers); got != tc.want || 2*got > tallyTTL {
			t.Errorf("sumInterval(%d) = %s, want %s", tc.servers, got, tc.want)
		}
	}
}
