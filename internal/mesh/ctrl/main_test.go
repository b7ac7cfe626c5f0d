package ctrl

import (
	"flag"
	"io"
	"log"
	"os"
	"testing"
)

// TestMain fixes the seed of the properties and drops what the HTTP library
// logs of connections that tests break.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
