package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/node/admin"
	"github.com/flamingomast/flamingomast/internal/node/setup"
	"github.com/flamingomast/flamingomast/internal/plat/stand"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// heard is what a peer says of the former process, and when.
type heard struct {
	at   time.Duration
	peer string
	lv   member.Departure
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// tell puts on the board what the peer says; peers are those that have answered.
func (he heard) tell(bd *board.Board, peers map[string]bool) {
	peers[he.peer] = true
	bd.Predecessor.Update(func(cur *board.Predecessor) *board.Predecessor {
		next := &board.Predecessor{Departure: he.lv, Peers: slices.Collect(maps.Keys(peers))}
		if cur != nil && he.lv.Lifetime == "" {
			next.Departure = cur.Departure
		}
		return next
	})
}

// TestForerunnerLearned: a backend server's drain was acknowledged and its daemon
// replaced before the store had taken it down. Of two peers the first to answer
// has not heard of the drain. An announcement from before the drain comes late:
// the server must get no request, and callers saw one at a server that had left.
// A process of which nobody knows anything must not keep its server waiting.
func TestForerunnerLearned(t *testing.T) {
	left := member.Departure{Lifetime: "i-1", Number: 5}
	for name, tc := range map[string]struct {
		heard []heard
		// after is when the server serves, 0 for never.
		after time.Duration
	}{
		"the first peer knows":           {[]heard{{ms(50), "p", left}}, 0},
		"the second peer knows":          {[]heard{{ms(50), "p", member.Departure{}}, {ms(300), "q", left}}, 0},
		"two peers know of nothing":      {[]heard{{ms(50), "p", member.Departure{}}, {ms(300), "q", member.Departure{}}}, ms(300)},
		"the only peer answers twice":    {[]heard{{ms(50), "p", member.Departure{}}, {ms(300), "p", member.Departure{}}}, ms(450)},
		"nobody answers":                 {nil, recallPeers},
		"the only peer knows of nothing": {[]heard{{ms(50), "p", member.Departure{}}}, ms(450)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := stand.New().Store()
				dm := New(setup.Settings{VM: "vm-0", Domain: "d"}, Options{Store: &kv})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				began := time.Now()
				go dm.runRecall(ctx)
				if err := dm.announce(ctx, admin.Announcement{Service: "booking", Lifetime: "i-1", Number: 4, TTLMs: 60_000}); err != nil {
					t.Fatal(err)
				}
				peers := map[string]bool{}
				for _, he := range tc.heard {
					time.Sleep(he.at - time.Since(began))
					he.tell(dm.Node.Board, peers)
				}
				// Off the round times, at which the daemon itself acts.
				time.Sleep(5 * time.Millisecond)
				for time.Since(began) < 6*time.Second {
					st, _ := dm.local.watch(time.Now())
					serves := st.Announcement != nil && !st.Leaving
					if want := tc.after != 0 && time.Since(began) > tc.after; serves != want {
						t.Fatalf("after %v the server serves: %v, want %v", time.Since(began), serves, want)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}

// TestFirstStart: hundreds of daemons start for the first time. Each asked the store what
// a former process of its VM had acknowledged, and kept its backend server waiting for
// peers that could not know. At the first start nothing is asked, and the server serves
// at once.
func TestFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := stand.New()
		kv := st.Store()
		dm := New(setup.Settings{VM: "vm-0", Domain: "d", FirstStart: true}, Options{Store: &kv})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go dm.runRecall(ctx)
		if err := dm.announce(ctx, admin.Announcement{Service: "booking", Lifetime: "i-1", Number: 1, TTLMs: 60_000}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if now, _ := dm.local.watch(time.Now()); now.Announcement == nil {
			t.Error("the server does not serve yet")
		}
		if n := st.Calls.Total(); n != 0 {
			t.Errorf("%d calls to the store", n)
		}
	})
}

// TestLeavingStoredLate: a backend server says that it drains while the store
// takes two seconds to answer, or answers with errors. The acknowledgement cannot
// wait for it; the store must know of the drain all the same once it answers, or
// a process that replaces this one later sends requests to the server.
func TestLeavingStoredLate(t *testing.T) {
	for name, fault := range map[string]func(context.Context) error{
		"slow": func(ctx context.Context) error {
			time.Sleep(2 * time.Second)
			return nil
		},
		"failing": func(ctx context.Context) error {
			return &store.Error{Kind: store.Unavailable}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := stand.New().Store()
				grant, faults := kv.Grant, 2
				kv.Grant = func(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
					if faults--; faults >= 0 {
						if err := fault(ctx); err != nil {
							return store.LeaseID{}, err
						}
					}
					return grant(context.WithoutCancel(ctx), ttl)
				}
				dm := New(setup.Settings{VM: "vm-0", Domain: "d"}, Options{Store: &kv})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go dm.runLeaving(ctx)
				began := time.Now()
				if err := dm.announce(ctx, admin.Announcement{Service: "booking", Lifetime: "i-1", Number: 4, State: "draining", TTLMs: 60_000}); err != nil {
					t.Fatal(err)
				}
				if took := time.Since(began); took > recordTime {
					t.Errorf("the acknowledgement took %v", took)
				}
				time.Sleep(5 * time.Second)
				ent, err := kv.Get(ctx, dm.leavingKey())
				if err != nil || !ent.Revision.Exists() {
					t.Errorf("the store holds %+v, %v", ent, err)
				}
			})
		})
	}
}

