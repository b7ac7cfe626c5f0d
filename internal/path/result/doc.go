// Package result names the outcomes of a request and the headers that carry
// them between callers, outlets, inlets and backend servers.
package result
