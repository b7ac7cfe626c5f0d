//go:build measure

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// TestMeasureServerLimits measures how many requests are refused, and where, while some of the
// servers of a loaded service name a rate limit:
//
//	LOADS=0.7,0.85,1 LIMITED=2,4,6 DEADLINE=1s SHORTER=100 go test -tags measure -timeout 20m -run TestMeasureServerLimits -v ./cmd/flamingomast
func TestMeasureServerLimits(t *testing.T) {
	list := func(name, value string) []string {
		if text := os.Getenv(name); text != "" {
			value = text
		}
		return strings.Split(value, ",")
	}
	for _, load := range list("LOADS", "0.7,0.85,1") {
		for _, limited := range list("LIMITED", "2,4,6") {
			t.Run(load+"/"+limited, func(t *testing.T) {
				lo, err := strconv.ParseFloat(load, 64)
				if err != nil {
					t.Fatal(err)
				}
				n, err := strconv.Atoi(limited)
				if err != nil {
					t.Fatal(err)
				}
				deadline, err := time.ParseDuration(list("DEADLINE", "10s")[0])
				if err != nil {
					t.Fatal(err)
				}
				measureLimits(t, lo, n, deadline)
			})
		}
	}
}

// limitedOrder is the order in which servers name limits.
var limitedOrder = []int{2, 0, 1, 4, 5, 3}

func measureLimits(t *testing.T, load float64, limited int, deadline time.Duration) {
	si := newSite(t)
	// The rate at which the servers of ordering are fully used, as calls also hold slots.
	capacity, perSecond := 0.0, 0.0
	for i := range orderings {
		capacity += siteSlots * siteSpeeds[i%3]
	}
	for _, cl := range siteClasses[:2] {
		perSecond += cl.rate * cl.work.Seconds()
	}
	perSecond += siteClasses[0].rate * lookupCalls * (callWork.Seconds() + 0.004)
	factor := load * capacity / perSecond
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	si.setPhase("warm up")
	wg.Go(func() { si.load(ctx, factor, deadline) })
	wait := func(d time.Duration) { time.Sleep(d) }
	wait(siteWarmUp)
	var names []*siteServer
	for _, i := range limitedOrder[:limited] {
		names = append(names, si.servers[i])
	}
	rates := map[*siteServer]float64{}
	phase := func(name string, d time.Duration) {
		si.setPhase(name)
		before, began := map[*siteServer]int64{}, time.Now()
		for _, ss := range si.servers {
			before[ss] = ss.ran.Load()
		}
		busy, samples := 0, 0
		for time.Since(began) < d {
			wait(50 * time.Millisecond)
			busy += si.freeUnlimited()
			samples++
		}
		span := time.Since(began)
		si.mu.Lock()
		si.counts[name].span = span
		si.mu.Unlock()
		var parts []string
		for _, ss := range si.servers[:orderings] {
			rates[ss] = float64(ss.ran.Load()-before[ss]) / span.Seconds()
			mark := ""
			if limit := ss.limit.Load(); limit != nil {
				mark = " of " + *limit
			}
			parts = append(parts, fmt.Sprintf("%.1f%s", rates[ss], mark))
		}
		t.Logf("%-22s arrivals/s by server: %s; mean free slots of unlimited servers %.1f", name, strings.Join(parts, ", "), float64(busy)/float64(samples))
	}
	limit := func() {
		for _, ss := range names {
			text := fmt.Sprintf("%.1f", rates[ss]/3)
			ss.limit.Store(&text)
		}
	}
	lift := func() {
		for _, ss := range names {
			ss.limit.Store(nil)
		}
	}
	phase("1 no limit", 3*time.Second)
	limit()
	phase("2 limited", 6*time.Second)
	lift()
	phase("3 lifted", 3*time.Second)
	phase("4 lifted, later", 3*time.Second)
	limit()
	phase("5 limited again", 3*time.Second)
	v := si.vms[8]
	si.down.Store(v)
	v.daemon.kill()
	wait(300 * time.Millisecond)
	si.launch(v)
	si.down.Store(nil)
	phase("6 daemon restarted", 4*time.Second)
	si.writeRules(2)
	si.apply("1")
	phase("7 new version", 4*time.Second)
	si.setPhase("end")
	cancel()
	wg.Wait()
	for _, name := range si.phases {
		pc := si.counts[name]
		if pc.total == 0 || pc.span == 0 {
			continue
		}
		slices.Sort(pc.retryAfter)
		median := 0.0
		if n := len(pc.retryAfter); n > 0 {
			median = pc.retryAfter[n/2]
		}
		t.Logf("%-22s %5d requests, good %.3f (late %.3f), refused for good %.4f, other %.4f; returned %d; refusals %d, with >= 3 free unlimited slots %d (mean free %.1f); Retry-After median %.3f; %v; by VM %v",
			name, pc.total, float64(pc.good)/float64(pc.total), float64(pc.late)/float64(pc.total), float64(pc.refused)/float64(pc.total), float64(pc.other)/float64(pc.total),
			pc.second, len(pc.retryAfter), pc.wasted, float64(pc.free)/float64(max(1, len(pc.retryAfter))), median, sorted(pc.by), sorted(pc.byVM))
	}
	t.Logf("%d calls failed", si.callsFailed.Load())
	si.saveLogs()
}

// sorted formats a map in the order of its keys.
func sorted(m map[string]int) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(m)) {
		fmt.Fprintf(&b, " %s: %d,", k, m[k])
	}
	return b.String()
}

// saveLogs prints the counts of daemons' log lines by event and reason, and keeps the lines in the
// directory LOGS, if that is set.
func (si *site) saveLogs() {
	counts := map[string]int{}
	for _, v := range si.vms {
		v.daemon.kill()
		text := v.daemon.log.Bytes()
		if dir := os.Getenv("LOGS"); dir != "" {
			name := strings.ReplaceAll(si.t.Name(), "/", "_") + "_" + v.name + ".log"
			if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
				si.t.Error(err)
			}
		}
		for line := range bytes.Lines(text) {
			var ln struct {
				Msg, Reason string
			}
			if json.Unmarshal(line, &ln) == nil {
				counts[ln.Msg+" "+ln.Reason]++
			}
		}
	}
	si.t.Logf("log lines:%s", sorted(counts))
}
