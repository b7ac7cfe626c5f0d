// Package dialer opens TCP connections that fail when the peer becomes unreachable, and detects
// idle connections that the peer has closed.
package dialer
