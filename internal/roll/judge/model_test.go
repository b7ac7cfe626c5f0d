package judge

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingomast/flamingomast/internal/roll/canary"
	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// failed returns the counts of a server that failed some of its requests.
func failed(failures, requests uint64) observation {
	return observation{within: tally.Counts{Requests: requests, Failures: failures}}
}

// times returns the counts of a server whose requests all took as long.
func times(held time.Duration, requests uint64) observation {
	lg := tally.Log(held)
	return observation{within: tally.Counts{Requests: requests, Timed: requests, LogSum: lg * requests, LogSquareSum: lg * lg * requests}}
}

// after returns the counts with what the server did before.
func (ob observation) after(before observation) observation {
	ob.before = before.within
	return ob
}

func repeat(n int, list ...observation) (all []observation) {
	for range n {
		all = append(all, list...)
	}
	return all
}

// TestFailureEvidence guards against a version that is taken for bad as some of its servers
// are, and against a bad version that is taken for good as servers before it are bad as well.
func TestFailureEvidence(t *testing.T) {
	good, bad := failed(0, 30), failed(13, 30)
	for _, tc := range []struct {
		name            string
		others, targets []observation
		// low and high bound the evidence.
		low, high float64
	}{
		{"all healthy", repeat(6, good), repeat(6, good), -100, -5},
		{"one bad server of the target", repeat(6, good), append(repeat(5, good), bad), -100, -4},
		{"one bad server of three", repeat(3, good), append(repeat(2, good), bad), -100, -4},
		{"two bad servers of six", repeat(6, good), append(repeat(4, good), bad, bad), -100, -3},
		{"all servers of the target bad", repeat(6, good), repeat(6, bad), 6, 100},
		{"all three servers of the target bad", repeat(3, good), repeat(3, bad), 5, 100},
		{"most servers before bad, all of the target", append(repeat(4, bad), good, good), repeat(6, bad), 3, 100},
		{"most servers before bad, none of the target", append(repeat(4, bad), good, good), repeat(6, good), -100, -5},
		{"all servers bad", repeat(6, bad), repeat(6, bad), -100, 0},
		{"some of both bad", append(repeat(56, good), repeat(9, bad)...), append(repeat(10, good), bad, bad), -100, -5},
		{"a little worse on all servers", append(repeat(56, good), repeat(9, bad)...), repeat(12, failed(2, 12)), 6, 100},
		{"healthy servers turn bad together", repeat(3, good.after(good)), repeat(2, failed(4, 8).after(good)), 4, 100},
		{"a bad server stays bad", repeat(3, good.after(good)), repeat(1, failed(4, 8).after(bad)), -1, 1},
		{"no other servers", nil, repeat(3, bad), -1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if ev := failures.evidence(tc.others, tc.targets); !(ev >= tc.low && ev <= tc.high) {
				t.Errorf("evidence %.1f, want %.0f to %.0f", ev, tc.low, tc.high)
			}
		})
	}
}

// TestSlownessEvidence guards against the same where servers are slow, and against a version
// that is taken for slow as its machines are.
func TestSlownessEvidence(t *testing.T) {
	const ms = time.Millisecond
	normal, slow, half := times(200*ms, 30), times(1000*ms, 30), times(400*ms, 30)
	for _, tc := range []struct {
		name            string
		others, targets []observation
		low, high       float64
	}{
		{"as fast", repeat(6, normal), repeat(6, normal), -100, -5},
		{"faster", repeat(6, normal), repeat(6, times(50*ms, 30)), -100, -5},
		{"slower machines", repeat(3, normal), append(repeat(2, half), normal), -100, 0},
		{"one slow server", repeat(6, normal), append(repeat(5, normal), slow), -100, -4},
		{"four times slower", repeat(6, normal), repeat(6, times(800*ms, 30)), 6, 100},
		{"four times slower on three", repeat(3, normal), repeat(3, times(800*ms, 30)), 3, 100},
		{"most servers before slow, all of the target", append(repeat(4, slow), normal, normal), repeat(6, slow), 1, 100},
		{"most servers before slow, none of the target", append(repeat(4, slow), normal, normal), repeat(6, normal), -100, -3},
		{"no times", repeat(6, failed(0, 30)), repeat(6, failed(0, 30)), -0.1, 0.1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if ev := slownessOf(tc.others).evidence(tc.others, tc.targets); !(ev >= tc.low && ev <= tc.high) {
				t.Errorf("evidence %.1f, want %.0f to %.0f", ev, tc.low, tc.high)
			}
		})
	}
}

// TestEvidenceIsFinite guards against counts that make the evidence overflow.
func TestEvidenceIsFinite(t *testing.T) {
	row := rapid.Custom(func(t *rapid.T) tally.Counts {
		n := rapid.Uint64Range(0, 1<<40).Draw(t, "requests")
		timed := rapid.Uint64Range(0, n).Draw(t, "timed")
		lg := rapid.Uint64Range(0, 600).Draw(t, "log")
		return tally.Counts{Requests: n, Failures: rapid.Uint64Range(0, n).Draw(t, "failures"), Timed: timed, LogSum: lg * timed, LogSquareSum: lg * lg * timed}
	})
	list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) observation {
		ob := observation{before: row.Draw(t, "before"), within: row.Draw(t, "within")}
		ob.within.Requests++
		return ob
	}), 0, maxServers)
	rapid.Check(t, func(t *rapid.T) {
		others, targets := list.Draw(t, "others"), list.Draw(t, "targets")
		for _, me := range []*measure{failures, slownessOf(others)} {
			if ev := me.evidence(others, targets); math.IsNaN(ev) || math.IsInf(ev, 0) {
				t.Errorf("%s: evidence %v", me.name, ev)
			}
		}
	})
}

