// Package memnet is a network in memory, with latencies, cuts, damage and byte
// counts. It stands in for real sockets in tests in virtual time, since a
// bubble of testing/synctest does not see a real socket as idle.
package memnet
