package result

import (
	"net/http/httptest"
	"testing"
	"time"
)

// TestRoundTrip: what an inlet refuses with is what an outlet reads.
func TestRoundTrip(t *testing.T) {
	for _, tc := range []struct {
		rf     Refusal
		status int
		after  time.Duration
	}{
		{Refusal{Outcome: NotRun, Reason: ReasonSlotsFull, RetryAfter: 1200 * time.Millisecond}, 503, 2 * time.Second},
		{Refusal{Outcome: NotRun, Reason: ReasonWrongTarget}, 421, 0},
		{Refusal{Outcome: NotRun, Reason: ReasonDeadlinePassed}, 503, 0},
		{Refusal{Outcome: NotRun, Reason: ReasonDeadlineTooNear, RetryAfter: time.Millisecond}, 503, time.Second},
		{Refusal{Outcome: MayHaveRun, Reason: ReasonDeadlinePassed, RetryAfter: time.Second}, 504, time.Second},
		{Refusal{Outcome: MayHaveRun, Reason: ReasonConnectionBroken}, 502, 0},
		{Refusal{Outcome: NotRun, Reason: ReasonNoRoute}, 404, 0},
		{Refusal{Outcome: NotRun, Reason: ReasonBadRequest}, 400, 0},
		{Refusal{Outcome: NotRun, Reason: ReasonTooLarge}, 413, 0},
		{Refusal{Outcome: NotRun, Reason: ReasonUpgrade}, 501, 0},
	} {
		rec := httptest.NewRecorder()
		tc.rf.Write(rec, false)
		got := FromResponse(rec.Result())
		want := Refusal{Outcome: tc.rf.Outcome, Reason: tc.rf.Reason, Status: tc.status, RetryAfter: tc.after}
		if got == nil || *got != want {
			t.Errorf("%+v was read as %+v", tc.rf, got)
		}
	}
	rec := httptest.NewRecorder()
	rec.WriteHeader(503)
	if rf := FromResponse(rec.Result()); rf != nil {
		t.Errorf("an answer of a backend server was read as %+v", rf)
	}
	rec = httptest.NewRecorder()
	rec.Header().Set(OutcomeHeader, "a-newer-word")
	if rf := FromResponse(rec.Result()); rf == nil || rf.Outcome != MayHaveRun {
		t.Errorf("an outcome that is not known was read as %+v, want the cautious one", rf)
	}
}

func TestLoad(t *testing.T) {
	for text, want := range map[string]bool{
		"1/2/3": true, "0/0/0": true, "": false, "1/2": false, "1/2/3/4": true, "1/2/3/0": false, "1/2/3/x": false, "1/2/3/4/5": true, "1/2/3/0/5": true, "1/2/3/4/0": false, "1/2/3/4/5/6": true, "1/2/3/0/0/0/0/0/9": true, "1/2/3/4/5/6/7/8/9/10": false, "1/2/3/4/5/0": false, "-1/2/3": false, "a/2/3": false, "1//3": false,
	} {
		ld, ok := ParseLoad(text)
		if ok != want || ok && ld.String() != text {
			t.Errorf("ParseLoad(%q) = %v, %t", text, ld, ok)
		}
	}
}

func FuzzParseLoad(f *testing.F) {
	f.Add("1/2/3")
	f.Fuzz(func(t *testing.T, s string) {
		if ld, ok := ParseLoad(s); ok {
			if again, ok := ParseLoad(ld.String()); !ok || again != ld {
				t.Errorf("%q is %v, which prints as %q", s, ld, ld)
			}
		}
	})
}

// TestFractions: a caller that reads fractions of a second is told to the
// millisecond, and never to come back at once.
func TestFractions(t *testing.T) {
	for after, want := range map[time.Duration]string{
		120 * time.Millisecond: "0.120", time.Microsecond: "0.001", 2 * time.Second: "2.000",
	} {
		rec := httptest.NewRecorder()
		(&Refusal{Outcome: NotRun, Reason: ReasonSlotsFull, RetryAfter: after}).Write(rec, true)
		if got := rec.Header().Get("Retry-After"); got != want {
			t.Errorf("Retry-After for %s is %q, want %q", after, got, want)
		}
		if got := FromResponse(rec.Result()).RetryAfter; got > after+time.Millisecond || got < after-time.Millisecond {
			t.Errorf("%s was read as %s", after, got)
		}
	}
}
