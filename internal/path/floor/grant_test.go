package floor

import (
	"math/rand/v2"
	"testing"
	"time"
)

// load is the load of one kind at one outlet: its rate in requests per second, the share of all kinds that
// is served, and the probabilities that a granted request is served, and one that is not granted.
type load struct {
	rate, mean, granted, others float64
}

// play simulates outlets with the load for a time, without retries, and returns the shares of the requests
// that were served and that were granted.
func play(ld load, outlets int, span time.Duration) (served, granted float64) {
	rnd := rand.New(rand.NewPCG(1, 2))
	offered := 0
	for range outlets {
		var ki Kind
		for at := 0.0; ; {
			at += rnd.ExpFloat64() / ld.rate
			if at > span.Seconds() {
				break
			}
			now := time.Unix(1000, 0).Add(time.Duration(at * float64(time.Second)))
			offered++
			chance := ld.others
			grant := ki.Grant(now, ld.mean, true, rnd.Float64())
			if grant {
				granted++
				chance = ld.granted
				ki.Done()
			}
			ok := rnd.Float64() < chance
			if ok {
				served++
			}
			ki.Record(now, true, ok)
		}
	}
	return served / float64(offered), granted / float64(offered)
}

// TestGrants checks which part of a kind is served and granted, at outlets with many requests and with few.
func TestGrants(t *testing.T) {
	for _, tc := range []struct {
		name    string
		load    load
		outlets int
		// served and granted bound the shares.
		served, granted [2]float64
	}{
		{"starved", load{40, 0.6, 1, 0}, 5, [2]float64{0.22, 0.26}, [2]float64{0.22, 0.26}},
		{"starved, few requests at each outlet", load{0.05, 0.6, 1, 0}, 2000, [2]float64{0.2, 0.28}, [2]float64{0.2, 0.28}},
		{"starved, grants that do not always help", load{40, 0.6, 0.6, 0}, 5, [2]float64{0.21, 0.26}, [2]float64{0.35, 0.43}},
		{"served as often as others", load{40, 0.6, 1, 0.6}, 5, [2]float64{0.55, 0.65}, [2]float64{0, 0.001}},
		{"half as often as others", load{40, 0.6, 1, 0.3}, 5, [2]float64{0.28, 0.34}, [2]float64{0, 0.05}},
		{"nothing is served", load{40, 0.6, 0, 0}, 5, [2]float64{0, 0}, [2]float64{0.4, 0.52}},
		{"all is served", load{40, 1, 1, 1}, 5, [2]float64{1, 1}, [2]float64{0, 0.001}},
		{"nothing is served of any kind", load{40, 0, 1, 0}, 5, [2]float64{0, 0}, [2]float64{0, 0}},
	} {
		served, granted := play(tc.load, tc.outlets, 60*time.Second)
		t.Logf("%s: served %.3f, granted %.3f", tc.name, served, granted)
		if served < tc.served[0] || served > tc.served[1] || granted < tc.granted[0] || granted > tc.granted[1] {
			t.Errorf("%s: served %.3f, granted %.3f, want from %v and %v", tc.name, served, granted, tc.served, tc.granted)
		}
	}
}

// TestGrantsInFlight guards against a grant for each request of a burst before the first one is answered.
func TestGrantsInFlight(t *testing.T) {
	now := time.Unix(1000, 0)
	var ki Kind
	for range 100 {
		ki.Record(now, true, false)
	}
	granted := 0
	for range 1000 {
		if ki.Grant(now, 0.5, true, 0.999) {
			granted++
		}
	}
	if granted < 15 || granted > 25 {
		t.Errorf("%d requests are granted at once, want 20: 0.4 of half of 100", granted)
	}
}

// TestMean checks the average over outlets' reports.
func TestMean(t *testing.T) {
	var me Mean
	if _, ok := me.Value(); ok {
		t.Error("a value without reports")
	}
	me.Add(0)
	if v, ok := me.Value(); !ok || v != 0 {
		t.Errorf("%v, %t after a report of 0", v, ok)
	}
	for range 1000 {
		me.Add(0.8)
	}
	if v, _ := me.Value(); v < 0.79 || v > 0.81 {
		t.Errorf("%v after reports of 0.8", v)
	}
}
