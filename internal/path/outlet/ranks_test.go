package outlet_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/outlet"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
)

// rankRules declares routes of several priorities, a tenant without a priority and one with.
const rankRules = rules + `
- {name: urgent, match: {host: booking, path-prefix: /urgent}, to: [{service: booking, weight: 1}], priority: 0, objective: 300ms, deadline: 2s}
- {name: usual, match: {host: booking, path-prefix: /usual}, to: [{service: booking, weight: 1}], priority: 1, objective: 300ms, deadline: 2s}
- {name: slack, match: {host: booking, path-prefix: /slack}, to: [{service: booking, weight: 1}], priority: 2, objective: 20s, deadline: 30s}
- {name: batch, match: {host: booking, path-prefix: /batch}, to: [{service: booking, weight: 1}], priority: 7, objective: 20s, deadline: 30s}
tenants:
- {name: acme, keys: [` + acmeKey + `], rate: 1000000, burst: 1000}
- {name: other, keys: [` + otherKey + `], rate: 1000000, burst: 1000, priority: 2}
`

var fractional = result.HeaderNames{FractionalRetryAfter: true}

// newRankRig returns a rig of rankRules whose outlet follows a directive that refuses everything of
// the two tenants, and the log of the outlet.
func newRankRig(t *testing.T, retryAfter time.Duration, names result.HeaderNames) (*tenantRig, *admit.Gate, *lockedBuffer) {
	t.Helper()
	none := admit.Share{ByRank: &admit.RankShares{}, RetryAfter: retryAfter, RetrySpread: time.Millisecond}
	di := &admit.Directive{Outlets: 1, Shares: map[string]admit.Share{"acme": none, "other": none}}
	gate := admit.New(func() *admit.Directive {
		now := *di
		now.ReceivedAt = time.Now()
		return &now
	})
	out := &lockedBuffer{}
	tr := newTenantRig(t, outlet.Options{Quota: gate, Names: names, Log: slog.New(slog.NewJSONHandler(out, nil))})
	tr.sn = compile(t, rankRules)
	tr.update()
	return tr, gate, out
}

// lockedBuffer is a buffer that may be written to and read concurrently.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (lb *lockedBuffer) Write(p []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.Buffer.Write(p)
}

func (lb *lockedBuffer) String() string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.Buffer.String()
}

// TestTenantRank guards against a tenant's own priority being ignored, and against routes with a
// priority beyond the last rank.
func TestTenantRank(t *testing.T) {
	for _, tc := range []struct {
		key, path string
		want      admit.RankCounts
	}{
		{acmeKey, "/urgent", admit.RankCounts{1}},
		{acmeKey, "/usual", admit.RankCounts{0, 1}},
		{acmeKey, "/slack", admit.RankCounts{0, 0, 1}},
		{acmeKey, "/batch", admit.RankCounts{0, 0, 0, 1}},
		{otherKey, "/urgent", admit.RankCounts{0, 0, 1}},
		{otherKey, "/batch", admit.RankCounts{0, 0, 1}},
	} {
		tr, gate, out := newRankRig(t, time.Second, fractional)
		if rp := tr.do(tr.request("GET", tc.path, "", "Authorization", "Token "+tc.key)); rp.reason != string(result.ReasonOverLimit) {
			t.Errorf("%s: %+v", tc.path, rp)
		}
		us := gate.Usage()
		if len(us) != 1 || us[0].Ranks != tc.want {
			t.Errorf("%s: %+v, want %v", tc.path, us, tc.want)
		}
		want := `"rank":` + string("0123"[rankOf(tc.want)]) + `,"rank-admit":0`
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s: logged %s, want %s", tc.path, out.String(), want)
		}
	}
}

// rankOf returns the rank of the only request that is counted.
func rankOf(counts admit.RankCounts) (rank int) {
	for counts[rank] == 0 {
		rank++
	}
	return rank
}

// TestLateRetry guards against a retry that can no longer be answered within its objective taking the
// place of a request that can, and against retries that can being taken for late ones.
func TestLateRetry(t *testing.T) {
	for _, tc := range []struct {
		name  string
		pause time.Duration
		want  admit.RankCounts
	}{
		{"late", 400 * time.Millisecond, admit.RankCounts{1, 0, 0, 1}},
		{"in time", 20 * time.Millisecond, admit.RankCounts{2, 0, 0, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tr, gate, _ := newRankRig(t, 10*time.Millisecond, fractional)
			deadline := time.Now().Add(1900 * time.Millisecond)
			send := func() {
				left := time.Until(deadline).Milliseconds()
				tr.do(tr.request("GET", "/urgent", "", "Authorization", "Token "+acmeKey, result.TimeoutHeader, fmt.Sprint(left)))
			}
			send()
			time.Sleep(tc.pause)
			send()
			if us := gate.Usage(); len(us) != 1 || us[0].Ranks != tc.want {
				t.Errorf("%+v, want %v", us, tc.want)
			}
		})
	}
}

// TestRetryAfterInTime guards against a Retry-After at which the caller can no longer be answered
// within its objective, or within the time it waits.
func TestRetryAfterInTime(t *testing.T) {
	for _, tc := range []struct {
		name, path, timeout string
		names               result.HeaderNames
		after               time.Duration
		want                bool
	}{
		{"in time", "/urgent", "", fractional, 50 * time.Millisecond, true},
		{"in time, but not in whole seconds", "/urgent", "", result.HeaderNames{}, 50 * time.Millisecond, false},
		{"after the objective", "/urgent", "", fractional, 350 * time.Millisecond, false},
		{"within a long objective", "/slack", "", fractional, 5 * time.Second, true},
		{"after the caller has left", "/slack", "1000", fractional, 5 * time.Second, false},
		{"no objective", "/long", "", result.HeaderNames{}, 5 * time.Second, true},
	} {
		tr, _, _ := newRankRig(t, tc.after, tc.names)
		r := tr.request("GET", tc.path, "", "Authorization", "Token "+acmeKey)
		if tc.timeout != "" {
			r.Header.Set(result.TimeoutHeader, tc.timeout)
		}
		if rp := tr.do(r); rp.status != 429 || (rp.retryAfter != "") != tc.want {
			t.Errorf("%s: status %d, Retry-After %q", tc.name, rp.status, rp.retryAfter)
		}
	}
}
