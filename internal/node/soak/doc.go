// Package soak runs a small mesh of real processes, injects faults generated from a seed,
// and checks what callers, backend servers and the store observe.
package soak
