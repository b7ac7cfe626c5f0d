package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// limitedVM is the index of the VM whose server names a rate limit, limitedRate the limit in
	// requests per second.
	limitedVM   = 1
	limitedRate = 5
	// limitFactor and limitSpare bound the requests that the server gets: limitFactor times what the
	// limit allows, and limitSpare more. Each time that its daemon or the server starts, as many as
	// it has slots may reach it before the limit is known.
	limitFactor  = 1.5
	limitSpare   = 5
	limitedSlots = 20
)

// limitedRuns counts the requests that a server with a rate limit runs. The zero value is empty.
type limitedRuns struct {
	mu     sync.Mutex
	runs   int
	starts int
	// first is when the first request ran.
	first time.Time
}

// recordStart records that the server or its daemon starts.
func (lr *limitedRuns) recordStart() {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lr.starts++
}

func (lr *limitedRuns) recordRun(now time.Time) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lr.runs++
	if lr.first.IsZero() {
		lr.first = now
	}
}

// check checks the count against a limit in requests per second. It returns what failed, or "".
func (lr *limitedRuns) check(rate float64, now time.Time) string {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	span := now.Sub(lr.first).Seconds()
	allowed := limitFactor*rate*span + limitSpare + float64(lr.starts*limitedSlots)
	if float64(lr.runs) <= allowed {
		return ""
	}
	return fmt.Sprintf("%d requests in %.1f s at a limit of %v a second and %d starts, %.0f allowed", lr.runs, span, rate, lr.starts, allowed)
}
