// Package link carries packets between two daemons. What waits to be sent is
// kept as state, the newest of each kind, and not as a queue: a slow peer gets
// fewer and larger packets and costs a bounded memory.
package link
