// Package stall makes HTTP calls that fail when no progress is made for a while. A timeout for
// the whole call would be too short for large values on slow links, or too long for small ones.
package stall
