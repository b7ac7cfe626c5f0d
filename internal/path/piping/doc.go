// Package piping serves pipelined requests (RFC 9112 section 9.3.2) side by side.
// The library's server reads the next request of a connection only after it has
// answered the last, so the second of two lookups that a caller sends at once
// waits for the first. Here each request that may be repeated is run when it has
// been read; the answers leave in the order of the requests.
package piping
