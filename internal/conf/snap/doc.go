// Package snap compiles a configuration into the immutable form in which a
// daemon holds it, and matches requests against its routes.
package snap
