package cmds

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/store"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
	"github.com/flamingomast/flamingomast/internal/roll/order"
)

// TestWaitRollout guards against a wait for a rollout that ends too early: because the store is
// unavailable for a moment, or because it reads the result of an earlier rollout.
func TestWaitRollout(t *testing.T) {
	or := order.Order{Service: "booking", Target: "v2", DurationMs: 10_000}
	for _, tc := range []struct {
		name string
		// earlier is the state that an earlier rollout left, state the one written after 10 s.
		earlier, state  canary.State
		downFor, within time.Duration
		out, err        string
	}{
		{"complete", 0, canary.Complete, 0, 11 * time.Second, "complete\n", ""},
		{"rolled back", 0, canary.RolledBack, 0, 11 * time.Second, "rolled-back\n", "was rolled back"},
		{"the store is unavailable for a while", 0, canary.Complete, 4 * time.Second, 11 * time.Second, "complete\n", ""},
		{"the store stays unavailable", 0, 0, time.Hour, 71 * time.Second, "", "unavailable"},
		{"no state is written", 0, 0, 0, 71 * time.Second, "", "no end of the rollout was seen in 1m10s"},
		{"the same target again", canary.RolledBack, canary.Complete, 0, 11 * time.Second, "complete\n", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := fakekv.New()
				kv := st.Store()
				write := func(state canary.State) {
					if state == 0 {
						return
					}
					value, err := order.EncodeStatus(or.Target, state)
					if err != nil {
						t.Error(err)
					}
					cur, err := kv.Get(context.Background(), order.StatusKey(or.Service))
					if err != nil {
						t.Error(err)
					}
					if ok, _, err := kv.Swap(context.Background(), store.Change{Key: order.StatusKey(or.Service), Revision: cur.Revision, Value: value}); err != nil || !ok {
						t.Errorf("Swap: %t, %v", ok, err)
					}
				}
				write(tc.earlier)
				_, ent, err := kv.Swap(t.Context(), store.Change{Key: or.Key(), Value: []byte("{}")})
				if err != nil {
					t.Fatal(err)
				}
				st.SetFaults(fakekv.Faults{Down: tc.downFor > 0})
				time.AfterFunc(tc.downFor, func() { st.SetFaults(fakekv.Faults{}) })
				time.AfterFunc(10*time.Second, func() { write(tc.state) })
				var out, errOut bytes.Buffer
				ap := &app{out: &out, err: &errOut}
				start := time.Now()
				err = ap.waitRollout(t.Context(), kv, or, ent.Revision)
				if took := time.Since(start); took > tc.within {
					t.Errorf("took %s, want %s at most", took, tc.within)
				}
				if out.String() != tc.out || (err == nil) != (tc.err == "") || err != nil && !strings.Contains(err.Error(), tc.err) {
					t.Errorf("printed %q, error %v; want %q, %q", &out, err, tc.out, tc.err)
				}
				if down := tc.downFor > 0; down != (errOut.Len() > 0) {
					t.Errorf("printed %q as error", &errOut)
				}
			})
		})
	}
}
