package follow

import (
	"slices"
	"testing"
	"time"
)

func TestOrder(t *testing.T) {
	got := Order([][]string{{"a1", "a2", "a3"}, {"b1"}, {"c1", "c2"}})
	if want := []string{"a1", "b1", "c1", "a2", "c2", "a3"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
	if Order(nil) != nil {
		t.Error("order of no relays is not empty")
	}
}

// TestShouldFollow checks which daemons follow, by when the store last answered each of them
// and by how long the vacancy has lasted.
func TestShouldFollow(t *testing.T) {
	order := []string{"a", "b", "c", "d", "e"}
	const ms = time.Millisecond
	for _, tc := range []struct {
		name  string
		heard map[string]time.Duration // how long ago
		after time.Duration            // since the vacancy was noticed
		want  []string
		// silent are the daemons that are not heard over their links.
		silent []string
	}{
		{"no follower known, at once", nil, 0, []string{"a", "b"}, nil},
		{"no follower known, after one takeover delay", nil, 150 * ms, []string{"a", "b", "c"}, nil},
		{"no follower known for a long time", nil, time.Second, order, nil},
		{"first two follow", map[string]time.Duration{"a": 100 * ms, "b": 200 * ms}, time.Hour, []string{"a", "b"}, nil},
		{"announcement expired, at once", map[string]time.Duration{"a": 5600 * ms, "b": 200 * ms}, 0, []string{"a", "b"}, nil},
		{"announcement expired, after one takeover delay", map[string]time.Duration{"a": 5800 * ms, "b": 200 * ms}, 160 * ms, []string{"a", "b", "c"}, nil},
		{"substitute has taken over", map[string]time.Duration{"b": 200 * ms, "c": 100 * ms}, time.Second, []string{"a", "b", "c"}, nil},
		{"first relay is back", map[string]time.Duration{"a": 50 * ms, "b": 200 * ms, "c": 100 * ms}, time.Second, []string{"a", "b"}, nil},
		{"both followers silent, at once", map[string]time.Duration{"a": 100 * ms, "b": 200 * ms}, 0, []string{"a", "b"}, []string{"a", "b"}},
		{"both followers silent, after one takeover delay", map[string]time.Duration{"a": 100 * ms, "b": 200 * ms}, 150 * ms, []string{"a", "b", "c"}, []string{"a", "b"}},
		{"another relay silent", map[string]time.Duration{"a": 100 * ms, "b": 200 * ms}, time.Hour, []string{"a", "b"}, []string{"c"}},
		{"announcements at the limit of AnnounceTTL", map[string]time.Duration{"a": AnnounceTTL, "b": AnnounceTTL}, time.Second, []string{"a", "b"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			now := start.Add(tc.after)
			var fw Followers
			for vm, ago := range tc.heard {
				fw.RecordAnswer(vm, now.Add(-ago))
			}
			var got []string
			for _, vm := range order {
				var ca Candidate
				follows := ca.ShouldFollow(vm, order, tc.silent, &fw, start)
				if tc.after > 0 {
					follows = ca.ShouldFollow(vm, order, tc.silent, &fw, now)
				}
				if follows {
					got = append(got, vm)
				}
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("followers %v, want %v", got, tc.want)
			}
		})
	}
}

// TestFollowers checks that announcements that arrive late or out of order change nothing: an
// answer older than the known one, and a loss that precedes the last answer.
func TestFollowers(t *testing.T) {
	at := time.Unix(1000, 0)
	var fw Followers
	if fw.RecordLoss("a", at) {
		t.Error("loss of a daemon that never followed was reported as new")
	}
	if !fw.RecordAnswer("a", at) || fw.RecordAnswer("a", at) || fw.RecordAnswer("a", at.Add(-time.Second)) {
		t.Error("an answer must be reported as new if, and only if, it is later than the known one")
	}
	if fw.RecordLoss("a", at.Add(-time.Second)) || !fw.active("a", at) {
		t.Error("a loss that precedes the last answer removed the follower")
	}
	if !fw.RecordLoss("a", at.Add(time.Second)) || fw.active("a", at) || fw.RecordLoss("a", at.Add(time.Second)) {
		t.Error("a loss must be reported as new exactly once")
	}
}
