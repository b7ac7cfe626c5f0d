// Package remote carries the store interface over RPC: a client that implements
// store.Store, and the handler that serves the in-memory fake.
package remote
