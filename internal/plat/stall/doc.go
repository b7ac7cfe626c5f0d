// Package stall makes HTTP calls that end when nothing moves for a while. A timeout of the
// whole call would be too short for large values on slow links, or too long for small ones.
package stall
