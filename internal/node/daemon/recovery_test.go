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
	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// peerAnswer is what a peer reports about the predecessor, and when.
type peerAnswer struct {
	at   time.Duration
	peer string
	de   member.Departure
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// post puts the answer on the board; peers are those that have answered.
func (pa peerAnswer) post(bd *board.Board, peers map[string]bool) {
	peers[pa.peer] = true
	bd.Predecessor.Update(func(cur *board.Predecessor) *board.Predecessor {
		next := &board.Predecessor{Departure: pa.de, Peers: slices.Collect(maps.Keys(peers))}
		if cur != nil && pa.de.Lifetime == "" {
			next.Departure = cur.Departure
		}
		return next
	})
}

// TestPredecessorRecovery guards against requests to a backend server that has left. Its drain was
// acknowledged, its daemon was replaced before the store had the departure, and the first of two
// peers to answer has not heard of it. Then a delayed announcement from before the drain arrives. A
// process whose predecessor is unknown to all peers must not keep its server waiting.
func TestPredecessorRecovery(t *testing.T) {
	left := member.Departure{Lifetime: "i-1", Number: 5}
	for name, tc := range map[string]struct {
		answers []peerAnswer
		// servesAfter is when the server begins to serve, 0 for never.
		servesAfter time.Duration
	}{
		"the first peer knows":                {[]peerAnswer{{millis(50), "p", left}}, 0},
		"the second peer knows":               {[]peerAnswer{{millis(50), "p", member.Departure{}}, {millis(300), "q", left}}, 0},
		"two peers know of no departure":      {[]peerAnswer{{millis(50), "p", member.Departure{}}, {millis(300), "q", member.Departure{}}}, millis(300)},
		"the only peer answers twice":         {[]peerAnswer{{millis(50), "p", member.Departure{}}, {millis(300), "p", member.Departure{}}}, millis(450)},
		"nobody answers":                      {nil, firstPeerTimeout},
		"the only peer knows of no departure": {[]peerAnswer{{millis(50), "p", member.Departure{}}}, millis(450)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := fakekv.New().Store()
				dm := New(setup.Settings{VM: "vm-0", Domain: "d"}, Options{Store: &kv})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				began := time.Now()
				go dm.runRecovery(ctx)
				if err := dm.announce(ctx, admin.Announcement{Service: "booking", Lifetime: "i-1", Number: 4, TTLMs: 60_000}); err != nil {
					t.Fatal(err)
				}
				peers := map[string]bool{}
				for _, pa := range tc.answers {
					time.Sleep(pa.at - time.Since(began))
					pa.post(dm.Node.Board, peers)
				}
				// Avoids the exact times at which the daemon itself acts.
				time.Sleep(5 * time.Millisecond)
				for time.Since(began) < 6*time.Second {
					st, _ := dm.local.watch(time.Now())
					serves := st.Announcement != nil && !st.Leaving
					if want := tc.servesAfter != 0 && time.Since(began) > tc.servesAfter; serves != want {
						t.Fatalf("after %v the server serves: %v, want %v", time.Since(began), serves, want)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}

// TestFirstStart guards against needless waiting when hundreds of daemons start for the first time:
// each would read from the store what a predecessor acknowledged, and keep its backend server
// waiting for peers that cannot know. At the first start the store is not read, and the server
// serves at once.
func TestFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakekv.New()
		kv := st.Store()
		dm := New(setup.Settings{VM: "vm-0", Domain: "d", FirstStart: true}, Options{Store: &kv})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go dm.runRecovery(ctx)
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

// TestLeavingStoredLate guards against a drain that the store never learns of: it takes two seconds
// to answer, or fails, while a backend server announces the drain. The acknowledgement cannot wait
// for the store, but the departure must be stored once it answers, or a later process sends
// requests to the server.
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
				kv := fakekv.New().Store()
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
				go dm.runStoreDeparture(ctx)
				began := time.Now()
				if err := dm.announce(ctx, admin.Announcement{Service: "booking", Lifetime: "i-1", Number: 4, State: "draining", TTLMs: 60_000}); err != nil {
					t.Fatal(err)
				}
				if took := time.Since(began); took > storeTimeout {
					t.Errorf("the acknowledgement took %v", took)
				}
				time.Sleep(5 * time.Second)
				ent, err := kv.Get(ctx, dm.departureKey())
				if err != nil || !ent.Revision.Exists() {
					t.Errorf("the store holds %+v, %v", ent, err)
				}
			})
		})
	}
}

