// Package relay chooses the relays of a failure domain from its live members by rendezvous
// hashing. Every daemon computes the choice by itself. Daemons that temporarily see different
// members choose differently, which costs bandwidth but not correctness.
package relay
