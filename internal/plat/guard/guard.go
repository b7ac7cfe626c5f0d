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

// The limits of one daemon. They are far above what a daemon needs, yet low enough that the
// daemons of all relays together stay below the platform's rate limits.
const (
	callRate  = 10
	callBurst = 40
	// failureThreshold is the number of consecutive failures that opens the breaker.
	// openTimeout is how long it stays open before it lets a trial call through.
	failureThreshold = 5
	openTimeout      = 2 * time.Second
)

// Guard limits and counts the calls to a store.
type Guard struct {
	// Calls counts the calls that were sent, Rejected those that the rate limiter or the
	// breaker failed locally.
	Calls, Rejected atomic.Int64
	// CallsByPurpose counts the calls sent, by operation and first element of the key.
	// BytesByPurpose counts the bytes of the values received, by the same.
	CallsByPurpose, BytesByPurpose expvar.Map
	kv                             store.Store
	limiter                        *rate.Limiter
	breaker                        atomic.Pointer[gobreaker.CircuitBreaker[any]]
}

// New returns a Guard for kv with a closed breaker.
func New(kv store.Store) *Guard {
	gd := &Guard{kv: kv, limiter: rate.NewLimiter(callRate, callBurst)}
	gd.ResetBreaker()
	return gd
}

// ResetBreaker closes the breaker. It is called when the store is known to respond to other
// daemons again.
func (gd *Guard) ResetBreaker() {
	gd.breaker.Store(gobreaker.NewCircuitBreaker[any](gobreaker.Settings{
		Timeout:     openTimeout,
		ReadyToTrip: func(cs gobreaker.Counts) bool { return cs.ConsecutiveFailures >= failureThreshold },
		IsSuccessful: func(err error) bool {
			return err == nil || store.IsKind(err, store.LeaseNotFound) || store.IsKind(err, store.TooLarge)
		},
	}))
}

// purpose returns the label of a call in the counters: op and the first element of key.
func purpose(op, key string) string {
	firstPart, _, _ := strings.Cut(key, "/")
	if firstPart == "" {
		return op
	}
	return op + "/" + firstPart
}

// Store returns the store with all calls limited and counted.
func (gd *Guard) Store() store.Store {
	kv := store.Wrap(gd.kv, gd.intercept)
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
		// A half-open breaker admits one call at a time. A watch that waits would block
		// all others meanwhile, so it returns at once unless the breaker is closed.
		if gd.breaker.Load().State() != gobreaker.StateClosed {
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
		if gd.breaker.Load().State() != gobreaker.StateClosed {
			wait = 0
		}
		return watchAll(ctx, prefix, after, wait)
	}
	return kv
}

// intercept is the store.Interceptor of a Guard: it waits for the rate limiter, then makes
// the call unless the breaker is open.
func (gd *Guard) intercept(ctx context.Context, op, key string, call func() error) error {
	if err := gd.limiter.Wait(ctx); err != nil {
		gd.Rejected.Add(1)
		return &store.Error{Kind: store.Unavailable, Op: op, Key: key, Err: err}
	}
	_, err := gd.breaker.Load().Execute(func() (any, error) {
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
