package outlet_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/memnet"
)

// The paths of more and of less urgent requests.
const (
	urgentPath = "/urgent"
	slackPath  = "/slack"
)

// newRankedRig returns a limitRig whose requests have two priorities, and its servers, each of which
// names the limit.
func newRankedRig(t *testing.T, outlets, servers int, limit string) (*limitRig, []*limitedServer) {
	lr := newLimitRig(t, outlets, servers)
	lr.rules = strings.Replace(lr.rules, "routes: [", "routes: [{name: u, match: {host: booking, path-prefix: "+urgentPath+"}, to: [{service: booking, weight: 1}], objective: 500ms, priority: 0}, "+
		"{name: s, match: {host: booking, path-prefix: "+slackPath+"}, to: [{service: booking, weight: 1}], objective: 500ms, priority: 2}, ", 1)
	lr.updateAll()
	var list []*limitedServer
	for _, be := range lr.backends {
		ls := &limitedServer{limit: limit}
		be.fail = ls.respond
		list = append(list, ls)
	}
	return lr, list
}

// TestAllServersLimited guards against requests waiting for turns that cannot come, against less
// urgent ones going first, and against the limits not being used, when all servers of a service
// name limits below the load.
func TestAllServersLimited(t *testing.T) {
	const servers, limit, seconds = 6, 10, 20
	for _, outlets := range outletCounts {
		t.Run(fmt.Sprint(outlets, " outlets"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lr, list := newRankedRig(t, outlets, servers, strconv.Itoa(limit))
				defer lr.close()
				lr.load(3*servers*limit, 3*time.Second, constantPath(slackPath))
				start := time.Now()
				var wg conc.WaitGroup
				var urgent *tally
				wg.Go(func() { urgent = lr.load(servers*limit/3, seconds*time.Second, constantPath(urgentPath)) })
				slack := lr.load(3*servers*limit, seconds*time.Second, constantPath(slackPath))
				wg.Wait()
				for i, ls := range list {
					if got := ls.worst(start, anyOutlet); float64(got) > allowed(limit) {
						t.Errorf("server %d: %d requests in %v, %.0f allowed", i, got, limitWindow, allowed(limit))
					}
				}
				used := float64(urgent.good+slack.good) / (servers * limit * seconds)
				share := float64(urgent.good) / float64(urgent.total())
				refusal := quantile(slack.refusalLatency, 0.99)
				t.Logf("%.2f of the limits used; %.3f of the urgent and %.3f of the other requests answered; refused within %v (99th)",
					used, share, float64(slack.good)/float64(slack.total()), refusal)
				if used < 0.85 {
					t.Errorf("%.2f of the limits used", used)
				}
				if share < 0.85 {
					t.Errorf("%.3f of the urgent requests answered, a third of what the servers take", share)
				}
				if refusal > 50*time.Millisecond {
					t.Errorf("refused after %v", refusal)
				}
			})
		})
	}
}

// TestRestOfLimitedServers guards against requests being refused that other servers could run, when
// some servers of different speeds limit their rate: at three quarters of what all can run, and
// beyond what is left.
func TestRestOfLimitedServers(t *testing.T) {
	// speeds are those of the servers; one with speed 1 runs a request in serviceTime.
	speeds := []float64{1.6, 0.5, 1.6, 0.7, 1, 0.7, 0.7, 0.5, 1}
	const serviceTime, rate, seconds, tolerance = 80 * time.Millisecond, 276, 10, 0.03
	for _, limits := range [][]float64{nil, {20.7, 4.5}, {20.7, 4.5, 15, 4}} {
		t.Run(fmt.Sprint(len(limits), " limited"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lr, list := newRankedRig(t, 12, len(speeds), "")
				defer lr.close()
				capacity := 0.0
				for i, be := range lr.backends {
					perRequest := time.Duration(float64(serviceTime) / speeds[i])
					be.work = uniform(perRequest)
					if i < len(limits) {
						list[i].set(fmt.Sprint(limits[i]), false)
						capacity += limits[i]
					} else {
						capacity += slots / perRequest.Seconds()
					}
				}
				path := func() string { return []string{urgentPath, slackPath, slackPath}[rand.IntN(3)] }
				lr.load(rate, 3*time.Second, path)
				ta := lr.load(rate, seconds*time.Second, path)
				refused, least := float64(ta.total()-ta.good)/float64(ta.total()), max(0, 1-capacity*seconds/float64(ta.total()))
				t.Logf("%.3f of %d refused, at least %.3f cannot be served; 99th of responses %v", refused, ta.total(), least, quantile(ta.latency, 0.99))
				if refused > least+tolerance {
					t.Errorf("%.3f refused, %.3f cannot be served", refused, least)
				}
			})
		})
	}
}

