package pick

import "github.com/flamingomast/flamingomast/internal/mesh/member"

// Process returns the text that names the process of a record's owner. An
// inlet compares it with its own: a request that was meant for a former
// process, or for another VM that had the same address, is refused as not run.
func Process(rc *member.Record) string { return rc.Process() }
