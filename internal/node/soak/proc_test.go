package soak

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// slowStartEnv makes this test program a process that starts slowly, like a daemon on a busy
// machine: only after slowStart it sets up its signal handling, prints "started", and then prints
// "reloaded" at each SIGHUP.
const (
	slowStartEnv = "SOAK_TEST_SLOW_START"
	slowStart    = 300 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(slowStartEnv) == "" {
		os.Exit(m.Run())
	}
	time.Sleep(slowStart)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	fmt.Println("started")
	for range hup {
		fmt.Println("reloaded")
	}
}

// TestReloadDuringStart guards against a daemon that is ended by the order to reload its settings,
// because it has just been started and has not set up its signal handling.
func TestReloadDuringStart(t *testing.T) {
	t.Setenv(slowStartEnv, "1")
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	fl := &fleet{la: &launcher{ctx: t.Context(), binary: binary, dir: dir}}
	defer fl.la.killAll()
	lines := make(chan string, 10)
	pr, err := fl.la.start("daemon", func(line string) { lines <- line })
	if err != nil {
		t.Fatal(err)
	}
	fl.vms = []*vm{{name: "vm-0", settingsFile: filepath.Join(dir, "settings"), daemon: pr}}
	if err := fl.runStep(t.Context(), Step{Kind: ReloadDaemon}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"started", "reloaded"} {
		select {
		case line := <-lines:
			if line != want {
				t.Fatalf("the process printed %q, want %q", line, want)
			}
		case <-pr.done:
			t.Fatalf("the process exited before it printed %q: %v", want, pr.cmd.ProcessState)
		}
	}
}
