// Package probe checks once whether a backend server is serving.
package probe
