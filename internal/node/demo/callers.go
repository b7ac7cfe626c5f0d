package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// The load of a demonstration.
const (
	workers   = 8
	thinkTime = 10 * time.Millisecond
)

// callers send a steady load of requests through the outlets of all VMs, GET and POST in
// turn. Each POST has its own ID and must run only once.
type callers struct {
	fl   *fleet
	http *http.Client

	requests, answered, notRun, failed atomic.Int64

	mu      sync.Mutex
	outlets []string
}

func newCallers(fl *fleet) *callers {
	cl := &callers{fl: fl, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}}
	cl.refresh()
	return cl
}

// refresh updates the list of outlets.
func (cl *callers) refresh() {
	var list []string
	cl.fl.eachVM(func(rv *runningVM) { list = append(list, rv.se.Outlet) })
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.outlets = list
}

func (cl *callers) outlet() string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.outlets[rand.IntN(len(cl.outlets))]
}

func (cl *callers) run(ctx context.Context) {
	var wg conc.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				cl.send(fmt.Sprintf("%d-%d", w, n), n%2 == 0)
				_ = sleep(ctx, thinkTime)
			}
		})
	}
	wg.Wait()
	cl.http.CloseIdleConnections()
}

// send sends one request and counts its outcome.
func (cl *callers) send(id string, get bool) {
	sv := cl.fl.ms.Services[rand.IntN(len(cl.fl.ms.Services))].Name
	method, body := http.MethodPost, io.Reader(strings.NewReader(id))
	if get {
		method, body = http.MethodGet, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+cl.outlet()+"/demo/"+id, body)
	if err != nil {
		panic(err)
	}
	req.Host = sv
	if !get {
		req.Header.Set(IDHeader, id)
	}
	if key := cl.fl.apiKey; key != "" {
		req.Header.Set("Authorization", result.AuthScheme+" "+key)
	}
	cl.requests.Add(1)
	res, err := cl.http.Do(req)
	if err != nil {
		cl.recordFailure(id, err.Error())
		return
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		cl.recordFailure(id, err.Error())
	case res.Header.Get(result.OutcomeHeader) == result.NotRun.String():
		cl.notRun.Add(1)
		cl.fl.op.Log.Warn("request-refused", slog.String("id", id), slog.String("reason", res.Header.Get(result.ReasonHeader)))
	case res.StatusCode != http.StatusOK || !strings.Contains(string(text), "/demo/"+id+" "):
		cl.recordFailure(id, res.Status+" "+string(text))
	default:
		cl.answered.Add(1)
	}
}

func (cl *callers) recordFailure(id, cause string) {
	cl.failed.Add(1)
	cl.fl.op.Log.Error("request-failed", slog.String("id", id), slog.String("cause", cause))
}
