package mono

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

func TestNanos(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name  string
		later time.Time
		want  int64
	}{
		{"same time", now, 0},
		{"one second later", now.Add(time.Second), 1e9},
		{"one second earlier", now.Add(-time.Second), -1e9},
	} {
		if got := Nanos(tc.later) - Nanos(now); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
	if Nanos(time.Unix(1000, 0)) <= 0 || Millis(now) <= 0 {
		t.Error("Nanos or Millis returned a value that is not above 0")
	}
}

// wallClockRead matches conversions of a wall-clock time to a number.
var wallClockRead = regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(\)`)

// allowed are the files that may read the wall clock, each with the effect of a clock jump.
var allowed = map[string]string{
	"internal/mesh/member/member.go": "when a server started serving, for other VMs: its share of requests grows sooner or later",
	"internal/mesh/ctrl/node.go":     "the incarnation of a process: raised above the one that peers know for the VM",
	"internal/mesh/ctrl/holds.go":    "a timestamp that orders the reports of one relay: used for status output only",
	"internal/mesh/ctrl/rollout.go":  "when a rollout started, for daemons that start after all were killed: it ends sooner or later by the size of the jump, or is rolled back",
	"internal/mesh/poison/encode.go": "when a server crashed, for later processes: a request is retried sooner or later by the size of the jump",
}

// TestNoTimeOfDay guards against times that are compared with the wall clock. When the wall
// clock of a VM jumped back by seconds, servers ejected for half a second stayed ejected for
// those seconds and load reports seemed outdated; when it jumped forward, links seemed to have
// timed out. Times that are compared later have to be kept on the monotonic clock, except in
// the files in allowed.
func TestNoTimeOfDay(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	seen := map[string]bool{}
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil || !wallClockRead.Match(text) {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		seen[filepath.ToSlash(name)] = true
		if allowed[filepath.ToSlash(name)] == "" {
			t.Errorf("%s reads the wall clock: use the monotonic clock of this package, or add the file to allowed with the effect of a jump", name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for name := range allowed {
		if !seen[name] {
			t.Errorf("%s no longer reads the wall clock: remove it from allowed", name)
		}
	}
}
