// Package kvtest has the contract tests of the store interface, to be run against each
// implementation.
package kvtest
