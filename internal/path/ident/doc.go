// Package ident names requests by what they ask for, so that one which comes again,
// from another try of its caller or at another VM, is known for the same.
package ident
