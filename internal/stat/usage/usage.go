package usage

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process.
type Usage struct {
	// Resident is the size of the resident set in bytes.
	Resident int64
	// CPUTime is the user and system time of all threads.
	CPUTime time.Duration
}

// clockTick is the unit of CPU time in /proc (1/USER_HZ, see proc(5)).
const clockTick = time.Second / 100

// The positions of user and system time in /proc/PID/stat, counted from the field after the
// program name.
const (
	utimeField = 11
	stimeField = 12
)

// Of returns the usage of the process pid, or of the calling process if pid is 0.
func Of(pid int) (Usage, error) {
	dir := "/proc/self"
	if pid != 0 {
		dir = "/proc/" + strconv.Itoa(pid)
	}
	resident, err := residentBytes(dir + "/status")
	if err != nil {
		return Usage{}, err
	}
	cpu, err := cpuTime(dir + "/stat")
	if err != nil {
		return Usage{}, err
	}
	return Usage{Resident: resident, CPUTime: cpu}, nil
}

func residentBytes(file string) (int64, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		rest, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
		return kb << 10, err
	}
	return 0, fmt.Errorf("usage: no VmRSS in %s", file)
}

func cpuTime(file string) (time.Duration, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	// The program name is in parentheses and may contain spaces.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) <= stimeField {
		return 0, fmt.Errorf("usage: %s has only %d fields after the program name", file, len(fields))
	}
	sum := time.Duration(0)
	for _, i := range []int{utimeField, stimeField} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("usage: %s: %w", file, err)
		}
		sum += time.Duration(n) * clockTick
	}
	return sum, nil
}