// TestLeavingOverwritten guards against a departure that is lost to writes of the predecessor,
// which the store executes late. If a write that finds another revision counted as done, the next
// process would send requests to the server.
func TestLeavingOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New().Store()
		swap, lateWrites := kv.Swap, 2
		kv.Swap = func(ctx context.Context, ch store.Change) (bool, store.Entry, error) {
			if lateWrites--; lateWrites >= 0 {
				if _, _, err := swap(ctx, store.Change{Key: "leaving/vm-0", Value: []byte(`{"lifetime":"i-0"}`), Revision: ch.Revision}); err != nil {
					t.Error(err)
				}
			}
			return swap(ctx, ch)
		}
		dm := New(setup.Settings{VM: "vm-0", Domain: "d"}, Options{Store: &kv})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go dm.runStoreDeparture(ctx)
		if err := dm.announce(ctx, admin.Announcement{Service: "booking", Lifetime: "i-1", Number: 4, State: "draining", TTLMs: 60_000}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		ent, err := kv.Get(ctx, dm.departureKey())
		var sd storedDeparture
		if err == nil {
			err = json.Unmarshal(ent.Value, &sd)
		}
		if err != nil || sd.Lifetime != "i-1" {
			t.Errorf("the store holds %s, %v", ent.Value, err)
		}
	})
}

// TestLeavingStoredAgain guards against losing an acknowledged drain when the store is restored
// from an older copy.
func TestLeavingStoredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakekv.New()
		kv := st.Store()
		dm := New(setup.Settings{VM: "vm-0", Domain: "d"}, Options{Store: &kv})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go dm.runStoreDeparture(ctx)
		bk := st.Backup()
		if err := dm.announce(ctx, admin.Announcement{Service: "booking", Lifetime: "i-1", Number: 4, State: "draining", TTLMs: 60_000}); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			st.RestoreInNewEpoch(bk)
			calls := st.Calls.Total()
			// Another call, or a peer, reveals the epoch.
			if _, err := dm.Node.Store().Get(ctx, "any"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			if ent, err := kv.Get(ctx, dm.departureKey()); err != nil || !strings.Contains(string(ent.Value), "i-1") {
				t.Errorf("the store holds %q, %v", ent.Value, err)
			}
			if n := st.Calls.Total() - calls; n > 4 {
				t.Errorf("%d calls to the store", n)
			}
		}
		time.Sleep(departureTTL)
		st.RestoreInNewEpoch(bk)
		if _, err := dm.Node.Store().Get(ctx, "any"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if ent, err := kv.Get(ctx, dm.departureKey()); err != nil || ent.Revision.Exists() {
			t.Errorf("the store holds %q of a server that ended long ago, %v", ent.Value, err)
		}
	})
}

// TestInvalidStoredDeparture covers values that something else has written under the key of the
// departure. A daemon that starts must neither fail nor treat the server that announces itself as
// one that left.
func TestInvalidStoredDeparture(t *testing.T) {
	for name, value := range map[string]string{
		"empty": ``, "null": `null`, "another type": `[]`, "a number": `5`, "not JSON": "\xff\x00", "cut short": `{"lifetime":"i-1`,
		"a lifetime of another type": `{"lifetime":5,"number":9}`, "a number that overflows": `{"lifetime":"i-1","number":1e99}`,
		"no lifetime": `{"number":9}`, "deep nesting": strings.Repeat("[", 1<<16), "a megabyte": strings.Repeat("x", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := fakekv.New().Store()
				if _, _, err := kv.Swap(t.Context(), store.Change{Key: "leaving/vm-0", Value: []byte(value)}); err != nil {
					t.Fatal(err)
				}
				dm := New(setup.Settings{VM: "vm-0", Domain: "d"}, Options{Store: &kv})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go dm.runRecovery(ctx)
				if err := dm.announce(ctx, admin.Announcement{Service: "booking", Lifetime: "i-1", Number: 1, TTLMs: 60_000}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(recoveryTimeout)
				if st, _ := dm.local.watch(time.Now()); st.Announcement == nil || st.Leaving {
					t.Errorf("the server does not serve: %+v", st)
				}
			})
		})
	}
}

// FuzzLeaving checks that a value that cannot be parsed names no lifetime.
func FuzzLeaving(f *testing.F) {
	f.Add([]byte(`{"lifetime":"i-1","started-ms":5,"number":7}`))
	f.Add([]byte(`{"lifetime":"i-1","number":1e99}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if de, err := parseDeparture(value); err != nil && de.Lifetime != "" {
			t.Errorf("%q was parsed as %+v", value, de)
		}
	})
}
