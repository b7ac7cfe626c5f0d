package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// The number of lines that are kept.
const (
	// rate and burst are for each event and level: with some twenty events a
	// daemon writes a few hundred lines a second at most, whatever the load.
	rate  = 10.0
	burst = 40.0
	// warnFactor is how many times as many lines of failures are kept.
	warnFactor = 4
	// reportInterval is how often the number of lines that were left out is told.
	reportInterval = 5 * time.Second
)

// LinesDropped is the event that tells how many lines of which event were left out.
const LinesDropped = "log-lines-left-out"

// Handler keeps a bounded number of lines of each event, failures before
// successes.
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

// NewHandler returns a handler before next.
func NewHandler(next slog.Handler) *Handler {
	return &Handler{next: next, li: &limiter{buckets: map[key]*bucket{}}}
}

// Enabled passes the question on.
func (ha *Handler) Enabled(ctx context.Context, lv slog.Level) bool { return ha.next.Enabled(ctx, lv) }

// WithAttrs returns a handler that shares the bounds.
func (ha *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: ha.next.WithAttrs(attrs), li: ha.li}
}

// WithGroup returns a handler that shares the bounds.
func (ha *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: ha.next.WithGroup(name), li: ha.li}
}

// Handle writes a line unless there were too many of its event.
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

// admit reports whether a line is kept, and from time to time how many were not.
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
