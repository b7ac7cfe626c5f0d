package inlet

import (
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// TestExcess: documents that could not be in time were never sent, though the link
// was idle: their callers came back again and again, and got nothing.
func TestExcess(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name                      string
		backlog, takes, objective time.Duration
		running                   int
		taken                     bool
	}{
		{"in time on a free link", 0, 300 * ms, 800 * ms, 6, true},
		{"in time behind others", 500 * ms, 300 * ms, 800 * ms, 6, true},
		{"late behind others", 600 * ms, 300 * ms, 800 * ms, 6, false},
		{"late in any case, free link", 0, 300 * ms, ms, 2, true},
		{"late in any case, one before it", 90 * ms, 300 * ms, 200 * ms, 2, true},
		{"late in any case, busy link", 150 * ms, 300 * ms, 200 * ms, 2, false},
		{"late in any case, slots in use", 0, 300 * ms, ms, 4, false},
	} {
		ld := result.Load{Running: tc.running, Slots: 6, ServiceTime: 80 * ms}
		if got := excess(tc.backlog, tc.takes, tc.objective, ld); (got <= 0) != tc.taken {
			t.Errorf("%s: %v over, taken %v, want %v", tc.name, got, got <= 0, tc.taken)
		}
	}
}
