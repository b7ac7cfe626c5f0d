package limit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// TestTooLateInQueue: all slots are held for longer than usual, and a call waits for
// one until its deadline. Its outlet gave up at that same moment and could only say
// that the call may have run. The gate refuses it while that can still be heard, and
// once it would take longer than what is left; one without a deadline waits on.
func TestTooLateInQueue(t *testing.T) {
	for _, tc := range []struct {
		name           string
		held, deadline time.Duration
		want           time.Duration
	}{
		{"as long as it takes", 80 * ms, 500 * ms, 420 * ms},
		{"takes no time", 2 * ms, 500 * ms, 475 * ms},
		{"no deadline", 80 * ms, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ga := New()
				ga.Configure(1, []Class{{Name: "lookup", Queue: 4}})
				for range 20 {
					tk := fill(t, ga, "lookup", 1)[0]
					time.Sleep(tc.held)
					tk.Release()
				}
				stuck := fill(t, ga, "lookup", 1)[0]
				ctx := t.Context()
				if tc.deadline > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, tc.deadline)
					defer cancel()
				} else {
					time.AfterFunc(time.Minute, stuck.Release)
				}
				began := time.Now()
				tk, rf := ga.Acquire(ctx, Request{Class: "lookup", Final: true})
				took := time.Since(began)
				if tc.deadline == 0 {
					if rf != nil || took != time.Minute {
						t.Errorf("refused with %+v after %s", rf, took)
					}
					tk.Release()
					return
				}
				if rf == nil || rf.Outcome != result.NotRun || rf.Reason != result.ReasonDeadlineTooNear || took != tc.want {
					t.Errorf("refused with %+v after %s, want %s after %s", rf, took, result.ReasonDeadlineTooNear, tc.want)
				}
				if ctx.Err() != nil {
					t.Error("the deadline had passed by then")
				}
			})
		})
	}
}
