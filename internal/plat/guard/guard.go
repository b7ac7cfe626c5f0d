package guard

import (
	"context"
	"errors"
	"expvar"
	"strings"
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
	Calls, Rejected atomic.Int64
	// CallsByPurpose counts the calls that were sent by operation and the first part of the
	// key, Read the bytes of values that came back by the same.
	CallsByPurpose, BytesByPurpose expvar.Map
	kv                             store.Store
	lim                            *rate.Limiter
	brk                            atomic.Pointer[gobreaker.CircuitBreaker[any]]
}

// New returns a guard around kv.
func New(kv store.Store) *Guard {
	gd := &Guard{kv: kv, lim: rate.NewLimiter(callRate, callBurst)}
	gd.ResetBreaker()
	return gd
}

// ResetBreaker closes the breaker: the store is known to answer others again.
func (gd *Guard) ResetBreaker() {
	gd.brk.Store(gobreaker.NewCircuitBreaker[any](gobreaker.Settings{
		Timeout:     rest,
		ReadyToTrip: func(cs gobreaker.Counts) bool { return cs.ConsecutiveFailures >= trip },
		IsSuccessful: func(err error) bool {
			return err == nil || store.IsKind(err, store.LeaseNotFound) || store.IsKind(err, store.TooLarge)
		},
	}))
}

// purpose names what a call is for.
func purpose(op, key string) string {
	first, _, _ := strings.Cut(key, "/")
	if first == "" {
		return op
	}
	return op + "/" + first
}

// Store returns the guarded functions.
func (gd *Guard) Store() store.Store {
	kv := store.Wrap(gd.kv, gd.through)
	get, list, watch := kv.Get, kv.List, kv.Watch
	kv.Get = func(ctx context.Context, key string) (store.Entry, error) {
		ent, err := get(ctx, key)
		gd.BytesByPurpose.Add(purpose("get", key), int64(len(ent.Value)))
		return ent, err
	}
	kv.List = func(ctx context.Context, prefix string) ([]store.Item, error) {
		items, err := list(ctx, prefix)
		for _, it := range items {
			gd.BytesByPurpose.Add(purpose("list", prefix), int64(len(it.Value)))
		}
		return items, err
	}
	kv.Watch = func(ctx context.Context, key string, after store.Revision, wait time.Duration) (store.Entry, error) {
		// A half-open breaker lets one call through at a time. A watch that
		// waits would hold back all others, so it only looks then.
		if gd.brk.Load().State() != gobreaker.StateClosed {
			wait = 0
		}
		ent, err := watch(ctx, key, after, wait)
		if ent.Revision != after {
			gd.BytesByPurpose.Add(purpose("watch", key), int64(len(ent.Value)))
		}
		return ent, err
	}
	watchAll := kv.WatchAll
	kv.WatchAll = func(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Listing, error) {
		if gd.brk.Load().State() != gobreaker.StateClosed {
			wait = 0
		}
		return watchAll(ctx, prefix, after, wait)
	}
	return kv
}

// through waits for the rate limit and makes the call unless the breaker is
// open.
func (gd *Guard) through(ctx context.Context, op, key string, call func() error) error {
	if err := gd.lim.Wait(ctx); err != nil {
		gd.Rejected.Add(1)
		return &store.Error{Kind: store.Unavailable, Op: op, Key: key, Err: err}
	}
	_, err := gd.brk.Load().Execute(func() (any, error) {
		gd.Calls.Add(1)
		gd.CallsByPurpose.Add(purpose(op, key), 1)
		return nil, call()
	})
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		gd.Rejected.Add(1)
		return &store.Error{Kind: store.Unavailable, Op: op, Key: key, Err: err}
	}
	return err
}
