// Package idle ends kept connections of a server that nobody uses, without
// cutting off a request that has just arrived on one.
package idle
