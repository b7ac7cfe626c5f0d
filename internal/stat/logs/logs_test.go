package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks each write until unblock is closed, as a pipe whose reader has stopped.
type blockedWriter struct{ unblock chan struct{} }

func (bw blockedWriter) Write(p []byte) (int, error) {
	<-bw.unblock
	return len(p), nil
}

// TestStoppedReader checks that writes do not block when the pipe behind standard output is full
// and nobody reads it, that dropped lines are counted and that the memory used is bounded.
func TestStoppedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bw := blockedWriter{unblock: make(chan struct{})}
		wr := NewWriter(bw)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			wr.Run(ctx)
		}()
		line := []byte(strings.Repeat("x", 199) + "\n")
		for range 10_000 {
			_, _ = wr.Write(line)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		for range 10_000 {
			_, _ = wr.Write(line)
		}
		if pending := len(wr.pending); pending > maxPending {
			t.Errorf("%d bytes are pending, limit %d", pending, maxPending)
		}
		if wr.Dropped() < 20_000-2*maxPending/200-1 {
			t.Errorf("%d of 20000 lines are counted as dropped", wr.Dropped())
		}
		close(bw.unblock)
		cancel()
		<-done
	})
}

// TestBound checks that the number of lines stays within the limits under load, that dropped lines
// are reported, and that warnings are kept among ten times as many lines of successes.
func TestBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := slog.New(NewHandler(slog.NewJSONHandler(&out, nil)))
		const seconds, perSecond = 10, 1000
		for i := range seconds * perSecond {
			log.Info("request", slog.Int("n", i))
			if i%10 == 0 {
				log.Warn("request", slog.Int("n", i))
			}
			time.Sleep(time.Second / perSecond)
		}
		kept := map[string]int{}
		dropped := 0.0
		dec := json.NewDecoder(&out)
		for {
			var line map[string]any
			if err := dec.Decode(&line); err == io.EOF {
				break
			} else if err != nil {
				t.Fatal(err)
			}
			if line["msg"] == LinesDropped {
				dropped += line["request"].(float64)
				continue
			}
			kept[line["level"].(string)]++
		}
		if n := kept["INFO"]; n > burst+rate*seconds+1 {
			t.Errorf("%d lines of successes, limit %g", n, burst+rate*seconds+1)
		}
		if n := kept["WARN"]; n < 500 {
			t.Errorf("%d of 1000 lines of failures are kept", n)
		}
		if dropped < 4000 {
			t.Errorf("%g lines are reported as dropped", dropped)
		}
	})
}

// BenchmarkLine measures the cost of a line that is written and of one that is dropped.
func BenchmarkLine(b *testing.B) {
	wr := NewWriter(io.Discard)
	go wr.Run(b.Context())
	json := slog.NewJSONHandler(wr, nil)
	line := func(log *slog.Logger) {
		log.LogAttrs(context.Background(), slog.LevelInfo, "request", slog.String("id", "9c41d07be2a35f68"),
			slog.String("route", "r-hh2b9wu"), slog.Uint64("version", 12), slog.String("outcome", "answered"), slog.Duration("took", time.Second))
	}
	for name, log := range map[string]*slog.Logger{
		"kept": slog.New(json), "left-out": slog.New(NewHandler(json)), "none": slog.New(slog.DiscardHandler),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				line(log)
			}
		})
	}
}
