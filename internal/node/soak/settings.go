package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"sync"
	"time"
)

const (
	// settingsTimeout bounds the time until a changed settings file is in force, on a busy machine
	// and across a restart of the daemon.
	settingsTimeout = 20 * time.Second
	// drainTimeout is the drain timeout of daemons. Each version of a settings file adds a
	// millisecond to it, which tells the versions apart in the log.
	drainTimeout = 6 * time.Second
)

// settingsTracker writes the settings of a daemon and records which version of them is in force.
// The zero value has written none.
type settingsTracker struct {
	mu               sync.Mutex
	written, inForce int
}

// write writes the next version of the settings to a file, with a random sample of the access log.
func (st *settingsTracker) write(file string) (version int, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.written++
	text := fmt.Sprintf("drain-timeout: %s\naccess-log-sample: %d\n", drainTimeout+time.Duration(st.written)*time.Millisecond, rand.IntN(2))
	return st.written, os.WriteFile(file, []byte(text), 0o600)
}

var drainTimeoutRegexp = regexp.MustCompile(`\bdrain-timeout=(\S+)`)

// recordLine records the version that a line of a daemon's log says to be in force.
func (st *settingsTracker) recordLine(line string) {
	var event struct{ Msg, Settings string }
	if json.Unmarshal([]byte(line), &event) != nil || event.Msg != "daemon-start" && event.Msg != "reload" {
		return
	}
	match := drainTimeoutRegexp.FindStringSubmatch(event.Settings)
	if match == nil {
		return
	}
	timeout, err := time.ParseDuration(match[1])
	if err != nil {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	// A file that is read while it is written may yield the default.
	if version := int((timeout - drainTimeout) / time.Millisecond); version <= st.written {
		st.inForce = max(st.inForce, version)
	}
}

// wait waits until a version or a later one is in force. It returns what failed, or "".
func (st *settingsTracker) wait(version int, limit time.Duration) string {
	for end := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		st.mu.Lock()
		inForce := st.inForce
		st.mu.Unlock()
		if inForce >= version {
			return ""
		}
		if time.Now().After(end) {
			return fmt.Sprintf("version %d of the settings is in force %s after version %d was written", inForce, limit, version)
		}
	}
}
