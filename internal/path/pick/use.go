package pick

import (
	"math"
	"sync/atomic"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// use is the mean part of their slots that the servers of a service use, as far
// as their inlets have told this outlet. The zero value knows nothing.
type use struct {
	bits atomic.Uint64 // of a float64
}

// useWeight is how many reports make the mean: those of some seconds at an
// outlet of many servers.
const useWeight = 32

// add takes a report. Of two at the same moment one may be lost.
func (us *use) add(ld result.Load) {
	if ld.Slots <= 0 {
		return
	}
	now := float64(ld.Running+ld.Waiting) / float64(ld.Slots)
	old := us.share()
	us.bits.Store(math.Float64bits(old + (now-old)/useWeight))
}

func (us *use) share() float64 { return math.Float64frombits(us.bits.Load()) }
