// Package snap compiles a configuration into the immutable snapshot that a daemon holds, and
// matches requests against its routes.
package snap
