package pick

import "github.com/flamingomast/flamingomast/internal/mesh/member"

// Process returns the name of the process that owns a record. An inlet compares it with its own
// name and refuses a request meant for the predecessor, or for another VM that had the same
// address, as not run.
func Process(rc *member.Record) string { return rc.Process() }
