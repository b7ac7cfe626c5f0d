// Package usage reads the memory and CPU time of a process from /proc.
package usage
