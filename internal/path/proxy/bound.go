package proxy

import "sync/atomic"

// Bound counts what is in use of something that has a most.
type Bound struct {
	Most int64
	used atomic.Int64
}

// Take takes n and reports whether there was as much.
func (bo *Bound) Take(n int64) bool {
	if bo.used.Add(n) > bo.Most {
		bo.used.Add(-n)
		return false
	}
	return true
}

// Give gives n back that was taken.
func (bo *Bound) Give(n int64) { bo.used.Add(-n) }
