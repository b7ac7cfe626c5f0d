package board

import (
	"sync"
	"sync/atomic"
)

// Cell holds a shared value that can be watched. Reading takes no lock: writers replace the
// value as a whole, and a reader keeps the value that it has loaded. The zero Cell is empty and
// ready for use.
type Cell[T any] struct {
	value   atomic.Pointer[T]
	mu      sync.Mutex
	changed chan struct{}
}

// Get returns the value, or nil if none was set. The caller must not modify it.
func (cl *Cell[T]) Get() *T { return cl.value.Load() }

// Watch returns the value and a channel that is closed when the value is replaced.
func (cl *Cell[T]) Watch() (*T, <-chan struct{}) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.changed == nil {
		cl.changed = make(chan struct{})
	}
	return cl.value.Load(), cl.changed
}

// Set replaces the value.
func (cl *Cell[T]) Set(v *T) {
	cl.Update(func(*T) *T { return v })
}

// Update replaces the value by the result of fn. Updates are serialized. Update does nothing if
// fn returns the value that it was given.
func (cl *Cell[T]) Update(fn func(*T) *T) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	old := cl.value.Load()
	next := fn(old)
	if next == old {
		return
	}
	cl.value.Store(next)
	if cl.changed != nil {
		close(cl.changed)
		cl.changed = nil
	}
}
