package kvtest

import (
	"context"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// Run runs the contract tests against the stores that open returns for a fake service.
func Run(t *testing.T, open func(t *testing.T, st *fakekv.Service) store.Store) {
	for _, tc := range contract {
		t.Run(tc.name, func(t *testing.T) {
			st := fakekv.New()
			tc.run(t, open(t, st), st)
		})
	}
}

// epochWait is the wait time of a watch that may reach the store just after a restore. A store
// that learns of a new epoch only from the responses does not return from that watch earlier.
const epochWait = 2 * time.Second

// contract has the tests that every implementation of store.Store must pass.
var contract = []struct {
	name string
	run  func(t *testing.T, kv store.Store, st *fakekv.Service)
}{
	{"a missing key has revision 0", func(t *testing.T, kv store.Store, _ *fakekv.Service) {
		if ent, err := kv.Get(t.Context(), "a"); err != nil || ent.Revision.Exists() {
			t.Errorf("Get: %+v, %v", ent, err)
		}
	}},
	{"swap creates a key once", func(t *testing.T, kv store.Store, _ *fakekv.Service) {
		wantSwap(t, kv, store.Change{Key: "a", Value: []byte("1")}, true)
		wantSwap(t, kv, store.Change{Key: "a", Value: []byte("2")}, false)
		wantValue(t, kv, "a", "1")
	}},
	{"swap requires the current revision", func(t *testing.T, kv store.Store, _ *fakekv.Service) {
		one := wantSwap(t, kv, store.Change{Key: "a", Value: []byte("1")}, true)
		wantSwap(t, kv, store.Change{Key: "a", Revision: one.Revision, Value: []byte("2")}, true)
		cur := wantSwap(t, kv, store.Change{Key: "a", Revision: one.Revision, Value: []byte("3")}, false)
		if string(cur.Value) != "2" {
			t.Errorf("a failed swap returned %q as the current value, want 2", cur.Value)
		}
	}},
	{"remove", func(t *testing.T, kv store.Store, _ *fakekv.Service) {
		one := wantSwap(t, kv, store.Change{Key: "a", Value: []byte("1")}, true)
		wantSwap(t, kv, store.Change{Key: "a", Revision: one.Revision, Remove: true}, true)
		if ent, err := kv.Get(t.Context(), "a"); err != nil || ent.Revision.Exists() {
			t.Errorf("Get after remove: %+v, %v", ent, err)
		}
	}},
	{"watch returns an earlier change at once", func(t *testing.T, kv store.Store, _ *fakekv.Service) {
		wantSwap(t, kv, store.Change{Key: "a", Value: []byte("1")}, true)
		if ent, err := kv.Watch(t.Context(), "a", store.Revision{}, time.Minute); err != nil || string(ent.Value) != "1" {
			t.Errorf("Watch: %+v, %v", ent, err)
		}
	}},
	{"watch returns on a change", func(t *testing.T, kv store.Store, _ *fakekv.Service) {
		got := make(chan store.Entry, 1)
		go func() {
			ent, _ := kv.Watch(t.Context(), "a", store.Revision{}, time.Minute)
			got <- ent
		}()
		wantSwap(t, kv, store.Change{Key: "a", Value: []byte("1")}, true)
		if ent := <-got; string(ent.Value) != "1" {
			t.Errorf("Watch: %+v", ent)
		}
	}},
	{"list returns the keys with the prefix", func(t *testing.T, kv store.Store, _ *fakekv.Service) {
		for _, key := range []string{"b/2", "a", "b/1", "c", "b"} {
			wantSwap(t, kv, store.Change{Key: key, Value: []byte(key)}, true)
		}
		items, err := kv.List(t.Context(), "b/")
		if err != nil || len(items) != 2 || items[0].Key != "b/1" || string(items[1].Value) != "b/2" || !items[1].Revision.Exists() {
			t.Errorf("List: %+v, %v", items, err)
		}
	}},
	{"list ends with its context", func(t *testing.T, kv store.Store, st *fakekv.Service) {
		st.SetFaults(fakekv.Faults{Delay: time.Minute})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := kv.List(ctx, "b/"); err == nil {
			t.Error("List with a cancelled context returned no error")
		}
	}},
	{"watch ends after its wait", func(t *testing.T, kv store.Store, _ *fakekv.Service) {
		if ent, err := kv.Watch(t.Context(), "a", store.Revision{}, time.Millisecond); err != nil || ent.Revision.Exists() {
			t.Errorf("Watch: %+v, %v", ent, err)
		}
	}},
	{"watch ends with its context", func(t *testing.T, kv store.Store, _ *fakekv.Service) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := kv.Watch(ctx, "a", store.Revision{}, time.Minute); err == nil {
			t.Error("Watch with a cancelled context returned no error")
		}
	}},
	{"revoking a lease deletes its keys", func(t *testing.T, kv store.Store, _ *fakekv.Service) {
		id, err := kv.Grant(t.Context(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		ent := wantSwap(t, kv, store.Change{Key: "a", Value: []byte("1"), Lease: id}, true)
		if err := kv.Renew(t.Context(), id); err != nil {
			t.Error(err)
		}
		if err := kv.Revoke(t.Context(), id); err != nil {
			t.Error(err)
		}
		if ent, err := kv.Watch(t.Context(), "a", ent.Revision, time.Minute); err != nil || ent.Revision.Exists() {
			t.Errorf("the key after its lease was revoked: %+v, %v", ent, err)
		}
		WantKind(t, kv.Renew(t.Context(), id), store.LeaseNotFound)
		_, _, err = kv.Swap(t.Context(), store.Change{Key: "b", Lease: id})
		WantKind(t, err, store.LeaseNotFound)
	}},
	{"a lease expires", func(t *testing.T, kv store.Store, st *fakekv.Service) {
		id, err := kv.Grant(t.Context(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		st.ExpireLeases()
		WantKind(t, kv.Renew(t.Context(), id), store.LeaseNotFound)
	}},
	{"values have a largest size", func(t *testing.T, kv store.Store, _ *fakekv.Service) {
		wantSwap(t, kv, store.Change{Key: "a", Value: make([]byte, store.MaxValue)}, true)
		_, _, err := kv.Swap(t.Context(), store.Change{Key: "b", Value: make([]byte, store.MaxValue+1)})
		WantKind(t, err, store.TooLarge)
	}},
	{"calls during an outage have no effect", func(t *testing.T, kv store.Store, st *fakekv.Service) {
		st.SetFaults(fakekv.Faults{Down: true})
		_, _, err := kv.Swap(t.Context(), store.Change{Key: "a"})
		WantKind(t, err, store.Unavailable)
		_, err = kv.Get(t.Context(), "a")
		WantKind(t, err, store.Unavailable)
		st.SetFaults(fakekv.Faults{})
		wantSwap(t, kv, store.Change{Key: "a"}, true)
	}},
	{"a swap without a response is unknown and takes effect", func(t *testing.T, kv store.Store, st *fakekv.Service) {
		st.SetFaults(fakekv.Faults{LoseResponses: 1})
		_, _, err := kv.Swap(t.Context(), store.Change{Key: "a", Value: []byte("1")})
		WantKind(t, err, store.Unknown)
		wantValue(t, kv, "a", "1")
	}},
	{"watch of a prefix", func(t *testing.T, kv store.Store, st *fakekv.Service) {
		wantSwap(t, kv, store.Change{Key: "a/1", Value: []byte("1")}, true)
		wantSwap(t, kv, store.Change{Key: "b/1", Value: []byte("1")}, true)
		li, err := kv.WatchAll(t.Context(), "a/", store.Revision{}, time.Minute)
		if err != nil || !li.Changed || len(li.Items) != 1 || li.Items[0].Key != "a/1" {
			t.Fatalf("WatchAll: %+v, %v", li, err)
		}
		wantSwap(t, kv, store.Change{Key: "b/2", Value: []byte("1")}, true)
		if li, err = kv.WatchAll(t.Context(), "a/", li.Revision, 10*time.Millisecond); err != nil || li.Changed || len(li.Items) != 0 {
			t.Fatalf("WatchAll without a change: %+v, %v", li, err)
		}
		got := make(chan store.Listing, 1)
		watch := func(after store.Revision) {
			li, _ := kv.WatchAll(t.Context(), "a/", after, epochWait)
			got <- li
		}
		go watch(li.Revision)
		two := wantSwap(t, kv, store.Change{Key: "a/2", Value: []byte("2")}, true)
		if li = <-got; !li.Changed || len(li.Items) != 2 {
			t.Fatalf("WatchAll after a write: %+v", li)
		}
		go watch(li.Revision)
		wantSwap(t, kv, store.Change{Key: "a/2", Revision: two.Revision, Remove: true}, true)
		if li = <-got; !li.Changed || len(li.Items) != 1 {
			t.Fatalf("WatchAll after a removal: %+v", li)
		}
		go watch(li.Revision)
		st.RestoreInNewEpoch(st.Backup())
		if li = <-got; !li.Changed || len(li.Items) != 1 || li.Revision.Epoch == two.Revision.Epoch {
			t.Fatalf("WatchAll in a new epoch: %+v", li)
		}
	}},
	{"a new epoch is another revision", func(t *testing.T, kv store.Store, st *fakekv.Service) {
		one := wantSwap(t, kv, store.Change{Key: "a", Value: []byte("1")}, true)
		st.RestoreInNewEpoch(st.Backup())
		ent, err := kv.Watch(t.Context(), "a", one.Revision, time.Minute)
		if err != nil || string(ent.Value) != "1" || ent.Revision.Epoch <= one.Revision.Epoch || kv.Epoch() != ent.Revision.Epoch {
			t.Errorf("Watch in a new epoch: %+v, %v; was %+v", ent, err, one.Revision)
		}
	}},
	{"a watch returns on a new epoch", func(t *testing.T, kv store.Store, st *fakekv.Service) {
		one := wantSwap(t, kv, store.Change{Key: "a", Value: []byte("1")}, true)
		bk := st.Backup()
		two := wantSwap(t, kv, store.Change{Key: "a", Revision: one.Revision, Value: []byte("2")}, true)
		got := make(chan store.Entry, 1)
		go func() {
			ent, _ := kv.Watch(t.Context(), "a", two.Revision, epochWait)
			got <- ent
		}()
		st.RestoreInNewEpoch(bk)
		if ent := <-got; string(ent.Value) != "1" {
			t.Errorf("Watch: %+v", ent)
		}
	}},
	{"a revision number assigned twice matches in its own epoch only", func(t *testing.T, kv store.Store, st *fakekv.Service) {
		one := wantSwap(t, kv, store.Change{Key: "a", Value: []byte("1")}, true)
		bk := st.Backup()
		two := wantSwap(t, kv, store.Change{Key: "a", Revision: one.Revision, Value: []byte("2")}, true)
		st.RestoreInNewEpoch(bk)
		one = wantGet(t, kv, "a")
		other := wantSwap(t, kv, store.Change{Key: "a", Revision: one.Revision, Value: []byte("other")}, true)
		if other.Revision.Number != two.Revision.Number {
			t.Fatalf("the write has number %d, want %d again", other.Revision.Number, two.Revision.Number)
		}
		wantSwap(t, kv, store.Change{Key: "a", Revision: two.Revision, Value: []byte("3")}, false)
		wantValue(t, kv, "a", "other")
		wantSwap(t, kv, store.Change{Key: "a", Revision: other.Revision, Value: []byte("4")}, true)
	}},
	{"a missing key in a new epoch is created once", func(t *testing.T, kv store.Store, st *fakekv.Service) {
		none := wantGet(t, kv, "a")
		st.RestoreInNewEpoch(st.Backup())
		if kv.Epoch() == none.Revision.Epoch {
			wantGet(t, kv, "b")
		}
		wantSwap(t, kv, store.Change{Key: "a", Revision: none.Revision, Value: []byte("1")}, false)
		wantSwap(t, kv, store.Change{Key: "a", Value: []byte("1")}, true)
	}},
	{"a lease number assigned twice belongs to the later owner only", func(t *testing.T, kv store.Store, st *fakekv.Service) {
		bk := st.Backup()
		lost, err := kv.Grant(t.Context(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		st.RestoreInNewEpoch(bk)
		next, err := kv.Grant(t.Context(), time.Minute)
		if err != nil || next.Number != lost.Number || next == lost {
			t.Fatalf("Grant: %+v, %v; want number %d in a new epoch", next, err, lost.Number)
		}
		wantSwap(t, kv, store.Change{Key: "a", Lease: next}, true)
		WantKind(t, kv.Renew(t.Context(), lost), store.LeaseNotFound)
		WantKind(t, kv.Revoke(t.Context(), lost), store.LeaseNotFound)
		_, _, err = kv.Swap(t.Context(), store.Change{Key: "b", Lease: lost})
		WantKind(t, err, store.LeaseNotFound)
		if !wantGet(t, kv, "a").Revision.Exists() {
			t.Error("the key of the later lease was deleted")
		}
	}},
	{"a restored lease keeps its key and rejects its old ID", func(t *testing.T, kv store.Store, st *fakekv.Service) {
		id, err := kv.Grant(t.Context(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		wantSwap(t, kv, store.Change{Key: "a", Lease: id}, true)
		st.RestoreInNewEpoch(st.Backup())
		if !wantGet(t, kv, "a").Revision.Exists() {
			t.Error("the key of the restored lease was deleted")
		}
		WantKind(t, kv.Renew(t.Context(), id), store.LeaseNotFound)
	}},
	{"a restore brings back an older state", func(t *testing.T, kv store.Store, st *fakekv.Service) {
		one := wantSwap(t, kv, store.Change{Key: "a", Value: []byte("1")}, true)
		bk := st.Backup()
		two := wantSwap(t, kv, store.Change{Key: "a", Revision: one.Revision, Value: []byte("2")}, true)
		st.Restore(bk)
		if ent, err := kv.Watch(t.Context(), "a", two.Revision, time.Minute); err != nil || string(ent.Value) != "1" {
			t.Errorf("Watch after a restore: %+v, %v", ent, err)
		}
	}},
}

func wantSwap(t *testing.T, kv store.Store, ch store.Change, want bool) store.Entry {
	t.Helper()
	ok, cur, err := kv.Swap(t.Context(), ch)
	if err != nil || ok != want {
		t.Fatalf("Swap(%s at %d) = %t, %v; want %t", ch.Key, ch.Revision, ok, err, want)
	}
	return cur
}

func wantGet(t *testing.T, kv store.Store, key string) store.Entry {
	t.Helper()
	ent, err := kv.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	return ent
}

func wantValue(t *testing.T, kv store.Store, key, want string) {
	t.Helper()
	if ent, err := kv.Get(t.Context(), key); err != nil || string(ent.Value) != want {
		t.Errorf("Get(%s) = %q, %v; want %q", key, ent.Value, err, want)
	}
}

// WantKind fails the test unless err is a *store.Error of kind want.
func WantKind(t *testing.T, err error, want store.Kind) {
	t.Helper()
	if !store.IsKind(err, want) {
		t.Errorf("error %v, want %s", err, want)
	}
}
