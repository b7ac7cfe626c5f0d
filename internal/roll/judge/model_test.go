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

// withFailures returns the counts of a server that failed some of its requests.
func withFailures(failures, requests uint64) observation {
	return observation{window: tally.Counts{Requests: requests, Failures: failures}}
}

// withServiceTimes returns the counts of a server whose requests all took the same time.
func withServiceTimes(serviceTime time.Duration, requests uint64) observation {
	lg := tally.LogUnits(serviceTime)
	return observation{window: tally.Counts{Requests: requests, Timed: requests, LogSum: lg * requests, LogSquareSum: lg * lg * requests}}
}

// withHistory returns the observation with counts from before the window.
func (ob observation) withHistory(history observation) observation {
	ob.history = history.window
	return ob
}

func repeat(n int, list ...observation) (all []observation) {
	for range n {
		all = append(all, list...)
	}
	return all
}

// TestFailureEvidence guards against rolling back a version because some of its servers are
// individually bad, and against accepting a bad version because baseline servers are bad too.
func TestFailureEvidence(t *testing.T) {
	good, bad := withFailures(0, 30), withFailures(13, 30)
	for _, tc := range []struct {
		name              string
		baseline, targets []observation
		// low and high bound the evidence.
		low, high float64
	}{
		{"all healthy", repeat(6, good), repeat(6, good), -100, -5},
		{"one bad server of the target", repeat(6, good), append(repeat(5, good), bad), -100, -4},
		{"one bad server of three", repeat(3, good), append(repeat(2, good), bad), -100, -4},
		{"two bad servers of six", repeat(6, good), append(repeat(4, good), bad, bad), -100, -3},
		{"all servers of the target bad", repeat(6, good), repeat(6, bad), 6, 100},
		{"all three servers of the target bad", repeat(3, good), repeat(3, bad), 5, 100},
		{"most baseline servers bad, all of the target", append(repeat(4, bad), good, good), repeat(6, bad), 3, 100},
		{"most baseline servers bad, none of the target", append(repeat(4, bad), good, good), repeat(6, good), -100, -5},
		{"all servers bad", repeat(6, bad), repeat(6, bad), -100, 0},
		{"some of both bad", append(repeat(56, good), repeat(9, bad)...), append(repeat(10, good), bad, bad), -100, -5},
		{"a little worse on all servers", append(repeat(56, good), repeat(9, bad)...), repeat(12, withFailures(2, 12)), 6, 100},
		{"healthy servers turn bad together", repeat(3, good.withHistory(good)), repeat(2, withFailures(4, 8).withHistory(good)), 4, 100},
		{"a bad server stays bad", repeat(3, good.withHistory(good)), repeat(1, withFailures(4, 8).withHistory(bad)), -1, 1},
		{"no baseline servers", nil, repeat(3, bad), -1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if ev := failures.evidence(tc.baseline, tc.targets); !(ev >= tc.low && ev <= tc.high) {
				t.Errorf("evidence %.1f, want %.0f to %.0f", ev, tc.low, tc.high)
			}
		})
	}
}

// TestSlownessEvidence guards against the same with slow servers, and against rejecting a version
// because its machines are slower.
func TestSlownessEvidence(t *testing.T) {
	const ms = time.Millisecond
	normal, slow, half := withServiceTimes(200*ms, 30), withServiceTimes(1000*ms, 30), withServiceTimes(400*ms, 30)
	for _, tc := range []struct {
		name              string
		baseline, targets []observation
		low, high         float64
	}{
		{"as fast", repeat(6, normal), repeat(6, normal), -100, -5},
		{"faster", repeat(6, normal), repeat(6, withServiceTimes(50*ms, 30)), -100, -5},
		{"slower machines", repeat(3, normal), append(repeat(2, half), normal), -100, 0},
		{"one slow server", repeat(6, normal), append(repeat(5, normal), slow), -100, -4},
		{"four times slower", repeat(6, normal), repeat(6, withServiceTimes(800*ms, 30)), 6, 100},
		{"four times slower on three", repeat(3, normal), repeat(3, withServiceTimes(800*ms, 30)), 3, 100},
		{"most baseline servers slow, all of the target", append(repeat(4, slow), normal, normal), repeat(6, slow), 1, 100},
		{"most baseline servers slow, none of the target", append(repeat(4, slow), normal, normal), repeat(6, normal), -100, -3},
		{"no service times", repeat(6, withFailures(0, 30)), repeat(6, withFailures(0, 30)), -0.1, 0.1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if ev := slownessAround(tc.baseline).evidence(tc.baseline, tc.targets); !(ev >= tc.low && ev <= tc.high) {
				t.Errorf("evidence %.1f, want %.0f to %.0f", ev, tc.low, tc.high)
			}
		})
	}
}

