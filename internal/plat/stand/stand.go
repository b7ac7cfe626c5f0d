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
	// LoseResponses is how many of the next swaps take effect and then fail as
	// unknown.
	LoseResponses int
}

// Calls counts the calls made so far.
type Calls struct {
	Reads, Writes, Watches atomic.Int64
}

// Total returns the sum of all calls.
func (cl *Calls) Total() int64 { return cl.Reads.Load() + cl.Writes.Load() + cl.Watches.Load() }

// Service is the stand-in. Its methods may be called from any goroutine.
type Service struct {
	Calls  Calls
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	entries map[string]entry
	// touched has the number of the last write or removal of each key.
	touched map[string]int64
	leases  map[int64]*lease
	nextID  int64
	rev     int64
	epoch   store.Epoch
	changed chan struct{}
}

// entry is a value with the number of the write that made it and of its lease.
type entry struct {
	value  []byte
	number int64
	lease  int64
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// at returns the entry of a key; st.mu is held.
func (st *Service) at(key string) store.Entry {
	ent := st.entries[key]
	return store.Entry{Value: ent.value, Revision: store.Revision{Epoch: st.epoch, Number: ent.number}}
}

// New returns an empty stand-in with the platform's rates.
func New() *Service {
	return &Service{
		reads:   rate.NewLimiter(ReadRate, ReadRate),
		writes:  rate.NewLimiter(WriteRate, WriteRate),
		entries: map[string]entry{},
		touched: map[string]int64{},
		leases:  map[int64]*lease{},
		epoch:   1,
		changed: make(chan struct{}),
	}
}

// SetFaults replaces what goes wrong.
func (st *Service) SetFaults(fa Faults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = fa
	st.wake()
}

// Backup is a copy of the entries and leases at one moment.
type Backup struct {
	entries map[string]entry
	leases  map[int64]time.Duration
	nextID  int64
	rev     int64
}

// Backup returns a copy of the entries and leases.
func (st *Service) Backup() Backup {
	st.mu.Lock()
	defer st.mu.Unlock()
	bk := Backup{entries: maps.Clone(st.entries), leases: map[int64]time.Duration{}, nextID: st.nextID, rev: st.rev}
	for id, ls := range st.leases {
		bk.leases[id] = ls.ttl
	}
	return bk
}

// Restore sets the entries back to those of a backup, without a new epoch.
func (st *Service) Restore(bk Backup) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.entries, st.rev = maps.Clone(bk.entries), bk.rev
	st.touchAll()
	st.wake()
}

// touchAll takes all entries for changed by their last writes; st.mu is held.
func (st *Service) touchAll() {
	clear(st.touched)
	for key, ent := range st.entries {
		st.touched[key] = ent.number
	}
}

// RestoreInNewEpoch goes on from a backup in a new epoch: what was written since is gone, the
// leases of the backup begin anew, and the numbers of writes and leases are given out
// again.
func (st *Service) RestoreInNewEpoch(bk Backup) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, ls := range st.leases {
		ls.timer.Stop()
	}
	st.entries, st.rev, st.nextID = maps.Clone(bk.entries), bk.rev, bk.nextID
	st.leases = map[int64]*lease{}
	for id, ttl := range bk.leases {
		st.hold(id, ttl)
	}
	st.touchAll()
	st.epoch++
	st.wake()
}

// ExpireLeases ends all leases, as if their time had run out.
func (st *Service) ExpireLeases() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id := range st.leases {
		st.end(id)
	}
}

// Store returns the functions that clients call.
func (st *Service) Store() store.Store {
	return store.Store{
		Get: st.get, List: st.list, Swap: st.swap, Watch: st.watch, WatchAll: st.watchAll,
		Grant: st.grant, Renew: st.renew, Revoke: st.revoke, Epoch: st.Epoch,
	}
}

// LatestRevision returns the number of the newest write.
func (st *Service) LatestRevision() int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.rev
}

// Epoch returns the epoch in which the stand-in is.
func (st *Service) Epoch() store.Epoch {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.epoch
}

// admit waits as the faults say and refuses a call that may not have effect.
func (st *Service) admit(ctx context.Context, op, key string, count *atomic.Int64, lim *rate.Limiter) error {
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
		return &store.Error{Kind: store.RateLimited, Op: op, Key: key}
	}
	return nil
}

