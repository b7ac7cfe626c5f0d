package steady

import "time"

// origin is where the clock is counted from.
var origin = time.Now()

// offset is what the clock shows at the epoch, in nanoseconds: far enough from 0 for 0
// to be long ago, also beside times of day in this century and the last.
const offset = 1 << 62

// Nanos returns a time in nanoseconds of the steady clock. Only differences and the
// order of such numbers in one process mean anything, and 0 is long ago.
func Nanos(t time.Time) int64 { return offset + int64(t.Sub(origin)) }

// Millis returns a time in milliseconds of the steady clock.
func Millis(t time.Time) int64 { return Nanos(t) / int64(time.Millisecond) }
