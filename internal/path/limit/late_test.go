package limit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// TestTooLateInQueue checks when a call that waits for a slot is refused if all slots are held for
// longer than usual. If it were still queued at its deadline, its outlet would time out at the same
// moment and could only report that the call may have run. It must be refused early enough for the
// refusal to arrive in time, and as soon as the time left is shorter than the expected service
// time. A call without a deadline keeps waiting.
func TestTooLateInQueue(t *testing.T) {
	for _, tc := range []struct {
		name           string
		held, deadline time.Duration
		want           time.Duration
	}{
		{"refused one service time before the deadline", 80 * ms, 500 * ms, 420 * ms},
		{"refused in time for the refusal to arrive", 2 * ms, 500 * ms, 475 * ms},
		{"waits without a deadline", 80 * ms, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lm := New()
				lm.Configure(1, []Class{{Name: "lookup", Queue: 4}})
				for range 20 {
					sl := acquireN(t, lm, "lookup", 1)[0]
					time.Sleep(tc.held)
					sl.Release()
				}
				stuck := acquireN(t, lm, "lookup", 1)[0]
				ctx := t.Context()
				if tc.deadline > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, tc.deadline)
					defer cancel()
				} else {
					time.AfterFunc(time.Minute, stuck.Release)
				}
				began := time.Now()
				sl, rf := lm.Acquire(ctx, Request{Class: "lookup", Final: true})
				took := time.Since(began)
				if tc.deadline == 0 {
					if rf != nil || took != time.Minute {
						t.Errorf("refused with %+v after %s, want a slot after 1m", rf, took)
					}
					sl.Release()
					return
				}
				if rf == nil || rf.Outcome != result.NotRun || rf.Reason != result.ReasonDeadlineTooNear || took != tc.want {
					t.Errorf("refused with %+v after %s, want %s after %s", rf, took, result.ReasonDeadlineTooNear, tc.want)
				}
				if ctx.Err() != nil {
					t.Error("the refusal came after the deadline")
				}
			})
		})
	}
}
