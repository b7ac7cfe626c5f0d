package outlet_test

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/pick"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// baseline is an outlet that picks in a simple way and sends again whatever
// failed.
type baseline struct {
	lr   *loadRig
	fw   *proxy.Forwarder
	pick func() int
}

func (ba *baseline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for try := range 4 {
		rec := ba.lr.recs[ba.pick()]
		out := proxy.Outgoing(r.Context(), r, rec.Inlet, result.TimeoutHeader)
		out.Header.Set(result.VMHeader, rec.VM)
		out.Header.Set(result.ProcessHeader, pick.Process(rec))
		out.Header.Set(result.ServiceHeader, "booking")
		out.Header.Set(result.ClassHeader, "default")
		out.Header.Set(result.TimeoutHeader, "1000")
		out.Body = proxy.Body(nil)
		at := ba.fw.Do(out)
		if at.Response == nil {
			continue
		}
		failed := result.FromResponse(at.Response) != nil || at.Response.StatusCode >= 500
		if failed && try < 3 {
			at.Response.Body.Close()
			continue
		}
		w.WriteHeader(at.Response.StatusCode)
		_, _ = io.Copy(w, at.Response.Body)
		at.Response.Body.Close()
		return
	}
	w.WriteHeader(http.StatusBadGateway)
}

// TestBaselines puts the outlet beside random picks and round robin, both with
// retries of everything, on the same faults.
func TestBaselines(t *testing.T) {
	var turn atomic.Int64
	picks := map[string]func() int{
		"random":      func() int { return rand.IntN(6) },
		"round robin": func() int { return int(turn.Add(1)) % 6 },
		"outlet":      nil,
	}
	for _, fault := range []struct {
		name  string
		spoil func(lr *loadRig)
	}{
		{"one of six crawls", func(lr *loadRig) { lr.back[0].work = uniform(20 * work) }},
		{"a third breaks", func(lr *loadRig) { lr.back[0].fail, lr.back[1].fail = abort, abort }},
	} {
		type figure struct {
			p99      time.Duration
			attempts float64
		}
		got := map[string]figure{}
		for name, fn := range picks {
			synctest.Test(t, func(t *testing.T) {
				lr := newLoadRig(t, 6, anyDomain)
				defer lr.close()
				fault.spoil(lr)
				if fn != nil {
					lr.front = &baseline{lr: lr, fw: lr.forwarder(), pick: fn}
				}
				ta := lr.load(400, 5*time.Second, always("/lookup"))
				got[name] = figure{p99: quantile(ta.latency, 0.99), attempts: float64(lr.attempts()) / float64(ta.total())}
				t.Logf("%s, %s: %d of %d answered, 99th %s, attempts per request %.3f", fault.name, name, ta.good, ta.total(), got[name].p99, got[name].attempts)
			})
		}
		for _, name := range []string{"random", "round robin"} {
			if got["outlet"].p99 > got[name].p99*6/5 || got["outlet"].attempts > got[name].attempts+0.01 {
				t.Errorf("%s: outlet %+v is worse than %s %+v", fault.name, got["outlet"], name, got[name])
			}
		}
	}
}
