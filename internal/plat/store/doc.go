// Package store defines the interface to the platform's key-value service: a small set of
// functions with compare-and-swap, leases and watches, and typed errors.
package store
