// Package usage reads the memory and processor time of a process from the
// system.
package usage
