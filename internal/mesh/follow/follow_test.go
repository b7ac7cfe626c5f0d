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
		t.Error("an order of nobody")
	}
}

// TestDue is a table of who follows, by who was heard and since when it is vacant.
func TestDue(t *testing.T) {
	order := []string{"a", "b", "c", "d", "e"}
	const ms = time.Millisecond
	for _, tc := range []struct {
		name  string
		heard map[string]time.Duration // how long ago
		after time.Duration            // since the vacancy was seen
		want  []string
	}{
		{"nobody was heard, at once", nil, 0, []string{"a", "b"}},
		{"nobody was heard, after a step", nil, 150 * ms, []string{"a", "b", "c"}},
		{"nobody was heard for long", nil, time.Second, order},
		{"the first two follow", map[string]time.Duration{"a": 100 * ms, "b": 200 * ms}, time.Hour, []string{"a", "b"}},
		{"one of them has fallen silent", map[string]time.Duration{"a": 5600 * ms, "b": 200 * ms}, 0, []string{"a", "b"}},
		{"and others take its place in turn", map[string]time.Duration{"a": 5800 * ms, "b": 200 * ms}, 160 * ms, []string{"a", "b", "c"}},
		{"one has taken its place", map[string]time.Duration{"b": 200 * ms, "c": 100 * ms}, time.Second, []string{"a", "b", "c"}},
		{"the first is back", map[string]time.Duration{"a": 50 * ms, "b": 200 * ms, "c": 100 * ms}, time.Second, []string{"a", "b"}},
		{"heard just long enough ago", map[string]time.Duration{"a": Fresh, "b": Fresh}, time.Second, []string{"a", "b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			began := time.Unix(1000, 0)
			now := began.Add(tc.after)
			var he Followers
			for vm, ago := range tc.heard {
				he.RecordAnswer(vm, now.Add(-ago))
			}
			var got []string
			for _, vm := range order {
				var tu Candidate
				first := tu.ShouldFollow(vm, order, &he, began)
				if tc.after > 0 {
					first = tu.ShouldFollow(vm, order, &he, now)
				}
				if first {
					got = append(got, vm)
				}
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("%v follow, want %v", got, tc.want)
			}
		})
	}
}

// TestHeard: news come late and crossed. An answer that is older than one which is known
// changes nothing, nor does a loss that was said before the last answer.
func TestHeard(t *testing.T) {
	at := time.Unix(1000, 0)
	var he Followers
	if he.RecordLoss("a", at) {
		t.Error("one that never followed was lost")
	}
	if !he.RecordAnswer("a", at) || he.RecordAnswer("a", at) || he.RecordAnswer("a", at.Add(-time.Second)) {
		t.Error("only a later answer is news")
	}
	if he.RecordLoss("a", at.Add(-time.Second)) || !he.fresh("a", at) {
		t.Error("an old loss undid a later answer")
	}
	if !he.RecordLoss("a", at.Add(time.Second)) || he.fresh("a", at) || he.RecordLoss("a", at.Add(time.Second)) {
		t.Error("a loss is news once")
	}
}
