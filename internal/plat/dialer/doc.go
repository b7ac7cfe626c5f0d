// Package dialer opens TCP connections that end by themselves when the other
// side can no longer be reached.
package dialer
