// Package heap sets how much the heap may grow between garbage collections, so that memory stays
// small in an idle daemon and collections are rare in a busy one.
package heap
