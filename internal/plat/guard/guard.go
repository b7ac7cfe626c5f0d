package guard

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"

	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// The local limits. They are far above what a daemon needs, and low enough
// that the daemons of all relays together stay below the platform's rates.
const (
	callRate  = 10
	callBurst = 40
	// trip is how many failures in a row open the breaker, and rest how long
	// it stays open before one call tries again.
	trip = 5
	rest = 2 * time.Second
)

// Guard counts and limits calls.
type Guard struct {
	// Calls counts the calls that were sent, Held those that were not.
	Calls, Held atomic.Int64
	kv          store.Store
	lim         *rate.Limiter
	brk         *gobreaker.CircuitBreaker[any]
}

// New returns a guard around kv.
func New(kv store.Store) *Guard {
	return &Guard{
		kv:  kv,
		lim: rate.NewLimiter(callRate, callBurst),
		brk: gobreaker.NewCircuitBreaker[any](gobreaker.Settings{
			Timeout:      rest,
			ReadyToTrip:  func(cs gobreaker.Counts) bool { return cs.ConsecutiveFailures >= trip },
			IsSuccessful: func(err error) bool { return err == nil || store.Is(err, store.Gone) || store.Is(err, store.TooLarge) },
		}),
	}
}

// Store returns the guarded functions.
func (gd *Guard) Store() store.Store {
	return store.Store{
		Get: func(ctx context.Context, key string) (store.Entry, error) {
			return through(ctx, gd, "get", key, func() (store.Entry, error) { return gd.kv.Get(ctx, key) })
		},
		Swap: func(ctx context.Context, ch store.Change) (bool, store.Entry, error) {
			type answer struct {
				ok  bool
				cur store.Entry
			}
			an, err := through(ctx, gd, "swap", ch.Key, func() (an answer, err error) {
				an.ok, an.cur, err = gd.kv.Swap(ctx, ch)
				return an, err
			})
			return an.ok, an.cur, err
		},
		Watch: func(ctx context.Context, key string, after store.Revision, wait time.Duration) (store.Entry, error) {
			// A half-open breaker lets one call through at a time. A watch that
			// waits would hold back all others, so it only looks then.
			if gd.brk.State() != gobreaker.StateClosed {
				wait = 0
			}
			return through(ctx, gd, "watch", key, func() (store.Entry, error) { return gd.kv.Watch(ctx, key, after, wait) })
		},
		Grant: func(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
			return through(ctx, gd, "grant", "", func() (store.LeaseID, error) { return gd.kv.Grant(ctx, ttl) })
		},
		Renew: func(ctx context.Context, id store.LeaseID) error {
			_, err := through(ctx, gd, "renew", "", func() (any, error) { return nil, gd.kv.Renew(ctx, id) })
			return err
		},
		Revoke: func(ctx context.Context, id store.LeaseID) error {
			_, err := through(ctx, gd, "revoke", "", func() (any, error) { return nil, gd.kv.Revoke(ctx, id) })
			return err
		},
	}
}

// through waits for the rate limit and calls fn unless the breaker is open.
func through[T any](ctx context.Context, gd *Guard, op, key string, fn func() (T, error)) (T, error) {
	var zero T
	if err := gd.lim.Wait(ctx); err != nil {
		gd.Held.Add(1)
		return zero, &store.Error{Kind: store.Unavailable, Op: op, Key: key, Err: err}
	}
	v, err := gd.brk.Execute(func() (any, error) {
		gd.Calls.Add(1)
		return fn()
	})
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		gd.Held.Add(1)
		return zero, &store.Error{Kind: store.Unavailable, Op: op, Key: key, Err: err}
	}
	if err != nil {
		return zero, err
	}
	res, _ := v.(T)
	return res, nil
}
