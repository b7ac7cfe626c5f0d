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

// maxStored is the highest number of refused requests that are written to the platform's
// store, those with the most crashes first.
const maxStored = 64

// storedReport is the JSON form of a report in the platform's store. 64-bit numbers are
// hexadecimal strings, since JSON readers may round large numbers.
type storedReport struct {
	Head  string `json:"head"`
	Key   string `json:"request-key"`
	Crash string `json:"end"`
	// AtMs is the Unix time in milliseconds of the crash.
	AtMs     int64 `json:"at-ms"`
	Answered bool  `json:"answered,omitempty"`
}

// RefusedReports returns the reports to write to the platform's store: all reports of refused
// requests. Daemons that cannot reach each other learn of these requests from the store.
func (vw *View) RefusedReports() []Report {
	list := vw.Reports(maxStored)
	return slices.DeleteFunc(list, func(re Report) bool { return vw.CrashCount(re.Key) < RefuseThreshold })
}

// SameReports reports whether two lists contain the same reports in any order. The times are
// not compared, since each daemon computes them by its own clock.
func SameReports(a, b []Report) bool {
	normalize := func(list []Report) []Report {
		list = slices.Clone(list)
		for i := range list {
			list[i].At = time.Time{}
		}
		slices.SortFunc(list, func(a, b Report) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Crash, b.Crash)) })
		return list
	}
	return slices.Equal(normalize(a), normalize(b))
}

// Encode returns the reports in the JSON form of the platform's store. now is the current time
// by the clock that the times of the reports refer to.
func Encode(list []Report, now time.Time) ([]byte, error) {
	rows := make([]storedReport, len(list))
	for i, re := range list {
		rows[i] = storedReport{Head: hex(re.Head), Key: re.Key.String(), Crash: hex(uint64(re.Crash)), AtMs: now.UnixMilli() - now.Sub(re.At).Milliseconds(), Answered: re.Answered}
	}
	return json.Marshal(rows)
}

// Decode parses the JSON form of Encode; an empty value means no reports. The stored times are
// wall-clock times of other daemons. Each is converted to an age once, so that later comparisons
// use the monotonic clock of now.
func Decode(value []byte, now time.Time) ([]Report, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var rows []storedReport
	if err := json.Unmarshal(value, &rows); err != nil {
		return nil, fmt.Errorf("poison: decoding reports: %w", err)
	}
	if len(rows) > maxStored*maxCrashes {
		return nil, fmt.Errorf("poison: %d reports exceed the limit of %d", len(rows), maxStored*maxCrashes)
	}
	list := make([]Report, len(rows))
	for i, row := range rows {
		var nums [3]uint64
		for j, text := range []string{row.Head, row.Key, row.Crash} {
			n, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return nil, fmt.Errorf("poison: report %d: %w", i, err)
			}
			nums[j] = n
		}
		age := min(max(0, time.Duration(now.UnixMilli()-row.AtMs)*time.Millisecond), retention)
		list[i] = Report{Head: nums[0], Key: ident.Key(nums[1]), Crash: CrashID(nums[2]), At: now.Add(-age), Answered: row.Answered}
	}
	return list, nil
}

func hex(n uint64) string { return strconv.FormatUint(n, 16) }
