// Package guard keeps a daemon's calls to the platform few: a rate limit and a
// breaker around a store.Store, with a count of the calls.
package guard
