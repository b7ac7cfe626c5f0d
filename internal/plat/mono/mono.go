package mono

import "time"

// origin is the time at which the clock reads offset.
var origin = time.Now()

// offset is the reading of the clock at origin, in nanoseconds. It is so large that every time
// of this century and the last reads above 0, and the zero value is long ago.
const offset = 1 << 62

// Nanos returns t as nanoseconds of the monotonic clock. The numbers can only be compared with
// and subtracted from each other, within one process; 0 is long ago.
func Nanos(t time.Time) int64 { return offset + int64(t.Sub(origin)) }

// Millis returns t as milliseconds of the monotonic clock, like Nanos.
func Millis(t time.Time) int64 { return Nanos(t) / int64(time.Millisecond) }
