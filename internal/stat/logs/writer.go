package logs

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of a writer.
const (
	// maxPending is how many bytes wait for the reader of the log. One that stops
	// reading costs lines, and no request waits for it.
	maxPending = 256 << 10
	// flushInterval is how long lines wait to be written together: one system call
	// for all instead of one each.
	flushInterval = 50 * time.Millisecond
)

// Writer passes lines on in the background. Its methods may be called from any
// goroutine.
type Writer struct {
	out io.Writer
	// dropped counts the lines that found no room.
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	wake    chan struct{}
}

// NewWriter returns a writer to out; Run writes.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write takes a line; it never blocks and never fails.
func (wr *Writer) Write(p []byte) (int, error) {
	wr.mu.Lock()
	if len(wr.pending)+len(p) > maxPending {
		wr.mu.Unlock()
		wr.dropped.Add(1)
		return len(p), nil
	}
	first := len(wr.pending) == 0
	wr.pending = append(wr.pending, p...)
	wr.mu.Unlock()
	if first {
		select {
		case wr.wake <- struct{}{}:
		default:
		}
	}
	return len(p), nil
}

// Dropped returns how many lines found no room.
func (wr *Writer) Dropped() int64 { return wr.dropped.Load() }

// Run writes what comes until ctx ends, and then what is left.
func (wr *Writer) Run(ctx context.Context) {
	var spare []byte
	for {
		select {
		case <-wr.wake:
		case <-ctx.Done():
			wr.flush(&spare)
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-ctx.Done():
		}
		wr.flush(&spare)
	}
}

// flush writes all that waits. A line that cannot be written is lost: there is
// nowhere else to say so.
func (wr *Writer) flush(spare *[]byte) {
	wr.mu.Lock()
	batch := wr.pending
	wr.pending = (*spare)[:0]
	wr.mu.Unlock()
	if len(batch) > 0 {
		_, _ = wr.out.Write(batch)
	}
	*spare = batch[:0]
}
