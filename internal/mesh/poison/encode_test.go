package poison

import (
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/ident"
)

// TestEncodeDecode checks that a daemon reads back what another one wrote to the platform's
// store, and that only refused requests are written.
func TestEncodeDecode(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var list []Report
	for id := range CrashID(RefuseThreshold) {
		list = append(list, Report{Head: 1 << 63, Key: 1<<63 + 1, Crash: id, At: start, Answered: false})
	}
	list = append(list, Report{Head: 2, Key: 2, Crash: 1, At: start}, Report{Head: 1 << 63, Key: 1<<63 + 1, Crash: RefuseThreshold, At: start, Answered: true})
	vw, _ := (*View)(nil).Merge(list, start)
	text, err := Encode(vw.RefusedReports(), start)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(text, start)
	if err != nil {
		t.Fatal(err)
	}
	read, _ := (*View)(nil).Merge(got, start)
	if !read.Refuses(1<<63+1, start, 0) || read.CrashCount(2) != 0 || len(got) != RefuseThreshold+1 {
		t.Errorf("decoded reports %v, want those of the refused request only", got)
	}
	ahead, err := Decode(text, start.Add(-time.Minute))
	if err != nil || !ahead[0].At.Equal(start.Add(-time.Minute)) {
		t.Errorf("crash with a time in the future decoded as %v (error %v), want the present time", ahead[0].At, err)
	}
	later := append([]Report(nil), got...)
	for i := range later {
		later[i].At = later[i].At.Add(time.Millisecond)
	}
	if !SameReports(got, later) || SameReports(got, got[1:]) {
		t.Error("lists must be compared by their reports, ignoring the times")
	}
}

// FuzzDecode checks that any value that another program wrote to the key is either decoded or
// rejected with an error.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{"", "[]", `[{"head":"1","request-key":"2","end":"3","at-ms":4}]`, `[{"head":"x"}]`, `{}`, `[{"at-ms":1e99}]`, "null"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Decode(text, time.Now())
		if err != nil {
			return
		}
		vw, _ := (*View)(nil).Merge(list, time.Now())
		for key := range ident.Key(4) {
			if vw.CrashCount(key) > maxCrashes {
				t.Errorf("request %d has %d crashes, more than maxCrashes", key, vw.CrashCount(key))
			}
		}
	})
}
