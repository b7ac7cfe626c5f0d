// Package memnet is an in-memory network with latency, bandwidth limits, partitions, data
// corruption and byte counts. It replaces real sockets in tests that run in virtual time, since
// a testing/synctest bubble does not treat a goroutine that waits for a real socket as durably
// blocked.
package memnet
