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
	// reportEvery is how often the number of lines that were left out is told.
	reportEvery = 5 * time.Second
)

// LeftOut is the event that tells how many lines of which event were left out.
const LeftOut = "log-lines-left-out"

// Handler keeps a bounded number of lines of each event, failures before
// successes.
type Handler struct {
	next slog.Handler
	st   *state
}

type state struct {
	mu     sync.Mutex
	events map[key]*bucket
	next   time.Time
}

type key struct {
	event string
	level slog.Level
}

type bucket struct {
	left float64
	at   time.Time
	lost int
}

// NewHandler returns a handler before next.
func NewHandler(next slog.Handler) *Handler {
	return &Handler{next: next, st: &state{events: map[key]*bucket{}}}
}

// Enabled passes the question on.
func (ha *Handler) Enabled(ctx context.Context, lv slog.Level) bool { return ha.next.Enabled(ctx, lv) }

// WithAttrs returns a handler that shares the bounds.
func (ha *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: ha.next.WithAttrs(attrs), st: ha.st}
}

// WithGroup returns a handler that shares the bounds.
func (ha *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: ha.next.WithGroup(name), st: ha.st}
}

// Handle writes a line unless there were too many of its event.
func (ha *Handler) Handle(ctx context.Context, rec slog.Record) error {
	keep, lost := ha.st.take(key{rec.Message, rec.Level}, rec.Time)
	if lost != nil {
		line := slog.NewRecord(rec.Time, slog.LevelWarn, LeftOut, 0)
		for event, n := range lost {
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

// take reports whether a line is kept, and from time to time how many were not.
func (st *state) take(ky key, now time.Time) (keep bool, lost map[string]int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	factor := 1.0
	if ky.level >= slog.LevelWarn {
		factor = warnFactor
	}
	bu := st.events[ky]
	if bu == nil {
		bu = &bucket{left: burst * factor, at: now}
		st.events[ky] = bu
	}
	bu.left = min(burst*factor, bu.left+rate*factor*max(0, now.Sub(bu.at).Seconds()))
	bu.at = now
	if keep = bu.left >= 1; keep {
		bu.left--
	} else {
		bu.lost++
	}
	if now.Before(st.next) {
		return keep, nil
	}
	st.next = now.Add(reportEvery)
	for k, b := range st.events {
		if b.lost > 0 {
			if lost == nil {
				lost = map[string]int{}
			}
			lost[k.event] += b.lost
			b.lost = 0
		}
	}
	return keep, lost
}
