package fakekv

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

// The rate limits of the platform, in calls per second.
const (
	ReadRate  = 2000
	WriteRate = 400
)

// Faults are the faults to inject; the zero value injects none.
type Faults struct {
	// Down fails every call, without effect.
	Down bool
	// Delay is added to the duration of each call.
	Delay time.Duration
	// LoseResponses is the number of upcoming swaps that take effect but return an error
	// of kind store.Unknown.
	LoseResponses int
}

// Calls counts the calls received, including those that failed.
type Calls struct {
	Reads, Writes, Watches atomic.Int64
}

// Total returns the sum of all calls.
func (cl *Calls) Total() int64 { return cl.Reads.Load() + cl.Writes.Load() + cl.Watches.Load() }

// Service is the fake service. Its methods are safe for concurrent use.
type Service struct {
	Calls        Calls
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	entries map[string]entry
	// modified has the number of the last write or removal of each key, including keys that
	// no longer exist.
	modified    map[string]int64
	leases      map[int64]*lease
	lastLeaseID int64
	rev         int64
	epoch       store.Epoch
	changed     chan struct{}
}

// entry is a value with the number of the write that stored it and the number of its lease.
type entry struct {
	value  []byte
	number int64
	lease  int64
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// currentEntry returns the entry of a key. The caller holds sv.mu.
func (sv *Service) currentEntry(key string) store.Entry {
	ent := sv.entries[key]
	return store.Entry{Value: ent.value, Revision: store.Revision{Epoch: sv.epoch, Number: ent.number}}
}

// New returns an empty fake with the platform's rate limits.
func New() *Service {
	return &Service{
		readLimiter:  rate.NewLimiter(ReadRate, ReadRate),
		writeLimiter: rate.NewLimiter(WriteRate, WriteRate),
		entries:      map[string]entry{},
		modified:     map[string]int64{},
		leases:       map[int64]*lease{},
		epoch:        1,
		changed:      make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (sv *Service) SetFaults(fa Faults) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.faults = fa
	sv.notifyWatchers()
}

// Backup is a snapshot of the entries and leases.
type Backup struct {
	entries     map[string]entry
	leases      map[int64]time.Duration
	lastLeaseID int64
	rev         int64
}

// Backup returns a snapshot of the entries and leases.
func (sv *Service) Backup() Backup {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	bk := Backup{entries: maps.Clone(sv.entries), leases: map[int64]time.Duration{}, lastLeaseID: sv.lastLeaseID, rev: sv.rev}
	for id, ls := range sv.leases {
		bk.leases[id] = ls.ttl
	}
	return bk
}

// Restore replaces the entries by those of a backup without starting a new epoch.
func (sv *Service) Restore(bk Backup) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.entries, sv.rev = maps.Clone(bk.entries), bk.rev
	sv.resetModified()
	sv.notifyWatchers()
}

// resetModified recomputes modified from the current entries. The caller holds sv.mu.
func (sv *Service) resetModified() {
	clear(sv.modified)
	for key, ent := range sv.entries {
		sv.modified[key] = ent.number
	}
}

// RestoreInNewEpoch restores a backup and starts a new epoch: later writes are lost, the
// leases of the backup restart with their full time to live, and the numbers of writes and
// leases since the backup are assigned again.
func (sv *Service) RestoreInNewEpoch(bk Backup) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, ls := range sv.leases {
		ls.timer.Stop()
	}
	sv.entries, sv.rev, sv.lastLeaseID = maps.Clone(bk.entries), bk.rev, bk.lastLeaseID
	sv.leases = map[int64]*lease{}
	for id, ttl := range bk.leases {
		sv.startLease(id, ttl)
	}
	sv.resetModified()
	sv.epoch++
	sv.notifyWatchers()
}

// ExpireLeases ends all leases as if their time to live had passed.
func (sv *Service) ExpireLeases() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for id := range sv.leases {
		sv.endLease(id)
	}
}

