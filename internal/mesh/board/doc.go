// Package board is the blackboard of a daemon: the shared state that its controllers write, and
// that other controllers and the request path read.
package board
