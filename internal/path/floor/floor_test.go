package floor

import (
	"testing"
	"time"
)

// TestCheck guards against a kind below its floor going unnoticed, and against a report for each request.
func TestCheck(t *testing.T) {
	type phase struct {
		// offered and served are requests of the kind, others and othersServed those of other kinds,
		// within ten seconds.
		offered, served, others, othersServed int
		changed, below                        bool
	}
	for _, tc := range []struct {
		name   string
		phases []phase
	}{
		{"all served", []phase{{100, 100, 100, 100, false, false}}},
		{"less than others", []phase{{100, 40, 100, 100, false, false}}},
		{"starved and back", []phase{{100, 5, 100, 100, true, true}, {100, 5, 100, 100, false, true}, {400, 400, 100, 100, true, false}}},
		{"all starved alike", []phase{{100, 5, 100, 5, false, false}}},
		{"too few to judge", []phase{{10, 0, 100, 100, false, false}}},
	} {
		now := time.Unix(1000, 0)
		var all Share
		var ki Kind
		for i, ph := range tc.phases {
			n := max(ph.offered, ph.others)
			for j := range n {
				now = now.Add(10 * time.Second / time.Duration(n))
				for k, fl := range []struct{ offered, served int }{{ph.offered, ph.served}, {ph.others, ph.othersServed}} {
					if j*fl.offered/n == (j+1)*fl.offered/n {
						continue
					}
					at := j * fl.offered / n
					served := at*fl.served/fl.offered != (at+1)*fl.served/fl.offered
					all.Record(now, true, served)
					if k == 0 {
						ki.Record(now, true, served)
					}
				}
			}
			if changed := ki.Check(now, &all); changed != ph.changed || ki.Below() != ph.below {
				t.Errorf("%s, phase %d: changed %t, below %t, want %t, %t", tc.name, i, changed, ki.Below(), ph.changed, ph.below)
			}
		}
	}
}

// TestRetries guards against the retries of a caller counting as requests of their own.
func TestRetries(t *testing.T) {
	now := time.Unix(1000, 0)
	var sh Share
	sh.Record(now, true, false)
	sh.Record(now, false, false)
	sh.Record(now, false, true)
	if offered, served := sh.Recent(now); offered != 1 || served != 1 {
		t.Errorf("%v offered, %v served, want one each", offered, served)
	}
}
