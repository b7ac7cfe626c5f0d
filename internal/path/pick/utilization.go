package pick

import (
	"math"
	"sync/atomic"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// utilization is the mean part of their slots that the servers of a service use, as far
// as their inlets have told this outlet. The zero value knows nothing.
type utilization struct {
	bits atomic.Uint64 // of a float64
}

// utilizationWeight is how many reports make the mean: those of some seconds at an
// outlet of many servers.
const utilizationWeight = 32

// add takes a report. Of two at the same moment one may be lost.
func (ut *utilization) add(ld result.Load) {
	if ld.Slots <= 0 {
		return
	}
	now := float64(ld.Running+ld.Waiting) / float64(ld.Slots)
	old := ut.mean()
	ut.bits.Store(math.Float64bits(old + (now-old)/utilizationWeight))
}

func (ut *utilization) mean() float64 { return math.Float64frombits(ut.bits.Load()) }
