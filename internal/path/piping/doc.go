// Package piping runs pipelined requests (RFC 9112 section 9.3.2) concurrently. The net/http
// server reads the next request of a connection only after it has answered the previous one, so
// the second of two pipelined lookups waits for the first. This package starts each request that
// may be retried as soon as it has been read, and sends the responses in the order of the
// requests.
package piping
