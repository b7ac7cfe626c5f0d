package acct

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/stat/diag"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// Fleet is the resource usage of all daemons, from the last usage line of each process.
type Fleet struct {
	// Processes is the number of processes that logged a usage line. Usage after the last line of
	// a process is not included.
	Processes int `json:"processes"`
	// Resident is the mean resident set of the processes in bytes at their last lines, MaxResident
	// the largest in any line.
	Resident    int64         `json:"resident-bytes"`
	MaxResident int64         `json:"resident-bytes-most"`
	CPUTime     time.Duration `json:"processor"`
	// ControlBytes and PathBytes are the bytes that daemons sent to each other: control messages,
	// and requests with their responses.
	ControlBytes int64 `json:"control-bytes"`
	PathBytes    int64 `json:"path-bytes"`
	// StoreCalls counts calls to the platform's store and StoreBytesRead the bytes that they
	// returned, both by purpose. LinkBytes counts the bytes sent on links by kind,
	// SlotTime the milliseconds for which slots were held, by route and by whether it was answered.
	StoreCalls     map[string]int64 `json:"calls"`
	StoreBytesRead map[string]int64 `json:"read-bytes"`
	LinkBytes      map[string]int64 `json:"link-bytes"`
	SlotTime       map[string]int64 `json:"slot-ms"`
}

// processes keeps the last usage line of each process. The counts in a line start from zero with
// the process. The zero value is ready for use.
type processes struct {
	// last holds the last line of each VM's current process, replaced those of its
	// predecessors.
	last        map[string]*diag.Line
	replaced    []*diag.Line
	maxResident int64
}

// add records a usage line. The lines of a VM must be added in order of time. A CPU time below
// that of the line before means that a new process has started.
func (ps *processes) add(ln *diag.Line) {
	if ps.last == nil {
		ps.last = map[string]*diag.Line{}
	}
	ps.maxResident = max(ps.maxResident, int64(ln.Number("resident")))
	if old := ps.last[ln.VM]; old != nil && ln.Number("processor-ms") < old.Number("processor-ms") {
		ps.replaced = append(ps.replaced, old)
	}
	ps.last[ln.VM] = ln
}

// sum returns the usage of all processes, or nil if there are no usage lines.
func (ps *processes) sum() *Fleet {
	all := ps.replaced
	for _, ln := range ps.last {
		all = append(all, ln)
	}
	if len(all) == 0 {
		return nil
	}
	fl := &Fleet{Processes: len(all), MaxResident: ps.maxResident, StoreCalls: map[string]int64{}, StoreBytesRead: map[string]int64{}, LinkBytes: map[string]int64{}, SlotTime: map[string]int64{}}
	for _, ln := range all {
		fl.Resident += int64(ln.Number("resident"))
		fl.CPUTime += time.Duration(ln.Number("processor-ms")) * time.Millisecond
		fl.ControlBytes += int64(ln.Number("control-out"))
		fl.PathBytes += int64(ln.Number("path-out"))
		for name, to := range map[string]map[string]int64{logs.StoreCalls: fl.StoreCalls, logs.StoreBytesRead: fl.StoreBytesRead, logs.LinkBytes: fl.LinkBytes, logs.SlotTime: fl.SlotTime} {
			addCounts(to, ln.Fields[name])
		}
	}
	fl.Resident /= int64(len(all))
	return fl
}

// addCounts adds the counts in a group field of a usage line.
func addCounts(to map[string]int64, group any) {
	fields, ok := group.(map[string]any)
	if !ok {
		// The group is missing if the daemon has nothing to count in it.
		return
	}
	for name, v := range fields {
		if n, ok := v.(float64); ok {
			to[name] += int64(n)
		}
	}
}
