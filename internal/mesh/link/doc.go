// Package link exchanges packets between two daemons. Pending data is kept as state, the newest
// value of each kind, rather than as a queue: a slow peer receives fewer and larger packets, and
// the memory per peer is bounded.
package link
