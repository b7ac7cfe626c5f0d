// Package mono reads the monotonic clock of the process as an integer, for times that are
// kept in atomics. The wall clock may jump by seconds, forward or back.
package mono
