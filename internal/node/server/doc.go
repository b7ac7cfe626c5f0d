// Package server keeps what a daemon knows of the backend server beside it,
// from its announcements alone, in whatever order they come.
package server
