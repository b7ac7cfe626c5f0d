// Package ident identifies requests by their content, so that a request that is repeated, by a retry of
// its caller or at another VM, is recognized.
package ident
