package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValue is the most bytes that a value may have.
const MaxValue = 1 << 20

// Epoch numbers the copies of its data that the store has run on. It rises when the
// store comes back from an older copy, which loses writes and leases and gives out
// their numbers again; 0 stands for a store that does not tell.
type Epoch int64

// Revision names a state of a key.
type Revision struct {
	Epoch Epoch
	// Number is that of the write, 0 for a key that does not exist.
	Number int64
}

// Exists reports whether the key existed.
func (rv Revision) Exists() bool { return rv.Number != 0 }

// Matches reports whether a key at cur is still as it was at rv. A revision without an epoch
// stands for its number in any.
func (rv Revision) Matches(cur Revision) bool {
	return rv.Number == cur.Number && (rv.Epoch == 0 || rv.Epoch == cur.Epoch)
}

// LeaseID names a lease; the zero value stands for none.
type LeaseID struct {
	Epoch  Epoch
	Number int64
}

// Entry is a value with the revision that wrote it. That of a key which does not exist
// has the epoch all the same.
type Entry struct {
	Value    []byte
	Revision Revision
}

// Item is an entry with its key.
type Item struct {
	Key string
	Entry
}

// Listing is what a store has under a prefix.
type Listing struct {
	// Changed says that something changed since the write asked for; without it Items is
	// empty.
	Changed bool
	Items   []Item
	// Revision is the write up to which this holds.
	Revision Revision
}

// Change is a compare-and-swap: it takes effect only while the key is still at
// Revision. A revision without an epoch holds in each one; any other, and a lease, only
// in its own.
type Change struct {
	Key      string
	Revision Revision
	Value    []byte
	// Remove deletes the key in place of writing Value.
	Remove bool
	// Lease deletes the key when the lease ends.
	Lease LeaseID
}

// Store is what the project uses of the platform. Every call ends with its
// context. Every error is an *Error.
type Store struct {
	// Get returns the entry of a key, with a revision that does not exist when there is
	// none.
	Get func(ctx context.Context, key string) (Entry, error)
	// List returns the entries of all keys that begin with prefix, sorted by
	// key. It is meant for a few: the result is one page.
	List func(ctx context.Context, prefix string) ([]Item, error)
	// Swap applies a change. When the key is at another revision it returns
	// false with the current entry.
	Swap func(ctx context.Context, ch Change) (bool, Entry, error)
	// Watch waits until the key's revision differs from after, or for as long
	// as wait, and returns the entry. It counts as one call. A new epoch is another
	// revision, whatever became of the key.
	Watch func(ctx context.Context, key string, after Revision, wait time.Duration) (Entry, error)
	// WatchAll waits until a key under prefix is written or removed after a write, or for
	// as long as wait. It returns at once after the zero revision, and in a new epoch.
	WatchAll func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Listing, error)
	// Grant opens a lease that ends when it is not renewed for ttl.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew starts the lease's time anew; Gone says that it has ended.
	Renew func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke func(ctx context.Context, id LeaseID) error
	// Epoch returns the newest epoch that the store has answered in. It makes no call.
	Epoch func() Epoch
}

// Kind says what an error means for the caller.
type Kind int

// The kinds of errors.
const (
	// Unavailable means that the call had no effect.
	Unavailable Kind = iota + 1
	// Unknown means that the call may have taken effect.
	Unknown
	// RateLimited means that the rate was exceeded and the call had no effect.
	RateLimited
	// TooLarge means that the value is above MaxValue.
	TooLarge
	// LeaseNotFound means that the lease has ended.
	LeaseNotFound
)

// String returns the kind in words.
func (kd Kind) String() string {
	switch kd {
	case Unavailable:
		return "unavailable"
	case Unknown:
		return "outcome unknown"
	case RateLimited:
		return "rate exceeded"
	case TooLarge:
		return "value too large"
	case LeaseNotFound:
		return "lease ended"
	}
	return fmt.Sprintf("Kind(%d)", int(kd))
}

// Error is the error of a call.
type Error struct {
	Kind Kind
	Op   string
	Key  string
	Err  error
}

// Error names the operation, the key and the kind.
func (er *Error) Error() string {
	msg := fmt.Sprintf("platform: %s %s: %s", er.Op, er.Key, er.Kind)
	if er.Err != nil {
		msg += ": " + er.Err.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// Matches reports whether err is an *Error of kind kd.
func IsKind(err error, kd Kind) bool {
	var er *Error
	return errors.As(err, &er) && er.Kind == kd
}

// Around is called in place of each call of a wrapped store. It may make the
// call, more than once or not at all, and returns its error.
type Around func(ctx context.Context, op, key string, call func() error) error

// Wrap returns kv with fn around each of its calls.
func Wrap(kv Store, fn Around) Store {
	return Store{
		Get: func(ctx context.Context, key string) (ent Entry, err error) {
			err = fn(ctx, "get", key, func() (err error) {
				ent, err = kv.Get(ctx, key)
				return err
			})
			return ent, err
		},
		List: func(ctx context.Context, prefix string) (items []Item, err error) {
			err = fn(ctx, "list", prefix, func() (err error) {
				items, err = kv.List(ctx, prefix)
				return err
			})
			return items, err
		},
		Swap: func(ctx context.Context, ch Change) (ok bool, ent Entry, err error) {
			err = fn(ctx, "swap", ch.Key, func() (err error) {
				ok, ent, err = kv.Swap(ctx, ch)
				return err
			})
			return ok && err == nil, ent, err
		},
		Watch: func(ctx context.Context, key string, after Revision, wait time.Duration) (ent Entry, err error) {
			err = fn(ctx, "watch", key, func() (err error) {
				ent, err = kv.Watch(ctx, key, after, wait)
				return err
			})
			return ent, err
		},
		WatchAll: func(ctx context.Context, prefix string, after Revision, wait time.Duration) (li Listing, err error) {
			err = fn(ctx, "watch", prefix, func() (err error) {
				li, err = kv.WatchAll(ctx, prefix, after, wait)
				return err
			})
			return li, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (id LeaseID, err error) {
			err = fn(ctx, "grant", "", func() (err error) {
				id, err = kv.Grant(ctx, ttl)
				return err
			})
			return id, err
		},
		Renew: func(ctx context.Context, id LeaseID) error {
			return fn(ctx, "renew", "", func() error { return kv.Renew(ctx, id) })
		},
		Revoke: func(ctx context.Context, id LeaseID) error {
			return fn(ctx, "revoke", "", func() error { return kv.Revoke(ctx, id) })
		},
		Epoch: kv.Epoch,
	}
}