// Store returns the service as a store.Store.
func (sv *Service) Store() store.Store {
	return store.Store{
		Get: sv.get, List: sv.list, Swap: sv.swap, Watch: sv.watch, WatchAll: sv.watchAll,
		Grant: sv.grant, Renew: sv.renew, Revoke: sv.revoke, Epoch: sv.Epoch,
	}
}

// LatestRevision returns the number of the latest write.
func (sv *Service) LatestRevision() int64 {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.rev
}

// Epoch returns the current epoch.
func (sv *Service) Epoch() store.Epoch {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.epoch
}

// admit counts a call, applies the injected delay, and returns an error if the service is down
// or the rate limit is exceeded.
func (sv *Service) admit(ctx context.Context, op, key string, count *atomic.Int64, lim *rate.Limiter) error {
	count.Add(1)
	sv.mu.Lock()
	fa := sv.faults
	sv.mu.Unlock()
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

func (sv *Service) get(ctx context.Context, key string) (store.Entry, error) {
	if err := sv.admit(ctx, "get", key, &sv.Calls.Reads, sv.readLimiter); err != nil {
		return store.Entry{}, err
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.currentEntry(key), nil
}

func (sv *Service) list(ctx context.Context, prefix string) ([]store.Item, error) {
	if err := sv.admit(ctx, "list", prefix, &sv.Calls.Reads, sv.readLimiter); err != nil {
		return nil, err
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.listPrefix(prefix), nil
}

// listPrefix returns the entries of all keys under a prefix, sorted by key. The caller holds
// sv.mu.
func (sv *Service) listPrefix(prefix string) (items []store.Item) {
	for _, key := range slices.Sorted(maps.Keys(sv.entries)) {
		if strings.HasPrefix(key, prefix) {
			items = append(items, store.Item{Key: key, Entry: sv.currentEntry(key)})
		}
	}
	return items
}

// modifiedAfter reports whether a key under a prefix was written or removed after write
// number. The caller holds sv.mu.
func (sv *Service) modifiedAfter(prefix string, number int64) bool {
	for key, n := range sv.modified {
		if n > number && strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (sv *Service) watchAll(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Listing, error) {
	if err := sv.admit(ctx, "watch", prefix, &sv.Calls.Watches, sv.readLimiter); err != nil {
		return store.Listing{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		sv.mu.Lock()
		li := store.Listing{Revision: store.Revision{Epoch: sv.epoch, Number: sv.rev}}
		if after == (store.Revision{}) || after.Epoch != sv.epoch || sv.modifiedAfter(prefix, after.Number) {
			li.Changed, li.Items = true, sv.listPrefix(prefix)
		}
		changed, down := sv.changed, sv.faults.Down
		sv.mu.Unlock()
		if down {
			return store.Listing{}, &store.Error{Kind: store.Unavailable, Op: "watch", Key: prefix}
		}
		if li.Changed {
			return li, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return li, nil
		case <-ctx.Done():
			return store.Listing{}, &store.Error{Kind: store.Unavailable, Op: "watch", Key: prefix, Err: ctx.Err()}
		}
	}
}

func (sv *Service) swap(ctx context.Context, ch store.Change) (bool, store.Entry, error) {
	if len(ch.Value) > store.MaxValue {
		return false, store.Entry{}, &store.Error{Kind: store.TooLarge, Op: "swap", Key: ch.Key}
	}
	if err := sv.admit(ctx, "swap", ch.Key, &sv.Calls.Writes, sv.writeLimiter); err != nil {
		return false, store.Entry{}, err
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	cur := sv.currentEntry(ch.Key)
	if !ch.Revision.Matches(cur.Revision) {
		return false, cur, nil
	}
	if ch.Lease != (store.LeaseID{}) && sv.findLease(ch.Lease) == nil {
		return false, store.Entry{}, &store.Error{Kind: store.LeaseNotFound, Op: "swap", Key: ch.Key}
	}
	sv.rev++
	sv.modified[ch.Key] = sv.rev
	if ch.Remove {
		delete(sv.entries, ch.Key)
	} else {
		sv.entries[ch.Key] = entry{value: bytes.Clone(ch.Value), number: sv.rev, lease: ch.Lease.Number}
	}
	sv.notifyWatchers()
	if sv.faults.LoseResponses > 0 {
		sv.faults.LoseResponses--
		return false, store.Entry{}, &store.Error{Kind: store.Unknown, Op: "swap", Key: ch.Key}
	}
	return true, sv.currentEntry(ch.Key), nil
}

// findLease returns a lease, or nil if it has ended. The caller holds sv.mu.
func (sv *Service) findLease(id store.LeaseID) *lease {
	if id.Epoch != 0 && id.Epoch != sv.epoch {
		return nil
	}
	return sv.leases[id.Number]
}

func (sv *Service) watch(ctx context.Context, key string, after store.Revision, wait time.Duration) (store.Entry, error) {
	if err := sv.admit(ctx, "watch", key, &sv.Calls.Watches, sv.readLimiter); err != nil {
		return store.Entry{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		sv.mu.Lock()
		ent, changed, down := sv.currentEntry(key), sv.changed, sv.faults.Down
		sv.mu.Unlock()
		if down {
			return store.Entry{}, &store.Error{Kind: store.Unavailable, Op: "watch", Key: key}
		}
		if !after.Matches(ent.Revision) {
			return ent, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return ent, nil
		case <-ctx.Done():
			return store.Entry{}, &store.Error{Kind: store.Unavailable, Op: "watch", Key: key, Err: ctx.Err()}
		}
	}
}

func (sv *Service) grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := sv.admit(ctx, "grant", "", &sv.Calls.Writes, sv.writeLimiter); err != nil {
		return store.LeaseID{}, err
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.lastLeaseID++
	sv.startLease(sv.lastLeaseID, ttl)
	return store.LeaseID{Epoch: sv.epoch, Number: sv.lastLeaseID}, nil
}

// startLease starts a lease. The caller holds sv.mu.
func (sv *Service) startLease(id int64, ttl time.Duration) {
	ls := &lease{ttl: ttl}
	ls.timer = time.AfterFunc(ttl, func() {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		// After a restore the number may belong to another lease.
		if sv.leases[id] == ls {
			sv.endLease(id)
		}
	})
	sv.leases[id] = ls
}

func (sv *Service) renew(ctx context.Context, id store.LeaseID) error {
	if err := sv.admit(ctx, "renew", "", &sv.Calls.Writes, sv.writeLimiter); err != nil {
		return err
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	ls := sv.findLease(id)
	if ls == nil {
		return &store.Error{Kind: store.LeaseNotFound, Op: "renew"}
	}
	ls.timer.Reset(ls.ttl)
	return nil
}

func (sv *Service) revoke(ctx context.Context, id store.LeaseID) error {
	if err := sv.admit(ctx, "revoke", "", &sv.Calls.Writes, sv.writeLimiter); err != nil {
		return err
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.findLease(id) == nil {
		return &store.Error{Kind: store.LeaseNotFound, Op: "revoke"}
	}
	sv.endLease(id.Number)
	return nil
}

// endLease deletes a lease and its keys. The caller holds sv.mu.
func (sv *Service) endLease(id int64) {
	ls := sv.leases[id]
	if ls == nil {
		return
	}
	ls.timer.Stop()
	delete(sv.leases, id)
	sv.rev++
	for key, ent := range sv.entries {
		if ent.lease == id {
			delete(sv.entries, key)
			sv.modified[key] = sv.rev
		}
	}
	sv.notifyWatchers()
}

// notifyWatchers makes all waiting watches check for changes. The caller holds sv.mu.
func (sv *Service) notifyWatchers() {
	close(sv.changed)
	sv.changed = make(chan struct{})
}
