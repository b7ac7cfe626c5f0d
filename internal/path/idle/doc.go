// Package idle closes idle connections of an HTTP server without cutting off a request that has just
// arrived on one.
package idle
