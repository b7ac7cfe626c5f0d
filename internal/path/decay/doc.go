// Package decay holds pairs of counts in which an event counts half after a half-life.
package decay
