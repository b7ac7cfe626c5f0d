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

// proc is a process that the soak started.
type proc struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// launcher starts processes of one binary, with their output in files of a directory.
type launcher struct {
	ctx    context.Context
	binary string
	dir    string

	mu      sync.Mutex
	started int
	procs   []*proc
}

// start starts a process. Each line that it prints is given to lines, if that is set.
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
		// How it ended stands in its log; being killed is part of the plan.
		_ = pr.cmd.Wait()
	}()
	la.procs = append(la.procs, pr)
	return pr, nil
}

// signal sends a signal; a process that has ended takes none.
func (pr *proc) signal(sig syscall.Signal) { _ = pr.cmd.Process.Signal(sig) }

// terminate sends a signal and waits for the end of the process.
func (pr *proc) terminate(sig syscall.Signal) {
	pr.signal(sig)
	<-pr.done
}

// exited reports whether the process has ended.
func (pr *proc) exited() bool {
	select {
	case <-pr.done:
		return true
	default:
		return false
	}
}

// killAll kills all processes that are left.
func (la *launcher) killAll() {
	la.mu.Lock()
	defer la.mu.Unlock()
	for _, pr := range la.procs {
		pr.terminate(syscall.SIGKILL)
	}
}
