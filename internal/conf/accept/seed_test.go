package accept

import "flag"

// A fixed seed makes the property tests draw the same cases in each run.
func init() { _ = flag.Set("rapid.seed", "1") }
