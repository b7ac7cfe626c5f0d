package proxy

import "sync/atomic"

// Budget is a limited amount of a resource that concurrent users share.
type Budget struct {
	Limit int64
	used  atomic.Int64
}

// TryAcquire acquires n units and reports whether that many were available.
func (bu *Budget) TryAcquire(n int64) bool {
	if bu.used.Add(n) > bu.Limit {
		bu.used.Add(-n)
		return false
	}
	return true
}

// Release releases n acquired units.
func (bu *Budget) Release(n int64) { bu.used.Add(-n) }
