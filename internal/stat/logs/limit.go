package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// The limits on the number of lines.
const (
	// rate, in lines per second, and burst apply to each event and level. With about twenty events,
	// a daemon writes at most a few hundred lines per second under any load.
	rate  = 10.0
	burst = 40.0
	// warnFactor multiplies both limits for warnings and errors.
	warnFactor = 4
	// reportInterval is the minimum time between reports of dropped lines.
	reportInterval = 5 * time.Second
)

// LinesDropped is the event that reports the number of dropped lines by event.
const LinesDropped = "log-lines-left-out"

// Handler limits the rate of lines of each event and level. Warnings and errors have a limit of
// their own, so that lines of successes cannot displace them.
type Handler struct {
	next slog.Handler
	li   *limiter
}

type limiter struct {
	mu         sync.Mutex
	buckets    map[key]*bucket
	nextReport time.Time
}

type key struct {
	event string
	level slog.Level
}

type bucket struct {
	tokens  float64
	updated time.Time
	dropped int
}

// NewHandler returns a handler that passes the lines within the limits to next.
func NewHandler(next slog.Handler) *Handler {
	return &Handler{next: next, li: &limiter{buckets: map[key]*bucket{}}}
}

// Enabled reports whether the next handler is enabled for a level.
func (ha *Handler) Enabled(ctx context.Context, lv slog.Level) bool { return ha.next.Enabled(ctx, lv) }

// WithAttrs returns a handler with additional attributes that shares the limits.
func (ha *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: ha.next.WithAttrs(attrs), li: ha.li}
}

// WithGroup returns a handler with a group that shares the limits.
func (ha *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: ha.next.WithGroup(name), li: ha.li}
}

// Handle passes a line on unless it exceeds the limits. It also reports dropped lines when a
// report is due.
func (ha *Handler) Handle(ctx context.Context, rec slog.Record) error {
	keep, dropped := ha.li.admit(key{rec.Message, rec.Level}, rec.Time)
	if dropped != nil {
		line := slog.NewRecord(rec.Time, slog.LevelWarn, LinesDropped, 0)
		for event, n := range dropped {
			line.AddAttrs(slog.Int(event, n))
		}
		if err := ha.next.Handle(ctx, line); err != nil {
			return err
		}
	}
	if !keep {
		return nil
	}
	return ha.next.Handle(ctx, rec)
}

// admit reports whether a line is within the limits. If a report is due, it also returns the
// number of dropped lines by event.
func (li *limiter) admit(ky key, now time.Time) (keep bool, dropped map[string]int) {
	li.mu.Lock()
	defer li.mu.Unlock()
	factor := 1.0
	if ky.level >= slog.LevelWarn {
		factor = warnFactor
	}
	bu := li.buckets[ky]
	if bu == nil {
		bu = &bucket{tokens: burst * factor, updated: now}
		li.buckets[ky] = bu
	}
	bu.tokens = min(burst*factor, bu.tokens+rate*factor*max(0, now.Sub(bu.updated).Seconds()))
	bu.updated = now
	if keep = bu.tokens >= 1; keep {
		bu.tokens--
	} else {
		bu.dropped++
	}
	if now.Before(li.nextReport) {
		return keep, nil
	}
	li.nextReport = now.Add(reportInterval)
	for k, b := range li.buckets {
		if b.dropped > 0 {
			if dropped == nil {
				dropped = map[string]int{}
			}
			dropped[k.event] += b.dropped
			b.dropped = 0
		}
	}
	return keep, dropped
}
