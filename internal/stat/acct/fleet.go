package acct

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/stat/logs"
	"github.com/flamingomast/flamingomast/internal/stat/trail"
)

// Fleet is what the daemons took and sent, by the last usage line of each process.
type Fleet struct {
	// Processes have written a usage line; what came after the last one is missing.
	Processes int `json:"processes"`
	// Resident is the mean of a process in bytes at its last line, MaxResident the most
	// at any line.
	Resident    int64         `json:"resident-bytes"`
	MaxResident int64         `json:"resident-bytes-most"`
	CPUTime     time.Duration `json:"processor"`
	// ControlBytes and PathBytes are bytes sent between daemons: control, and requests with
	// their answers.
	ControlBytes int64 `json:"control-bytes"`
	PathBytes    int64 `json:"path-bytes"`
	// StoreCalls are those to the platform's store by purpose, Read the bytes that they
	// brought, Links the bytes that links sent by kind.
	StoreCalls     map[string]int64 `json:"calls"`
	StoreBytesRead map[string]int64 `json:"read-bytes"`
	LinkBytes      map[string]int64 `json:"link-bytes"`
}

// processes gathers usage lines: the last one of each process, whose counts begin at its
// start. The zero value has none.
type processes struct {
	// last has the last line of the process that each VM runs, ended those of former
	// ones.
	last  map[string]*trail.Line
	ended []*trail.Line
	most  int64
}

// add takes a usage line. Lines of one VM come in order.
func (ps *processes) add(ln *trail.Line) {
	if ps.last == nil {
		ps.last = map[string]*trail.Line{}
	}
	ps.most = max(ps.most, int64(ln.Number("resident")))
	if old := ps.last[ln.VM]; old != nil && ln.Number("processor-ms") < old.Number("processor-ms") {
		ps.ended = append(ps.ended, old)
	}
	ps.last[ln.VM] = ln
}

// sum returns what all processes took, nil where none told.
func (ps *processes) sum() *Fleet {
	all := ps.ended
	for _, ln := range ps.last {
		all = append(all, ln)
	}
	if len(all) == 0 {
		return nil
	}
	fl := &Fleet{Processes: len(all), MaxResident: ps.most, StoreCalls: map[string]int64{}, StoreBytesRead: map[string]int64{}, LinkBytes: map[string]int64{}}
	for _, ln := range all {
		fl.Resident += int64(ln.Number("resident"))
		fl.CPUTime += time.Duration(ln.Number("processor-ms")) * time.Millisecond
		fl.ControlBytes += int64(ln.Number("control-out"))
		fl.PathBytes += int64(ln.Number("path-out"))
		for name, to := range map[string]map[string]int64{logs.StoreCalls: fl.StoreCalls, logs.StoreBytesRead: fl.StoreBytesRead, logs.LinkBytes: fl.LinkBytes} {
			addCounts(to, ln.Fields[name])
		}
	}
	fl.Resident /= int64(len(all))
	return fl
}

// addCounts adds the counts of a group of a line.
func addCounts(to map[string]int64, group any) {
	fields, ok := group.(map[string]any)
	if !ok {
		// The daemon had none of them.
		return
	}
	for name, v := range fields {
		if n, ok := v.(float64); ok {
			to[name] += int64(n)
		}
	}
}
