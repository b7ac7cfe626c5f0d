package usage

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process takes of its machine.
type Usage struct {
	// Resident is its resident set in bytes.
	Resident int64
	// Processor is the time that its threads have run.
	Processor time.Duration
}

// clockTick is the unit of processor time in /proc (USER_HZ, proc(5)).
const clockTick = time.Second / 100

// The places of user and system time in /proc/PID/stat, counted from the field
// behind the program's name.
const (
	utimeField = 11
	stimeField = 12
)

// Of returns the usage of the process pid, or of this one for 0.
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
	return Usage{Resident: resident, Processor: cpu}, nil
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
	return 0, fmt.Errorf("usage: %s has no VmRSS", file)
}

func cpuTime(file string) (time.Duration, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	// The program's name, in parentheses, may hold spaces.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) <= stimeField {
		return 0, fmt.Errorf("usage: %s has %d fields", file, len(fields))
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
