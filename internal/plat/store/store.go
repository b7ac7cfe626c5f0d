package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValue is the maximum size of a value in bytes.
const MaxValue = 1 << 20

// Epoch increases whenever the store is restored from a backup. A restore loses the writes
// and leases made since the backup and assigns their numbers again. 0 means that the store
// does not report an epoch.
type Epoch int64

// Revision identifies a state of a key, or of the whole store.
type Revision struct {
	Epoch Epoch
	// Number is the number of the last write, 0 for a key that does not exist.
	Number int64
}

// Exists reports whether the key existed at this revision.
func (rv Revision) Exists() bool { return rv.Number != 0 }

// Matches reports whether a key whose current revision is cur is unchanged since rv. An rv
// with epoch 0 matches in any epoch.
func (rv Revision) Matches(cur Revision) bool {
	return rv.Number == cur.Number && (rv.Epoch == 0 || rv.Epoch == cur.Epoch)
}

// LeaseID identifies a lease; the zero value means no lease.
type LeaseID struct {
	Epoch  Epoch
	Number int64
}

// Entry is a value with the revision that wrote it. The revision of a key that does not
// exist has an epoch too.
type Entry struct {
	Value    []byte
	Revision Revision
}

// Item is an entry with its key.
type Item struct {
	Key string
	Entry
}

// Listing is the result of watching a prefix.
type Listing struct {
	// Changed reports whether a key changed since the given revision. If not, Items is
	// empty; otherwise it has all keys under the prefix.
	Changed bool
	Items   []Item
	// Revision is the revision of the store that the listing reflects.
	Revision Revision
}

// Change is a compare-and-swap: it is applied only if the key is still at Revision. A
// revision with epoch 0 matches in any epoch; any other revision, and a lease, is valid only
// in its own epoch.
type Change struct {
	Key      string
	Revision Revision
	Value    []byte
	// Remove deletes the key instead of writing Value.
	Remove bool
	// Lease is the lease to attach the key to: the key is deleted when the lease ends.
	Lease LeaseID
}

// Store has the functions of the platform's key-value service that this project uses. Every
// call returns when its context ends. Every error is an *Error.
type Store struct {
	// Get returns the entry of a key. Revision.Exists tells whether the key exists.
	Get func(ctx context.Context, key string) (Entry, error)
	// List returns the entries of all keys that begin with prefix, sorted by key. The
	// result is a single page, so it is meant for few keys.
	List func(ctx context.Context, prefix string) ([]Item, error)
	// Swap applies a change. If the key is at another revision, it returns false and the
	// current entry.
	Swap func(ctx context.Context, ch Change) (bool, Entry, error)
	// Watch waits until the key's revision differs from after, for at most wait, and
	// returns the entry. It counts as one call. In a new epoch the revision differs even
	// if the key is unchanged.
	Watch func(ctx context.Context, key string, after Revision, wait time.Duration) (Entry, error)
	// WatchAll waits until a key under prefix is written or removed after the given
	// revision, for at most wait. It returns at once if that revision is zero or of another
	// epoch.
	WatchAll func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Listing, error)
	// Grant creates a lease that expires if it is not renewed within ttl.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew restarts the time to live of a lease. The error is LeaseNotFound if the lease
	// has expired or was revoked.
	Renew func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke func(ctx context.Context, id LeaseID) error
	// Epoch returns the highest epoch known from earlier responses. It makes no call.
	Epoch func() Epoch
}

// Kind classifies an error by what it means for the caller.
type Kind int

// The kinds of errors.
const (
	// Unavailable means that the call had no effect.
	Unavailable Kind = iota + 1
	// Unknown means that the call may have taken effect.
	Unknown
	// RateLimited means that the platform's rate limit was exceeded and the call had no
	// effect.
	RateLimited
	// TooLarge means that the value is larger than MaxValue.
	TooLarge
	// LeaseNotFound means that the lease has expired or was revoked.
	LeaseNotFound
)

// String returns a description of the kind for error messages.
func (kd Kind) String() string {
	switch kd {
	case Unavailable:
		return "unavailable"
	case Unknown:
		return "outcome unknown"
	case RateLimited:
		return "rate limit exceeded"
	case TooLarge:
		return "value too large"
	case LeaseNotFound:
		return "lease expired or revoked"
	}
	return fmt.Sprintf("Kind(%d)", int(kd))
}

// Error is the error of a store call.
type Error struct {
	Kind Kind
	Op   string
	Key  string
	Err  error
}

// Error returns a message with the operation, the key, the kind and the cause.
func (er *Error) Error() string {
	msg := fmt.Sprintf("platform: %s %s: %s", er.Op, er.Key, er.Kind)
	if er.Err != nil {
		msg += ": " + er.Err.Error()
	}
	return msg
}

// Unwrap returns the underlying error, if any.
func (er *Error) Unwrap() error { return er.Err }

// IsKind reports whether err is an *Error of kind kd.
func IsKind(err error, kd Kind) bool {
	var er *Error
	return errors.As(err, &er) && er.Kind == kd
}

// Interceptor is called in place of each call of a wrapped store. It may make the call once,
// several times or not at all, and returns the error for the caller.
type Interceptor func(ctx context.Context, op, key string, call func() error) error

// Wrap returns a store that passes each call of kv through fn.
func Wrap(kv Store, fn Interceptor) Store {
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