// TestLeavingOverwritten: a backend server says that it drains just as writes of the
// VM's former process, which the store executes late, come in between. The write that
// found another revision was taken for done, and a process that replaced this one sent
// requests to the server.
func TestLeavingOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := stand.New().Store()
		swap, late := kv.Swap, 2
		kv.Swap = func(ctx context.Context, ch store.Change) (bool, store.Entry, error) {
			if late--; late >= 0 {
				if _, _, err := swap(ctx, store.Change{Key: "leaving/vm-0", Value: []byte(`{"lifetime":"i-0"}`), Revision: ch.Revision}); err != nil {
					t.Error(err)
				}
			}
			return swap(ctx, ch)
		}
		dm := New(setup.Settings{VM: "vm-0", Domain: "d"}, Options{Store: &kv})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go dm.runLeaving(ctx)
		if err := dm.announce(ctx, admin.Announcement{Service: "booking", Lifetime: "i-1", Number: 4, State: "draining", TTLMs: 60_000}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		ent, err := kv.Get(ctx, dm.leavingKey())
		var lv leaving
		if err == nil {
			err = json.Unmarshal(ent.Value, &lv)
		}
		if err != nil || lv.Lifetime != "i-1" {
			t.Errorf("the store holds %s, %v", ent.Value, err)
		}
	})
}

// TestLeavingStoredAgain guards against a drain that was acknowledged and is gone from a
// store that came back from an older copy.
func TestLeavingStoredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := stand.New()
		kv := st.Store()
		dm := New(setup.Settings{VM: "vm-0", Domain: "d"}, Options{Store: &kv})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go dm.runLeaving(ctx)
		bk := st.Backup()
		if err := dm.announce(ctx, admin.Announcement{Service: "booking", Lifetime: "i-1", Number: 4, State: "draining", TTLMs: 60_000}); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			st.RestoreInNewEpoch(bk)
			calls := st.Calls.Total()
			// Another call, or a peer, shows the epoch.
			if _, err := dm.Node.Store().Get(ctx, "any"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			if ent, err := kv.Get(ctx, dm.leavingKey()); err != nil || !strings.Contains(string(ent.Value), "i-1") {
				t.Errorf("the store holds %q, %v", ent.Value, err)
			}
			if n := st.Calls.Total() - calls; n > 4 {
				t.Errorf("%d calls to the store", n)
			}
		}
		time.Sleep(leavingTTL)
		st.RestoreInNewEpoch(bk)
		if _, err := dm.Node.Store().Get(ctx, "any"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if ent, err := kv.Get(ctx, dm.leavingKey()); err != nil || ent.Revision.Exists() {
			t.Errorf("the store holds %q of a server that ended long ago, %v", ent.Value, err)
		}
	})
}

// TestForeignLeaving: something else has written under the key where a daemon notes that
// its backend server leaves. A daemon that starts must neither end over it nor take the
// server that announces itself for one that left.
func TestForeignLeaving(t *testing.T) {
	for name, value := range map[string]string{
		"empty": ``, "null": `null`, "another type": `[]`, "a number": `5`, "not JSON": "\xff\x00", "cut short": `{"lifetime":"i-1`,
		"a lifetime of another type": `{"lifetime":5,"number":9}`, "a number that overflows": `{"lifetime":"i-1","number":1e99}`,
		"no lifetime": `{"number":9}`, "deep nesting": strings.Repeat("[", 1<<16), "a megabyte": strings.Repeat("x", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := stand.New().Store()
				if _, _, err := kv.Swap(t.Context(), store.Change{Key: "leaving/vm-0", Value: []byte(value)}); err != nil {
					t.Fatal(err)
				}
				dm := New(setup.Settings{VM: "vm-0", Domain: "d"}, Options{Store: &kv})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go dm.runRecall(ctx)
				if err := dm.announce(ctx, admin.Announcement{Service: "booking", Lifetime: "i-1", Number: 1, TTLMs: 60_000}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(recallTime)
				if st, _ := dm.local.watch(time.Now()); st.Announcement == nil || st.Leaving {
					t.Errorf("the server does not serve: %+v", st)
				}
			})
		})
	}
}

// FuzzLeaving: what cannot be read names no lifetime.
func FuzzLeaving(f *testing.F) {
	f.Add([]byte(`{"lifetime":"i-1","started-ms":5,"number":7}`))
	f.Add([]byte(`{"lifetime":"i-1","number":1e99}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if left, err := readLeaving(value); err != nil && left.Lifetime != "" {
			t.Errorf("%q was taken as %+v", value, left)
		}
	})
}
