// Package guard limits a daemon's calls to the platform: it wraps a store.Store in a rate
// limiter and a circuit breaker, and counts calls and bytes.
package guard
