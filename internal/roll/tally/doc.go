// Package tally counts what a backend server does with its requests, by route, so that
// versions of its software can be compared.
package tally
