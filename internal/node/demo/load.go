package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/stat/hist"
)

// LoadOptions describes requests to several addresses. The addresses get them in
// turn, so that all are measured under the same conditions.
type LoadOptions struct {
	Targets []LoadTarget
	// Host and Path are those of each request.
	Host, Path string
	// Requests is the number of requests to each target, Workers the number of
	// concurrent requests, MaxPause the longest pause between two requests of a worker.
	Requests, Workers int
	MaxPause          time.Duration
}

// LoadTarget is a named address.
type LoadTarget struct {
	Name, Addr string
}

// LoadResult has the latencies of a target's requests in milliseconds. AddedP50
// and AddedP99 are the differences from the first target.
type LoadResult struct {
	Event    string  `json:"event"`
	Name     string  `json:"name"`
	Requests int64   `json:"requests"`
	Failed   int64   `json:"failed"`
	P50      float64 `json:"p50-ms"`
	P99      float64 `json:"p99-ms"`
	AddedP50 float64 `json:"added-p50-ms"`
	AddedP99 float64 `json:"added-p99-ms"`
}

// warmUpDivisor sets the share of the requests that warm up and are not measured: the first
// 1/warmUpDivisor of them.
const warmUpDivisor = 10

// Load sends the requests and returns a result for each target.
func Load(ctx context.Context, op LoadOptions) ([]LoadResult, error) {
	if len(op.Targets) == 0 || op.Requests <= 0 || op.Workers <= 0 {
		return nil, fmt.Errorf("load: %d targets, %d requests, %d workers; each must be above 0", len(op.Targets), op.Requests, op.Workers)
	}
	ld := &loader{op: op, times: make([]hist.Durations, len(op.Targets)), failed: make([]atomic.Int64, len(op.Targets))}
	ld.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: op.Workers}}
	defer ld.http.CloseIdleConnections()
	var wg conc.WaitGroup
	for range op.Workers {
		wg.Go(func() { ld.work(ctx) })
	}
	wg.Wait()
	return ld.results(), ctx.Err()
}

type loader struct {
	op     LoadOptions
	http   *http.Client
	next   atomic.Int64
	times  []hist.Durations
	failed []atomic.Int64
}

func (ld *loader) work(ctx context.Context) {
	targets := int64(len(ld.op.Targets))
	for ctx.Err() == nil {
		n := ld.next.Add(1) - 1
		if n >= targets*int64(ld.op.Requests) {
			return
		}
		i := int(n % targets)
		took, err := ld.call(ctx, ld.op.Targets[i].Addr)
		switch {
		case err != nil:
			ld.failed[i].Add(1)
		case n >= targets*int64(ld.op.Requests)/warmUpDivisor:
			ld.times[i].Record(took)
		}
		if ld.op.MaxPause > 0 {
			_ = sleep(ctx, rand.N(ld.op.MaxPause))
		}
	}
}

func (ld *loader) call(ctx context.Context, addr string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+ld.op.Path, nil)
	if err != nil {
		return 0, err
	}
	req.Host = ld.op.Host
	began := time.Now()
	res, err := ld.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0, err
	}
	if res.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %s", res.Status)
	}
	return time.Since(began), nil
}

func (ld *loader) results() []LoadResult {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	var list []LoadResult
	for i, tg := range ld.op.Targets {
		lr := LoadResult{
			Event: "load", Name: tg.Name, Requests: int64(ld.op.Requests), Failed: ld.failed[i].Load(),
			P50: ms(ld.times[i].Quantile(50)), P99: ms(ld.times[i].Quantile(99)),
		}
		lr.AddedP50, lr.AddedP99 = lr.P50-ms(ld.times[0].Quantile(50)), lr.P99-ms(ld.times[0].Quantile(99))
		list = append(list, lr)
	}
	return list
}
