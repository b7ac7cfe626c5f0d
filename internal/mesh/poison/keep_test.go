package poison

import (
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/ident"
)

// TestKept: what one daemon writes to the platform's store another one reads, and only
// requests that are refused are written.
func TestKept(t *testing.T) {
	began := time.Unix(1_000_000, 0)
	var list []Report
	for en := range CrashID(RefuseThreshold) {
		list = append(list, Report{Head: 1 << 63, Key: 1<<63 + 1, Crash: en, At: began, Answered: false})
	}
	list = append(list, Report{Head: 2, Key: 2, Crash: 1, At: began}, Report{Head: 1 << 63, Key: 1<<63 + 1, Crash: RefuseThreshold, At: began, Answered: true})
	vw, _ := (*View)(nil).Merge(list, began)
	text, err := Encode(vw.RefusedReports(), began)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(text, began)
	if err != nil {
		t.Fatal(err)
	}
	read, _ := (*View)(nil).Merge(got, began)
	if !read.Refuses(1<<63+1, began, 0) || read.CrashCount(2) != 0 || len(got) != RefuseThreshold+1 {
		t.Errorf("read back as %v", got)
	}
	ahead, err := Decode(text, began.Add(-time.Minute))
	if err != nil || !ahead[0].At.Equal(began.Add(-time.Minute)) {
		t.Errorf("an end in the future is taken for %v (error %v), want one of this moment", ahead[0].At, err)
	}
	later := append([]Report(nil), got...)
	for i := range later {
		later[i].At = later[i].At.Add(time.Millisecond)
	}
	if !SameReports(got, later) || SameReports(got, got[1:]) {
		t.Error("lists are the same by what they say, not by when")
	}
}

// FuzzDecode: whatever something else wrote to the key, a daemon reads it or says why
// not, and goes on.
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
			if vw.CrashCount(key) > maxEnds {
				t.Errorf("request %d has %d ends", key, vw.CrashCount(key))
			}
		}
	})
}