// TestRetryAfterOfLimitedServers guards against callers being asked to return at a time at which
// they are refused again, although all of them could be served then.
func TestRetryAfterOfLimitedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers, limit = 6, 10
		lr, _ := newRankedRig(t, 9, servers, strconv.Itoa(limit))
		defer lr.close()
		lr.load(servers*limit/2, 3*time.Second, constantPath(slackPath))
		var wg conc.WaitGroup
		returned, refusedAgain := 0, 0
		try := func() (wait time.Duration) {
			req := httptest.NewRequest(http.MethodGet, slackPath, nil)
			req.Host = "booking"
			rec := httptest.NewRecorder()
			lr.ServeHTTP(rec, req)
			if rec.Code == http.StatusOK {
				return 0
			}
			wait = result.ParseRetryAfter(rec.Header().Get("Retry-After"))
			if wait <= 0 {
				t.Errorf("Retry-After of a refusal is %q", rec.Header().Get("Retry-After"))
			}
			return wait
		}
		// Bursts of a second's worth, with 2 s between them.
		for range 5 {
			for range servers * limit {
				wg.Go(func() {
					wait := try()
					if wait == 0 {
						return
					}
					time.Sleep(wait)
					again := try()
					lr.mu.Lock()
					defer lr.mu.Unlock()
					returned++
					if again > 0 {
						refusedAgain++
					}
				})
			}
			time.Sleep(2 * time.Second)
		}
		wg.Wait()
		t.Logf("%d of %d that returned after Retry-After were refused again", refusedAgain, returned)
		if returned == 0 || refusedAgain > returned/3 {
			t.Errorf("%d of %d that returned were refused again", refusedAgain, returned)
		}
	})
}

// TestLimitsLiftedTogether guards against callers being refused for long after all servers have
// lifted their limits at the same time, and against a herd that fills single servers.
func TestLimitsLiftedTogether(t *testing.T) {
	for _, outlets := range outletCounts {
		for _, limit := range []string{"5", "0"} {
			t.Run(fmt.Sprint(outlets, " outlets/", limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					lr, list := newRankedRig(t, outlets, 6, limit)
					defer lr.close()
					lr.load(300, 8*time.Second, constantPath(slackPath))
					for _, ls := range list {
						ls.set("", false)
					}
					// A server without a limit is noticed by its next request, at zero after 5 s, and
					// outlets leave it alone for 5 s at most.
					lr.load(300, 10*time.Second, constantPath(slackPath))
					ta := lr.load(300, 5*time.Second, constantPath(slackPath))
					if refused := ta.total() - ta.good; refused > ta.total()/200 {
						t.Errorf("%d of %d refused 10 s after the limits were lifted", refused, ta.total())
					}
				})
			})
		}
	}
}

// TestServerLimitAcrossCuts guards against a limit being exceeded when outlets that were cut off from
// the server return together, and against the server getting nothing afterwards.
func TestServerLimitAcrossCuts(t *testing.T) {
	for _, outlets := range outletCounts {
		t.Run(fmt.Sprint(outlets, " outlets"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit, cuts, cutTime = 3.4, 4, 1500 * time.Millisecond
				lr := newLimitRig(t, outlets, limitedFleet)
				defer lr.close()
				ls := &limitedServer{limit: fmt.Sprint(limit)}
				lr.backends[0].fail = ls.respond
				inletAddr := lr.recs[0].Inlet
				var wg conc.WaitGroup
				wg.Go(func() {
					for range cuts {
						time.Sleep(cutTime)
						lr.nw.SetPartition(func(a, b *memnet.Host) bool { return a.Addr == inletAddr || b.Addr == inletAddr })
						time.Sleep(cutTime)
						lr.nw.SetPartition(nil)
					}
				})
				lr.load(limitedFleet*serverLoad, 2*cuts*cutTime, constantPath("/lookup"))
				wg.Wait()
				if got := ls.worst(ls.namedAt.Add(limitGrace), anyOutlet); float64(got) > allowed(limit) {
					t.Errorf("%d requests in %v, %.0f allowed", got, limitWindow, allowed(limit))
				}
				healed := time.Now()
				lr.load(limitedFleet*serverLoad, 10*time.Second, constantPath("/lookup"))
				if got := ls.since(healed); got < 10*limit/2 {
					t.Errorf("%d requests in 10 s after the cuts, at a limit of %v a second", got, limit)
				}
			})
		})
	}
}

// TestChangingServersKeepLimits guards against limits being forgotten while servers name them, lift
// them and change them at random, and daemons restart.
func TestChangingServersKeepLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lr, list := newRankedRig(t, 9, 6, "")
		defer lr.close()
		stop := time.Now().Add(30 * time.Second)
		lowest := 3.0
		var wg conc.WaitGroup
		wg.Go(func() {
			for time.Now().Before(stop) {
				time.Sleep(500*time.Millisecond + rand.N(time.Second))
				i := 1 + rand.IntN(len(list)-1)
				list[i].set([]string{"", "20", "3.4", "0.5", "bad"}[rand.IntN(5)], false)
				if rand.IntN(3) == 0 {
					lr.restartInlet(rand.IntN(len(list)))
				}
			}
		})
		list[0].set(fmt.Sprint(lowest), false)
		ta := lr.load(200, 30*time.Second, constantPath(urgentPath))
		wg.Wait()
		if got := list[0].worst(list[0].namedAt.Add(limitGrace), anyOutlet); float64(got) > allowed(lowest) {
			t.Errorf("%d requests in %v, %.0f allowed", got, limitWindow, allowed(lowest))
		}
		if ta.good < ta.total()/2 {
			t.Errorf("%d of %d answered", ta.good, ta.total())
		}
	})
}
