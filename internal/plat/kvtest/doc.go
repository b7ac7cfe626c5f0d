// Package kvtest is the contract of the platform's interface, as cases that the
// tests of each implementation run.
package kvtest
