// Package result defines the outcomes of a request and the HTTP headers that carry them between
// callers, outlets, inlets and backend servers.
package result
