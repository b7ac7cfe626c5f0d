// Package relay chooses the relays of a failure domain from its live members
// by rendezvous hashing. Every daemon computes the choice for itself; two that
// see different members for a while choose differently, which costs bytes and
// no correctness.
package relay
