// Package logs writes a daemon's log as JSON lines. It limits their rate and writes them in the
// background, so that logging never blocks a request.
package logs
