package outlet

import "sync/atomic"

// The bounds of an outlet's memory, so that callers who are many, slow or
// hostile cannot take what the whole daemon may have.
const (
	// maxRequests is how many requests are under way at once, far above what a
	// VM's callers need: 45,000 calls a second over 790 daemons, each taking
	// 0.1 s, are 6 at each.
	maxRequests = 512
	// maxBodies is how many bytes of bodies are kept for another attempt, in
	// all. Beyond it bodies are streamed, and then sent only once.
	maxBodies = 4 << 20
)

// bound counts what is in use of something that has a most.
type bound struct {
	used atomic.Int64
	most int64
}

// take takes n and tells whether there was as much.
func (bd *bound) take(n int64) bool {
	if bd.used.Add(n) > bd.most {
		bd.used.Add(-n)
		return false
	}
	return true
}

// give gives n back that was taken.
func (bd *bound) give(n int64) { bd.used.Add(-n) }
