// Package board is the blackboard of a daemon: the facts that its controllers
// write and that other controllers and the path of a request read.
package board
