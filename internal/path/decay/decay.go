package decay

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/mono"
)

// Pair is two decaying sums that change together. The zero value is ready for use. Its methods are
// safe for concurrent use; all calls must pass the same half-life.
type Pair struct {
	packed atomic.Uint64 // the sums: 20 bits each, in 1/16; time in units of 8 ms: 24 bits
}

const (
	fixedOne = 16
	maxSum   = 1<<20 - 1
	tickMs   = 8 // milliseconds per tick
	tickMask = 1<<24 - 1
)

// Read returns the sums at now.
func (pa *Pair) Read(now time.Time, halfLife time.Duration) (first, second float64) {
	first, second, _ = pa.read(now, halfLife)
	return first, second
}

func (pa *Pair) read(now time.Time, halfLife time.Duration) (first, second float64, tick uint64) {
	tick = uint64(mono.Millis(now)/tickMs) & tickMask
	pk := pa.packed.Load()
	age := (tick - pk&tickMask) & tickMask
	if age > tickMask/2 {
		// A concurrent request has already written a later time.
		age = 0
	}
	decay := math.Exp2(-float64(age) * tickMs / float64(halfLife.Milliseconds()))
	return float64(pk>>44) / fixedOne * decay, float64(pk>>24&maxSum) / fixedOne * decay, tick
}

// Add adds to the sums at now. A sum cannot exceed 65535.
func (pa *Pair) Add(now time.Time, halfLife time.Duration, first, second float64) {
	for {
		old := pa.packed.Load()
		fi, se, tick := pa.read(now, halfLife)
		next := toFixed(fi+first)<<44 | toFixed(se+second)<<24 | tick
		if pa.packed.CompareAndSwap(old, next) {
			return
		}
	}
}

// toFixed rounds at random: if it always rounded down, frequent additions of little would reduce a sum, and
// to the nearest, they would keep it from decaying.
func toFixed(v float64) uint64 { return min(uint64(v*fixedOne+rand.Float64()), maxSum) }
