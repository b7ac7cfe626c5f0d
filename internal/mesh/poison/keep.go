package poison

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/ident"
)

// maxKept is of how many refused requests the platform's store is told, the worst first.
const maxKept = 64

// kept is a report as the platform's store has it. Numbers of 64 bits are hexadecimal
// text, since readers of JSON round large ones.
type kept struct {
	Head string `json:"head"`
	Key  string `json:"request-key"`
	End  string `json:"end"`
	// AtMs is the Unix time in milliseconds of the end.
	AtMs     int64 `json:"at-ms"`
	Answered bool  `json:"answered,omitempty"`
}

// RefusedReports returns what the platform's store is told: all reports of requests that are not
// run, for daemons that cannot hear it from each other.
func (vw *View) RefusedReports() []Report {
	list := vw.Reports(maxKept)
	return slices.DeleteFunc(list, func(re Report) bool { return vw.CrashCount(re.Key) < RefuseThreshold })
}

// SameReports reports whether two lists say the same. When an end was is not compared: each daemon
// reckons it by its own clock.
func SameReports(a, b []Report) bool {
	plain := func(list []Report) []Report {
		list = slices.Clone(list)
		for i := range list {
			list[i].At = time.Time{}
		}
		slices.SortFunc(list, func(a, b Report) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Crash, b.Crash)) })
		return list
	}
	return slices.Equal(plain(a), plain(b))
}

// Encode returns the reports as the platform's store has them at a moment.
func Encode(list []Report, now time.Time) ([]byte, error) {
	rows := make([]kept, len(list))
	for i, re := range list {
		rows[i] = kept{Head: hex(re.Head), Key: re.Key.String(), End: hex(uint64(re.Crash)), AtMs: now.UnixMilli() - now.Sub(re.At).Milliseconds(), Answered: re.Answered}
	}
	return json.Marshal(rows)
}

// Decode reads what Encode returned, as of a moment; nothing stands for no reports. Other
// daemons tell the time of day, which is turned into an age once: what is compared later
// goes by the steady clock.
func Decode(value []byte, now time.Time) ([]Report, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var rows []kept
	if err := json.Unmarshal(value, &rows); err != nil {
		return nil, fmt.Errorf("poison: %w", err)
	}
	if len(rows) > maxKept*maxEnds {
		return nil, fmt.Errorf("poison: %d reports, at most %d are kept", len(rows), maxKept*maxEnds)
	}
	list := make([]Report, len(rows))
	for i, ro := range rows {
		var nums [3]uint64
		for j, text := range []string{ro.Head, ro.Key, ro.End} {
			n, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return nil, fmt.Errorf("poison: report %d: %w", i, err)
			}
			nums[j] = n
		}
		age := min(max(0, time.Duration(now.UnixMilli()-ro.AtMs)*time.Millisecond), keepFor)
		list[i] = Report{Head: nums[0], Key: ident.Key(nums[1]), Crash: CrashID(nums[2]), At: now.Add(-age), Answered: ro.Answered}
	}
	return list, nil
}

func hex(n uint64) string { return strconv.FormatUint(n, 16) }
