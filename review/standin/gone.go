package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// leftLate is the time after a client's close from which a request that reaches a worker counts.
const leftLate = 500 * time.Millisecond

// allowedLate is what is taken for "a few requests".
const allowedLate = 10

// The load and the disruptions, within what the pages of the site name. The usual load is that of its
// busiest day: 0.86 of what the workers can run, 82 requests a second. Each cycle has a burst, and a part
// of the clients leaves within half of the objective of its route.
const (
	usualRate   = 23.5 // requests a second at each machine
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	giveUpShare = 0.3
	giveUpTime  = 5 * time.Second
	troubleFrom = time.Second
	cycleTime   = 8 * time.Second
	cycles      = 7
)

// leaveQueued: in bursts more requests come than the workers can run, so they wait for a slot, and a part
// of the clients leaves early.
func leaveQueued(trouble bool) int {
	ms, err := startSmall("agendamento", "330ms", map[string][]route{defaultHost: {
		{Name: "r-confirma", Prefix: "/confirma/", Kind: "non_idempotent", Timeout: "2500ms", Target: "1200ms", Priority: 1, Service: "agendamento", MaxAttempts: 2},
		{Name: "r-relatorio", Prefix: "/relatorio/", Kind: "idempotent", Timeout: "4000ms", Target: "2500ms", Priority: 2, Service: "agendamento", MaxAttempts: 2},
	}})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer ms.close()

	var mu sync.Mutex
	left := map[string]time.Time{}
	paths := map[string]string{}
	sent, served, refused, early := 0, 0, 0, 0
	var wg sync.WaitGroup
	start := time.Now()
	end := start.Add(cycles * cycleTime)
	for _, mc := range ms.machines {
		tr := newTransport()
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				phase := time.Since(start) % cycleTime
				rate := usualRate
				if trouble && phase >= troubleFrom && phase < troubleFrom+burstTime {
					rate *= burstFactor
				}
				time.Sleep(time.Duration(float64(time.Second) / rate))
				leaves := trouble && phase >= troubleFrom && phase < troubleFrom+giveUpTime && rand.Float64() < giveUpShare
				path, objective := "/confirma/visita", 1200*time.Millisecond
				if n%2 == 0 {
					path, objective = "/relatorio/semana", 2500*time.Millisecond
				}
				wg.Go(func() {
					var leave time.Duration
					if leaves {
						leave = 1 + rand.N(objective/2)
					}
					id, status, closed := ms.post(tr, mc, path, leave)
					mu.Lock()
					defer mu.Unlock()
					sent++
					switch {
					case !closed.IsZero():
						early++
						left[id] = closed
						paths[id] = path
					case status == http.StatusOK:
						served++
					default:
						refused++
					}
				})
			}
		})
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	ms.mu.Lock()
	ran, late, lateOrders := 0, 0, 0
	worst := time.Duration(0)
	for id, closed := range left {
		if at, ok := ms.runAt[id]; ok {
			ran++
			if d := at.Sub(closed); d > leftLate {
				late++
				if paths[id] == "/confirma/visita" {
					lateOrders++
				}
				worst = max(worst, d)
			}
		}
	}
	ms.mu.Unlock()
	text := fmt.Sprintf("%d sent, %d served, %d refused, %d left by their clients, of these %d ran, %d of them reached a worker over %s after the close (%d of these may not be repeated; the latest %s after)",
		sent, served, refused, early, ran, late, leftLate, lateOrders, worst.Round(time.Millisecond))
	ms.logf("%s", text)
	fmt.Println(text)
	if served == 0 {
		return 2
	}
	if late > allowedLate {
		fmt.Println("GONE broken")
		return 1
	}
	return 0
}

// post sends one request with a body. If leave is above 0, the client closes its channel after that time.
func (ms *mesh) post(tr *http.Transport, mc *machine, path string, leave time.Duration) (id string, status int, closed time.Time) {
	id = newID()
	limit := 5 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	method, body := http.MethodPost, "visit "+id+strings.Repeat(" ", 1200)
	if os.Getenv("BODY") == "0" {
		// A control: with requests that have no body the rule holds.
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+mc.outlet+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return id, 0, closed
	}
	req.ContentLength = int64(len(body))
	if os.Getenv("BODY") == "chunked" {
		req.ContentLength = -1
	}
	req.Host = ms.host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	sentAt := time.Now()
	if leave > 0 {
		stop := time.AfterFunc(leave, func() { closed = time.Now(); cancel() })
		defer stop.Stop()
	}
	res, err := tr.RoundTrip(req)
	if err != nil {
		if ctx.Err() != nil && !closed.IsZero() {
			ms.logf("client %s %s %s sent to %s at %.3f, the client closed its channel after %d ms", id, method, path, mc.name, sentAt.Sub(ms.began).Seconds(), closed.Sub(sentAt).Milliseconds())
			return id, 0, closed
		}
		ms.logf("client %s %s %s sent to %s at %.3f: %v", id, method, path, mc.name, sentAt.Sub(ms.began).Seconds(), err)
		return id, 0, time.Time{}
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	ms.logf("client %s %s %s sent to %s at %.3f: status %d after %d ms", id, method, path, mc.name, sentAt.Sub(ms.began).Seconds(), res.StatusCode, time.Since(sentAt).Milliseconds())
	return id, res.StatusCode, time.Time{}
}
