package delay

import (
	"testing"
	"time"
)

// TestExcess delays messages, as if the receiver were frozen for three seconds or a packet were
// lost. Only the delayed message must be late, not the next one, whatever the clock difference of
// the two processes.
func TestExcess(t *testing.T) {
	const ms = time.Millisecond
	type message struct{ sent, came, want time.Duration }
	for name, list := range map[string][]message{
		"steady":                   {{0, 5 * ms, 0}, {100 * ms, 105 * ms, 0}, {200 * ms, 205 * ms, 0}},
		"one delayed":              {{0, 5 * ms, 0}, {100 * ms, 3105 * ms, 3000 * ms}, {3200 * ms, 3205 * ms, 0}},
		"first delayed":            {{0, 3005 * ms, 0}, {3100 * ms, 3105 * ms, 0}, {3200 * ms, 3300 * ms, 95 * ms}},
		"the sender was suspended": {{0, 5 * ms, 0}, {100 * ms, 3105 * ms, 3000 * ms}, {200 * ms, 3205 * ms, 3000 * ms}, {4300 * ms, 7305 * ms, 0}},
	} {
		for _, shift := range []time.Duration{0, time.Hour, -time.Hour} {
			var tr Tracker
			for i, ms := range list {
				if got := tr.Excess("a", ms.sent+shift, epoch.Add(ms.came)); got != ms.want {
					t.Errorf("%s, clock difference %s, message %d: excess %s, want %s", name, shift, i, got, ms.want)
				}
			}
		}
	}
}

// TestBound checks that the number of remembered senders is bounded.
func TestBound(t *testing.T) {
	var tr Tracker
	for i := range 3 * maxPeers {
		tr.Excess(time.Duration(i).String(), 0, epoch)
	}
	if len(tr.peers) > maxPeers {
		t.Errorf("%d senders are remembered, bound %d", len(tr.peers), maxPeers)
	}
}
