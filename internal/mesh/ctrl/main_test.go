package ctrl

import (
	"io"
	"log"
	"os"
	"testing"
)

// TestMain drops what the HTTP library logs of connections that tests break.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