// TestEvidenceIsFinite guards against counts for which the evidence overflows.
func TestEvidenceIsFinite(t *testing.T) {
	row := rapid.Custom(func(t *rapid.T) tally.Counts {
		n := rapid.Uint64Range(0, 1<<40).Draw(t, "requests")
		timed := rapid.Uint64Range(0, n).Draw(t, "timed")
		lg := rapid.Uint64Range(0, 600).Draw(t, "log")
		return tally.Counts{Requests: n, Failures: rapid.Uint64Range(0, n).Draw(t, "failures"), Timed: timed, LogSum: lg * timed, LogSquareSum: lg * lg * timed}
	})
	list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) observation {
		ob := observation{history: row.Draw(t, "before"), window: row.Draw(t, "within")}
		ob.window.Requests++
		return ob
	}), 0, maxComparedServers)
	rapid.Check(t, func(t *rapid.T) {
		baseline, targets := list.Draw(t, "others"), list.Draw(t, "targets")
		for _, me := range []*measure{failures, slownessAround(baseline)} {
			if ev := me.evidence(baseline, targets); math.IsNaN(ev) || math.IsInf(ev, 0) {
				t.Errorf("%s: evidence %v", me.name, ev)
			}
		}
	})
}

// TestNoBaselineServers guards against rolling back a good version when no baseline server is left,
// and against completing a bad one when the counts of the baseline merely fail to arrive.
func TestNoBaselineServers(t *testing.T) {
	for _, tc := range []struct {
		name string
		// failEvery makes one in that many requests fail; 0 means none.
		failEvery int
		// baselineUntil is when the counts of the baseline server stop arriving.
		baselineUntil time.Duration
		want          canary.State
	}{
		{"good, no baseline", 0, 0, canary.Complete},
		{"bad, no baseline", 3, 0, canary.RolledBack},
		{"good, the last baseline server leaves", 0, 5 * time.Second, canary.Complete},
		{"bad, the last baseline server leaves", 3, 5 * time.Second, canary.RolledBack},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ju, ramp := New("v2", 10*time.Second), Ramp{}
			counters := make([]tally.Counter, 6)
			var baselineCounter tally.Counter
			var de Decision
			requests := 0
			for now := time.Duration(0); now < 10*time.Second && !de.State.Final(); now += 250 * time.Millisecond {
				cohorts := tally.Cohorts{}
				for i := range counters {
					requests++
					counters[i].Add("", tc.failEvery > 0 && (requests+requests/len(counters))%tc.failEvery == 0, 100*time.Millisecond)
					cohorts.Add("v2", &tally.Cohort{VM: fmt.Sprint("a-", i), Servers: 1, Routes: counters[i].Snapshot()})
				}
				if now < tc.baselineUntil {
					for range 10 {
						baselineCounter.Add("", false, 100*time.Millisecond)
					}
					cohorts.Add("v1", &tally.Cohort{VM: "b-1", Servers: 1, Running: 1, Routes: baselineCounter.Snapshot()})
				}
				ju.Observe(now, map[string]tally.Cohorts{"a": cohorts})
				de = ramp.Step(now, ju)
			}
			if de.State != tc.want {
				t.Errorf("the rollout ended as %s, evidence %.1f; want %s", de.State, de.Evidence, tc.want)
			}
		})
	}
}

