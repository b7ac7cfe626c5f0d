// Package soak runs a small mesh of real processes, injects faults drawn from a seed, and
// checks what callers, backend servers and the store see.
package soak
