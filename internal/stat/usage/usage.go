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
	// CPUTime is the time that its threads have run.
	CPUTime time.Duration
}

// tick is the unit of processor time in /proc (USER_HZ, proc(5)).
const tick = time.Second / 100

// The places of user and system time in /proc/PID/stat, counted from the field
// behind the program's name.
const (
	userField   = 11
	systemField = 12
)

// Of returns the usage of the process pid, or of this one for 0.
func Of(pid int) (Usage, error) {
	dir := "/proc/self"
	if pid != 0 {
		dir = "/proc/" + strconv.Itoa(pid)
	}
	resident, err := resident(dir + "/status")
	if err != nil {
		return Usage{}, err
	}
	processor, err := processor(dir + "/stat")
	if err != nil {
		return Usage{}, err
	}
	return Usage{Resident: resident, CPUTime: processor}, nil
}

func resident(file string) (int64, error) {
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

func processor(file string) (time.Duration, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	// The program's name, in parentheses, may hold spaces.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) <= systemField {
		return 0, fmt.Errorf("usage: %s has %d fields", file, len(fields))
	}
	sum := time.Duration(0)
	for _, i := range []int{userField, systemField} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("usage: %s: %w", file, err)
		}
		sum += time.Duration(n) * tick
	}
	return sum, nil
}
