package pick

import (
	"math"
	"sync/atomic"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// utilization is the average ratio of running and waiting requests to slots over the servers of a
// service, as reported to this outlet by their inlets. The zero value is 0.
type utilization struct {
	bits atomic.Uint64 // of a float64
}

// utilizationWeight is the weight of the average: at an outlet of many servers, as many reports
// arrive within a few seconds.
const utilizationWeight = 32

// add records a report. Of two concurrent reports, one may be lost.
func (ut *utilization) add(ld result.Load) {
	if ld.Slots <= 0 {
		return
	}
	now := float64(ld.Running+ld.Waiting) / float64(ld.Slots)
	old := ut.mean()
	ut.bits.Store(math.Float64bits(old + (now-old)/utilizationWeight))
}

func (ut *utilization) mean() float64 { return math.Float64frombits(ut.bits.Load()) }
