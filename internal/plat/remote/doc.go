// Package remote carries the platform's interface over a connection: a client
// that gives a store.Store, and the handler that the stand-in is served by.
package remote
