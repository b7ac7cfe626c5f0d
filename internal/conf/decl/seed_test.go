package decl

import "flag"

// The fixed seed makes the properties the same in each run.
func init() { _ = flag.Set("rapid.seed", "1") }
