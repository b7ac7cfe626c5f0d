package proxy

import "sync/atomic"

// Budget is a limited amount of a resource that concurrent users share.
type Bound struct {
	Most int64
	used atomic.Int64
}

// TryAcquire acquires n units and reports whether that many were available.
func (bo *Bound) Take(n int64) bool {
	if bo.used.Add(n) > bo.Most {
		bo.used.Add(-n)
		return false
	}
	return true
}

// Release releases n acquired units.
func (bo *Bound) Give(n int64) { bo.used.Add(-n) }