func (st *Service) get(ctx context.Context, key string) (store.Entry, error) {
	if err := st.admit(ctx, "get", key, &st.Calls.Reads, st.reads); err != nil {
		return store.Entry{}, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.at(key), nil
}

func (st *Service) list(ctx context.Context, prefix string) ([]store.Item, error) {
	if err := st.admit(ctx, "list", prefix, &st.Calls.Reads, st.reads); err != nil {
		return nil, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.under(prefix), nil
}

// under returns the entries of all keys under a prefix; st.mu is held.
func (st *Service) under(prefix string) (items []store.Item) {
	for _, key := range slices.Sorted(maps.Keys(st.entries)) {
		if strings.HasPrefix(key, prefix) {
			items = append(items, store.Item{Key: key, Entry: st.at(key)})
		}
	}
	return items
}

// touchedAfter reports whether a key under a prefix changed after a write; st.mu is held.
func (st *Service) touchedAfter(prefix string, number int64) bool {
	for key, n := range st.touched {
		if n > number && strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (st *Service) watchAll(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Listing, error) {
	if err := st.admit(ctx, "watch", prefix, &st.Calls.Watches, st.reads); err != nil {
		return store.Listing{}, err
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		st.mu.Lock()
		li := store.Listing{Revision: store.Revision{Epoch: st.epoch, Number: st.rev}}
		if after == (store.Revision{}) || after.Epoch != st.epoch || st.touchedAfter(prefix, after.Number) {
			li.Changed, li.Items = true, st.under(prefix)
		}
		changed, down := st.changed, st.faults.Down
		st.mu.Unlock()
		if down {
			return store.Listing{}, &store.Error{Kind: store.Unavailable, Op: "watch", Key: prefix}
		}
		if li.Changed {
			return li, nil
		}
		select {
		case <-changed:
		case <-end.C:
			return li, nil
		case <-ctx.Done():
			return store.Listing{}, &store.Error{Kind: store.Unavailable, Op: "watch", Key: prefix, Err: ctx.Err()}
		}
	}
}

func (st *Service) swap(ctx context.Context, ch store.Change) (bool, store.Entry, error) {
	if len(ch.Value) > store.MaxValue {
		return false, store.Entry{}, &store.Error{Kind: store.TooLarge, Op: "swap", Key: ch.Key}
	}
	if err := st.admit(ctx, "swap", ch.Key, &st.Calls.Writes, st.writes); err != nil {
		return false, store.Entry{}, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	cur := st.at(ch.Key)
	if !ch.Revision.Matches(cur.Revision) {
		return false, cur, nil
	}
	if ch.Lease != (store.LeaseID{}) && st.lease(ch.Lease) == nil {
		return false, store.Entry{}, &store.Error{Kind: store.LeaseNotFound, Op: "swap", Key: ch.Key}
	}
	st.rev++
	st.touched[ch.Key] = st.rev
	if ch.Remove {
		delete(st.entries, ch.Key)
	} else {
		st.entries[ch.Key] = entry{value: bytes.Clone(ch.Value), number: st.rev, lease: ch.Lease.Number}
	}
	st.wake()
	if st.faults.LoseResponses > 0 {
		st.faults.LoseResponses--
		return false, store.Entry{}, &store.Error{Kind: store.Unknown, Op: "swap", Key: ch.Key}
	}
	return true, st.at(ch.Key), nil
}

// lease returns a lease, nil where it has ended; st.mu is held.
func (st *Service) lease(id store.LeaseID) *lease {
	if id.Epoch != 0 && id.Epoch != st.epoch {
		return nil
	}
	return st.leases[id.Number]
}

func (st *Service) watch(ctx context.Context, key string, after store.Revision, wait time.Duration) (store.Entry, error) {
	if err := st.admit(ctx, "watch", key, &st.Calls.Watches, st.reads); err != nil {
		return store.Entry{}, err
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		st.mu.Lock()
		ent, changed, down := st.at(key), st.changed, st.faults.Down
		st.mu.Unlock()
		if down {
			return store.Entry{}, &store.Error{Kind: store.Unavailable, Op: "watch", Key: key}
		}
		if !after.Matches(ent.Revision) {
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

func (st *Service) grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := st.admit(ctx, "grant", "", &st.Calls.Writes, st.writes); err != nil {
		return store.LeaseID{}, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.nextID++
	st.hold(st.nextID, ttl)
	return store.LeaseID{Epoch: st.epoch, Number: st.nextID}, nil
}

// hold begins a lease; st.mu is held.
func (st *Service) hold(id int64, ttl time.Duration) {
	ls := &lease{ttl: ttl}
	ls.timer = time.AfterFunc(ttl, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		// Another lease may have got the number since.
		if st.leases[id] == ls {
			st.end(id)
		}
	})
	st.leases[id] = ls
}

func (st *Service) renew(ctx context.Context, id store.LeaseID) error {
	if err := st.admit(ctx, "renew", "", &st.Calls.Writes, st.writes); err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	ls := st.lease(id)
	if ls == nil {
		return &store.Error{Kind: store.LeaseNotFound, Op: "renew"}
	}
	ls.timer.Reset(ls.ttl)
	return nil
}

func (st *Service) revoke(ctx context.Context, id store.LeaseID) error {
	if err := st.admit(ctx, "revoke", "", &st.Calls.Writes, st.writes); err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.lease(id) == nil {
		return &store.Error{Kind: store.LeaseNotFound, Op: "revoke"}
	}
	st.end(id.Number)
	return nil
}

// end removes a lease and its keys; st.mu is held.
func (st *Service) end(id int64) {
	ls := st.leases[id]
	if ls == nil {
		return
	}
	ls.timer.Stop()
	delete(st.leases, id)
	st.rev++
	for key, ent := range st.entries {
		if ent.lease == id {
			delete(st.entries, key)
			st.touched[key] = st.rev
		}
	}
	st.wake()
}

// wake lets all watches look again; st.mu is held.
func (st *Service) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}
