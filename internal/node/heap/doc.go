// Package heap decides by how much the heap may grow between two collections, so that
// memory stays small in a daemon with little to do and collections rare in a busy one.
package heap
