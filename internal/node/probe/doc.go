// Package probe asks a backend server once whether it serves.
package probe
