package stand

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// The rates of the platform, in calls a second.
const (
	ReadRate  = 2000
	WriteRate = 400
)

// Faults says what goes wrong; the zero value is a platform that works.
type Faults struct {
	// Down refuses every call, without effect.
	Down bool
	// Delay is how long each call takes besides.
	Delay time.Duration
	// LoseAnswers is how many of the next swaps take effect and then fail as
	// unknown.
	LoseAnswers int
}

// Calls counts the calls made so far.
type Calls struct {
	Reads, Writes, Watches atomic.Int64
}

// Total returns the sum of all calls.
func (cl *Calls) Total() int64 { return cl.Reads.Load() + cl.Writes.Load() + cl.Watches.Load() }

// Stand is the stand-in. Its methods may be called from any goroutine.
type Stand struct {
	Calls  Calls
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	entries map[string]entry
	leases  map[store.LeaseID]*lease
	nextID  store.LeaseID
	rev     store.Revision
	changed chan struct{}
}

type entry struct {
	store.Entry
	lease store.LeaseID
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// New returns an empty stand-in with the platform's rates.
func New() *Stand {
	return &Stand{
		reads:   rate.NewLimiter(ReadRate, ReadRate),
		writes:  rate.NewLimiter(WriteRate, WriteRate),
		entries: map[string]entry{},
		leases:  map[store.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces what goes wrong.
func (st *Stand) SetFaults(fa Faults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = fa
	st.wake()
}

// Backup is a copy of the entries at one moment.
type Backup struct {
	entries map[string]entry
	rev     store.Revision
}

// Backup returns a copy of the entries.
func (st *Stand) Backup() Backup {
	st.mu.Lock()
	defer st.mu.Unlock()
	return Backup{entries: maps.Clone(st.entries), rev: st.rev}
}

// Restore sets the entries back to those of a backup.
func (st *Stand) Restore(bk Backup) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.entries, st.rev = maps.Clone(bk.entries), bk.rev
	st.wake()
}

// LapseLeases ends all leases, as if their time had run out.
func (st *Stand) LapseLeases() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id := range st.leases {
		st.end(id)
	}
}

// Store returns the functions that clients call.
func (st *Stand) Store() store.Store {
	return store.Store{Get: st.get, List: st.list, Swap: st.swap, Watch: st.watch, Grant: st.grant, Renew: st.renew, Revoke: st.revoke}
}

// admit waits as the faults say and refuses a call that may not have effect.
func (st *Stand) admit(ctx context.Context, op, key string, count *atomic.Int64, lim *rate.Limiter) error {
	count.Add(1)
	st.mu.Lock()
	fa := st.faults
	st.mu.Unlock()
	if fa.Delay > 0 {
		select {
		case <-time.After(fa.Delay):
		case <-ctx.Done():
			return &store.Error{Kind: store.Unavailable, Op: op, Key: key, Err: ctx.Err()}
		}
	}
	if fa.Down {
		return &store.Error{Kind: store.Unavailable, Op: op, Key: key}
	}
	if !lim.Allow() {
		return &store.Error{Kind: store.Limited, Op: op, Key: key}
	}
	return nil
}

func (st *Stand) get(ctx context.Context, key string) (store.Entry, error) {
	if err := st.admit(ctx, "get", key, &st.Calls.Reads, st.reads); err != nil {
		return store.Entry{}, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.entries[key].Entry, nil
}

func (st *Stand) list(ctx context.Context, prefix string) ([]store.Item, error) {
	if err := st.admit(ctx, "list", prefix, &st.Calls.Reads, st.reads); err != nil {
		return nil, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	var items []store.Item
	for _, key := range slices.Sorted(maps.Keys(st.entries)) {
		if strings.HasPrefix(key, prefix) {
			items = append(items, store.Item{Key: key, Entry: st.entries[key].Entry})
		}
	}
	return items, nil
}

func (st *Stand) swap(ctx context.Context, ch store.Change) (bool, store.Entry, error) {
	if len(ch.Value) > store.MaxValue {
		return false, store.Entry{}, &store.Error{Kind: store.TooLarge, Op: "swap", Key: ch.Key}
	}
	if err := st.admit(ctx, "swap", ch.Key, &st.Calls.Writes, st.writes); err != nil {
		return false, store.Entry{}, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if cur := st.entries[ch.Key].Entry; cur.Revision != ch.Revision {
		return false, cur, nil
	}
	if ch.Lease != 0 && st.leases[ch.Lease] == nil {
		return false, store.Entry{}, &store.Error{Kind: store.Gone, Op: "swap", Key: ch.Key}
	}
	st.rev++
	if ch.Remove {
		delete(st.entries, ch.Key)
	} else {
		st.entries[ch.Key] = entry{
			Entry: store.Entry{Value: bytes.Clone(ch.Value), Revision: st.rev},
			lease: ch.Lease,
		}
	}
	st.wake()
	if st.faults.LoseAnswers > 0 {
		st.faults.LoseAnswers--
		return false, store.Entry{}, &store.Error{Kind: store.Unknown, Op: "swap", Key: ch.Key}
	}
	return true, st.entries[ch.Key].Entry, nil
}

func (st *Stand) watch(ctx context.Context, key string, after store.Revision, wait time.Duration) (store.Entry, error) {
	if err := st.admit(ctx, "watch", key, &st.Calls.Watches, st.reads); err != nil {
		return store.Entry{}, err
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		st.mu.Lock()
		ent, changed, down := st.entries[key].Entry, st.changed, st.faults.Down
		st.mu.Unlock()
		if down {
			return store.Entry{}, &store.Error{Kind: store.Unavailable, Op: "watch", Key: key}
		}
		if ent.Revision != after {
			return ent, nil
		}
		select {
		case <-changed:
		case <-end.C:
			return ent, nil
		case <-ctx.Done():
			return store.Entry{}, &store.Error{Kind: store.Unavailable, Op: "watch", Key: key, Err: ctx.Err()}
		}
	}
}

func (st *Stand) grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := st.admit(ctx, "grant", "", &st.Calls.Writes, st.writes); err != nil {
		return 0, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.nextID++
	id := st.nextID
	st.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		st.end(id)
	})}
	return id, nil
}

func (st *Stand) renew(ctx context.Context, id store.LeaseID) error {
	if err := st.admit(ctx, "renew", "", &st.Calls.Writes, st.writes); err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	ls := st.leases[id]
	if ls == nil {
		return &store.Error{Kind: store.Gone, Op: "renew"}
	}
	ls.timer.Reset(ls.ttl)
	return nil
}

func (st *Stand) revoke(ctx context.Context, id store.LeaseID) error {
	if err := st.admit(ctx, "revoke", "", &st.Calls.Writes, st.writes); err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.leases[id] == nil {
		return &store.Error{Kind: store.Gone, Op: "revoke"}
	}
	st.end(id)
	return nil
}

// end removes a lease and its keys; st.mu is held.
func (st *Stand) end(id store.LeaseID) {
	ls := st.leases[id]
	if ls == nil {
		return
	}
	ls.timer.Stop()
	delete(st.leases, id)
	for key, ent := range st.entries {
		if ent.lease == id {
			delete(st.entries, key)
		}
	}
	st.wake()
}

// wake lets all watches look again; st.mu is held.
func (st *Stand) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}
