package proxy

import "sync/atomic"

// Budget counts what is in use of something that has a most.
type Budget struct {
	Limit int64
	used  atomic.Int64
}

// TryAcquire takes n and reports whether there was as much.
func (bu *Budget) TryAcquire(n int64) bool {
	if bu.used.Add(n) > bu.Limit {
		bu.used.Add(-n)
		return false
	}
	return true
}

// Release gives n back that was taken.
func (bu *Budget) Release(n int64) { bu.used.Add(-n) }
