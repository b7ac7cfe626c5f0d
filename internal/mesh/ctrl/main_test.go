package ctrl

import (
	"flag"
	"io"
	"log"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests and discards the HTTP library's log lines about
// connections that tests break.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