// TestNoServersBefore guards against a version that is rolled back when no server of the one
// before is left, and against a bad one that is completed when those are only not heard.
func TestNoServersBefore(t *testing.T) {
	for _, tc := range []struct {
		name string
		// failing is one in how many requests fails, 0 for none.
		failing int
		// heardUntil is until when a server of the version before is heard.
		heardUntil time.Duration
		want       canary.State
	}{
		{"good, none before", 0, 0, canary.Complete},
		{"bad, none before", 3, 0, canary.RolledBack},
		{"good, the last one goes", 0, 5 * time.Second, canary.Complete},
		{"bad, the last one goes", 3, 5 * time.Second, canary.RolledBack},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ju, ramp := New("v2", 10*time.Second), Ramp{}
			counters := make([]tally.Counter, 6)
			var old tally.Counter
			var de Decision
			requests := 0
			for now := time.Duration(0); now < 10*time.Second && !de.State.Final(); now += 250 * time.Millisecond {
				sum := tally.Cohorts{}
				for i := range counters {
					requests++
					counters[i].Add("", tc.failing > 0 && (requests+requests/len(counters))%tc.failing == 0, 100*time.Millisecond)
					sum.Add("v2", &tally.Cohort{VM: fmt.Sprint("a-", i), Servers: 1, Routes: counters[i].Snapshot()})
				}
				if now < tc.heardUntil {
					for range 10 {
						old.Add("", false, 100*time.Millisecond)
					}
					sum.Add("v1", &tally.Cohort{VM: "b-1", Servers: 1, Running: 1, Routes: old.Snapshot()})
				}
				ju.Observe(now, map[string]tally.Cohorts{"a": sum})
				de = ramp.Step(now, ju)
			}
			if de.State != tc.want {
				t.Errorf("the rollout ended as %s, evidence %.1f; want %s", de.State, de.Evidence, tc.want)
			}
		})
	}
}

// TestMarks guards against a judge that grows without bound with the time of a rollout.
func TestMarks(t *testing.T) {
	ju := New("v2", time.Hour)
	co := &tally.Counter{}
	for now := time.Duration(0); now < time.Hour; now += 250 * time.Millisecond {
		co.Add("", false, 100*time.Millisecond)
		ju.Observe(now, map[string]tally.Cohorts{"a": {"v1": {{Servers: 1, Routes: co.Snapshot()}}}})
	}
	if n := len(ju.times); n > 40 {
		t.Errorf("%d times are kept", n)
	}
	for _, sr := range ju.servers {
		if se := sr.routes[""]; len(se.marks) != len(ju.times) {
			t.Errorf("%d marks at %d times", len(se.marks), len(ju.times))
		}
	}
}

// TestHistory guards against a comparison with what the servers before did at another load, and
// against a share that goes by it.
func TestHistory(t *testing.T) {
	ju := New("v2", 10*time.Second)
	var old, now tally.Counter
	for range 100_000 {
		old.Add("", false, 20*time.Millisecond)
	}
	for at := time.Duration(0); at < 6*time.Second; at += 250 * time.Millisecond {
		ju.Observe(at, map[string]tally.Cohorts{"a": {"v1": {{VM: "a-1", Servers: 1, Routes: old.Snapshot()}}, "v2": {{VM: "a-2", Servers: 1, Routes: now.Snapshot()}}}})
		for range 10 {
			old.Add("", false, 200*time.Millisecond)
			now.Add("", false, 200*time.Millisecond)
		}
	}
	if ev, cause, compared := ju.against(); ev >= acceptBelow || !compared {
		t.Errorf("evidence %.1f, %+v, compared %t", ev, cause, compared)
	}
	if ju.all != 2*230 {
		t.Errorf("%d requests since the first look, want 460", ju.all)
	}
}

// TestRouteWithoutReference guards against service times of a route that no other server has run
// since the first look: they count as slow beside those of other routes.
func TestRouteWithoutReference(t *testing.T) {
	ju := New("v2", 10*time.Second)
	var old, now tally.Counter
	for at := time.Duration(0); at < 4*time.Second; at += 250 * time.Millisecond {
		ju.Observe(at, map[string]tally.Cohorts{"a": {"v1": {{VM: "a-1", Servers: 1, Routes: old.Snapshot()}}, "v2": {{VM: "a-2", Servers: 1, Routes: now.Snapshot()}}}})
		for range 5 {
			old.Add("often", false, 200*time.Millisecond)
			now.Add("often", false, 200*time.Millisecond)
		}
		now.Add("rare", false, 50*time.Millisecond)
	}
	if ev, cause, compared := ju.against(); ev >= acceptBelow || !compared {
		t.Errorf("evidence %.1f, %+v, compared %t", ev, cause, compared)
	}
}

// BenchmarkAgainst has 65 servers of each version and three routes.
func BenchmarkAgainst(b *testing.B) {
	wo := newSimWorld(1, 65)
	ju := New("v2", wo.duration)
	var rs simResult
	for now := time.Duration(0); now < 8*time.Second; now += simStep {
		wo.serve(&rs, now, wo.rate, 0.04, firstServers, 0)
		if now%tallyEvery == 0 {
			ju.Observe(now, wo.sums())
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		ju.against()
	}
}
