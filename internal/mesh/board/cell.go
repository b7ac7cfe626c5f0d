package board

import (
	"sync"
	"sync/atomic"
)

// Cell holds one fact. Reading takes no lock: a writer replaces the value as a
// whole, and a reader keeps the one that it has seen. The zero Cell is empty
// and ready for use.
type Cell[T any] struct {
	value   atomic.Pointer[T]
	mu      sync.Mutex
	changed chan struct{}
}

// Get returns the value, nil when none was set. It must not be changed.
func (cl *Cell[T]) Get() *T { return cl.value.Load() }

// Watch returns the value and a channel that is closed once it is replaced.
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

// Update replaces the value by what fn makes of it. Updates exclude one
// another. It does nothing when fn returns the value that it was given.
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
