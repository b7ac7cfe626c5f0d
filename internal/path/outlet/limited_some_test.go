package outlet_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// refusals counts the refusals that callers saw by reason, and the longest Retry-After.
type refusals struct {
	mu       sync.Mutex
	byReason map[string]int
	longest  time.Duration
}

// front returns a handler that calls h and counts its refusals.
func (rf *refusals) front(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		reason := w.Header().Get(result.ReasonHeader)
		if reason == "" {
			return
		}
		rf.mu.Lock()
		defer rf.mu.Unlock()
		rf.byReason[reason]++
		rf.longest = max(rf.longest, result.ParseRetryAfter(w.Header().Get("Retry-After")))
	})
}

// TestMostServersLimited guards against requests using up their attempts at servers that are over
// their limit, while another server has free slots.
func TestMostServersLimited(t *testing.T) {
	const servers, rate = 9, 60
	for _, outlets := range outletCounts {
		for _, limited := range []int{6, 8} {
			t.Run(fmt.Sprint(outlets, " outlets/", limited, " limited"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					lr, list := newRankedRig(t, outlets, servers, "")
					defer lr.close()
					rf := &refusals{byReason: map[string]int{}}
					lr.front = rf.front(lr)
					for _, ls := range list[:limited] {
						ls.set("1", false)
					}
					before := lr.inletRequests()
					ta := lr.load(rate, 10*time.Second, constantPath(slackPath))
					t.Logf("%d of %d refused: %v; %.2f messages a request", ta.total()-ta.good, ta.total(), rf.byReason, float64(lr.inletRequests()-before)/float64(ta.total()))
					if n := rf.byReason[string(result.ReasonServerLimit)]; n > 0 {
						t.Errorf("%d of %d refused for limits, although a server has none", n, ta.total())
					}
					if refused := ta.total() - ta.good; refused > ta.total()/200 {
						t.Errorf("%d of %d refused, although a server has free slots: %v", refused, ta.total(), rf.byReason)
					}
				})
			})
		}
	}
}

// TestFullBesideLimitedServers guards against callers being told to return when a server with a
// limit may take them, seconds later, although slots of the other servers become free at once.
func TestFullBesideLimitedServers(t *testing.T) {
	const servers, limited = 6, 3
	capacity := float64((servers-limited)*slots) / workTime.Seconds()
	for _, outlets := range outletCounts {
		t.Run(fmt.Sprint(outlets, " outlets"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lr, list := newRankedRig(t, outlets, servers, "")
				defer lr.close()
				rf := &refusals{byReason: map[string]int{}}
				for _, ls := range list[:limited] {
					ls.set("2", false)
				}
				lr.load(capacity/2, 3*time.Second, constantPath(slackPath))
				lr.front = rf.front(lr)
				ta := lr.load(1.3*capacity, 10*time.Second, constantPath(slackPath))
				t.Logf("%d of %d refused: %v; longest Retry-After %v", ta.total()-ta.good, ta.total(), rf.byReason, rf.longest)
				if n := rf.byReason[string(result.ReasonServerLimit)]; n > 0 {
					t.Errorf("%d requests refused for a limit, although other servers have none", n)
				}
				if rf.longest > time.Second {
					t.Errorf("callers told to return after %v", rf.longest)
				}
			})
		})
	}
}

// TestLimitLiftedUnderLoad guards against requests being refused for long after most servers have
// lifted their limits, because outlets leave these servers alone while the others are full.
func TestLimitLiftedUnderLoad(t *testing.T) {
	const servers, limited, seconds = 9, 6, 4
	rate := 0.6 * servers * slots / workTime.Seconds()
	for _, outlets := range outletCounts {
		t.Run(fmt.Sprint(outlets, " outlets"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lr, list := newRankedRig(t, outlets, servers, "")
				defer lr.close()
				for _, ls := range list[:limited] {
					ls.set("5", false)
				}
				before := lr.inletRequests()
				limitedTally := lr.load(rate, 6*time.Second, constantPath(slackPath))
				t.Logf("limited: %d of %d refused, %.2f messages a request", limitedTally.total()-limitedTally.good, limitedTally.total(),
					float64(lr.inletRequests()-before)/float64(limitedTally.total()))
				for _, ls := range list {
					ls.set("", false)
				}
				later, refusedLater := 0, 0
				for i := range seconds {
					ta := lr.load(rate, time.Second, constantPath(slackPath))
					t.Logf("second %d after the limits were lifted: %d of %d refused", i, ta.total()-ta.good, ta.total())
					// The rates are raised step by step over 1.5 s.
					if i >= 2 {
						later, refusedLater = later+ta.total(), refusedLater+ta.total()-ta.good
					}
				}
				if refusedLater > later/100 {
					t.Errorf("%d of %d refused 2 s after the limits were lifted", refusedLater, later)
				}
			})
		})
	}
}

// TestCallersThatCannotReturn guards against callers that are told to return too late for them being
// taken for ones that never return, whose requests go ahead of all others.
func TestCallersThatCannotReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers, limit, deadline = 6, 10, time.Second
		lr, _ := newRankedRig(t, 3, servers, fmt.Sprint(limit))
		defer lr.close()
		var mu sync.Mutex
		final, all := 0, 0
		for _, in := range lr.inlets {
			next := in.Handler
			in.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				all++
				if strings.HasSuffix(r.Header.Get(result.UrgencyHeader), result.FinalSuffix) {
					final++
				}
				mu.Unlock()
				next.ServeHTTP(w, r)
			})
		}
		var wg conc.WaitGroup
		n := 0
		for end := time.Now().Add(15 * time.Second); time.Now().Before(end); {
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / (3 * servers * limit)))
			n++
			path, ou := fmt.Sprint(slackPath, "/", n), lr.outlets[n%len(lr.outlets)]
			wg.Go(func() {
				// An outlet recognizes only callers that return to it.
				start := time.Now()
				for range 2 {
					req := httptest.NewRequest(http.MethodGet, path, nil)
					req.Host = "booking"
					remaining := deadline - time.Since(start)
					req.Header.Set(result.TimeoutHeader, fmt.Sprint(remaining.Milliseconds()))
					rec := httptest.NewRecorder()
					ou.ServeHTTP(rec, req)
					wait := result.ParseRetryAfter(rec.Header().Get("Retry-After"))
					if rec.Code == http.StatusOK || wait > (deadline-time.Since(start))/3 {
						return
					}
					time.Sleep(wait)
				}
			})
		}
		wg.Wait()
		t.Logf("%d of %d messages for callers that are taken not to return", final, all)
		if final > 0 {
			t.Errorf("%d of %d messages for callers that are taken not to return", final, all)
		}
	})
}
