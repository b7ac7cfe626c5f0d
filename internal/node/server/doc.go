// Package server tracks the backend server of a VM by its announcements alone, in whatever order
// they arrive.
package server
