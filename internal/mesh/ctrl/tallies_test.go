package ctrl

import (
	"testing"
	"time"
)

// TestSumInterval: the counts of large services are sent less often, so that they do not fill the
// links between failure domains, but often enough that they do not expire before the next ones arrive.
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
