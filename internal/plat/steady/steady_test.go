package steady

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
		{"the same", now, 0},
		{"a second later", now.Add(time.Second), 1e9},
		{"a second before", now.Add(-time.Second), -1e9},
	} {
		if got := Nanos(tc.later) - Nanos(now); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
	if Nanos(time.Unix(1000, 0)) <= 0 || Millis(now) <= 0 {
		t.Error("a time is not after 0")
	}
}

// wallClockRead is how a time of day becomes a number.
var wallClockRead = regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(\)`)

// allowed are the places that may read the time of day, each with what a jump of it does.
var allowed = map[string]string{
	"internal/mesh/member/member.go": "when a server began to serve, for other VMs: a share that grows sooner or later",
	"internal/mesh/ctrl/node.go":     "the incarnation of a process, raised above what peers know of the VM",
	"internal/mesh/ctrl/holds.go":    "a stamp that orders the reports of one relay, for status alone",
	"internal/mesh/ctrl/rollout.go":  "when a rollout began, for daemons that start after all were killed: it ends sooner or later by as much, or is rolled back",
	"internal/mesh/poison/keep.go":   "when a server ended, for later processes: a request is tried again sooner or later by as much",
}

// TestNoTimeOfDay: the time of day of a VM jumped back by seconds. Servers that were
// left out for half a second stayed out for those seconds, reports of load seemed old,
// and links seemed silent when it jumped forward. What is compared with the clock later
// is kept on the steady clock, but for the places named here.
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
			t.Errorf("%s reads the time of day: use package steady, or say here what a jump does", name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for name := range allowed {
		if !seen[name] {
			t.Errorf("%s no longer reads the time of day", name)
		}
	}
}