// TestCheckpoints guards against a judge whose memory grows without bound during a long rollout.
func TestCheckpoints(t *testing.T) {
	ju := New("v2", time.Hour)
	co := &tally.Counter{}
	for now := time.Duration(0); now < time.Hour; now += 250 * time.Millisecond {
		co.Add("", false, 100*time.Millisecond)
		ju.Observe(now, map[string]tally.Cohorts{"a": {"v1": {{Servers: 1, Routes: co.Snapshot()}}}})
	}
	if n := len(ju.checkpointTimes); n > 40 {
		t.Errorf("%d checkpoints are kept, want at most 40", n)
	}
	for _, sr := range ju.servers {
		if se := sr.routes[""]; len(se.checkpoints) != len(ju.checkpointTimes) {
			t.Errorf("a series has %d checkpoints, the judge %d", len(se.checkpoints), len(ju.checkpointTimes))
		}
	}
}

// TestHistory guards against comparing the target with requests that the baseline served under a
// different load before the first observation, and against counting these requests when the
// target's share is computed.
func TestHistory(t *testing.T) {
	ju := New("v2", 10*time.Second)
	var baseline, target tally.Counter
	for range 100_000 {
		baseline.Add("", false, 20*time.Millisecond)
	}
	for elapsed := time.Duration(0); elapsed < 6*time.Second; elapsed += 250 * time.Millisecond {
		ju.Observe(elapsed, map[string]tally.Cohorts{"a": {"v1": {{VM: "a-1", Servers: 1, Routes: baseline.Snapshot()}}, "v2": {{VM: "a-2", Servers: 1, Routes: target.Snapshot()}}}})
		for range 10 {
			baseline.Add("", false, 200*time.Millisecond)
			target.Add("", false, 200*time.Millisecond)
		}
	}
	if ev, cause, compared := ju.strongestEvidence(); ev >= acceptBelow || !compared {
		t.Errorf("evidence %.1f, %+v, compared %t", ev, cause, compared)
	}
	if ju.totalRequests != 2*230 {
		t.Errorf("%d requests since the first observation, want 460", ju.totalRequests)
	}
}

// TestRouteWithoutReference guards against the service times of a route that no baseline server has
// served since the first observation: beside those of other routes they would count as slow.
func TestRouteWithoutReference(t *testing.T) {
	ju := New("v2", 10*time.Second)
	var baseline, target tally.Counter
	for elapsed := time.Duration(0); elapsed < 4*time.Second; elapsed += 250 * time.Millisecond {
		ju.Observe(elapsed, map[string]tally.Cohorts{"a": {"v1": {{VM: "a-1", Servers: 1, Routes: baseline.Snapshot()}}, "v2": {{VM: "a-2", Servers: 1, Routes: target.Snapshot()}}}})
		for range 5 {
			baseline.Add("often", false, 200*time.Millisecond)
			target.Add("often", false, 200*time.Millisecond)
		}
		target.Add("rare", false, 50*time.Millisecond)
	}
	if ev, cause, compared := ju.strongestEvidence(); ev >= acceptBelow || !compared {
		t.Errorf("evidence %.1f, %+v, compared %t", ev, cause, compared)
	}
}

// BenchmarkStrongestEvidence has 65 servers of each version and three routes.
func BenchmarkStrongestEvidence(b *testing.B) {
	si := newSimulation(1, 65)
	ju := New("v2", si.duration)
	var rs simResult
	for now := time.Duration(0); now < 8*time.Second; now += simStep {
		si.serve(&rs, now, si.rate, 0.04, initialServers, 0)
		if now%tallyInterval == 0 {
			ju.Observe(now, si.sums())
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		ju.strongestEvidence()
	}
}
