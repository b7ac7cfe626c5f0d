package outlet_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
)

// TestOneFaultyServer: one of six servers fails fast, which makes it look idle, is 20 times slower
// than the others, or sheds. Few requests may fail because of it. The healthy case checks its
// normal share.
func TestOneFaultyServer(t *testing.T) {
	for _, tc := range []struct {
		name        string
		injectFault func(lr *loadRig)
		// maxFailed bounds the share of failed requests; low and top bound the share of the
		// requests that the first server runs.
		maxFailed float64
		low, top  float64
	}{
		{"fails at once with 500", func(lr *loadRig) {
			lr.backends[0].fail = func(w http.ResponseWriter, _ *http.Request) bool {
				w.WriteHeader(http.StatusInternalServerError)
				return true
			}
		}, 0.02, 0, 0.02},
		{"crawls", func(lr *loadRig) { lr.backends[0].work = uniform(20 * workTime) }, 0.01, 0, 0.06},
		{"is healthy", func(*loadRig) {}, 0, 0.12, 0.22},
		{"sheds", func(lr *loadRig) {
			lr.backends[0].fail = func(w http.ResponseWriter, _ *http.Request) bool {
				w.Header().Set("Flamingomast-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
		}, 0.01, 0, 0.25},
	} {
		synctest.Test(t, func(t *testing.T) {
			lr := newLoadRig(t, 6, anyDomain)
			defer lr.close()
			tc.injectFault(lr)
			ta := lr.load(400, 10*time.Second, constantPath("/lookup"))
			failed := float64(ta.total()-ta.good) / float64(ta.total())
			share := float64(lr.backends[0].runs()) / float64(lr.attempts())
			t.Logf("%s: %.4f of the requests failed, share of the server %.3f, attempts per request %.3f", tc.name, failed, share, float64(lr.attempts())/float64(ta.total()))
			if failed > tc.maxFailed || share < tc.low || share > tc.top {
				t.Errorf("%s: %.4f failed, want at most %.4f; share %.3f, want %.3f to %.3f", tc.name, failed, tc.maxFailed, share, tc.low, tc.top)
			}
		})
	}
}

// TestSlowStart: a new server is given a growing share of the requests, and its full share after
// its slow-start time. The full share is measured over 20 s: which of several equal servers looks
// best changes every few seconds, so within 2 s the share of each varies between 0.04 and 0.3.
func TestSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lr := newLoadRig(t, 6, anyDomain)
		defer lr.close()
		lr.rules = strings.Replace(lr.rules, "deadline: 1s", "deadline: 1s, slow-start: 10s", 1)
		lr.recs[0].Since = time.Now()
		lr.update()
		var shares []float64
		for _, span := range []time.Duration{2, 2, 2, 2, 2, 20} {
			own, all := lr.backends[0].runs(), lr.attempts()
			lr.load(200, span*time.Second, constantPath("/lookup"))
			shares = append(shares, float64(lr.backends[0].runs()-own)/float64(lr.attempts()-all))
		}
		t.Logf("shares in five times 2 s and 20 s: %.3f", shares)
		if shares[0] > 0.08 || shares[5] < 0.12 {
			t.Errorf("shares %.3f; want a small first and a full last one", shares)
		}
	})
}

// TestDomainLost: all servers in the callers' own failure domain fail at once. All requests except
// those in flight there must be answered by the other servers.
func TestDomainLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lr := newLoadRig(t, 6, "")
		defer lr.close()
		ta := lr.load(100, 2*time.Second, constantPath("/lookup"))
		if own := lr.backends[0].runs() + lr.backends[3].runs(); own < ta.total()*95/100 {
			t.Errorf("%d of %d requests stayed in the callers' failure domain", own, ta.total())
		}
		inFlight := 0
		for i := range lr.recs {
			if lr.recs[i].Domain == "a" {
				inFlight += lr.gates[i].Load().Running
				lr.stops[2*i]()
				lr.stops[2*i+1]()
			}
		}
		ta = lr.load(100, 5*time.Second, constantPath("/lookup"))
		t.Logf("after the loss: %d of %d answered, %d refused; %d were in flight", ta.good, ta.total(), ta.notRun, inFlight)
		if ta.good < ta.total() {
			t.Errorf("%d of %d answered", ta.good, ta.total())
		}
	})
}

// TestDrainUnderLoad: a server drains under load, and the outlet learns of it two seconds later. No
// request may fail because of that, and none may start there after the drain began.
func TestDrainUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lr := newLoadRig(t, 6, anyDomain)
		defer lr.close()
		done := make(chan *tally)
		go func() { done <- lr.load(300, 8*time.Second, constantPath("/lookup")) }()
		time.Sleep(3 * time.Second)
		lr.gates[0].Drain()
		ran := lr.backends[0].runs()
		time.Sleep(2 * time.Second)
		rec := *lr.recs[0]
		rec.Sequence, rec.State = 2, member.StateDraining
		lr.recs[0] = &rec
		lr.update()
		ta := <-done
		if ta.good < ta.total() {
			t.Errorf("%d of %d answered", ta.good, ta.total())
		}
		if after := lr.backends[0].runs() - ran; after > slots {
			t.Errorf("%d requests ran after the drain began; only those already admitted may", after)
		}
	})
}

// TestAllFull: no server has capacity. A request tries two servers, or three if there are many, and
// no more: trying all would multiply the load by their number when it is highest.
func TestAllFull(t *testing.T) {
	for servers, want := range map[int]string{6: `{"2": 1}`, 24: `{"3": 1}`} {
		synctest.Test(t, func(t *testing.T) {
			lr := newLoadRig(t, servers, anyDomain)
			defer lr.close()
			for _, ga := range lr.gates {
				ga.Configure(0, nil)
			}
			ta := &tally{}
			lr.send("/lookup", ta)
			if got := lr.outlet.Stats.For("booking", "default").Attempts.String(); got != want || ta.notRun != 1 {
				t.Errorf("%d servers: attempts %s, want %s; %d refused as not run", servers, got, want, ta.notRun)
			}
		})
	}
}
