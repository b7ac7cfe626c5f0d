package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// proc is a process that a launcher started.
type proc struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// launcher starts processes of one executable and logs their output to files in a directory.
type launcher struct {
	ctx    context.Context
	binary string
	dir    string

	mu      sync.Mutex
	started int
	procs   []*proc
}

// start starts a process and calls onLine, if set, for each line of its standard output.
func (la *launcher) start(name string, onLine func(string), args ...string) (*proc, error) {
	la.mu.Lock()
	defer la.mu.Unlock()
	la.started++
	log, err := os.Create(filepath.Join(la.dir, fmt.Sprintf("%03d-%s.log", la.started, name)))
	if err != nil {
		return nil, err
	}
	pr := &proc{cmd: exec.CommandContext(la.ctx, la.binary, args...), done: make(chan struct{})}
	pr.cmd.Stderr = log
	out, err := pr.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := pr.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(pr.done)
		defer log.Close()
		sc := bufio.NewScanner(io.TeeReader(out, log))
		for sc.Scan() {
			if onLine != nil {
				onLine(sc.Text())
			}
		}
		// The process's own log shows why it exited; an exit by a signal is part of the plan.
		_ = pr.cmd.Wait()
	}()
	la.procs = append(la.procs, pr)
	return pr, nil
}

// signal sends a signal. It has no effect on a process that has exited.
func (pr *proc) signal(sig syscall.Signal) { _ = pr.cmd.Process.Signal(sig) }

// terminate sends a signal and waits until the process has exited.
func (pr *proc) terminate(sig syscall.Signal) {
	pr.signal(sig)
	<-pr.done
}

// exited reports whether the process has exited.
func (pr *proc) exited() bool {
	select {
	case <-pr.done:
		return true
	default:
		return false
	}
}

// killAll kills all processes that still run.
func (la *launcher) killAll() {
	la.mu.Lock()
	defer la.mu.Unlock()
	for _, pr := range la.procs {
		pr.terminate(syscall.SIGKILL)
	}
}
