package logs

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// The limits of a writer.
const (
	// maxPending is the maximum number of bytes that wait to be written. If the reader of the log
	// stops reading, further lines are dropped, and no request waits.
	maxPending = 256 << 10
	// flushInterval is the time for which lines are collected, to write them with one system call
	// instead of one per line.
	flushInterval = 50 * time.Millisecond
)

// Writer writes lines in the background. Its methods are safe for concurrent use.
type Writer struct {
	out io.Writer
	// dropped counts the lines that exceeded maxPending.
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	wake    chan struct{}
}

// NewWriter returns a writer to out. Nothing is written until Run is called.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write queues a line, or drops it if too many bytes are pending. It never blocks and never fails.
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

// Dropped returns the number of dropped lines.
func (wr *Writer) Dropped() int64 { return wr.dropped.Load() }

// Run writes queued lines until ctx is done, and then the remaining ones.
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

// flush writes all pending lines. Write errors are ignored, since there is nowhere else to report
// them.
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
